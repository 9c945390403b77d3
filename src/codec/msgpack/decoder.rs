//! Decoder for a stream of MessagePack messages.

use super::error::Error;
use super::reader::{ReadError, Reader};
use super::value::Value;

/// First byte of a request: an array of four elements.
const REQUEST_ARRAY: u8 = 0x94;
/// Message type of a request.
const REQUEST_TYPE: Value = Value::Uint(0);

/// Decodes complete messages from bytes that are fed in pieces of any size.
#[derive(Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    position: usize,
}

impl Decoder {
    /// Appends bytes of the stream to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.position);
        self.position = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next message if it is complete.
    ///
    /// # Errors
    /// Returns an [`Error`] if the bytes are not a valid message or exceed a limit. Nothing after them can be
    /// decoded.
    pub fn next_message(&mut self) -> Result<Option<Value>, Error> {
        let mut reader = Reader { bytes: &self.buffer[self.position..], position: 0, values_read: 0 };
        match reader.value(0) {
            Ok(value) => {
                self.position += reader.position;
                Ok(Some(value))
            }
            Err(ReadError::Incomplete) => Ok(None),
            Err(ReadError::Invalid(error)) => Err(error),
        }
    }

    /// Returns whether all bytes have been decoded.
    pub fn is_empty(&self) -> bool {
        self.position == self.buffer.len()
    }

    /// Returns the message id if the buffer starts with a request, regardless of what follows the id. It
    /// serves to respond to a request that can't be decoded.
    pub fn request_id(&self) -> Option<u64> {
        let mut reader = Reader { bytes: &self.buffer[self.position..], position: 0, values_read: 0 };
        let head = reader.take(1).ok()?[0];
        let message_type = reader.value(1).ok()?;
        match reader.value(1).ok()? {
            Value::Uint(id) if head == REQUEST_ARRAY && message_type == REQUEST_TYPE => Some(id),
            _ => None,
        }
    }
}
