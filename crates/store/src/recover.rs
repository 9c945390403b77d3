//! Reading a store back. It must never pass over a record that had been durable: a hole, a foreign file or a damaged
//! byte in what was durable ends it with the file and the offset. Only what the last commit before a crash may have
//! left in pieces is cut, and that is reported.
//!
//! How the two are told apart: a frame is written only once the one before it is durable, and says so. So a fault with
//! a later frame behind it that knew the faulty place as durable is damage; one without is the end of what was
//! committed. A last commit that was acknowledged and then damaged before anything else was written can't be told from
//! a torn one, except after a close in good order, which leaves a frame of its own.

use crate::disk::{Disk, read_up_to};
use crate::error::{ReplayRejection, StoreError};
use crate::frame::{
    self, FILE_HEADER_BYTES, FRAME_HEADER_BYTES, FileHeader, FileKind, FrameHeader, HeaderError, RecordIter,
};
use crate::log::ReplayItem;

/// What was cut off the end of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The file.
    pub file: String,
    /// Where the cut was made.
    pub offset: u64,
    /// How many bytes went.
    pub bytes: u64,
}

/// What a walk over a store found.
#[derive(Debug)]
pub(crate) struct RecoveredLog {
    /// The number of the first record after the newest snapshot, 1 without one.
    pub floor: u64,
    /// That snapshot's file.
    pub snapshot: Option<String>,
    /// Segments that are needed, by their first record.
    pub segments: Vec<(u64, String)>,
    /// The last of them: where its good part ends, and its salt.
    pub last: Option<SegmentEnd>,
    /// The number of the next record.
    pub next: u64,
    /// Records visited.
    pub records: u64,
    /// Bytes read.
    pub bytes: u64,
    /// Files that are no longer needed, or never came to be.
    pub leftover: Vec<String>,
}

/// The end of the last segment.
#[derive(Clone, Debug)]
pub(crate) struct SegmentEnd {
    pub end: u64,
    pub size: u64,
    pub salt: u64,
    /// The store was closed in good order.
    pub closed: bool,
}

impl RecoveredLog {
    /// What a crash left behind the good part.
    pub fn torn_tail(&self) -> Option<TornTail> {
        let (last, (_, file)) = (self.last.as_ref()?, self.segments.last()?);
        (last.size > last.end).then(|| TornTail {
            file: file.clone(),
            offset: last.end,
            bytes: last.size - last.end,
        })
    }
}

/// The visitor of a walk.
pub(crate) type Visitor<'a> = dyn FnMut(ReplayItem<'_>) -> Result<(), ReplayRejection> + 'a;

fn whole(disk: &dyn Disk, name: &str) -> Result<Vec<u8>, StoreError> {
    let file = disk.open(name).map_err(StoreError::io("opening", name))?;
    let size = file.size().map_err(StoreError::io("reading", name))?;
    let mut bytes = vec![0; usize::try_from(size).unwrap_or(usize::MAX)];
    let got = read_up_to(&*file, 0, &mut bytes).map_err(StoreError::io("reading", name))?;
    bytes.truncate(got);
    Ok(bytes)
}

fn damaged(file: &str, offset: u64, fault: impl Into<String>) -> StoreError {
    StoreError::Damaged { file: file.to_owned(), offset, fault: fault.into() }
}

fn header(
    bytes: &[u8],
    name: &str,
    kind: FileKind,
    base: u64,
    owner: &str,
) -> Result<FileHeader, StoreError> {
    let header = FileHeader::decode(bytes).map_err(|e| match e {
        HeaderError::Damaged(what) => damaged(name, 0, what),
        HeaderError::Version(found) => {
            StoreError::Version { file: name.to_owned(), found, newest: frame::FORMAT_VERSION }
        }
    })?;
    if header.owner != owner {
        let (found, expected) = (header.owner, owner.to_owned());
        return Err(StoreError::Owner { file: name.to_owned(), found, expected });
    }
    if header.kind != kind || header.base != base {
        return Err(damaged(name, 16, "the file's name is not that of its content"));
    }
    Ok(header)
}

/// Walks over the whole store and changes nothing. The visitor is given the newest snapshot and every record after it,
/// in order.
pub(crate) fn replay(
    disk: &dyn Disk,
    owner: &str,
    visit: &mut Visitor<'_>,
) -> Result<RecoveredLog, StoreError> {
    let names = disk.list().map_err(StoreError::io("listing", &disk.name()))?;
    let (mut segments, mut snapshots, mut leftover) = (Vec::new(), Vec::new(), Vec::new());
    for name in names {
        match frame::parse_file_name(&name) {
            Some((FileKind::Segment, base)) => segments.push((base, name)),
            Some((FileKind::Snapshot, base)) => snapshots.push((base, name)),
            // Made before a crash and never given its name; nothing was claimed of it.
            None if name.ends_with(".tmp") => leftover.push(name),
            // Whatever else lies there is not the store's.
            None => {}
        }
    }
    segments.sort_unstable();
    snapshots.sort_unstable();
    let mut found = RecoveredLog {
        floor: 1,
        snapshot: None,
        segments: Vec::new(),
        last: None,
        next: 1,
        records: 0,
        bytes: 0,
        leftover,
    };
    if let Some((base, name)) = snapshots.pop() {
        let bytes = whole(disk, &name)?;
        let header = header(&bytes, &name, FileKind::Snapshot, base, owner)?;
        let content = &bytes[FILE_HEADER_BYTES..];
        if (content.len() as u64, crc32c::crc32c(content)) != header.content {
            return Err(damaged(
                &name,
                FILE_HEADER_BYTES as u64,
                "the snapshot's content is not what was written",
            ));
        }
        let rejected = |reason| StoreError::Rejected { file: name.clone(), number: base, reason };
        visit(ReplayItem::Snapshot(base, content)).map_err(rejected)?;
        (found.floor, found.next, found.bytes) = (base, base, bytes.len() as u64);
        found.snapshot = Some(name);
    }
    // Older snapshots and segments that only reach to the floor were about to be removed.
    found.leftover.extend(snapshots.into_iter().map(|(_, name)| name));
    let needed = segments.partition_point(|(base, _)| *base <= found.floor).saturating_sub(1);
    found.leftover.extend(segments.drain(..needed).map(|(_, name)| name));
    match (segments.first(), &found.snapshot) {
        (None, Some(name)) => {
            return Err(damaged(name, 0, "the segment that follows this snapshot is missing"));
        }
        (Some((base, name)), _) if *base > found.floor => {
            return Err(StoreError::Gap { file: name.clone(), expected: found.floor, found: *base });
        }
        (Some((base, _)), _) => found.next = *base,
        (None, None) => {}
    }
    let count = segments.len();
    for (at, (base, name)) in segments.iter().enumerate() {
        if *base != found.next {
            return Err(StoreError::Gap { file: name.clone(), expected: found.next, found: *base });
        }
        let bytes = whole(disk, name)?;
        let header = header(&bytes, name, FileKind::Segment, *base, owner)?;
        let mut scan = Scan { at: FILE_HEADER_BYTES, next: *base, closed: false, salt: header.salt };
        let fault = scan.run(&bytes, name, found.floor, &mut found.records, visit)?;
        // Only the end of the last segment may have been cut short: the next one is begun when all before is durable.
        if let Some((offset, what)) = fault {
            if at + 1 < count || scan.known_durable(&bytes) {
                return Err(damaged(name, offset as u64, what));
            }
        }
        found.next = scan.next;
        found.bytes += bytes.len() as u64;
        let (end, size) = (scan.at as u64, bytes.len() as u64);
        found.last = Some(SegmentEnd { end, size, salt: header.salt, closed: scan.closed && end == size });
    }
    if found.next < found.floor {
        // The snapshot was taken of records that were durable.
        let name = segments.last().map_or_else(String::new, |(_, name)| name.clone());
        return Err(StoreError::Gap { file: name, expected: found.next, found: found.floor });
    }
    found.segments = segments;
    Ok(found)
}

/// Shows the visitor the records from one number up to another, which have to be durable and still there. The store may
/// be open and written to meanwhile.
pub(crate) fn range(
    disk: &dyn Disk,
    owner: &str,
    records: std::ops::Range<u64>,
    visit: &mut Visitor<'_>,
) -> Result<(), StoreError> {
    let names = disk.list().map_err(StoreError::io("listing", &disk.name()))?;
    let named = names.into_iter().filter_map(|name| match frame::parse_file_name(&name) {
        Some((FileKind::Segment, base)) if base < records.end => Some((base, name)),
        _ => None,
    });
    let mut segments: Vec<(u64, String)> = named.collect();
    segments.sort_unstable();
    let first = segments.partition_point(|(base, _)| *base <= records.start).saturating_sub(1);
    // One that begins after the first record asked for shows as a gap at once.
    let mut next = segments.get(first).map_or(records.start, |(base, _)| (*base).min(records.start));
    let mut file = disk.name();
    for (base, name) in segments.drain(first..) {
        if base != next {
            return Err(StoreError::Gap { file: name, expected: next, found: base });
        }
        let bytes = whole(disk, &name)?;
        let header = header(&bytes, &name, FileKind::Segment, base, owner)?;
        let mut scan = Scan { at: FILE_HEADER_BYTES, next: base, closed: false, salt: header.salt };
        let mut within = |visited: ReplayItem<'_>| match visited {
            ReplayItem::Record(number, _) if !records.contains(&number) => Ok(()),
            visited => visit(visited),
        };
        let fault = scan.run(&bytes, &name, records.start, &mut 0, &mut within)?;
        if let Some((offset, what)) = fault.filter(|_| scan.next < records.end) {
            // A frame that is being written just now lies behind what was asked for.
            return Err(damaged(&name, offset as u64, what));
        }
        (next, file) = (scan.next, name);
    }
    if next < records.end || records.start < records.end && next <= records.start {
        return Err(StoreError::Gap { file, expected: next, found: records.end });
    }
    Ok(())
}

/// The walk over one segment's bytes.
struct Scan {
    /// The end of the good part.
    at: usize,
    next: u64,
    closed: bool,
    salt: u64,
}

impl Scan {
    /// Reads frames until the end or the first fault, whose place and nature it gives.
    fn run(
        &mut self,
        bytes: &[u8],
        name: &str,
        floor: u64,
        records: &mut u64,
        visit: &mut Visitor<'_>,
    ) -> Result<Option<(usize, &'static str)>, StoreError> {
        while self.at < bytes.len() {
            let Some(frame) = FrameHeader::decode(&bytes[self.at..], self.salt) else {
                return Ok(Some((self.at, "there is no frame here")));
            };
            if frame.first != self.next {
                return Ok(Some((self.at, "this frame does not follow the one before it")));
            }
            let from = self.at + FRAME_HEADER_BYTES;
            let Some(content) = bytes.get(from..from + frame.len as usize) else {
                return Ok(Some((self.at, "this frame is cut short")));
            };
            // All or none: a frame is visited only once each of its records is known to be whole.
            if let Some(at) = RecordIter::new(&frame, content).find_map(Result::err) {
                return Ok(Some((from + at, "this record's checksum is wrong")));
            }
            for (number, payload) in RecordIter::new(&frame, content).flatten().filter(|(n, _)| *n >= floor) {
                let rejected = |reason| StoreError::Rejected { file: name.to_owned(), number, reason };
                visit(ReplayItem::Record(number, payload)).map_err(rejected)?;
                *records += 1;
            }
            self.closed = frame.flags & frame::FLAG_CLOSED_CLEANLY != 0;
            self.next += u64::from(frame.count);
            self.at = from + content.len();
        }
        Ok(None)
    }

    /// Whether anything behind the good part shows that more than that had been durable.
    fn known_durable(&self, bytes: &[u8]) -> bool {
        let rest = &bytes[self.at..];
        let starts = (0..rest.len().saturating_sub(FRAME_HEADER_BYTES - 1)).filter(|at| rest[*at] == b'F');
        starts
            .filter_map(|at| FrameHeader::decode(&rest[at..], self.salt))
            .any(|frame| frame.durable > self.next)
    }
}
