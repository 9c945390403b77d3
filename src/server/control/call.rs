//! Incremental parser of a call, without I/O or clock.
//!
//! # Invariants
//! The result does not depend on how the bytes are split into pieces.

use super::body::BodyDecoder;
use super::error::CallError;
use httparse::{EMPTY_HEADER, Request, Status};

/// Largest size of a head, bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Largest number of header fields of a head.
const MAX_HEADERS: usize = 64;

/// A complete call: an HTTP request to the control endpoint, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Request target, as it was sent.
    pub target: String,
}

/// Part of a call that comes next.
#[derive(Debug)]
enum Part {
    /// The head, with the bytes received so far.
    Head(Vec<u8>),
    /// The body of a call whose head is complete.
    Body { call: Call, decoder: BodyDecoder },
    /// Nothing, as the call is complete or invalid.
    End,
}

/// A complete head.
struct Head {
    call: Call,
    decoder: BodyDecoder,
    /// Length of the head, bytes.
    length: usize,
}

/// Incremental parser of one call.
#[derive(Debug)]
pub struct CallParser {
    part: Part,
    is_started: bool,
}

impl Default for CallParser {
    fn default() -> Self {
        CallParser { part: Part::Head(Vec::new()), is_started: false }
    }
}

impl CallParser {
    /// Returns whether any bytes were fed.
    pub fn is_started(&self) -> bool {
        self.is_started
    }

    /// Parses further bytes, and returns the call when it is complete. Bytes after its end are ignored.
    ///
    /// # Errors
    /// Returns a [`CallError`] if the bytes are not a valid call or exceed a limit. Bytes fed after an error
    /// are ignored.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Call>, CallError> {
        self.is_started |= !bytes.is_empty();
        match std::mem::replace(&mut self.part, Part::End) {
            Part::Head(head) => self.feed_head(head, bytes),
            Part::Body { call, decoder } => self.feed_body(call, decoder, bytes),
            Part::End => Ok(None),
        }
    }

    fn feed_head(&mut self, mut head: Vec<u8>, bytes: &[u8]) -> Result<Option<Call>, CallError> {
        let capacity = MAX_HEAD_BYTES - head.len();
        let (head_bytes, rest) = bytes.split_at(capacity.min(bytes.len()));
        head.extend_from_slice(head_bytes);
        // The head is parsed only when a line is complete, so the cost of a piece depends on its lines and
        // not on its bytes.
        if head_bytes.contains(&b'\n') {
            if let Some(Head { call, mut decoder, length }) = parse_head(&head)? {
                if decoder.feed(&head[length..])? {
                    return Ok(Some(call));
                }
                return self.feed_body(call, decoder, rest);
            }
        }
        if head.len() == MAX_HEAD_BYTES {
            return Err(CallError::HeadTooLarge);
        }
        self.part = Part::Head(head);
        Ok(None)
    }

    fn feed_body(
        &mut self,
        call: Call,
        mut decoder: BodyDecoder,
        bytes: &[u8],
    ) -> Result<Option<Call>, CallError> {
        if decoder.feed(bytes)? {
            return Ok(Some(call));
        }
        self.part = Part::Body { call, decoder };
        Ok(None)
    }
}

/// Parses the complete lines in `bytes`, and returns the head if all of its lines are complete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, CallError> {
    let complete_length = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |index| index + 1);
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut headers);
    let length = match request.parse(&bytes[..complete_length]) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(CallError::HeadTooLarge),
        Err(error) => return Err(CallError::MalformedHead(error)),
    };
    let decoder = BodyDecoder::for_headers(request.headers)?;
    let method = request.method.unwrap_or_default().to_owned();
    let target = request.path.unwrap_or_default().to_owned();
    Ok(Some(Head { call: Call { method, target }, decoder, length }))
}
