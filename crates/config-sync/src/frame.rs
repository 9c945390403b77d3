//! Frames: what a connection carries. A frame is its length, a version, a tag under the fleet's key, and a payload:
//! `[u32 length, little-endian][u8 version][32-byte HMAC-SHA256 over version and payload][payload]`, where the length
//! counts all that follows it.
//!
//! # Invariants
//! * No payload is handed out before its tag was found right.
//! * A decoder holds at most one frame of [`MAX_FRAME`] bytes and one read; after an error it gives out nothing more.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::sync::Arc;

/// The version of frames and messages.
pub const VERSION: u8 = 1;
/// Bytes of the length.
pub const LENGTH_BYTES: usize = 4;
/// Bytes of the tag.
pub const TAG_BYTES: usize = 32;
/// Bytes before the payload.
pub const HEADER_BYTES: usize = LENGTH_BYTES + 1 + TAG_BYTES;
/// The longest payload. The largest transaction ([`crate::size::MAX_TRANSACTION_BYTES`]), the fullest deltas and the
/// largest bucket that a publisher admits fit.
pub const MAX_PAYLOAD: usize = 256 * 1024;
/// The longest frame.
pub const MAX_FRAME: usize = HEADER_BYTES + MAX_PAYLOAD;
/// The shortest and longest fleet key, in bytes.
pub const KEY_BYTES: std::ops::RangeInclusive<usize> = 16..=1024;

/// An empty buffer that has grown past this is released.
const KEPT_BUFFER: usize = 4 * 1024;

/// What is wrong with a frame. The connection it came on is of no further use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is too great, or too small for a version and a tag.
    #[error("a frame of {0} bytes, wanted {min} to {max}", min = 1 + TAG_BYTES, max = 1 + TAG_BYTES + MAX_PAYLOAD)]
    Length(u32),
    /// Another version.
    #[error("a frame of version {0}, this program speaks version {VERSION}")]
    Version(u8),
    /// The tag does not fit: damaged, or made with another key.
    #[error("a frame whose tag does not fit: damaged, or under another fleet key")]
    Tag,
}

/// A fleet key that is too short or too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fleet key of {0} bytes, wanted {min} to {max}", min = KEY_BYTES.start(), max = KEY_BYTES.end())]
pub struct BadKey(pub usize);

/// A payload that is too long for a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a payload of {0} bytes, a frame holds at most {MAX_PAYLOAD}")]
pub struct TooLong(pub usize);

/// The fleet's key, ready to tag and to check.
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
    /// A key of [`KEY_BYTES`].
    ///
    /// # Errors
    /// If it has another length.
    pub fn new(key: &[u8]) -> Result<FrameKey, BadKey> {
        if !KEY_BYTES.contains(&key.len()) {
            return Err(BadKey(key.len()));
        }
        let mac = Hmac::new_from_slice(key).map_err(|_| BadKey(key.len()))?;
        Ok(FrameKey { mac })
    }

    /// The frame that carries the payload which `write` appends. One frame serves all who get the same message.
    ///
    /// # Errors
    /// If the payload is too long.
    pub fn seal(&self, write: impl FnOnce(&mut Vec<u8>)) -> Result<Arc<[u8]>, TooLong> {
        let mut frame = vec![0; HEADER_BYTES];
        write(&mut frame);
        let payload_bytes = frame.len() - HEADER_BYTES;
        if payload_bytes > MAX_PAYLOAD {
            return Err(TooLong(payload_bytes));
        }
        let length = (frame.len() - LENGTH_BYTES) as u32;
        let tag = self.tagged(VERSION, &frame[HEADER_BYTES..]).finalize().into_bytes();
        frame[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        frame[LENGTH_BYTES] = VERSION;
        frame[LENGTH_BYTES + 1..HEADER_BYTES].copy_from_slice(&tag);
        Ok(frame.into())
    }

    fn tagged(&self, version: u8, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(&[version]);
        mac.update(payload);
        mac
    }

    /// The payload of what follows a frame's length.
    fn open<'a>(&self, body: &'a [u8]) -> Result<&'a [u8], FrameError> {
        let (version, rest) = body.split_first().ok_or(FrameError::Length(0))?;
        if *version != VERSION {
            return Err(FrameError::Version(*version));
        }
        let (tag, payload) = rest.split_at_checked(TAG_BYTES).ok_or(FrameError::Length(body.len() as u32))?;
        self.tagged(*version, payload).verify_slice(tag).map_err(|_| FrameError::Tag)?;
        Ok(payload)
    }
}

/// Takes frames out of a stream of bytes that comes in pieces of any size.
#[derive(Debug)]
pub struct FrameDecoder {
    key: FrameKey,
    buffer: Vec<u8>,
    /// Bytes of the buffer that were given out.
    taken: usize,
    failed: Option<FrameError>,
}

impl FrameDecoder {
    /// A decoder at the beginning of a stream.
    pub fn new(key: FrameKey) -> FrameDecoder {
        FrameDecoder { key, buffer: Vec::new(), taken: 0, failed: None }
    }

    /// Takes the next bytes of the stream. All frames in it are to be taken out before the next call, so that the buffer
    /// holds no more than one frame and one read.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// The payload of the next frame, if it is there whole.
    ///
    /// # Errors
    /// On the first bad frame, and from then on.
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

    /// Bytes held, for bounds and gauges.
    pub fn buffered(&self) -> usize {
        self.buffer.len() - self.taken
    }

    fn next_body(&mut self) -> Result<Option<std::ops::Range<usize>>, FrameError> {
        let rest = &self.buffer[self.taken..];
        let Some(prefix) = rest.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let announced = u32::from_le_bytes(*prefix);
        let length = announced as usize;
        if !(1 + TAG_BYTES..=1 + TAG_BYTES + MAX_PAYLOAD).contains(&length) {
            return Err(FrameError::Length(announced));
        }
        if rest.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        let start = self.taken + LENGTH_BYTES;
        self.taken = start + length;
        Ok(Some(start..self.taken))
    }

    fn fail(&mut self, error: FrameError) -> FrameError {
        self.failed = Some(error.clone());
        self.buffer = Vec::new();
        self.taken = 0;
        error
    }

    fn compact(&mut self) {
        self.buffer.drain(..self.taken);
        self.taken = 0;
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BUFFER {
            self.buffer = Vec::new();
        }
    }
}
