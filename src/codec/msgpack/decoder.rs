//! The decoder of a stream of messages.

use super::error::Error;
use super::reader::{ReadError, Reader};
use super::value::Value;

/// First byte of a request: an array of four elements.
const REQUEST_ARRAY: u8 = 0x94;
/// Message type of a request.
const REQUEST_TYPE: Value = Value::Uint(0);

/// Decodes whole messages from bytes in any pieces.
#[derive(Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    at: usize,
}

impl Decoder {
    /// Adds bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.at);
        self.at = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next message if it is whole.
    ///
    /// # Errors
    /// If the bytes are no message or past a limit; nothing after them can be decoded.
    pub fn next_message(&mut self) -> Result<Option<Value>, Error> {
        let mut reader = Reader { bytes: &self.buffer[self.at..], at: 0, values: 0 };
        match reader.value(0) {
            Ok(value) => {
                self.at += reader.at;
                Ok(Some(value))
            }
            Err(ReadError::Incomplete) => Ok(None),
            Err(ReadError::Invalid(error)) => Err(error),
        }
    }

    /// Returns whether all bytes were decoded.
    pub fn is_empty(&self) -> bool {
        self.at == self.buffer.len()
    }

    /// Returns the message id of the request that the buffer begins with, whatever follows, to answer a request that
    /// can't be decoded as a whole.
    pub fn request_id(&self) -> Option<u64> {
        let mut reader = Reader { bytes: &self.buffer[self.at..], at: 0, values: 0 };
        let head = reader.take(1).ok()?[0];
        let kind = reader.value(1).ok()?;
        match reader.value(1).ok()? {
            Value::Uint(id) if head == REQUEST_ARRAY && kind == REQUEST_TYPE => Some(id),
            _ => None,
        }
    }
}
