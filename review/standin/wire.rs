//! Encodings that the stand-ins need: MessagePack, Base64, and single members of JSON objects.

/// A MessagePack value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Uint(u64),
    Str(String),
    Bin(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

impl Value {
    pub fn array(&self) -> &[Value] {
        match self {
            Value::Array(items) => items,
            _ => &[],
        }
    }
}

pub fn put_head(out: &mut Vec<u8>, fix: u8, fix_max: usize, wide: u8, length: usize) {
    if length <= fix_max {
        out.push(fix | length as u8);
    } else {
        out.push(wide);
        out.extend_from_slice(&(length as u16).to_be_bytes());
    }
}

pub fn put_str(out: &mut Vec<u8>, text: &str) {
    put_head(out, 0xa0, 31, 0xda, text.len());
    out.extend_from_slice(text.as_bytes());
}

pub fn put_uint(out: &mut Vec<u8>, number: u64) {
    if number < 128 {
        out.push(number as u8);
    } else {
        out.push(0xce);
        out.extend_from_slice(&(number as u32).to_be_bytes());
    }
}

pub fn put_bin(out: &mut Vec<u8>, bytes: &[u8]) {
    out.push(0xc5);
    out.extend_from_slice(&(bytes.len() as u16).to_be_bytes());
    out.extend_from_slice(bytes);
}

pub fn put_map(out: &mut Vec<u8>, fields: &[(&str, String)]) {
    put_head(out, 0x80, 15, 0xde, fields.len());
    for (name, value) in fields {
        put_str(out, name);
        put_str(out, value);
    }
}

/// A request of a client proxy: `[0, id, class, [FIELDS, BODY]]`.
pub fn request(id: u64, class: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0x00];
    put_uint(&mut out, id);
    put_str(&mut out, class);
    out.push(0x92);
    put_map(&mut out, fields);
    put_bin(&mut out, body);
    out
}

/// A health check: `[0, id, "isWell", [FIELDS]]`.
pub fn health_check(id: u64) -> Vec<u8> {
    let mut out = vec![0x94, 0x00];
    put_uint(&mut out, id);
    put_str(&mut out, "isWell");
    out.push(0x91);
    put_map(&mut out, &[]);
    out
}

/// Reads one value from the start of `bytes`; `None` if it is not complete. Returns it with its length.
pub fn read_value(bytes: &[u8]) -> Option<(Value, usize)> {
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    Some((value, at))
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, count: usize) -> Option<&'a [u8]> {
    let taken = bytes.get(*at..*at + count)?;
    *at += count;
    Some(taken)
}

fn number(bytes: &[u8], at: &mut usize, width: usize) -> Option<u64> {
    Some(take(bytes, at, width)?.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
}

fn text(bytes: &[u8], at: &mut usize, length: usize) -> Option<Value> {
    Some(Value::Str(String::from_utf8_lossy(take(bytes, at, length)?).into_owned()))
}

fn array(bytes: &[u8], at: &mut usize, length: usize) -> Option<Value> {
    (0..length).map(|_| value(bytes, at)).collect::<Option<Vec<_>>>().map(Value::Array)
}

fn map(bytes: &[u8], at: &mut usize, length: usize) -> Option<Value> {
    let pair = |at: &mut usize| Some((value(bytes, at)?, value(bytes, at)?));
    (0..length).map(|_| pair(at)).collect::<Option<Vec<_>>>().map(Value::Map)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let marker = take(bytes, at, 1)?[0];
    let low = usize::from(marker);
    Some(match marker {
        0x00..=0x7f => Value::Uint(u64::from(marker)),
        0x80..=0x8f => map(bytes, at, low & 0x0f)?,
        0x90..=0x9f => array(bytes, at, low & 0x0f)?,
        0xa0..=0xbf => text(bytes, at, low & 0x1f)?,
        0xc0 => Value::Nil,
        0xc2 | 0xc3 => Value::Bool(marker == 0xc3),
        0xc4..=0xc6 => {
            let length = number(bytes, at, 1 << (marker - 0xc4))? as usize;
            Value::Bin(take(bytes, at, length)?.to_vec())
        }
        0xcc..=0xcf => Value::Uint(number(bytes, at, 1 << (marker - 0xcc))?),
        0xd9..=0xdb => {
            let length = number(bytes, at, 1 << (marker - 0xd9))? as usize;
            text(bytes, at, length)?
        }
        0xdc => {
            let length = number(bytes, at, 2)? as usize;
            array(bytes, at, length)?
        }
        0xde => {
            let length = number(bytes, at, 2)? as usize;
            map(bytes, at, length)?
        }
        _ => panic!("the server sent MessagePack with the marker {marker:#x}"),
    })
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for piece in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..piece.len()].copy_from_slice(piece);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position) & 63) as usize];
            out.push(if position <= piece.len() { digit as char } else { '=' });
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else { break };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count & 0xff) as u8);
        }
    }
    out
}

/// The value of a string or number member of a JSON object on one line, as text. Commands of the server hold
/// no escapes in the members that are asked for.
pub fn member<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = line[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next().map(str::trim),
    }
}
