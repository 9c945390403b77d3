//! Replays a whole store.
//!
//! # Invariants
//! No durable record is skipped: a gap, a file of another store or a damaged byte in durable data ends the
//! replay with an error that names the file and the offset. Only the remains of a last commit that a crash
//! interrupted are discarded, and they are reported.
//!
//! Damage and a torn commit are distinguished by the frames: a frame is written only once the previous frame
//! is durable, and it records the number up to which records were durable. A fault is damage if a later frame
//! records the faulty position as durable. Otherwise it marks the end of the committed data. A last commit
//! that was acknowledged and then damaged before anything else was written can't be distinguished from a torn
//! commit, except after a clean close, which writes a frame of its own.

use crate::disk::{Disk, read_file};
use crate::error::StoreError;
use crate::format::{ContentDigest, FILE_HEADER_BYTES, FileKind};
use crate::recovery::{BaseFile, RecoveredLog, ReplayItem, SegmentEnd, Visitor};
use crate::segment_scan::SegmentScan;
use crate::store_files::{StoreFiles, checked_header, damaged};

/// Passes the newest snapshot and every record after it to the visitor, in order. Nothing is changed on the
/// disk.
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
    // Older snapshots, and segments that end before the first record, remain if a crash prevented their
    // removal.
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
        // The snapshot covers only records that were durable, so the segments must reach it.
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
        let fault = "the checksum or the length of the snapshot's content does not match the header";
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

/// Checks that no segment is missing before the first existing one.
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
    // Only the last segment can be incomplete: a new segment is started only when all earlier records are
    // durable.
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
