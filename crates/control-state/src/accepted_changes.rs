//! The record of accepted configuration changes, by which a repeated change is told from a new one.
use crate::route_config::Change;
use fleet_common::hash;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};

/// How many of the newest accepted changes are remembered.
pub const REMEMBERED_CHANGES: usize = 4096;
/// How many changes the releases before this record remembered, as plain 64-bit digests by number.
const REMEMBERED_BY_FORMER_RELEASE: usize = 512;

const SHA256_BYTES: usize = 32;
const SHA256_HEX_DIGITS: usize = 2 * SHA256_BYTES;
const PLAIN_HEX_DIGITS: usize = 16;

/// A digest of a change together with the version that it builds on. In snapshots it is a hexadecimal string.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum ChangeDigest {
    /// SHA-256 of the version (8 bytes, little endian) followed by the change as JSON.
    Sha256([u8; SHA256_BYTES]),
    /// The plain 64-bit hash of a change that was accepted by a former release.
    Plain(u64),
}

/// A digest in a snapshot that is neither 64 nor 16 hexadecimal digits.
#[derive(Debug, thiserror::Error)]
#[error("a digest of 64 or 16 hexadecimal digits is wanted, not {0:?}")]
pub struct MalformedDigest(String);

impl From<ChangeDigest> for String {
    fn from(digest: ChangeDigest) -> String {
        match digest {
            ChangeDigest::Sha256(bytes) => bytes.iter().flat_map(|byte| hex_digits(*byte)).collect(),
            ChangeDigest::Plain(hash) => format!("{hash:016x}"),
        }
    }
}

impl TryFrom<String> for ChangeDigest {
    type Error = MalformedDigest;

    fn try_from(text: String) -> Result<Self, MalformedDigest> {
        let parsed = match text.len() {
            _ if !text.bytes().all(|digit| digit.is_ascii_hexdigit()) => None,
            SHA256_HEX_DIGITS => parse_sha256(&text).map(ChangeDigest::Sha256),
            PLAIN_HEX_DIGITS => u64::from_str_radix(&text, 16).ok().map(ChangeDigest::Plain),
            _ => None,
        };
        parsed.ok_or(MalformedDigest(text))
    }
}

/// The two digits of a byte; a snapshot holds many, so no text is made for each.
fn hex_digits(byte: u8) -> [char; 2] {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    [byte >> 4, byte & 0xf].map(|digit| char::from(DIGITS[usize::from(digit)]))
}

fn parse_sha256(text: &str) -> Option<[u8; SHA256_BYTES]> {
    let mut bytes = [0; SHA256_BYTES];
    for (byte, offset) in bytes.iter_mut().zip((0..).step_by(2)) {
        *byte = u8::from_str_radix(text.get(offset..offset + 2)?, 16).ok()?;
    }
    Some(bytes)
}

/// What identifies a change: its number, and digests of its content and of the version that it builds on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeIdentity {
    revision: u64,
    digest: ChangeDigest,
    /// The digest that a former release would have recorded for it.
    former: ChangeDigest,
}

impl ChangeIdentity {
    /// The identity of a change on top of version `base`.
    ///
    /// # Errors
    /// The change cannot be encoded.
    pub fn of(base: u64, change: &Change) -> Result<Self, sonic_rs::Error> {
        let encoded = sonic_rs::to_vec(change)?;
        let digest = Sha256::new().chain_update(base.to_le_bytes()).chain_update(&encoded).finalize();
        Ok(ChangeIdentity {
            revision: change.revision(),
            digest: ChangeDigest::Sha256(digest.into()),
            former: ChangeDigest::Plain(hash::bytes(base, &encoded)),
        })
    }

    /// The digest that is recorded.
    pub fn digest(&self) -> ChangeDigest {
        self.digest
    }
}

/// What the record knows of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// This very change was accepted.
    Accepted,
    /// It was not accepted: all changes that were accepted under such a number are remembered.
    New,
    /// Changes up to this number are no longer remembered: it may or may not have been accepted.
    Forgotten {
        /// The highest number of a forgotten change.
        up_to: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AcceptedChange {
    revision: u64,
    digest: ChangeDigest,
}

/// The newest accepted changes, in the order in which they were accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AcceptedChanges {
    changes: VecDeque<AcceptedChange>,
    /// The highest number of a change that is no longer remembered; 0 if all are.
    highest_forgotten: u64,
}

impl AcceptedChanges {
    /// Records an accepted change, and forgets the oldest beyond `REMEMBERED_CHANGES`.
    pub fn record(&mut self, identity: &ChangeIdentity) {
        self.push(identity.revision, identity.digest);
    }

    fn push(&mut self, revision: u64, digest: ChangeDigest) {
        self.changes.push_back(AcceptedChange { revision, digest });
        while self.changes.len() > REMEMBERED_CHANGES {
            if let Some(oldest) = self.changes.pop_front() {
                self.highest_forgotten = self.highest_forgotten.max(oldest.revision);
            }
        }
    }

    /// Whether a change was accepted, as far as the record tells.
    pub fn lookup(&self, identity: &ChangeIdentity) -> Lookup {
        let is_same = |accepted: &AcceptedChange| {
            let is_recorded = accepted.digest == identity.digest || accepted.digest == identity.former;
            accepted.revision == identity.revision && is_recorded
        };
        if self.changes.iter().any(is_same) {
            Lookup::Accepted
        } else if identity.revision <= self.highest_forgotten && self.highest_forgotten > 0 {
            Lookup::Forgotten { up_to: self.highest_forgotten }
        } else {
            Lookup::New
        }
    }

    /// Reads the record of a former release: a plain digest of each of its newest 512 changes, by number. Numbers
    /// rise from change to change, so their order is that of acceptance. Repeats of these changes are recognised by
    /// number and plain digest, as that release did, until they are forgotten in their turn.
    pub fn from_plain_digests(digests: &BTreeMap<u64, u64>) -> Self {
        let mut accepted = AcceptedChanges::default();
        if digests.len() >= REMEMBERED_BY_FORMER_RELEASE
            && let Some(lowest) = digests.keys().next()
        {
            accepted.highest_forgotten = lowest.saturating_sub(1);
        }
        for (revision, digest) in digests {
            accepted.push(*revision, ChangeDigest::Plain(*digest));
        }
        accepted
    }
}
