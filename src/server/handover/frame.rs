//! Frames: a length as four bytes in big-endian order, followed by that number of bytes.

use super::error::HandoverSocketError;
use std::os::fd::OwnedFd;

/// Maximum length of a frame in bytes, without its header.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Size in bytes of the header, which holds the length of the frame.
pub(super) const HEADER_BYTES: usize = 4;

/// Frame to be written.
#[derive(Debug)]
pub struct OutgoingFrame {
    /// Content of the frame.
    pub bytes: Vec<u8>,
    /// File descriptor that is sent with the frame.
    pub descriptor: Option<OwnedFd>,
}

/// Frame that was read.
#[derive(Debug)]
pub struct ReceivedFrame {
    /// Content of the frame.
    pub bytes: Vec<u8>,
    /// File descriptor that was received with the frame.
    pub descriptor: Option<OwnedFd>,
}

/// Returns the header of a frame of `length` bytes.
///
/// # Errors
/// Returns [`HandoverSocketError::FrameTooLong`] if `length` exceeds [`MAX_FRAME_BYTES`].
pub(super) fn encode_header(length: usize) -> Result<[u8; HEADER_BYTES], HandoverSocketError> {
    match u32::try_from(length) {
        Ok(encoded) if length <= MAX_FRAME_BYTES => Ok(encoded.to_be_bytes()),
        _ => Err(frame_too_long(length)),
    }
}

/// Assembles frames from received bytes.
///
/// # Invariants
/// - It holds at most one frame, and allocates no memory for bytes that were not received yet.
#[derive(Debug, Default)]
pub(super) struct FrameAssembler {
    header: Vec<u8>,
    bytes: Vec<u8>,
    descriptor: Option<OwnedFd>,
}

impl FrameAssembler {
    /// Returns whether the assembler is between two frames: no byte of the next one was received.
    pub(super) fn is_empty(&self) -> bool {
        self.header.is_empty()
    }

    /// Returns the number of bytes missing from the header or, if the header is complete, from the frame.
    pub(super) fn missing_bytes(&self) -> usize {
        match self.frame_length() {
            Some(length) => length - self.bytes.len(),
            None => HEADER_BYTES - self.header.len(),
        }
    }

    /// Adds at most [`missing_bytes`](Self::missing_bytes) bytes and the descriptor that was received with
    /// them. Returns the frame once it is complete. Only the first descriptor of a frame is kept.
    ///
    /// # Errors
    /// Returns [`HandoverSocketError::FrameTooLong`] if the frame's length exceeds [`MAX_FRAME_BYTES`].
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
            Some(length) if length > MAX_FRAME_BYTES => Err(frame_too_long(length)),
            Some(length) if length == self.bytes.len() => Ok(Some(self.take_frame())),
            _ => Ok(None),
        }
    }

    fn take_frame(&mut self) -> ReceivedFrame {
        self.header.clear();
        ReceivedFrame { bytes: std::mem::take(&mut self.bytes), descriptor: self.descriptor.take() }
    }

    fn frame_length(&self) -> Option<usize> {
        let header: [u8; HEADER_BYTES] = self.header.as_slice().try_into().ok()?;
        usize::try_from(u32::from_be_bytes(header)).ok()
    }
}

fn frame_too_long(length: usize) -> HandoverSocketError {
    HandoverSocketError::FrameTooLong { length, limit: MAX_FRAME_BYTES }
}
