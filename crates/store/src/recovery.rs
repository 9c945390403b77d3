//! The results of reading a store: items for the visitor, and a report for the owner.

use crate::error::ReplayRejection;

/// An item that a replay passes to its visitor. Items come in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayItem<'a> {
    /// The content of the newest snapshot, which replaces all records before the given number.
    Snapshot(u64, &'a [u8]),
    /// A record's number and its payload.
    Record(u64, &'a [u8]),
}

/// The visitor of a replay.
pub(crate) type Visitor<'a> = dyn FnMut(ReplayItem<'_>) -> Result<(), ReplayRejection> + 'a;

/// The remains of an incomplete commit that a crash left at the end of the log. Opening the log discards
/// them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// Name of the segment file.
    pub file: String,
    /// Offset at which the incomplete commit begins.
    pub offset: u64,
    /// Length of the remains, in bytes.
    pub bytes: u64,
}

/// The report on a store that was opened or read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Number that the next record will get.
    pub next_record: u64,
    /// Number of the first record after the newest snapshot, or `None` without a snapshot.
    pub snapshot_before: Option<u64>,
    /// Number of records after the newest snapshot.
    pub records: u64,
    /// Number of bytes read.
    pub bytes_read: u64,
    /// Whether the store was closed cleanly.
    pub closed_cleanly: bool,
    /// The remains of a commit that a crash interrupted, if there are any.
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

/// A segment or snapshot file, and the record number in its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BaseFile {
    /// Number of the first record in a segment, or of the first record after a snapshot.
    pub base: u64,
    pub name: String,
}

/// The state of a log as read by a replay.
#[derive(Debug)]
pub(crate) struct RecoveredLog {
    /// Number of the first record after the newest snapshot, or 1 without a snapshot.
    pub first_record: u64,
    /// File name of the newest snapshot, if there is one.
    pub snapshot: Option<String>,
    /// The segments that are still needed, in order.
    pub segments: Vec<BaseFile>,
    /// The end of the last segment, if there is a segment.
    pub end: Option<SegmentEnd>,
    /// Number that the next record will get.
    pub next_record: u64,
    /// Number of records passed to the visitor.
    pub records: u64,
    /// Number of bytes read.
    pub bytes_read: u64,
    /// Files that are no longer needed or were never completed.
    pub obsolete: Vec<String>,
}

/// The end of the last segment.
#[derive(Clone, Debug)]
pub(crate) struct SegmentEnd {
    /// Length of the intact part of the segment, in bytes.
    pub intact_bytes: u64,
    /// Length of the file, in bytes.
    pub file_bytes: u64,
    /// Salt of the segment's checksums.
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
