//! Reading a whole store back.
//!
//! # Invariants
//! No record that had been durable is passed over: a gap, a foreign file or a damaged byte in what was durable ends
//! the replay with an error that names the file and the offset. Only what a crash may have left of the last commit is
//! cut, and that is reported.
//!
//! The two are told apart by what frames state: a frame is written only once the one before it is durable, and states
//! so. A fault with a later frame behind it that knew the faulty place as durable is damage; one without is the end of
//! what was committed. A last commit that was acknowledged and then damaged before anything else was written can't be
//! told from a torn one, except after a clean close, which leaves a frame of its own.

use crate::disk::{Disk, read_file};
use crate::error::StoreError;
use crate::format::{ContentDigest, FILE_HEADER_BYTES, FileKind};
use crate::recovery::{BaseFile, RecoveredLog, ReplayItem, SegmentEnd, Visitor};
use crate::segment_scan::SegmentScan;
use crate::store_files::{StoreFiles, checked_header, damaged};

/// Shows the visitor the newest snapshot and every record after it, in order. Nothing is changed on the disk.
///
/// # Errors
/// See [`crate::Log::open`].
pub(crate) fn replay(
    disk: &dyn Disk,
    owner: &str,
    visit: &mut Visitor<'_>,
) -> Result<RecoveredLog, StoreError> {
    let StoreFiles { mut segments, mut snapshots, temporary } = StoreFiles::list(disk)?;
    let mut recovered = RecoveredLog {
        first_record: 1,
        snapshot: None,
        segments: Vec::new(),
        end: None,
        next_record: 1,
        records: 0,
        bytes_read: 0,
        obsolete: temporary,
    };
    if let Some(newest) = snapshots.pop() {
        replay_snapshot(disk, owner, newest, &mut recovered, visit)?;
    }
    // Older snapshots and segments that end before the first record were about to be removed.
    let needed_from = segments.partition_point(|s| s.base <= recovered.first_record).saturating_sub(1);
    let obsolete = snapshots.into_iter().chain(segments.drain(..needed_from));
    recovered.obsolete.extend(obsolete.map(|file| file.name));
    check_first_segment(segments.first(), &recovered)?;
    if let Some(first) = segments.first() {
        recovered.next_record = first.base;
    }
    let count = segments.len();
    for (index, segment) in segments.iter().enumerate() {
        replay_segment(disk, owner, segment, index + 1 == count, &mut recovered, visit)?;
    }
    if recovered.next_record < recovered.first_record {
        // The snapshot was taken of records that were durable.
        return Err(StoreError::Gap {
            file: segments.pop().map_or_else(String::new, |last| last.name),
            expected: recovered.next_record,
            found: recovered.first_record,
        });
    }
    recovered.segments = segments;
    Ok(recovered)
}

fn replay_snapshot(
    disk: &dyn Disk,
    owner: &str,
    snapshot: BaseFile,
    recovered: &mut RecoveredLog,
    visit: &mut Visitor<'_>,
) -> Result<(), StoreError> {
    let BaseFile { base, name } = snapshot;
    let bytes = read_file(disk, &name)?;
    let header = checked_header(&bytes, &name, FileKind::Snapshot, base, owner)?;
    let content = &bytes[FILE_HEADER_BYTES..];
    if ContentDigest::of(content) != header.content {
        let fault = "the snapshot's content is not what was written";
        return Err(damaged(&name, FILE_HEADER_BYTES as u64, fault));
    }
    visit(ReplayItem::Snapshot(base, content)).map_err(|reason| StoreError::Rejected {
        file: name.clone(),
        number: base,
        reason,
    })?;
    recovered.first_record = base;
    recovered.next_record = base;
    recovered.bytes_read = bytes.len() as u64;
    recovered.snapshot = Some(name);
    Ok(())
}

/// Checks that no segment is missing before the first one that is there.
fn check_first_segment(first: Option<&BaseFile>, recovered: &RecoveredLog) -> Result<(), StoreError> {
    match (first, &recovered.snapshot) {
        (None, Some(snapshot)) => {
            Err(damaged(snapshot, 0, "the segment that follows this snapshot is missing"))
        }
        (Some(first), _) if first.base > recovered.first_record => Err(StoreError::Gap {
            file: first.name.clone(),
            expected: recovered.first_record,
            found: first.base,
        }),
        _ => Ok(()),
    }
}

fn replay_segment(
    disk: &dyn Disk,
    owner: &str,
    segment: &BaseFile,
    is_last: bool,
    recovered: &mut RecoveredLog,
    visit: &mut Visitor<'_>,
) -> Result<(), StoreError> {
    let BaseFile { base, name } = segment;
    if *base != recovered.next_record {
        return Err(StoreError::Gap { file: name.clone(), expected: recovered.next_record, found: *base });
    }
    let bytes = read_file(disk, name)?;
    let header = checked_header(&bytes, name, FileKind::Segment, *base, owner)?;
    let mut scan = SegmentScan::new(&bytes, *base, header.salt);
    let fault = scan.run(|number, payload| {
        if number < recovered.first_record {
            return Ok(());
        }
        recovered.records += 1;
        visit(ReplayItem::Record(number, payload)).map_err(|reason| StoreError::Rejected {
            file: name.clone(),
            number,
            reason,
        })
    })?;
    // Only the end of the last segment may have been cut short: the next one is begun when all before is durable.
    if let Some(fault) = fault.filter(|_| !is_last || scan.fault_was_durable()) {
        return Err(damaged(name, fault.offset, fault.description));
    }
    let (intact_bytes, file_bytes) = (scan.intact_bytes(), bytes.len() as u64);
    recovered.next_record = scan.next_record();
    recovered.bytes_read += file_bytes;
    recovered.end = Some(SegmentEnd {
        intact_bytes,
        file_bytes,
        salt: header.salt,
        closed_cleanly: scan.closed_cleanly() && intact_bytes == file_bytes,
    });
    Ok(())
}
