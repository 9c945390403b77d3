//! The decoder of a stream of messages.

use super::error::Error;
use super::reader::{Reader, Stop};
use super::value::Value;

/// Takes bytes as they come and gives whole messages.
#[derive(Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    at: usize,
}

impl Decoder {
    /// Adds bytes that came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.at);
        self.at = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if it is there.
    ///
    /// # Errors
    /// On bytes that are no message or break a bound; nothing after them can be read.
    pub fn next_message(&mut self) -> Result<Option<Value>, Error> {
        let mut reader = Reader { bytes: &self.buffer[self.at..], at: 0, values: 0 };
        match reader.value(0) {
            Ok(value) => {
                self.at += reader.at;
                Ok(Some(value))
            }
            Err(Stop::More) => Ok(None),
            Err(Stop::Fault(e)) => Err(e),
        }
    }

    /// Whether nothing is left over.
    pub fn is_empty(&self) -> bool {
        self.at == self.buffer.len()
    }

    /// The message id of the request that the buffer begins with, whatever follows: it serves to answer a
    /// request that can't be read as a whole.
    pub fn request_id(&self) -> Option<u64> {
        let mut reader = Reader { bytes: &self.buffer[self.at..], at: 0, values: 0 };
        let head = reader.take(1).ok()?[0];
        let kind = reader.value(1).ok()?;
        match reader.value(1).ok()? {
            Value::Uint(id) if head == 0x94 && kind == Value::Uint(0) => Some(id),
            _ => None,
        }
    }
}
