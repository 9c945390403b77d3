//! Frames of a connection. A frame consists of its length, a version, a tag under the fleet key, and a
//! payload:
//! `[u32 length, little-endian][u8 version][32-byte HMAC-SHA256 over version and payload][payload]`, where
//! the length counts everything after it.
//!
//! # Invariants
//! * No payload is returned before its tag is verified.
//! * A decoder holds at most one frame of [`MAX_FRAME`] bytes and the data of one read; after an error it
//!   returns no more payloads.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::sync::Arc;

/// Version of frames and messages.
pub const VERSION: u8 = 1;
/// Size of the length field, in bytes.
pub const LENGTH_BYTES: usize = 4;
/// Size of the tag, in bytes.
pub const TAG_BYTES: usize = 32;
/// Size of everything before the payload, in bytes.
pub const HEADER_BYTES: usize = LENGTH_BYTES + 1 + TAG_BYTES;
/// Maximum size of a payload, in bytes. It holds the largest transaction
/// ([`crate::size::MAX_TRANSACTION_BYTES`]), the largest message of deltas and the largest bucket that a
/// publisher accepts.
pub const MAX_PAYLOAD: usize = 256 * 1024;
/// Maximum size of a frame, in bytes.
pub const MAX_FRAME: usize = HEADER_BYTES + MAX_PAYLOAD;
/// Allowed length of a fleet key, in bytes.
pub const KEY_BYTES: std::ops::RangeInclusive<usize> = 16..=1024;

/// Capacity, in bytes, past which an empty buffer is released.
const MAX_IDLE_CAPACITY: usize = 4 * 1024;

/// Error: a frame is invalid. The connection can't be used any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is too large, or too small for a version and a tag.
    #[error(
        "frame of {0} bytes, expected {min} to {max}",
        min = 1 + TAG_BYTES, max = 1 + TAG_BYTES + MAX_PAYLOAD
    )]
    Length(u32),
    /// The version is not supported.
    #[error("frame of version {0}, this program supports version {VERSION}")]
    Version(u8),
    /// The tag is wrong: the frame is damaged, or was made with another key.
    #[error("frame with a wrong tag: damaged, or made with another fleet key")]
    Tag,
}

/// Error: a fleet key is too short or too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fleet key of {0} bytes, expected {min} to {max}", min = KEY_BYTES.start(), max = KEY_BYTES.end())]
pub struct BadKey(pub usize);

/// Error: a payload is too long for a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("payload of {0} bytes, a frame holds at most {MAX_PAYLOAD}")]
pub struct TooLong(pub usize);

/// The fleet key, prepared for computing and verifying tags.
#[derive(Clone)]
pub struct FrameKey {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for FrameKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FrameKey")
    }
}

impl FrameKey {
    /// Creates a key whose length is within [`KEY_BYTES`].
    ///
    /// # Errors
    /// Returns [`BadKey`] if it has another length.
    pub fn new(key: &[u8]) -> Result<FrameKey, BadKey> {
        if !KEY_BYTES.contains(&key.len()) {
            return Err(BadKey(key.len()));
        }
        let mac = Hmac::new_from_slice(key).map_err(|_| BadKey(key.len()))?;
        Ok(FrameKey { mac })
    }

    /// Returns a frame with the payload that `write` appends. All recipients of the same message share one
    /// frame.
    ///
    /// # Errors
    /// Returns [`TooLong`] if the payload is too long.
    pub fn seal(&self, write: impl FnOnce(&mut Vec<u8>)) -> Result<Arc<[u8]>, TooLong> {
        let mut frame = vec![0; HEADER_BYTES];
        write(&mut frame);
        let payload_bytes = frame.len() - HEADER_BYTES;
        if payload_bytes > MAX_PAYLOAD {
            return Err(TooLong(payload_bytes));
        }
        let length = (frame.len() - LENGTH_BYTES) as u32;
        let tag = self.mac_of(VERSION, &frame[HEADER_BYTES..]).finalize().into_bytes();
        frame[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        frame[LENGTH_BYTES] = VERSION;
        frame[LENGTH_BYTES + 1..HEADER_BYTES].copy_from_slice(&tag);
        Ok(frame.into())
    }

    fn mac_of(&self, version: u8, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(&[version]);
        mac.update(payload);
        mac
    }

    /// Returns the payload of a frame's body, which is everything after its length.
    fn open<'a>(&self, body: &'a [u8]) -> Result<&'a [u8], FrameError> {
        let (version, rest) = body.split_first().ok_or(FrameError::Length(0))?;
        if *version != VERSION {
            return Err(FrameError::Version(*version));
        }
        let (tag, payload) = rest.split_at_checked(TAG_BYTES).ok_or(FrameError::Length(body.len() as u32))?;
        self.mac_of(*version, payload).verify_slice(tag).map_err(|_| FrameError::Tag)?;
        Ok(payload)
    }
}

/// Decodes frames from a stream of bytes that arrives in chunks of any size.
#[derive(Debug)]
pub struct FrameDecoder {
    key: FrameKey,
    buffer: Vec<u8>,
    /// Number of bytes of the buffer that belong to frames already returned.
    consumed: usize,
    failed: Option<FrameError>,
}

impl FrameDecoder {
    /// Creates a decoder for the beginning of a stream.
    pub fn new(key: FrameKey) -> FrameDecoder {
        FrameDecoder { key, buffer: Vec::new(), consumed: 0, failed: None }
    }

    /// Appends the next bytes of the stream. The caller has to take all complete frames out before the next
    /// call, so that the buffer holds no more than one frame and the data of one read.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Returns the payload of the next frame, if the frame is complete.
    ///
    /// # Errors
    /// Returns a [`FrameError`] at the first invalid frame and from then on.
    pub fn next_payload(&mut self) -> Result<Option<&[u8]>, FrameError> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        match self.next_body() {
            Ok(Some(body)) => match self.key.open(&self.buffer[body.clone()]) {
                Ok(_) => Ok(Some(&self.buffer[body.start + 1 + TAG_BYTES..body.end])),
                Err(error) => Err(self.fail(error)),
            },
            Ok(None) => {
                self.compact();
                Ok(None)
            }
            Err(error) => Err(self.fail(error)),
        }
    }

    /// Returns the number of buffered bytes, for bounds and gauges.
    pub fn buffered(&self) -> usize {
        self.buffer.len() - self.consumed
    }

    fn next_body(&mut self) -> Result<Option<std::ops::Range<usize>>, FrameError> {
        let rest = &self.buffer[self.consumed..];
        let Some(prefix) = rest.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let announced = u32::from_le_bytes(*prefix);
        let length = announced as usize;
        if !(1 + TAG_BYTES..=1 + TAG_BYTES + MAX_PAYLOAD).contains(&length) {
            return Err(FrameError::Length(announced));
        }
        if rest.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        let start = self.consumed + LENGTH_BYTES;
        self.consumed = start + length;
        Ok(Some(start..self.consumed))
    }

    fn fail(&mut self, error: FrameError) -> FrameError {
        self.failed = Some(error.clone());
        self.buffer = Vec::new();
        self.consumed = 0;
        error
    }

    fn compact(&mut self) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_CAPACITY {
            self.buffer = Vec::new();
        }
    }
}
