//! The parser of a call: a state machine over bytes, without I/O or clock.
//!
//! # Invariants
//! What is read does not depend on how the bytes are split.

use super::body::BodyDecoder;
use super::error::CallError;
use httparse::{EMPTY_HEADER, Request, Status};

/// The most bytes of a head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The most fields of a head.
const MAX_HEADERS: usize = 64;

/// A call that is whole; its body is not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The method.
    pub method: String,
    /// The target, as it was sent.
    pub target: String,
}

/// What of a call comes next.
#[derive(Debug)]
enum Part {
    /// The head, with its bytes so far.
    Head(Vec<u8>),
    /// The body.
    Body { call: Call, decoder: BodyDecoder },
    /// Nothing: the call is whole or can't be read.
    Nothing,
}

/// A head that is whole.
struct Head {
    call: Call,
    decoder: BodyDecoder,
    /// Its length, bytes.
    length: usize,
}

/// Reads one call from bytes in any pieces.
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
    /// Returns whether any byte has come.
    pub fn is_started(&self) -> bool {
        self.is_started
    }

    /// Reads further bytes, and returns the call once it is whole; bytes after its end are passed over.
    ///
    /// # Errors
    /// If the bytes are no call or past a limit. What is fed after that is passed over.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Call>, CallError> {
        self.is_started |= !bytes.is_empty();
        match std::mem::replace(&mut self.part, Part::Nothing) {
            Part::Head(head) => self.feed_head(head, bytes),
            Part::Body { call, decoder } => self.feed_body(call, decoder, bytes),
            Part::Nothing => Ok(None),
        }
    }

    fn feed_head(&mut self, mut head: Vec<u8>, bytes: &[u8]) -> Result<Option<Call>, CallError> {
        let room = MAX_HEAD_BYTES - head.len();
        let (taken, later) = bytes.split_at(room.min(bytes.len()));
        head.extend_from_slice(taken);
        // Only whole lines are parsed, and only once: each piece costs time for its lines, not for its bytes.
        if taken.contains(&b'\n') {
            if let Some(Head { call, mut decoder, length }) = parse_head(&head)? {
                if decoder.feed(&head[length..])? {
                    return Ok(Some(call));
                }
                return self.feed_body(call, decoder, later);
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

/// Returns the head if it is whole, by its whole lines.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, CallError> {
    let lines_end = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut headers);
    let length = match request.parse(&bytes[..lines_end]) {
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
