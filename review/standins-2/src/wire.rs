//! Codecs of the stand-ins: MessagePack-RPC, JSON lines, base64. Written from the protocol page.

/// A decoded MessagePack value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Uint(u64),
    Other,
    Str(String),
    Bin(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

fn put_str(out: &mut Vec<u8>, text: &str) {
    match text.len() {
        n @ 0..=31 => out.push(0xa0 | n as u8),
        n @ 32..=255 => out.extend([0xd9, n as u8]),
        n => {
            out.push(0xda);
            out.extend((n as u16).to_be_bytes());
        }
    }
    out.extend(text.as_bytes());
}

fn put_uint(out: &mut Vec<u8>, n: u64) {
    match n {
        0..=127 => out.push(n as u8),
        128..=255 => out.extend([0xcc, n as u8]),
        256..=65535 => {
            out.push(0xcd);
            out.extend((n as u16).to_be_bytes());
        }
        _ => {
            out.push(0xce);
            out.extend((n as u32).to_be_bytes());
        }
    }
}

fn put_fields(out: &mut Vec<u8>, fields: &[(&str, String)]) {
    out.push(0x80 | fields.len() as u8);
    for (name, value) in fields {
        put_str(out, name);
        put_str(out, value);
    }
}

/// Encodes `[0, id, method, [FIELDS, BODY]]`.
pub fn request(id: u64, method: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0];
    put_uint(&mut out, id);
    put_str(&mut out, method);
    out.push(0x92);
    put_fields(&mut out, fields);
    out.push(0xc5);
    out.extend((body.len() as u16).to_be_bytes());
    out.extend(body);
    out
}

/// Encodes `[0, id, "isWell", [FIELDS]]`.
pub fn health_check(id: u64) -> Vec<u8> {
    let mut out = vec![0x94, 0];
    put_uint(&mut out, id);
    put_str(&mut out, "isWell");
    out.push(0x91);
    put_fields(&mut out, &[]);
    out
}

/// Encodes `[2, "forget", [id]]`.
pub fn forget(id: u64) -> Vec<u8> {
    let mut out = vec![0x93, 2];
    put_str(&mut out, "forget");
    out.push(0x91);
    put_uint(&mut out, id);
    out
}

/// Decodes one value; `None` if the bytes end within it.
pub fn decode(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let take = |at: &mut usize, n: usize| -> Option<&[u8]> {
        let part = bytes.get(*at..*at + n)?;
        *at += n;
        Some(part)
    };
    let uint = |at: &mut usize, n: usize| -> Option<u64> {
        Some(take(at, n)?.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    };
    let text = |at: &mut usize, n: usize| -> Option<Value> {
        Some(Value::Str(String::from_utf8_lossy(take(at, n)?).into_owned()))
    };
    let tag = take(at, 1)?[0];
    Some(match tag {
        0x00..=0x7f => Value::Uint(u64::from(tag)),
        0x80..=0x8f => return map(bytes, at, usize::from(tag & 0xf)),
        0x90..=0x9f => return array(bytes, at, usize::from(tag & 0xf)),
        0xa0..=0xbf => return text(at, usize::from(tag & 0x1f)),
        0xc0 => Value::Nil,
        0xc2 => Value::Bool(false),
        0xc3 => Value::Bool(true),
        0xc4..=0xc6 => {
            let n = uint(at, 1 << (tag - 0xc4))? as usize;
            Value::Bin(take(at, n)?.to_vec())
        }
        0xca => take(at, 4).map(|_| Value::Other)?,
        0xcb => take(at, 8).map(|_| Value::Other)?,
        0xcc..=0xcf => Value::Uint(uint(at, 1 << (tag - 0xcc))?),
        0xd0..=0xd3 => uint(at, 1 << (tag - 0xd0)).map(|_| Value::Other)?,
        0xd9..=0xdb => {
            let n = uint(at, 1 << (tag - 0xd9))? as usize;
            return text(at, n);
        }
        0xdc | 0xdd => {
            let n = uint(at, 2 << (tag - 0xdc))? as usize;
            return array(bytes, at, n);
        }
        0xde | 0xdf => {
            let n = uint(at, 2 << (tag - 0xde))? as usize;
            return map(bytes, at, n);
        }
        0xe0..=0xff => Value::Other,
        _ => Value::Other,
    })
}

fn array(bytes: &[u8], at: &mut usize, n: usize) -> Option<Value> {
    (0..n).map(|_| decode(bytes, at)).collect::<Option<Vec<_>>>().map(Value::Array)
}

fn map(bytes: &[u8], at: &mut usize, n: usize) -> Option<Value> {
    (0..n).map(|_| Some((decode(bytes, at)?, decode(bytes, at)?))).collect::<Option<Vec<_>>>().map(Value::Map)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = (0..3).fold(0_u32, |n, i| n << 8 | u32::from(*part.get(i).unwrap_or(&0)));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= part.len() { digit } else { '=' });
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0_u32, 0);
    for byte in text.bytes().take_while(|byte| *byte != b'=') {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else { continue };
        n = (n << 6 | digit as u32) & 0xff_ffff;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
        }
    }
    out
}

/// Returns the value of a key in a flat JSON object of strings and numbers, without quotes.
pub fn json_value(line: &str, key: &str) -> Option<String> {
    let start = line.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = line[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => Some(text[..text.find('"')?].to_owned()),
        None => Some(rest[..rest.find([',', '}'])?].trim().to_owned()),
    }
}
