//! The binary form of a log segment: frames, each of a length, a checksum chained to that of the frame before, and the
//! records of one batch.
use chain_replication::hard_state::HardState;
use chain_replication::log::{Entry, Position, Snapshot};
use chain_replication::step::{Record, RecoveredDisk};
use chain_replication::view::{MemberAddress, View};
use deku::{DekuContainerRead, DekuContainerWrite};
use fleet_common::hash;
use std::collections::BTreeMap;
use std::io;

const FRAME_HEADER_BYTES: usize = 12;
/// The kinds of records of the format before entries bore the view that made them.
const FORMER_KINDS: std::ops::RangeInclusive<u8> = 1..=4;
const META: u8 = 5;
const ENTRY: u8 = 6;
const SNAPSHOT: u8 = 7;
const TRUNCATE: u8 = 8;
/// A record begins with its kind, a position (view, number) and the length of its content.
const RECORD_HEADER_BYTES: usize = 1 + 8 + 8 + 4;

/// The records of a log, folded together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogContents {
    /// The newest metadata record.
    pub meta: Option<HardState>,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, by number.
    pub entries: BTreeMap<u64, Entry>,
}

impl LogContents {
    /// The contents of a newly formatted log.
    pub(crate) fn initial(found_fleet: Option<u32>, cores: &[MemberAddress]) -> Self {
        let (incarnation, view) = match found_fleet {
            Some(tolerance) => (1, View::founding(cores.to_vec(), tolerance)),
            None => (hash::unique_id(), View::outside(cores.to_vec())),
        };
        let meta = HardState::new(incarnation, view, found_fleet.is_some());
        LogContents { meta: Some(meta), ..LogContents::default() }
    }

    /// Applies the next record.
    /// ```
    /// use chain_replication::{step::Record, log::{Entry, Position, Snapshot}};
    /// let mut held = control_server::segment::LogContents::default();
    /// let at = Position { view: 1, seq: 1 };
    /// held.apply(&Record::Entry(Entry { at: at.clone(), command: vec![7].into() }));
    /// held.apply(&Record::Snapshot(Snapshot { at, state: vec![8].into() }));
    /// assert!(held.entries.is_empty() && held.snapshot.is_some());
    /// ```
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::HardState(meta) => self.meta = Some(meta.clone()),
            Record::Entry(entry) => _ = self.entries.insert(entry.at.seq, entry.clone()),
            Record::Snapshot(snapshot) => {
                self.entries = self.entries.split_off(&(snapshot.at.seq + 1));
                self.snapshot = Some(snapshot.clone());
            }
            Record::Truncate(seq) => _ = self.entries.split_off(&(seq + 1)),
        }
    }

    /// The fewest records from which these contents follow.
    /// ```
    /// assert!(control_server::segment::LogContents::default().records().is_empty());
    /// ```
    pub fn records(&self) -> Vec<Record> {
        let meta = self.meta.iter().cloned().map(Record::HardState);
        let snapshot = self.snapshot.iter().cloned().map(Record::Snapshot);
        let entries = self.entries.values().cloned().map(Record::Entry);
        meta.chain(snapshot).chain(entries).collect()
    }

    /// The contents in the form that a control replica starts from.
    /// ```
    /// assert!(control_server::segment::LogContents::default().found().entries.is_empty());
    /// ```
    pub fn found(&self) -> RecoveredDisk {
        RecoveredDisk {
            hard_state: self.meta.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.values().cloned().collect(),
        }
    }
}

fn append_record(out: &mut Vec<u8>, kind: u8, at: &Position, bytes: &[u8]) {
    out.push(kind);
    out.extend_from_slice(&at.view.to_le_bytes());
    out.extend_from_slice(&at.seq.to_le_bytes());
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(bytes);
}

fn encode_record(out: &mut Vec<u8>, record: &Record) -> Result<(), EncodeError> {
    match record {
        Record::HardState(meta) => {
            let bytes = meta.to_bytes().map_err(|error| EncodeError(error.to_string()))?;
            append_record(out, META, &Position::START, &bytes);
        }
        Record::Entry(entry) => append_record(out, ENTRY, &entry.at, entry.command.as_slice()),
        Record::Snapshot(snapshot) => append_record(out, SNAPSHOT, &snapshot.at, snapshot.state.as_slice()),
        Record::Truncate(seq) => append_record(out, TRUNCATE, &Position { view: 0, seq: *seq }, &[]),
    }
    Ok(())
}

/// A record that cannot be written down.
#[derive(Debug, thiserror::Error)]
#[error("a record cannot be written: {0}")]
pub struct EncodeError(String);

impl From<EncodeError> for io::Error {
    fn from(error: EncodeError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// Adds a frame with these records; gives the checksum that the next frame goes on from. Where a record cannot
/// be written, nothing is added.
/// ```
/// use chain_replication::{step::Record, log::{Entry, Position}};
/// use control_server::segment::{append_frame, replay};
/// let mut bytes = Vec::new();
/// let entry = Entry { at: Position { view: 1, seq: 1 }, command: vec![7].into() };
/// let sum = append_frame(&mut bytes, 0, &[Record::Entry(entry)]).unwrap();
/// let replayed = replay(&bytes);
/// assert_eq!((replayed.contents.entries.len(), replayed.valid_bytes, replayed.checksum), (1, bytes.len(), sum));
/// assert_eq!(replay(&bytes[..bytes.len() - 1]).valid_bytes, 0, "a torn frame is none");
/// ```
pub fn append_frame(out: &mut Vec<u8>, sum: u64, records: &[Record]) -> Result<u64, EncodeError> {
    let mut body = Vec::new();
    records.iter().try_for_each(|record| encode_record(&mut body, record))?;
    let length = body.len() as u32;
    let sum = hash::bytes(hash::mix(sum ^ u64::from(length)), &body);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&sum.to_le_bytes());
    out.extend_from_slice(&body);
    Ok(sum)
}

/// Whether a segment was written by a release whose entries did not bear the view that made them.
/// ```
/// assert!(!control_server::segment::is_of_former_release(b""));
/// ```
pub fn is_of_former_release(segment: &[u8]) -> bool {
    read_frame(segment, 0).is_some_and(|(body, _)| body.first().is_some_and(|kind| FORMER_KINDS.contains(kind)))
}

/// The content of the first frame, if it has the checksum that goes on from `sum`; gives that too.
fn read_frame(bytes: &[u8], sum: u64) -> Option<(&[u8], u64)> {
    let length = u32::from_le_bytes(array(bytes)?);
    let said = u64::from_le_bytes(array(bytes.get(4..)?)?);
    let body = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length as usize)?;
    let sum = hash::bytes(hash::mix(sum ^ u64::from(length)), body);
    (sum == said && length > 0).then_some((body, sum))
}

fn array<const N: usize>(bytes: &[u8]) -> Option<[u8; N]> {
    bytes.get(..N)?.try_into().ok()
}

fn decode_records(mut body: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let view = u64::from_le_bytes(array(body.get(1..)?)?);
        let seq = u64::from_le_bytes(array(body.get(9..)?)?);
        let length = u32::from_le_bytes(array(body.get(17..)?)?) as usize;
        let bytes = body.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + length)?;
        let at = Position { view, seq };
        records.push(match body[0] {
            META => match HardState::from_bytes((bytes, 0)) {
                Ok((([], _), meta)) => Record::HardState(meta),
                _ => return None,
            },
            ENTRY => Record::Entry(Entry { at, command: bytes.to_vec().into() }),
            SNAPSHOT => Record::Snapshot(Snapshot { at, state: bytes.to_vec().into() }),
            TRUNCATE => Record::Truncate(seq),
            _ => return None,
        });
        body = &body[RECORD_HEADER_BYTES + length..];
    }
    Some(records)
}

/// What could be read of a segment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replay {
    /// The records of all valid frames, folded together.
    pub contents: LogContents,
    /// How many bytes the valid frames take.
    pub valid_bytes: usize,
    /// The checksum of the last valid frame, which the next one is chained to.
    pub checksum: u64,
}

/// Reads frames as far as they are complete and valid: a torn or damaged frame ends the segment.
/// ```
/// assert_eq!(control_server::segment::replay(b"no frame").valid_bytes, 0);
/// ```
pub fn replay(bytes: &[u8]) -> Replay {
    let mut replay = Replay::default();
    while let Some((body, checksum)) = read_frame(&bytes[replay.valid_bytes..], replay.checksum) {
        let Some(records) = decode_records(body) else { break };
        records.iter().for_each(|record| replay.contents.apply(record));
        replay.valid_bytes += FRAME_HEADER_BYTES + body.len();
        replay.checksum = checksum;
    }
    replay
}
