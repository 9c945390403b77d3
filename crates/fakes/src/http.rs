//! The server's half of HTTP/1.1, as far as index and catalog need it.

use async_io::Async;
use futures_lite::AsyncReadExt;
use std::net::TcpStream;

/// The largest request taken, in bytes.
const MAX: usize = 16 << 20;

/// A request.
#[derive(Debug)]
pub(crate) struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// Reads the next request; none at the end of the connection or on what is no request.
pub(crate) async fn read(mut stream: &Async<TcpStream>, kept: &mut Vec<u8>) -> Option<Request> {
    let mut chunk = vec![0; 4096];
    loop {
        if let Some((request, used)) = parse(kept)? {
            kept.drain(..used);
            return Some(request);
        }
        if kept.len() > MAX {
            return None;
        }
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => kept.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}

/// The outer option is none on a fault, the inner one while more has to come.
fn parse(bytes: &[u8]) -> Option<Option<(Request, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head) = request.parse(bytes).ok()? else { return Some(None) };
    let (method, path) = (request.method?.to_owned(), request.path?.to_owned());
    let length = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
    let length: usize = match length {
        Some(header) => std::str::from_utf8(header.value).ok()?.trim().parse().ok()?,
        None => 0,
    };
    let Some(body) = bytes.get(head..head.checked_add(length)?) else { return Some(None) };
    Some(Some((Request { method, path, body: body.to_vec() }, head + length)))
}

/// A reply's bytes.
pub(crate) fn reply(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = if status == 204 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let mut out = format!("HTTP/1.1 {status} Reply\r\n{headers}{length}\r\n").into_bytes();
    out.extend_from_slice(body);
    out
}
