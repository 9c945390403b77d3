//! Decoder for HTTP replies.

use super::error::Error;
use super::reply::Reply;

/// Maximum length of the head of a reply, bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum length of the body of a reply, bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Line terminator.
const END_OF_LINE: &[u8] = b"\r\n";
/// Terminator of a head.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// Header field of the body length, in lower case.
const CONTENT_LENGTH: &str = "content-length";

/// Decodes complete replies from bytes that are fed in pieces of any size.
#[derive(Default)]
pub struct Decoder {
    buffer: Vec<u8>,
}

impl Decoder {
    /// Appends bytes of the stream to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether all bytes have been decoded.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next reply if it is complete. `ended` states that no more bytes follow, which ends a body
    /// without a stated length. Interim replies (1xx) are skipped.
    ///
    /// # Errors
    /// Returns [`Error::InvalidHead`] or [`Error::InvalidLength`] if the bytes are not a valid reply, and
    /// [`Error::TooLong`] if the head or the body exceeds its limit.
    pub fn next_reply(&mut self, ended: bool) -> Result<Option<Reply>, Error> {
        loop {
            let Some(head_length) = self.head_length()? else { return Ok(None) };
            let mut reply = read_head(&self.buffer[..head_length])?;
            let body_start = head_length + END_OF_HEAD.len();
            if (100..200).contains(&reply.status) {
                self.buffer.drain(..body_start);
                continue;
            }
            let Some(body_length) = read_body(&self.buffer[body_start..], &mut reply, ended)? else {
                return Ok(None);
            };
            self.buffer.drain(..body_start + body_length);
            return Ok(Some(reply));
        }
    }

    /// Returns the length of the head without its terminator, once the terminator has arrived.
    fn head_length(&self) -> Result<Option<usize>, Error> {
        let length = self.buffer.windows(END_OF_HEAD.len()).position(|bytes| bytes == END_OF_HEAD);
        if length.unwrap_or(self.buffer.len()) > MAX_HEAD_BYTES {
            return Err(Error::TooLong);
        }
        Ok(length)
    }
}

/// Reads the body of a reply, and returns its length in bytes on the wire once it is complete.
fn read_body(rest: &[u8], reply: &mut Reply, ended: bool) -> Result<Option<usize>, Error> {
    let is_chunked = is_chunked(reply);
    check_lengths(reply, is_chunked)?;
    if reply.status == 204 || reply.status == 304 {
        return Ok(Some(0));
    }
    if is_chunked {
        return read_chunks(rest, &mut reply.body);
    }
    if let Some(length) = reply.header(CONTENT_LENGTH) {
        let length = parse_length(length, 10)?;
        reply.body = rest[..length.min(rest.len())].to_vec();
        return Ok((rest.len() >= length).then_some(length));
    }
    if rest.len() > MAX_BODY_BYTES {
        return Err(Error::TooLong);
    }
    reply.keep_alive = false;
    reply.body = rest.to_vec();
    Ok(ended.then_some(rest.len()))
}

fn is_chunked(reply: &Reply) -> bool {
    let encoding = reply.header("transfer-encoding");
    encoding.is_some_and(|encoding| encoding.to_ascii_lowercase().contains("chunked"))
}

/// Checks that the end of the body is unambiguous, which two different lengths or a length beside chunks
/// would prevent.
fn check_lengths(reply: &Reply, is_chunked: bool) -> Result<(), Error> {
    let mut lengths =
        reply.headers.iter().filter(|(name, _)| name == CONTENT_LENGTH).map(|(_, length)| length);
    let Some(first) = lengths.next() else { return Ok(()) };
    if is_chunked || lengths.any(|length| length != first) {
        return Err(Error::InvalidLength);
    }
    Ok(())
}

fn parse_length(text: &str, radix: u32) -> Result<usize, Error> {
    let text = text.trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Error::InvalidLength);
    }
    let length = usize::from_str_radix(text, radix).map_err(|_| Error::InvalidLength)?;
    if length > MAX_BODY_BYTES { Err(Error::TooLong) } else { Ok(length) }
}

fn read_head(head: &[u8]) -> Result<Reply, Error> {
    let text = std::str::from_utf8(head).map_err(|_| Error::InvalidHead)?;
    let mut lines = text.split("\r\n");
    let mut status_line = lines.next().unwrap_or("").splitn(3, ' ');
    let version = status_line.next().unwrap_or("");
    if version != "HTTP/1.1" && version != "HTTP/1.0" {
        return Err(Error::InvalidHead);
    }
    let status =
        status_line.next().filter(|s| s.len() == 3).and_then(|s| s.parse().ok()).ok_or(Error::InvalidHead)?;
    let mut headers = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(Error::InvalidHead)?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut reply = Reply { status, headers, body: Vec::new(), keep_alive: true };
    let connection = reply.header("connection").unwrap_or("").to_ascii_lowercase();
    reply.keep_alive = if version == "HTTP/1.1" { connection != "close" } else { connection == "keep-alive" };
    Ok(reply)
}

/// Reads chunks into `body`, and returns their length in bytes on the wire once the last one has arrived.
fn read_chunks(bytes: &[u8], body: &mut Vec<u8>) -> Result<Option<usize>, Error> {
    let mut position = 0;
    loop {
        let Some(end) = line_length(&bytes[position..])? else { return Ok(None) };
        let line = std::str::from_utf8(&bytes[position..position + end]).map_err(|_| Error::InvalidLength)?;
        let size = parse_length(line.split(';').next().unwrap_or(""), 16)?;
        position += end + END_OF_LINE.len();
        if size == 0 {
            return trailers_end(bytes, position);
        }
        if body.len() + size > MAX_BODY_BYTES {
            return Err(Error::TooLong);
        }
        let Some(chunk) = bytes.get(position..position + size + END_OF_LINE.len()) else { return Ok(None) };
        if !chunk.ends_with(END_OF_LINE) {
            return Err(Error::InvalidLength);
        }
        body.extend_from_slice(&chunk[..size]);
        position += size + END_OF_LINE.len();
    }
}

/// Returns the end of the trailers that start at `position`, once their empty line has arrived.
fn trailers_end(bytes: &[u8], mut position: usize) -> Result<Option<usize>, Error> {
    loop {
        let Some(length) = line_length(&bytes[position..])? else { return Ok(None) };
        position += length + END_OF_LINE.len();
        if length == 0 {
            return Ok(Some(position));
        }
    }
}

/// Returns the length of a line without its terminator, once the terminator has arrived.
fn line_length(bytes: &[u8]) -> Result<Option<usize>, Error> {
    let length = bytes.windows(END_OF_LINE.len()).position(|pair| pair == END_OF_LINE);
    if length.is_none() && bytes.len() > MAX_HEAD_BYTES {
        return Err(Error::TooLong);
    }
    Ok(length)
}
