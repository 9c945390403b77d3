//! Frames of the messages that go out, each encoded and tagged once for all sessions that get the same.

use crate::codec::encode_to_client;
use crate::frame::{FrameKey, TooLong};
use crate::message::ToClient;
use crate::resource::Millis;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// A frame, shared by the queues of all sessions that get it.
pub(super) type Frame = Arc<[u8]>;

/// The most bytes of frames that are kept for further sessions: the pieces of one large table.
const KEPT_BYTES: usize = 32 * 1024 * 1024;
/// How long a frame is kept, ms.
const KEPT_MS: Millis = 5_000;

struct Kept {
    since: Millis,
    /// Holds the message, so that its address means no other.
    message: Arc<ToClient>,
}

/// Encodes messages and keeps the newest frames.
pub(super) struct Encoder {
    key: FrameKey,
    /// By the address of the message.
    frames: HashMap<usize, Frame>,
    oldest_first: VecDeque<Kept>,
    bytes: usize,
}

fn address(message: &Arc<ToClient>) -> usize {
    Arc::as_ptr(message) as usize
}

impl Encoder {
    /// One that keeps nothing yet.
    pub(super) fn new(key: FrameKey) -> Encoder {
        Encoder { key, frames: HashMap::new(), oldest_first: VecDeque::new(), bytes: 0 }
    }

    /// The frame of a message.
    ///
    /// # Errors
    /// If it is too long for one.
    pub(super) fn frame(&mut self, now: Millis, message: &Arc<ToClient>) -> Result<Frame, TooLong> {
        if let Some(frame) = self.frames.get(&address(message)) {
            return Ok(frame.clone());
        }
        let frame = self.key.seal(|out| encode_to_client(message, out))?;
        self.bytes += frame.len();
        self.frames.insert(address(message), frame.clone());
        self.oldest_first.push_back(Kept { since: now, message: message.clone() });
        self.forget(now);
        Ok(frame)
    }

    /// Lets go of what is too old or too much.
    pub(super) fn forget(&mut self, now: Millis) {
        while let Some(oldest) = self.oldest_first.front() {
            if self.bytes <= KEPT_BYTES && now <= oldest.since + KEPT_MS {
                return;
            }
            if let Some(frame) = self.frames.remove(&address(&oldest.message)) {
                self.bytes -= frame.len();
            }
            self.oldest_first.pop_front();
        }
    }
}
