//! The server side of HTTP/1.1, limited to what the fakes need.

use async_io::Async;
use futures_lite::AsyncReadExt;
use std::net::TcpStream;

/// Maximum size of a request, bytes.
const MAX_REQUEST_BYTES: usize = 16 << 20;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 32;
/// Size of the read buffer, bytes.
const READ_BUFFER_BYTES: usize = 4096;
/// Status code of replies without a body and without a `Content-Length` header.
const NO_CONTENT: u16 = 204;

/// An HTTP request.
#[derive(Debug)]
pub(crate) struct Request {
    /// Request method.
    pub method: String,
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: Vec<u8>,
}

/// Error for bytes that are not a valid HTTP request.
struct InvalidRequest;

/// Reads the requests from a connection.
pub(crate) struct RequestReader<'a> {
    stream: &'a Async<TcpStream>,
    bytes: Vec<u8>,
}

impl RequestReader<'_> {
    /// Returns a reader for a new connection.
    pub fn new(stream: &Async<TcpStream>) -> RequestReader<'_> {
        RequestReader { stream, bytes: Vec::new() }
    }

    /// Returns the next request; `None` at the end of the connection or if the request is invalid or too
    /// large.
    pub async fn next(&mut self) -> Option<Request> {
        let mut chunk = vec![0; READ_BUFFER_BYTES];
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

/// Parses the first request in `bytes` and returns it with its length; `None` while it is incomplete.
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

/// Returns the length of the body; 0 if there is no `Content-Length` header.
fn content_length(headers: &[httparse::Header<'_>]) -> Result<usize, InvalidRequest> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let Some(header) = header else { return Ok(0) };
    let text = std::str::from_utf8(header.value).map_err(|_| InvalidRequest)?;
    text.trim().parse().map_err(|_| InvalidRequest)
}

/// An HTTP reply.
pub(crate) struct Reply<'a> {
    /// Status code.
    pub status: u16,
    /// Headers other than `Content-Length`, each with its line ending.
    pub headers: &'a str,
    /// Reply body.
    pub body: &'a [u8],
}

impl Reply<'_> {
    /// Returns a reply without additional headers and without a body.
    pub fn status(status: u16) -> Reply<'static> {
        Reply { status, headers: "", body: b"" }
    }

    /// Returns the encoded reply.
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
