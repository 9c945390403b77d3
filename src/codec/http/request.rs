//! Encoding of HTTP requests.

use std::fmt::Write as _;

/// A request with its body, ready to be written.
pub fn request(method: &str, path: &str, host: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let done = write!(head, "{name}: {value}\r\n");
        debug_assert!(done.is_ok());
    }
    head.push_str("\r\n");
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out
}
