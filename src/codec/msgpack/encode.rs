//! Encoding of the few MessagePack types that responses need.

/// Appends the header of an array of `length` elements.
pub fn put_array(out: &mut Vec<u8>, length: u8) {
    match length {
        0..=15 => out.push(0x90 | length),
        _ => out.extend([0xdc, 0, length]),
    }
}

/// Appends the header of a map of `length` pairs.
pub fn put_map(out: &mut Vec<u8>, length: u8) {
    match length {
        0..=15 => out.push(0x80 | length),
        _ => out.extend([0xde, 0, length]),
    }
}

/// Appends nil.
pub fn put_nil(out: &mut Vec<u8>) {
    out.push(0xc0);
}

/// Appends a boolean.
pub fn put_bool(out: &mut Vec<u8>, value: bool) {
    out.push(if value { 0xc3 } else { 0xc2 });
}

/// Appends an unsigned integer in its shortest form.
pub fn put_uint(out: &mut Vec<u8>, n: u64) {
    match n {
        0..=0x7f => out.push(n as u8),
        0x80..=0xff => out.extend([0xcc, n as u8]),
        0x100..=0xffff => {
            out.push(0xcd);
            out.extend((n as u16).to_be_bytes());
        }
        0x1_0000..=0xffff_ffff => {
            out.push(0xce);
            out.extend((n as u32).to_be_bytes());
        }
        _ => {
            out.push(0xcf);
            out.extend(n.to_be_bytes());
        }
    }
}

/// Appends a string.
pub fn put_str(out: &mut Vec<u8>, text: &str) {
    match text.len() {
        n @ 0..=31 => out.push(0xa0 | n as u8),
        n @ 32..=255 => out.extend([0xd9, n as u8]),
        n => {
            out.push(0xdb);
            out.extend((n as u32).to_be_bytes());
        }
    }
    out.extend(text.as_bytes());
}

/// Appends a byte string.
pub fn put_bin(out: &mut Vec<u8>, bytes: &[u8]) {
    match bytes.len() {
        n @ 0..=255 => out.extend([0xc4, n as u8]),
        n => {
            out.push(0xc6);
            out.extend((n as u32).to_be_bytes());
        }
    }
    out.extend(bytes);
}
