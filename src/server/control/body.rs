//! The body of a call, which is read to its end and not kept.

use super::error::CallError;
use super::protocol;
use httparse::Header;

/// The most bytes of a body, with the framing of its chunks.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// Finds the end of a body.
#[derive(Debug)]
pub(super) enum BodyDecoder {
    /// A body of a stated length.
    Sized {
        /// Bytes to come.
        remaining: usize,
    },
    /// A body in chunks.
    Chunked(ChunkDecoder),
}

impl BodyDecoder {
    /// Returns the decoder of the body after a head with these fields.
    ///
    /// # Errors
    /// If the length is not clear or too great, or the encoding is not read.
    pub(super) fn for_headers(headers: &[Header<'_>]) -> Result<BodyDecoder, CallError> {
        let mut encodings = values(headers, protocol::TRANSFER_ENCODING);
        let mut lengths = values(headers, protocol::CONTENT_LENGTH);
        if values(headers, protocol::EXPECT).next().is_some() {
            // The final answer goes out in place of the interim one, and the body may stay away.
            return Ok(BodyDecoder::Sized { remaining: 0 });
        }
        match (encodings.next(), lengths.next()) {
            (None, None) => Ok(BodyDecoder::Sized { remaining: 0 }),
            (None, Some(first)) if lengths.all(|length| length == first) => {
                Ok(BodyDecoder::Sized { remaining: parse_length(first)? })
            }
            (Some(_), Some(_)) | (None, Some(_)) => Err(CallError::UnclearLength),
            (Some(encoding), None) if is_chunked(encoding) && encodings.next().is_none() => {
                Ok(BodyDecoder::Chunked(ChunkDecoder::default()))
            }
            (Some(_), None) => Err(CallError::UnsupportedEncoding),
        }
    }

    /// Reads further bytes and returns whether the body is whole; bytes after its end are passed over.
    ///
    /// # Errors
    /// If the body is malformed or too long.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> Result<bool, CallError> {
        match self {
            BodyDecoder::Sized { remaining } => {
                *remaining = remaining.saturating_sub(bytes.len());
                Ok(*remaining == 0)
            }
            BodyDecoder::Chunked(decoder) => decoder.feed(bytes),
        }
    }
}

/// Returns the values of all fields of this name.
fn values<'a>(headers: &'a [Header<'_>], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
}

fn is_chunked(encoding: &[u8]) -> bool {
    encoding.trim_ascii().eq_ignore_ascii_case(protocol::CHUNKED.as_bytes())
}

fn parse_length(value: &[u8]) -> Result<usize, CallError> {
    let digits = value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(CallError::UnclearLength);
    }
    let text = std::str::from_utf8(digits).map_err(|_| CallError::UnclearLength)?;
    // Digits alone fail only where the number is too great.
    let length: usize = text.parse().map_err(|_| CallError::BodyTooLarge)?;
    if length > MAX_BODY_BYTES { Err(CallError::BodyTooLarge) } else { Ok(length) }
}

/// What of a chunked body comes next.
#[derive(Clone, Copy, Debug, Default)]
enum ChunkPart {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// Bytes of a chunk.
    Data { remaining: usize },
    /// The end of the line after a chunk.
    DataEnd,
    /// The lines after the last chunk, up to an empty one.
    Trailers,
    /// Nothing: the body is whole.
    Nothing,
}

/// Finds the end of a body in chunks.
#[derive(Debug, Default)]
pub(super) struct ChunkDecoder {
    part: ChunkPart,
    /// The line that is not whole.
    line: Vec<u8>,
    received_bytes: usize,
}

impl ChunkDecoder {
    fn feed(&mut self, bytes: &[u8]) -> Result<bool, CallError> {
        for byte in bytes {
            if matches!(self.part, ChunkPart::Nothing) {
                break;
            }
            self.received_bytes += 1;
            if self.received_bytes > MAX_BODY_BYTES {
                return Err(CallError::BodyTooLarge);
            }
            self.part = self.next_part(*byte)?;
        }
        Ok(matches!(self.part, ChunkPart::Nothing))
    }

    /// Reads a byte and returns what comes next.
    fn next_part(&mut self, byte: u8) -> Result<ChunkPart, CallError> {
        if let ChunkPart::Data { remaining } = self.part {
            let remaining = remaining - 1;
            return Ok(if remaining == 0 { ChunkPart::DataEnd } else { ChunkPart::Data { remaining } });
        }
        self.line.push(byte);
        if byte != b'\n' {
            return Ok(self.part);
        }
        let line = std::mem::take(&mut self.line);
        let is_empty = line.trim_ascii().is_empty();
        match self.part {
            ChunkPart::Size => parse_chunk_size(&line),
            ChunkPart::DataEnd if is_empty => Ok(ChunkPart::Size),
            ChunkPart::Trailers if is_empty => Ok(ChunkPart::Nothing),
            ChunkPart::Trailers => Ok(ChunkPart::Trailers),
            ChunkPart::DataEnd | ChunkPart::Data { .. } | ChunkPart::Nothing => {
                Err(CallError::MalformedChunk)
            }
        }
    }
}

/// Returns what follows the line with the size of a chunk.
fn parse_chunk_size(line: &[u8]) -> Result<ChunkPart, CallError> {
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, 0))) => Ok(ChunkPart::Trailers),
        Ok(httparse::Status::Complete((_, size))) if size > MAX_BODY_BYTES as u64 => {
            Err(CallError::BodyTooLarge)
        }
        Ok(httparse::Status::Complete((_, size))) => Ok(ChunkPart::Data { remaining: size as usize }),
        Ok(httparse::Status::Partial) | Err(_) => Err(CallError::MalformedChunk),
    }
}
