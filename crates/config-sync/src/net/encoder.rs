//! Encodes outgoing messages into frames. A message is encoded and tagged once for all sessions that receive
//! it.

use crate::codec::encode_to_client;
use crate::frame::{FrameKey, TooLong};
use crate::message::ToClient;
use crate::resource::Millis;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// An encoded frame, shared by the send queues of all sessions that receive it.
pub(super) type Frame = Arc<[u8]>;

/// Maximum bytes of frames cached for further sessions; enough for the pieces of one large table.
const MAX_CACHED_BYTES: usize = 32 * 1024 * 1024;
/// Time for which a frame stays cached, ms.
const CACHE_TTL_MS: Millis = 5_000;

struct CachedMessage {
    cached_at: Millis,
    /// Keeps the message alive, so that no other message can get the same address.
    message: Arc<ToClient>,
}

/// Encodes messages and caches the newest frames.
pub(super) struct Encoder {
    key: FrameKey,
    /// Cached frames by the address of their message.
    frames: HashMap<usize, Frame>,
    oldest_first: VecDeque<CachedMessage>,
    /// Bytes of all cached frames.
    bytes: usize,
}

fn address(message: &Arc<ToClient>) -> usize {
    Arc::as_ptr(message) as usize
}

impl Encoder {
    /// Creates an encoder with an empty cache.
    pub(super) fn new(key: FrameKey) -> Encoder {
        Encoder { key, frames: HashMap::new(), oldest_first: VecDeque::new(), bytes: 0 }
    }

    /// Returns the frame of a message, from the cache if it is there.
    ///
    /// # Errors
    /// Returns [`TooLong`] if the message doesn't fit into one frame.
    pub(super) fn frame(&mut self, now: Millis, message: &Arc<ToClient>) -> Result<Frame, TooLong> {
        if let Some(frame) = self.frames.get(&address(message)) {
            return Ok(frame.clone());
        }
        let frame = self.key.seal(|out| encode_to_client(message, out))?;
        self.bytes += frame.len();
        self.frames.insert(address(message), frame.clone());
        self.oldest_first.push_back(CachedMessage { cached_at: now, message: message.clone() });
        self.evict(now);
        Ok(frame)
    }

    /// Evicts the frames that are past their time, and the oldest ones while the cache exceeds its size
    /// limit.
    pub(super) fn evict(&mut self, now: Millis) {
        while let Some(oldest) = self.oldest_first.front() {
            if self.bytes <= MAX_CACHED_BYTES && now <= oldest.cached_at + CACHE_TTL_MS {
                return;
            }
            if let Some(frame) = self.frames.remove(&address(&oldest.message)) {
                self.bytes -= frame.len();
            }
            self.oldest_first.pop_front();
        }
    }
}
