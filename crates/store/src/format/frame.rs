//! Frames and the records in them. Each commit is one frame.

use super::little_endian::{u32_at, u64_at};
use crc32c::{crc32c, crc32c_append};

/// Length of a frame header in bytes.
pub const FRAME_HEADER_BYTES: usize = 36;
/// Length in bytes of the header before each record, which holds the record's length and checksum.
pub const RECORD_HEADER_BYTES: usize = 8;
/// Flag of the frame that is written when the store is closed cleanly.
pub const FLAG_CLOSED_CLEANLY: u32 = 1;

const FRAME_MAGIC: &[u8; 4] = b"FRM1";

/// The header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// Length of the frame's records in bytes, including record headers.
    pub len: u32,
    /// Number of the frame's first record.
    pub first: u64,
    /// All records below this number were durable when the frame was written. So a fault in one of them is
    /// damage and not a commit that a crash interrupted.
    pub durable: u64,
    /// Number of records in the frame.
    pub count: u32,
    /// Flags; see [`FLAG_CLOSED_CLEANLY`].
    pub flags: u32,
}

impl FrameHeader {
    /// Returns the encoded header for a segment with salt `salt`.
    pub fn encode(&self, salt: u64) -> [u8; FRAME_HEADER_BYTES] {
        let mut out = [0; FRAME_HEADER_BYTES];
        out[..4].copy_from_slice(FRAME_MAGIC);
        out[4..8].copy_from_slice(&self.len.to_le_bytes());
        out[8..16].copy_from_slice(&self.first.to_le_bytes());
        out[16..24].copy_from_slice(&self.durable.to_le_bytes());
        out[24..28].copy_from_slice(&self.count.to_le_bytes());
        out[28..32].copy_from_slice(&self.flags.to_le_bytes());
        let checksum = header_checksum(salt, &out[..32]);
        out[32..].copy_from_slice(&checksum.to_le_bytes());
        out
    }

    /// Decodes a frame header, or returns `None` if the bytes do not begin with a frame header of a segment
    /// with salt `salt`.
    pub fn decode(bytes: &[u8], salt: u64) -> Option<FrameHeader> {
        if bytes.len() < FRAME_HEADER_BYTES || &bytes[..4] != FRAME_MAGIC {
            return None;
        }
        if u32_at(bytes, 32) != header_checksum(salt, &bytes[..32]) {
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

fn header_checksum(salt: u64, header: &[u8]) -> u32 {
    crc32c_append(crc32c(&salt.to_le_bytes()), header)
}

fn record_checksum(number: u64, payload: &[u8]) -> u32 {
    let number_sum = crc32c(&number.to_le_bytes());
    let length_sum = crc32c_append(number_sum, &(payload.len() as u32).to_le_bytes());
    crc32c_append(length_sum, payload)
}

/// Appends a record to `out`. The checksum includes the record number, so a record at the wrong position is
/// not accepted.
pub fn encode_record(out: &mut Vec<u8>, number: u64, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&record_checksum(number, payload).to_le_bytes());
    out.extend_from_slice(payload);
}

/// The error of a position in a frame at which there is no intact record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no intact record at byte {offset} of the frame's content")]
pub struct DamagedRecord {
    /// Offset in the frame's content.
    pub offset: usize,
}

/// Iterator over the numbers and payloads of a frame's records. It ends after the first damaged record.
#[derive(Debug)]
pub struct RecordIter<'a> {
    content: &'a [u8],
    position: usize,
    number: u64,
    remaining: u32,
}

impl<'a> RecordIter<'a> {
    /// Returns an iterator over the records in `content`, the bytes that follow the frame header `header`.
    pub fn new(header: &FrameHeader, content: &'a [u8]) -> Self {
        RecordIter { content, position: 0, number: header.first, remaining: header.count }
    }

    /// Returns the payload of the record at the current position, if it is intact.
    fn payload(&self) -> Option<&'a [u8]> {
        let record_header = self.content.get(self.position..self.position + RECORD_HEADER_BYTES)?;
        let following = self.content.get(self.position + RECORD_HEADER_BYTES..)?;
        let payload = following.get(..u32_at(record_header, 0) as usize)?;
        (u32_at(record_header, 4) == record_checksum(self.number, payload)).then_some(payload)
    }

    /// Ends the iteration with an error.
    fn fail(&mut self) -> DamagedRecord {
        let offset = self.position;
        self.remaining = 0;
        self.position = self.content.len();
        DamagedRecord { offset }
    }
}

impl<'a> Iterator for RecordIter<'a> {
    type Item = Result<(u64, &'a [u8]), DamagedRecord>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.remaining == 0 {
            // Excess bytes after the last record are also an error, reported once.
            return (self.position < self.content.len()).then(|| Err(self.fail()));
        }
        let Some(payload) = self.payload() else {
            return Some(Err(self.fail()));
        };
        let number = self.number;
        self.position += RECORD_HEADER_BYTES + payload.len();
        self.number = self.number.wrapping_add(1);
        self.remaining -= 1;
        Some(Ok((number, payload)))
    }
}
