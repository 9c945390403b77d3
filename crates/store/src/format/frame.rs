//! Frames and the records in them. A frame is one commit.

use super::little_endian::{u32_at, u64_at};
use crc32c::{crc32c, crc32c_append};

/// The length of a frame's header.
pub const FRAME_HEADER_BYTES: usize = 36;
/// The length of what stands before each record: its length and its checksum.
pub const RECORD_HEADER_BYTES: usize = 8;
/// The flag of a frame that was written when the store was closed cleanly.
pub const FLAG_CLOSED_CLEANLY: u32 = 1;

const FRAME_MAGIC: &[u8; 4] = b"FRM1";

/// A frame's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// The length of its records in bytes, their headers included.
    pub len: u32,
    /// The number of its first record.
    pub first: u64,
    /// All records below this number were durable when the frame was written. So damage to one of them is not the
    /// mark of a commit that a crash cut short.
    pub durable: u64,
    /// How many records it has.
    pub count: u32,
    /// See [`FLAG_CLOSED_CLEANLY`].
    pub flags: u32,
}

impl FrameHeader {
    /// Returns the header's bytes, in a segment with that salt.
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

    /// Decodes a frame's header, or returns `None` if the bytes do not begin with one of a segment with that salt.
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

/// Appends a record to `out`. Its number goes into the checksum: a record read at another place is none.
pub fn encode_record(out: &mut Vec<u8>, number: u64, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&record_checksum(number, payload).to_le_bytes());
    out.extend_from_slice(payload);
}

/// What was found in a frame where a record should be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no intact record at byte {offset} of the frame's content")]
pub struct DamagedRecord {
    /// The place in the frame's content.
    pub offset: usize,
}

/// Iterates over the records of a frame and their numbers; ends after the first that is damaged.
#[derive(Debug)]
pub struct RecordIter<'a> {
    content: &'a [u8],
    position: usize,
    number: u64,
    remaining: u32,
}

impl<'a> RecordIter<'a> {
    /// Returns an iterator over the records of a frame, whose header `content` follows.
    pub fn new(header: &FrameHeader, content: &'a [u8]) -> Self {
        RecordIter { content, position: 0, number: header.first, remaining: header.count }
    }

    /// Returns the payload of the record at the present position, if it is intact.
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
            // Bytes that belong to no record are an error as well, once.
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
