//! Frames: a length of four bytes, the most significant first, and as many bytes.

use super::error::HandoverSocketError;
use std::os::fd::OwnedFd;

/// The most bytes of a frame, without its length.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Bytes of the length in front of a frame.
pub(super) const HEADER_BYTES: usize = 4;

/// A frame to write.
#[derive(Debug)]
pub struct OutgoingFrame {
    /// What the frame holds.
    pub bytes: Vec<u8>,
    /// A descriptor that travels beside the frame.
    pub descriptor: Option<OwnedFd>,
}

/// A frame that was read.
#[derive(Debug)]
pub struct ReceivedFrame {
    /// What the frame held.
    pub bytes: Vec<u8>,
    /// The descriptor that came beside the frame.
    pub descriptor: Option<OwnedFd>,
}

/// Returns the header of a frame of `length` bytes.
pub(super) fn encode_header(length: usize) -> Result<[u8; HEADER_BYTES], HandoverSocketError> {
    match u32::try_from(length) {
        Ok(encoded) if length <= MAX_FRAME_BYTES => Ok(encoded.to_be_bytes()),
        _ => Err(too_long(length)),
    }
}

/// Puts frames together from the bytes that come.
///
/// # Invariants
/// - It holds no more than one frame, and no memory for bytes that have not come.
#[derive(Debug, Default)]
pub(super) struct FrameAssembler {
    header: Vec<u8>,
    bytes: Vec<u8>,
    descriptor: Option<OwnedFd>,
}

impl FrameAssembler {
    /// Returns whether no frame is begun.
    pub(super) fn is_empty(&self) -> bool {
        self.header.is_empty()
    }

    /// Returns how many bytes are missing to the end of the header or, behind it, to the end of the frame.
    pub(super) fn missing_bytes(&self) -> usize {
        match self.frame_length() {
            Some(length) => length - self.bytes.len(),
            None => HEADER_BYTES - self.header.len(),
        }
    }

    /// Takes at most [`missing_bytes`](Self::missing_bytes) bytes and the descriptor that came with them, and returns
    /// the frame once it is whole. The first descriptor of a frame counts.
    ///
    /// # Errors
    /// If the frame's length is past the limit.
    pub(super) fn feed(
        &mut self,
        bytes: &[u8],
        descriptor: Option<OwnedFd>,
    ) -> Result<Option<ReceivedFrame>, HandoverSocketError> {
        self.descriptor = self.descriptor.take().or(descriptor);
        if self.header.len() < HEADER_BYTES {
            self.header.extend_from_slice(bytes);
        } else {
            self.bytes.extend_from_slice(bytes);
        }
        match self.frame_length() {
            Some(length) if length > MAX_FRAME_BYTES => Err(too_long(length)),
            Some(length) if length == self.bytes.len() => Ok(Some(self.finish())),
            _ => Ok(None),
        }
    }

    fn finish(&mut self) -> ReceivedFrame {
        self.header.clear();
        ReceivedFrame { bytes: std::mem::take(&mut self.bytes), descriptor: self.descriptor.take() }
    }

    fn frame_length(&self) -> Option<usize> {
        let header: [u8; HEADER_BYTES] = self.header.as_slice().try_into().ok()?;
        usize::try_from(u32::from_be_bytes(header)).ok()
    }
}

fn too_long(length: usize) -> HandoverSocketError {
    HandoverSocketError::FrameTooLong { length, limit: MAX_FRAME_BYTES }
}
