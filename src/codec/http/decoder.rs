//! The decoder of HTTP replies.

use super::error::Error;
use super::reply::Reply;

/// The longest head of a reply, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// The longest body of a reply, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// Takes bytes as they come and gives whole replies.
#[derive(Default)]
pub struct Decoder {
    buffer: Vec<u8>,
}

impl Decoder {
    /// Adds bytes that came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether nothing is left over.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The next whole reply, if it is there; `ended` says that no more bytes will come, which closes a body
    /// without a stated length. Interim replies (1xx) are passed over.
    ///
    /// # Errors
    /// On bytes that are no reply or break a bound.
    pub fn next_reply(&mut self, ended: bool) -> Result<Option<Reply>, Error> {
        loop {
            let Some(head_len) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") else {
                return if self.buffer.len() > MAX_HEAD { Err(Error::TooLong) } else { Ok(None) };
            };
            if head_len > MAX_HEAD {
                return Err(Error::TooLong);
            }
            let mut reply = read_head(&self.buffer[..head_len])?;
            let from = head_len + 4;
            if (100..200).contains(&reply.status) {
                self.buffer.drain(..from);
                continue;
            }
            let rest = &self.buffer[from..];
            let chunked =
                reply.header("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
            let lengths = || reply.headers.iter().filter(|(n, _)| n == "content-length").map(|(_, v)| v);
            // Two lengths that differ, or a length beside chunks: where the body ends can't be known, and to pick one
            // would take a part of it for the whole.
            if lengths().any(|v| Some(v) != lengths().next()) || chunked && lengths().next().is_some() {
                return Err(Error::BadLength);
            }
            let used = if reply.status == 204 || reply.status == 304 {
                Some(0)
            } else if chunked {
                read_chunks(rest, &mut reply.body)?
            } else if let Some(length) = reply.header("content-length") {
                let length = parse_length(length, 10)?;
                reply.body = rest[..length.min(rest.len())].to_vec();
                (rest.len() >= length).then_some(length)
            } else {
                if rest.len() > MAX_BODY {
                    return Err(Error::TooLong);
                }
                reply.keep_alive = false;
                reply.body = rest.to_vec();
                ended.then_some(rest.len())
            };
            let Some(used) = used else { return Ok(None) };
            self.buffer.drain(..from + used);
            return Ok(Some(reply));
        }
    }
}

fn parse_length(text: &str, radix: u32) -> Result<usize, Error> {
    let text = text.trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Error::BadLength);
    }
    let n = usize::from_str_radix(text, radix).map_err(|_| Error::BadLength)?;
    if n > MAX_BODY { Err(Error::TooLong) } else { Ok(n) }
}

fn read_head(head: &[u8]) -> Result<Reply, Error> {
    let text = std::str::from_utf8(head).map_err(|_| Error::BadHead)?;
    let mut lines = text.split("\r\n");
    let mut first = lines.next().unwrap_or("").splitn(3, ' ');
    let version = first.next().unwrap_or("");
    if version != "HTTP/1.1" && version != "HTTP/1.0" {
        return Err(Error::BadHead);
    }
    let status = first.next().filter(|s| s.len() == 3).and_then(|s| s.parse().ok()).ok_or(Error::BadHead)?;
    let mut headers = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(Error::BadHead)?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut reply = Reply { status, headers, body: Vec::new(), keep_alive: true };
    let said = reply.header("connection").unwrap_or("").to_ascii_lowercase();
    reply.keep_alive = if version == "HTTP/1.1" { said != "close" } else { said == "keep-alive" };
    Ok(reply)
}

/// Reads chunks into `body`; how many bytes they take, once the last is there.
fn read_chunks(bytes: &[u8], body: &mut Vec<u8>) -> Result<Option<usize>, Error> {
    let mut at = 0;
    loop {
        let Some(end) = bytes[at..].windows(2).position(|w| w == b"\r\n") else {
            return if bytes.len() - at > MAX_HEAD { Err(Error::TooLong) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&bytes[at..at + end]).map_err(|_| Error::BadLength)?;
        let size = parse_length(line.split(';').next().unwrap_or(""), 16)?;
        at += end + 2;
        if size == 0 {
            // Trailers end with an empty line.
            loop {
                let Some(end) = bytes[at..].windows(2).position(|w| w == b"\r\n") else {
                    return if bytes.len() - at > MAX_HEAD { Err(Error::TooLong) } else { Ok(None) };
                };
                at += end + 2;
                if end == 0 {
                    return Ok(Some(at));
                }
            }
        }
        if body.len() + size > MAX_BODY {
            return Err(Error::TooLong);
        }
        let Some(chunk) = bytes.get(at..at + size + 2) else { return Ok(None) };
        if !chunk.ends_with(b"\r\n") {
            return Err(Error::BadLength);
        }
        body.extend_from_slice(&chunk[..size]);
        at += size + 2;
    }
}
