//! The bytes of a store's files, without I/O; `docs/formats/store.md` is their page. Whatever the bytes are, reading
//! them must never panic, and never take one segment's bytes for another's.

use crc32c::{crc32c, crc32c_append};

/// The newest version of the format, and the one that is written.
pub const FORMAT_VERSION: u32 = 1;
/// The length of a segment's header.
pub const FILE_HEADER_BYTES: usize = 128;
/// The length of a frame's header.
pub const FRAME_HEADER_BYTES: usize = 36;
/// What stands before each record.
pub const RECORD_HEADER_BYTES: usize = 8;
/// The longest name of an owner, in bytes.
pub const MAX_OWNER_BYTES: usize = 79;
/// The flag of a frame that was written as the store was closed in good order.
pub const FLAG_CLOSED_CLEANLY: u32 = 1;

const SEGMENT_MAGIC: &[u8; 8] = b"DLSPSEG\n";
const SNAPSHOT_MAGIC: &[u8; 8] = b"DLSPSNP\n";
const FRAME_MAGIC: &[u8; 4] = b"FRM1";

/// What kind of file a header begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// A segment of the log.
    Segment,
    /// A snapshot.
    Snapshot,
}

/// A file's header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileHeader {
    /// What the file is.
    pub kind: FileKind,
    /// The version of the format.
    pub version: u32,
    /// In a segment, the number of its first record; in a snapshot, of the first record after it.
    pub base: u64,
    /// When the file was made, Unix ms: for people; nothing is decided by it.
    pub created_ms: u64,
    /// Whose store it is.
    pub owner: String,
    /// Goes into the checksum of each frame: payloads come from outside, and none can be made to look like a frame.
    pub salt: u64,
    /// In a snapshot, the length of what follows and its checksum.
    pub content: (u64, u32),
}

/// Why a header can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// It is not one, or is damaged.
    Damaged(&'static str),
    /// It is of a version not known here.
    Version(u32),
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
}

impl FileHeader {
    /// The header's bytes. An owner's name over the limit is cut, which [`crate::Log::open`] never lets happen.
    pub fn encode(&self) -> [u8; FILE_HEADER_BYTES] {
        let mut out = [0; FILE_HEADER_BYTES];
        out[..8].copy_from_slice(match self.kind {
            FileKind::Segment => SEGMENT_MAGIC,
            FileKind::Snapshot => SNAPSHOT_MAGIC,
        });
        out[8..12].copy_from_slice(&self.version.to_le_bytes());
        out[12..16].copy_from_slice(&(FILE_HEADER_BYTES as u32).to_le_bytes());
        out[16..24].copy_from_slice(&self.base.to_le_bytes());
        out[24..32].copy_from_slice(&self.created_ms.to_le_bytes());
        let owner = &self.owner.as_bytes()[..self.owner.len().min(MAX_OWNER_BYTES)];
        out[32] = owner.len() as u8;
        out[33..33 + owner.len()].copy_from_slice(owner);
        let at = match self.kind {
            FileKind::Segment => self.salt,
            FileKind::Snapshot => self.content.0,
        };
        out[112..120].copy_from_slice(&at.to_le_bytes());
        out[120..124].copy_from_slice(&self.content.1.to_le_bytes());
        let sum = crc32c(&out[..124]);
        out[124..].copy_from_slice(&sum.to_le_bytes());
        out
    }

    /// Reads a header.
    ///
    /// # Errors
    /// If the bytes are no header of a known version.
    pub fn decode(bytes: &[u8]) -> Result<FileHeader, HeaderError> {
        if bytes.len() < FILE_HEADER_BYTES {
            return Err(HeaderError::Damaged("the header is cut short"));
        }
        let kind = match &bytes[..8] {
            m if m == SEGMENT_MAGIC => FileKind::Segment,
            m if m == SNAPSHOT_MAGIC => FileKind::Snapshot,
            _ => return Err(HeaderError::Damaged("this is no file of a store")),
        };
        // The version stands outside the checksum's reach on purpose: another version may sum otherwise.
        let version = u32_at(bytes, 8);
        if version > FORMAT_VERSION {
            return Err(HeaderError::Version(version));
        }
        if u32_at(bytes, 124) != crc32c(&bytes[..124]) || u32_at(bytes, 12) as usize != FILE_HEADER_BYTES {
            return Err(HeaderError::Damaged("the header's checksum is wrong"));
        }
        let owner = bytes.get(33..33 + (bytes[32] as usize).min(MAX_OWNER_BYTES)).unwrap_or_default();
        let owner = std::str::from_utf8(owner).map_err(|_| HeaderError::Damaged("the owner is no text"))?;
        let (word, sum) = (u64_at(bytes, 112), u32_at(bytes, 120));
        Ok(FileHeader {
            kind,
            version,
            base: u64_at(bytes, 16),
            created_ms: u64_at(bytes, 24),
            owner: owner.to_owned(),
            salt: if kind == FileKind::Segment { word } else { 0 },
            content: if kind == FileKind::Snapshot { (word, sum) } else { (0, 0) },
        })
    }
}

/// A frame's header: what was committed in one piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// The bytes of its records.
    pub len: u32,
    /// The number of its first record.
    pub first: u64,
    /// All records below this number were durable when the frame was written. So damage to one of them is never the
    /// mark of a commit that a crash cut short.
    pub durable: u64,
    /// Its records.
    pub count: u32,
    /// See [`FLAG_CLOSED_CLEANLY`].
    pub flags: u32,
}

impl FrameHeader {
    /// The header's bytes, in a segment with that salt.
    pub fn encode(&self, salt: u64) -> [u8; FRAME_HEADER_BYTES] {
        let mut out = [0; FRAME_HEADER_BYTES];
        out[..4].copy_from_slice(FRAME_MAGIC);
        out[4..8].copy_from_slice(&self.len.to_le_bytes());
        out[8..16].copy_from_slice(&self.first.to_le_bytes());
        out[16..24].copy_from_slice(&self.durable.to_le_bytes());
        out[24..28].copy_from_slice(&self.count.to_le_bytes());
        out[28..32].copy_from_slice(&self.flags.to_le_bytes());
        let sum = crc32c_append(crc32c(&salt.to_le_bytes()), &out[..32]);
        out[32..].copy_from_slice(&sum.to_le_bytes());
        out
    }

    /// Reads a frame's header, if these bytes begin with one of a segment with that salt.
    pub fn decode(bytes: &[u8], salt: u64) -> Option<FrameHeader> {
        if bytes.len() < FRAME_HEADER_BYTES || &bytes[..4] != FRAME_MAGIC {
            return None;
        }
        if u32_at(bytes, 32) != crc32c_append(crc32c(&salt.to_le_bytes()), &bytes[..32]) {
            return None;
        }
        Some(FrameHeader {
            len: u32_at(bytes, 4),
            first: u64_at(bytes, 8),
            durable: u64_at(bytes, 16),
            count: u32_at(bytes, 24),
            flags: u32_at(bytes, 28),
        })
    }
}

fn record_sum(number: u64, payload: &[u8]) -> u32 {
    let sum = crc32c(&number.to_le_bytes());
    crc32c_append(crc32c_append(sum, &(payload.len() as u32).to_le_bytes()), payload)
}

/// Appends a record. Its number goes into the checksum: a record read at another place is no record.
pub fn encode_record(out: &mut Vec<u8>, number: u64, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&record_sum(number, payload).to_le_bytes());
    out.extend_from_slice(payload);
}

/// The records of a frame, from its bytes. Yields the place of the fault if one is no record, and ends.
#[derive(Debug)]
pub struct RecordIter<'a> {
    bytes: &'a [u8],
    at: usize,
    number: u64,
    left: u32,
}

impl<'a> RecordIter<'a> {
    /// The records of `frame` in `bytes`, which follow its header.
    pub fn new(frame: &FrameHeader, bytes: &'a [u8]) -> Self {
        RecordIter { bytes, at: 0, number: frame.first, left: frame.count }
    }
}

impl<'a> Iterator for RecordIter<'a> {
    type Item = Result<(u64, &'a [u8]), usize>;

    fn next(&mut self) -> Option<Self::Item> {
        let (at, bytes) = (self.at, self.bytes);
        if self.left == 0 {
            // Bytes that belong to no record are a fault as well, once.
            self.at = bytes.len();
            return (at < bytes.len()).then_some(Err(at));
        }
        let payload = bytes.get(at..at + RECORD_HEADER_BYTES).and_then(|head| {
            let payload = bytes.get(at + RECORD_HEADER_BYTES..)?.get(..u32_at(head, 0) as usize)?;
            (u32_at(head, 4) == record_sum(self.number, payload)).then_some(payload)
        });
        let Some(payload) = payload else {
            (self.left, self.at) = (0, bytes.len());
            return Some(Err(at));
        };
        let number = self.number;
        self.at += RECORD_HEADER_BYTES + payload.len();
        self.number = self.number.wrapping_add(1);
        self.left -= 1;
        Some(Ok((number, payload)))
    }
}

/// The name of the segment that begins with that record.
pub fn segment_name(base: u64) -> String {
    format!("seg-{base:016x}.log")
}

/// The name of the snapshot of all before that record.
pub fn snapshot_name(base: u64) -> String {
    format!("snap-{base:016x}.snp")
}

/// What a file's name says it is; none for one that is not a store's.
pub fn parse_file_name(name: &str) -> Option<(FileKind, u64)> {
    let hex = |prefix: &str, suffix: &str| {
        let digits = name.strip_prefix(prefix)?.strip_suffix(suffix)?;
        (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok())?
    };
    let segment = hex("seg-", ".log").map(|base| (FileKind::Segment, base));
    segment.or_else(|| hex("snap-", ".snp").map(|base| (FileKind::Snapshot, base)))
}
