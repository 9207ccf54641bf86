//! How records lie in a segment of the log: frames of a length, a checksum that goes on from the frame
//! before, and the records of one ticket.
use control_chain::core::{Found, Record};
use control_chain::view::{CoreAt, Meta, View};
use deku::{DekuContainerRead, DekuContainerWrite};
use fleet_common::{Bytes, hash};
use std::collections::BTreeMap;

const HEAD: usize = 12;
const META: u8 = 1;
const ENTRY: u8 = 2;
const CAPTURE: u8 = 3;
const WIPE: u8 = 4;

/// What all records of a log together stand for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    pub meta: Option<Meta>,
    pub capture: Option<(u64, Bytes)>,
    pub entries: BTreeMap<u64, Bytes>,
}

impl Held {
    /// What an empty disk begins with.
    pub(crate) fn formatted(found_fleet: Option<u32>, cores: &[CoreAt]) -> Self {
        let (incarnation, view) = match found_fleet {
            Some(tolerance) => (1, View::founding(cores.to_vec(), tolerance)),
            None => (hash::unique(), View::outside(cores.to_vec())),
        };
        let full = found_fleet.is_some().into();
        Held { meta: Some(Meta { incarnation, view, promised: 0, accepted: vec![].into(), full }), ..Held::default() }
    }

    /// Takes a record in.
    /// ```
    /// use control_chain::core::Record;
    /// let mut held = control_core::records::Held::default();
    /// held.apply(&Record::Entry(1, vec![7].into()));
    /// held.apply(&Record::Capture(1, vec![8].into()));
    /// assert!(held.entries.is_empty() && held.capture.is_some());
    /// ```
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Meta(meta) => self.meta = Some(meta.clone()),
            Record::Entry(seq, bytes) => _ = self.entries.insert(*seq, bytes.clone()),
            Record::Capture(seq, bytes) => {
                self.entries = self.entries.split_off(&(seq + 1));
                self.capture = Some((*seq, bytes.clone()));
            }
            Record::Wipe => {
                self.entries.clear();
                self.capture = None;
            }
        }
    }

    /// The least records that give this again.
    /// ```
    /// assert!(control_core::records::Held::default().records().is_empty());
    /// ```
    pub fn records(&self) -> Vec<Record> {
        let meta = self.meta.iter().cloned().map(Record::Meta);
        let capture = self.capture.iter().map(|(seq, bytes)| Record::Capture(*seq, bytes.clone()));
        let entries = self.entries.iter().map(|(seq, bytes)| Record::Entry(*seq, bytes.clone()));
        meta.chain(capture).chain(entries).collect()
    }

    /// As a core is started from it.
    /// ```
    /// assert!(control_core::records::Held::default().found().entries.is_empty());
    /// ```
    pub fn found(&self) -> Found {
        Found {
            meta: self.meta.clone(),
            capture: self.capture.as_ref().map(|(seq, bytes)| (*seq, bytes.as_slice().to_vec())),
            entries: self.entries.iter().map(|(seq, bytes)| (*seq, bytes.clone())).collect(),
        }
    }
}

fn put(out: &mut Vec<u8>, kind: u8, seq: u64, bytes: &[u8]) {
    out.push(kind);
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(bytes);
}

/// Adds a frame with these records; gives the checksum that the next frame goes on from.
/// ```
/// use control_chain::core::Record;
/// use control_core::records::{frame, replay};
/// let mut bytes = Vec::new();
/// let sum = frame(&mut bytes, 0, &[Record::Entry(1, vec![7].into())]);
/// let (held, length, last) = replay(&bytes);
/// assert_eq!((held.entries.len(), length, last), (1, bytes.len(), sum));
/// assert_eq!(replay(&bytes[..bytes.len() - 1]).1, 0, "a torn frame is none");
/// ```
pub fn frame(out: &mut Vec<u8>, sum: u64, records: &[Record]) -> u64 {
    let begun = out.len();
    out.extend_from_slice(&[0; HEAD]);
    for record in records {
        match record {
            Record::Meta(meta) => put(out, META, 0, &meta.to_bytes().unwrap_or_default()),
            Record::Entry(seq, bytes) => put(out, ENTRY, *seq, bytes.as_slice()),
            Record::Capture(seq, bytes) => put(out, CAPTURE, *seq, bytes.as_slice()),
            Record::Wipe => put(out, WIPE, 0, &[]),
        }
    }
    let length = (out.len() - begun - HEAD) as u32;
    let sum = hash::bytes(hash::mix(sum ^ u64::from(length)), &out[begun + HEAD..]);
    out[begun..begun + 4].copy_from_slice(&length.to_le_bytes());
    out[begun + 4..begun + HEAD].copy_from_slice(&sum.to_le_bytes());
    sum
}

fn number<const N: usize>(bytes: &[u8]) -> Option<[u8; N]> {
    bytes.get(..N)?.try_into().ok()
}

fn records(mut body: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while let Some((kind, rest)) = body.split_first() {
        let seq = u64::from_le_bytes(number(rest)?);
        let length = u32::from_le_bytes(number(&rest[8..])?) as usize;
        let bytes = rest.get(12..12 + length)?;
        body = &rest[12 + length..];
        records.push(match *kind {
            META => match Meta::from_bytes((bytes, 0)) {
                Ok((([], _), meta)) => Record::Meta(meta),
                _ => return None,
            },
            ENTRY => Record::Entry(seq, bytes.to_vec().into()),
            CAPTURE => Record::Capture(seq, bytes.to_vec().into()),
            WIPE => Record::Wipe,
            _ => return None,
        });
    }
    Some(records)
}

fn next_frame(bytes: &[u8], sum: u64) -> Option<(Vec<Record>, usize, u64)> {
    let length = u32::from_le_bytes(number(bytes)?);
    let said = u64::from_le_bytes(number(bytes.get(4..)?)?);
    let body = bytes.get(HEAD..HEAD + length as usize)?;
    let sum = hash::bytes(hash::mix(sum ^ u64::from(length)), body);
    (sum == said && length > 0).then_some(())?;
    Some((records(body)?, HEAD + body.len(), sum))
}

/// Reads frames as far as they are whole: what they stand for, how long they are, and the last checksum.
/// ```
/// assert_eq!(control_core::records::replay(b"no frame").1, 0);
/// ```
pub fn replay(bytes: &[u8]) -> (Held, usize, u64) {
    let (mut held, mut length, mut sum) = (Held::default(), 0, 0);
    while let Some((records, more, next)) = next_frame(&bytes[length..], sum) {
        records.iter().for_each(|record| held.apply(record));
        (length, sum) = (length + more, next);
    }
    (held, length, sum)
}
