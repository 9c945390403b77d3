//! Reads the bytes of one segment, frame by frame.

use crate::error::StoreError;
use crate::format::{
    DamagedRecord, FILE_HEADER_BYTES, FLAG_CLOSED_CLEANLY, FRAME_HEADER_BYTES, FrameHeader, RecordIter,
};

/// First byte of every frame.
const FRAME_FIRST_BYTE: u8 = b'F';

/// The first position in a segment at which there is no intact frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ScanFault {
    /// Offset in the segment.
    pub offset: u64,
    /// Description of the fault.
    pub description: &'static str,
}

/// A scan over the frames of one segment.
#[derive(Debug)]
pub(crate) struct SegmentScan<'a> {
    bytes: &'a [u8],
    salt: u64,
    position: usize,
    next_record: u64,
    closed_cleanly: bool,
}

impl<'a> SegmentScan<'a> {
    /// Returns a scan over a segment's bytes that begins after the file header, with record `base`.
    pub fn new(bytes: &'a [u8], base: u64, salt: u64) -> SegmentScan<'a> {
        SegmentScan { bytes, salt, position: FILE_HEADER_BYTES, next_record: base, closed_cleanly: false }
    }

    /// Returns the length of the intact part scanned so far, in bytes.
    pub fn intact_bytes(&self) -> u64 {
        self.position as u64
    }

    /// Returns the number of the record after the intact part.
    pub fn next_record(&self) -> u64 {
        self.next_record
    }

    /// Returns whether the intact part ends with the frame of a clean close.
    pub fn closed_cleanly(&self) -> bool {
        self.closed_cleanly
    }

    /// Passes the records of all intact frames to `visit`, and returns the first fault, or `None` if all
    /// frames up to the end are intact.
    ///
    /// # Errors
    /// Stops the scan at the first error of `visit` and returns it.
    pub fn run(
        &mut self,
        mut visit: impl FnMut(u64, &[u8]) -> Result<(), StoreError>,
    ) -> Result<Option<ScanFault>, StoreError> {
        while self.position < self.bytes.len() {
            // Commits are atomic: the records of a frame are visited only if all of them are intact.
            let (header, content) = match self.intact_frame() {
                Ok(frame) => frame,
                Err(fault) => return Ok(Some(fault)),
            };
            for (number, payload) in RecordIter::new(&header, content).flatten() {
                visit(number, payload)?;
            }
            self.closed_cleanly = header.flags & FLAG_CLOSED_CLEANLY != 0;
            self.next_record += u64::from(header.count);
            self.position += FRAME_HEADER_BYTES + content.len();
        }
        Ok(None)
    }

    /// Returns the header of the frame at the current position, and the bytes of its records.
    fn intact_frame(&self) -> Result<(FrameHeader, &'a [u8]), ScanFault> {
        let fault = |offset: usize, description| ScanFault { offset: offset as u64, description };
        let header = FrameHeader::decode(&self.bytes[self.position..], self.salt)
            .ok_or(fault(self.position, "there is no valid frame header"))?;
        if header.first != self.next_record {
            return Err(fault(self.position, "the frame does not follow the previous frame"));
        }
        let start = self.position + FRAME_HEADER_BYTES;
        let content = self.bytes.get(start..start + header.len as usize);
        let content = content.ok_or(fault(self.position, "the frame is truncated"))?;
        match RecordIter::new(&header, content).find_map(Result::err) {
            Some(DamagedRecord { offset }) => Err(fault(start + offset, "the record's checksum is wrong")),
            None => Ok((header, content)),
        }
    }

    /// Returns whether a later frame proves that the data at the current position had been durable.
    pub fn fault_was_durable(&self) -> bool {
        let rest = &self.bytes[self.position..];
        let starts = 0..rest.len().saturating_sub(FRAME_HEADER_BYTES - 1);
        starts
            .filter(|start| rest[*start] == FRAME_FIRST_BYTE)
            .filter_map(|start| FrameHeader::decode(&rest[start..], self.salt))
            .any(|header| header.durable > self.next_record)
    }
}
