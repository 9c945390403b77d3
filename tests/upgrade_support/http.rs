//! Calls of the control endpoint in plain HTTP/1.1, one call per connection.

use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The reply to a call.
#[derive(Debug)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// The body of the reply.
    pub body: String,
    /// Time from the connect to the end of the reply.
    pub took: Duration,
}

impl HttpReply {
    /// Returns whether the status is 200 to 299.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns the body as JSON.
    ///
    /// # Panics
    /// Panics if the body is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body)
            .unwrap_or_else(|error| panic!("the body is not JSON: {error}: {}", self.body))
    }
}

/// Makes a call and reads its reply up to the stated length.
///
/// # Errors
/// Returns an [`io::Error`] if the connection fails or ends before the whole reply.
pub fn call(address: SocketAddr, method: &str, path: &str) -> io::Result<HttpReply> {
    let began = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    let length = if method == "PUT" { "Content-Length: 0\r\n" } else { "" };
    let request = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n{length}\r\n");
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some((status, body)) = parse(&bytes) {
            return Ok(HttpReply { status, body, took: began.elapsed() });
        }
        match stream.read(&mut chunk)? {
            0 => return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the reply is incomplete")),
            count => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Returns the status and body of a reply; `None` while it is incomplete.
fn parse(bytes: &[u8]) -> Option<(u16, String)> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let lengths = head.lines().filter_map(|line| line.split_once(':'));
    let mut lengths = lengths.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = lengths.next().map_or(Some(0), |(_, value)| value.trim().parse::<usize>().ok())?;
    (body.len() >= length).then(|| (status, body[..length].to_owned()))
}
