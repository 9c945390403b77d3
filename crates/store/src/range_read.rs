//! Reads a range of durable records from a store that may be open and written to at the same time.

use crate::disk::{Disk, read_file};
use crate::error::{ReplayRejection, StoreError};
use crate::format::FileKind;
use crate::recovery::BaseFile;
use crate::segment_scan::SegmentScan;
use crate::store_files::{StoreFiles, checked_header, damaged};
use std::ops::Range;

/// The visitor of records, called with each record's number and payload.
pub(crate) type RecordVisitor<'a> = dyn FnMut(u64, &[u8]) -> Result<(), ReplayRejection> + 'a;

/// Passes the records with numbers in `range` to the visitor. They must be durable and not yet replaced by a
/// snapshot.
///
/// # Errors
/// See [`crate::Log::read_range`].
pub(crate) fn read_range(
    disk: &dyn Disk,
    owner: &str,
    range: Range<u64>,
    visit: &mut RecordVisitor<'_>,
) -> Result<(), StoreError> {
    let mut segments = StoreFiles::list(disk)?.segments;
    segments.retain(|segment| segment.base < range.end);
    let first = segments.partition_point(|segment| segment.base <= range.start).saturating_sub(1);
    // If the first segment begins after the first requested record, the loop reports a gap immediately.
    let mut next_record = segments.get(first).map_or(range.start, |s| s.base.min(range.start));
    let mut last_file = disk.name();
    for segment in segments.drain(first..) {
        if segment.base != next_record {
            return Err(StoreError::Gap { file: segment.name, expected: next_record, found: segment.base });
        }
        next_record = read_segment(disk, owner, &segment, &range, visit)?;
        last_file = segment.name;
    }
    if next_record < range.end || range.start < range.end && next_record <= range.start {
        return Err(StoreError::Gap { file: last_file, expected: next_record, found: range.end });
    }
    Ok(())
}

/// Passes a segment's records in `range` to the visitor, and returns the number of the record after the
/// segment.
fn read_segment(
    disk: &dyn Disk,
    owner: &str,
    segment: &BaseFile,
    range: &Range<u64>,
    visit: &mut RecordVisitor<'_>,
) -> Result<u64, StoreError> {
    let BaseFile { base, name } = segment;
    let bytes = read_file(disk, name)?;
    let header = checked_header(&bytes, name, FileKind::Segment, *base, owner)?;
    let mut scan = SegmentScan::new(&bytes, *base, header.salt);
    let fault = scan.run(|number, payload| {
        if !range.contains(&number) {
            return Ok(());
        }
        visit(number, payload).map_err(|reason| StoreError::Rejected { file: name.clone(), number, reason })
    })?;
    // A fault after the requested range may be a frame that is currently being written.
    if let Some(fault) = fault.filter(|_| scan.next_record() < range.end) {
        return Err(damaged(name, fault.offset, fault.description));
    }
    Ok(scan.next_record())
}
