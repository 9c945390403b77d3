//! The server's half of HTTP/1.1, as far as the fakes need it.

use async_io::Async;
use futures_lite::AsyncReadExt;
use std::net::TcpStream;

/// The largest request that is read, bytes.
const MAX_REQUEST_BYTES: usize = 16 << 20;
/// The most headers of a request.
const MAX_HEADERS: usize = 32;
/// Bytes read at a time.
const READ_BYTES: usize = 4096;
/// The status whose replies have no body.
const NO_CONTENT: u16 = 204;

/// A request.
#[derive(Debug)]
pub(crate) struct Request {
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
}

/// Why a connection's bytes are no request.
struct InvalidRequest;

/// Reads the requests of a connection.
pub(crate) struct RequestReader<'a> {
    stream: &'a Async<TcpStream>,
    bytes: Vec<u8>,
}

impl RequestReader<'_> {
    /// Returns a reader of a new connection.
    pub fn new(stream: &Async<TcpStream>) -> RequestReader<'_> {
        RequestReader { stream, bytes: Vec::new() }
    }

    /// Returns the next request; `None` at the end of the connection or for what is no request.
    pub async fn next(&mut self) -> Option<Request> {
        let mut chunk = vec![0; READ_BYTES];
        loop {
            if let Some((request, length)) = parse(&self.bytes).ok()? {
                self.bytes.drain(..length);
                return Some(request);
            }
            if self.bytes.len() > MAX_REQUEST_BYTES {
                return None;
            }
            match self.stream.read(&mut chunk).await {
                Ok(count) if count > 0 => self.bytes.extend_from_slice(&chunk[..count]),
                _ => return None,
            }
        }
    }
}

/// Returns the first request in `bytes` and its length; `None` while it is incomplete.
fn parse(bytes: &[u8]) -> Result<Option<(Request, usize)>, InvalidRequest> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head) = request.parse(bytes).map_err(|_| InvalidRequest)? else {
        return Ok(None);
    };
    let method = request.method.ok_or(InvalidRequest)?.to_owned();
    let path = request.path.ok_or(InvalidRequest)?.to_owned();
    let length = content_length(request.headers)?;
    let end = head.checked_add(length).ok_or(InvalidRequest)?;
    let Some(body) = bytes.get(head..end) else { return Ok(None) };
    Ok(Some((Request { method, path, body: body.to_vec() }, end)))
}

/// Returns the length of the body: 0 if no header states one.
fn content_length(headers: &[httparse::Header<'_>]) -> Result<usize, InvalidRequest> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let Some(header) = header else { return Ok(0) };
    let text = std::str::from_utf8(header.value).map_err(|_| InvalidRequest)?;
    text.trim().parse().map_err(|_| InvalidRequest)
}

/// A reply.
pub(crate) struct Reply<'a> {
    /// Its status.
    pub status: u16,
    /// Headers beside the length of the body, each with its line end.
    pub headers: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

impl Reply<'_> {
    /// Returns a reply without headers and body.
    pub fn status(status: u16) -> Reply<'static> {
        Reply { status, headers: "", body: b"" }
    }

    /// Returns the reply's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let Reply { status, headers, body } = self;
        let length = match *status {
            NO_CONTENT => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let mut bytes = format!("HTTP/1.1 {status} Reply\r\n{headers}{length}\r\n").into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}
