//! What reading a store back yields: items for the visitor, and a report for the owner.

use crate::error::ReplayRejection;

/// What a replay shows its visitor, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayItem<'a> {
    /// The content of the newest snapshot, which stands for all records before that number.
    Snapshot(u64, &'a [u8]),
    /// A record's number and its payload.
    Record(u64, &'a [u8]),
}

/// The visitor of a replay.
pub(crate) type Visitor<'a> = dyn FnMut(ReplayItem<'_>) -> Result<(), ReplayRejection> + 'a;

/// What a crash left of a commit at the end of the log. It is cut off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The file.
    pub file: String,
    /// Where the incomplete commit begins.
    pub offset: u64,
    /// How many bytes of it there are.
    pub bytes: u64,
}

/// What opening a store found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// The number that the next record gets.
    pub next_record: u64,
    /// The number of the first record after the newest snapshot, `None` without a snapshot.
    pub snapshot_before: Option<u64>,
    /// How many records there are after the snapshot.
    pub records: u64,
    /// Bytes read.
    pub bytes_read: u64,
    /// Whether the store was closed cleanly.
    pub closed_cleanly: bool,
    /// What a crash left of the last commit.
    pub torn_tail: Option<TornTail>,
}

impl Recovery {
    /// Returns the report on a store that was read.
    pub(crate) fn of(recovered: &RecoveredLog) -> Recovery {
        Recovery {
            next_record: recovered.next_record,
            snapshot_before: recovered.snapshot.is_some().then_some(recovered.first_record),
            records: recovered.records,
            bytes_read: recovered.bytes_read,
            closed_cleanly: recovered.end.as_ref().is_none_or(|end| end.closed_cleanly),
            torn_tail: recovered.torn_tail(),
        }
    }
}

/// A file of the store, and the record number in its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BaseFile {
    /// In a segment the number of its first record, in a snapshot of the first record after it.
    pub base: u64,
    pub name: String,
}

/// The state of a log as a replay found it.
#[derive(Debug)]
pub(crate) struct RecoveredLog {
    /// The number of the first record after the newest snapshot, 1 without a snapshot.
    pub first_record: u64,
    /// The file of the newest snapshot.
    pub snapshot: Option<String>,
    /// The segments that are needed, in order.
    pub segments: Vec<BaseFile>,
    /// The end of the last segment, if there is a segment.
    pub end: Option<SegmentEnd>,
    /// The number of the next record.
    pub next_record: u64,
    /// Records shown to the visitor.
    pub records: u64,
    /// Bytes read.
    pub bytes_read: u64,
    /// Files that are no longer needed, or that were never completed.
    pub obsolete: Vec<String>,
}

/// The end of the last segment.
#[derive(Clone, Debug)]
pub(crate) struct SegmentEnd {
    /// Where its intact part ends.
    pub intact_bytes: u64,
    /// The length of the file.
    pub file_bytes: u64,
    /// The salt of its checksums.
    pub salt: u64,
    /// Whether the store was closed cleanly.
    pub closed_cleanly: bool,
}

impl RecoveredLog {
    fn torn_tail(&self) -> Option<TornTail> {
        let (end, segment) = (self.end.as_ref()?, self.segments.last()?);
        (end.file_bytes > end.intact_bytes).then(|| TornTail {
            file: segment.name.clone(),
            offset: end.intact_bytes,
            bytes: end.file_bytes - end.intact_bytes,
        })
    }
}
