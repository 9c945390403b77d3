//! Encoding and decoding of client messages, as bytes and as the text of scripts.

use dunlinspread::codec::msgpack;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{SystemTime, UNIX_EPOCH};

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock past 1970").as_millis()
}

/// Returns the bytes of a text in which `\xNN` stands for a byte.
pub fn unescape(text: &str) -> Vec<u8> {
    let mut parts = text.split("\\x");
    let mut out = parts.next().unwrap_or("").as_bytes().to_vec();
    for part in parts {
        out.push(u8::from_str_radix(&part[..2], 16).expect("two hex digits"));
        out.extend(&part.as_bytes()[2..]);
    }
    out
}

/// Returns the bytes of the request `ID CLASS key=value…`. Fields that are not named get default values, and
/// fields with an empty value are omitted.
pub fn request(name: &str, text: &str) -> Vec<u8> {
    let mut words = text.split(' ');
    let id: u64 = words.next().and_then(|word| word.parse().ok()).expect("a message id");
    let class = words.next().expect("a class");
    let mut fields = vec![
        ("call", format!("{}{id:014}", name.bytes().map(|byte| format!("{byte:02x}")).collect::<String>())),
        ("recv", unix_ms().to_string()),
        ("src", "4".to_owned()),
        ("heap", "20".to_owned()),
        ("crit", "0.9".to_owned()),
        ("body", "b".to_owned()),
    ];
    for (key, value) in words.filter_map(|word| word.split_once('=')) {
        let value = match value.strip_prefix("now-") {
            Some(ago) => (unix_ms() - ago.parse::<u128>().expect("milliseconds")).to_string(),
            None => value
                .strip_prefix("x*")
                .map_or(value.to_owned(), |count| "x".repeat(count.parse().expect("a number"))),
        };
        fields.retain(|(k, _)| *k != key);
        fields.push((key, value));
    }
    let at = fields.iter().position(|(k, _)| *k == "body").expect("a body");
    let body = fields.remove(at).1;
    fields.retain(|(_, v)| !v.is_empty());
    let mut out = Vec::new();
    msgpack::put_array(&mut out, 4);
    msgpack::put_uint(&mut out, 0);
    msgpack::put_uint(&mut out, id);
    msgpack::put_str(&mut out, class);
    msgpack::put_array(&mut out, 2);
    msgpack::put_map(&mut out, fields.len() as u8);
    for (key, value) in &fields {
        msgpack::put_str(&mut out, key);
        msgpack::put_str(&mut out, value);
    }
    msgpack::put_bin(&mut out, body.as_bytes());
    out
}

/// Reads the next complete message and returns its bytes, escaped, or how the connection ended.
pub fn message(stream: &mut TcpStream) -> String {
    let (mut decoder, mut all, mut byte) = (msgpack::Decoder::default(), Vec::new(), [0]);
    loop {
        match stream.read(&mut byte) {
            Ok(0) => return "closed".to_owned(),
            Ok(_) => all.push(byte[0]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return "reset".to_owned(),
            Err(e) => panic!("no message arrives: {e}"),
        }
        decoder.feed(&byte);
        if decoder.next_message().expect("MessagePack").is_some() {
            return all.escape_ascii().to_string();
        }
    }
}
