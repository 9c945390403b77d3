//! Decoder of the body of a call, which is read to its end and discarded.

use super::error::CallError;
use super::protocol;
use httparse::Header;

/// Largest size of a body, including the framing of its chunks, bytes.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// Decoder that finds the end of a body.
#[derive(Debug)]
pub(super) enum BodyDecoder {
    /// A body whose length the head states.
    Sized {
        /// Number of bytes that have not been read.
        remaining: usize,
    },
    /// A body with chunked encoding.
    Chunked(ChunkDecoder),
}

impl BodyDecoder {
    /// Returns the decoder for the body that follows a head with these header fields.
    ///
    /// # Errors
    /// Returns [`CallError::UnclearLength`] if the length is not a number, several lengths differ or the head
    /// has both a length and a transfer encoding, [`CallError::BodyTooLarge`] if the length exceeds the
    /// limit, and [`CallError::UnsupportedEncoding`] if the encoding is not `chunked`.
    pub(super) fn for_headers(headers: &[Header<'_>]) -> Result<BodyDecoder, CallError> {
        let mut encodings = header_values(headers, protocol::TRANSFER_ENCODING);
        let mut lengths = header_values(headers, protocol::CONTENT_LENGTH);
        if header_values(headers, protocol::EXPECT).next().is_some() {
            // The final response is sent instead of `100 Continue`, so the caller may omit the body.
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

    /// Decodes further bytes and returns whether the body is complete. Bytes after its end are ignored.
    ///
    /// # Errors
    /// Returns [`CallError::MalformedChunk`] if a chunk can't be read, and [`CallError::BodyTooLarge`] if the
    /// body exceeds the limit.
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

/// Returns the values of all header fields with this name.
fn header_values<'a>(headers: &'a [Header<'_>], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
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
    // Parsing digits fails only if the number overflows.
    let length: usize = text.parse().map_err(|_| CallError::BodyTooLarge)?;
    if length > MAX_BODY_BYTES { Err(CallError::BodyTooLarge) } else { Ok(length) }
}

/// Part of a chunked body that comes next.
#[derive(Clone, Copy, Debug, Default)]
enum ChunkPart {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// Data of a chunk.
    Data { remaining: usize },
    /// The line end after a chunk's data.
    DataEnd,
    /// The trailer lines after the last chunk, up to an empty line.
    Trailers,
    /// Nothing, as the body is complete.
    Complete,
}

/// Decoder that finds the end of a body with chunked encoding.
#[derive(Debug, Default)]
pub(super) struct ChunkDecoder {
    part: ChunkPart,
    /// Bytes of the current line, which is not complete.
    line: Vec<u8>,
    received_bytes: usize,
}

impl ChunkDecoder {
    fn feed(&mut self, bytes: &[u8]) -> Result<bool, CallError> {
        for byte in bytes {
            if matches!(self.part, ChunkPart::Complete) {
                break;
            }
            self.received_bytes += 1;
            if self.received_bytes > MAX_BODY_BYTES {
                return Err(CallError::BodyTooLarge);
            }
            self.part = self.next_part(*byte)?;
        }
        Ok(matches!(self.part, ChunkPart::Complete))
    }

    /// Decodes a byte and returns the part that comes next.
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
            ChunkPart::Trailers if is_empty => Ok(ChunkPart::Complete),
            ChunkPart::Trailers => Ok(ChunkPart::Trailers),
            ChunkPart::DataEnd | ChunkPart::Data { .. } | ChunkPart::Complete => {
                Err(CallError::MalformedChunk)
            }
        }
    }
}

/// Parses the line with the size of a chunk, and returns the part that follows it.
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
