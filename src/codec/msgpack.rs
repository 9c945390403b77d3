//! MessagePack: reads whole values out of a growing buffer and writes the few forms that answers need. It owns
//! the bounds on length, depth and count; it must never allocate by a length that it was merely told.

/// The longest message that is taken in, with everything around its body, in bytes: the largest request takes less
/// than half of that, and every connection may hold one in part.
pub const MAX_MESSAGE: usize = 8 * 1024;
/// The deepest nesting.
const MAX_DEPTH: usize = 8;
/// The most values in one message.
const MAX_VALUES: usize = 1024;

/// One value. Strings are bytes: whether they are UTF-8 is looked at where they are used, so that a message with
/// a bad one can still be tied to its id.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// nil
    Nil,
    /// A boolean.
    Bool(bool),
    /// A whole number from 0.
    Uint(u64),
    /// A whole number under 0.
    Int(i64),
    /// A floating-point number.
    Float(f64),
    /// A string, perhaps not UTF-8.
    Str(Vec<u8>),
    /// Bytes.
    Bin(Vec<u8>),
    /// An array.
    Array(Vec<Value>),
    /// A map, in the order of the wire.
    Map(Vec<(Value, Value)>),
    /// An extension, whose content is passed over.
    Ext,
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Longer than [`MAX_MESSAGE`], or too many values.
    TooLong,
    /// Nested too deep.
    TooDeep,
    /// A byte that begins no value.
    BadByte,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Error::TooLong => "message too long",
            Error::TooDeep => "message nested too deep",
            Error::BadByte => "no MessagePack",
        })
    }
}

/// What stops a parse: a fault, or the end of what has come so far.
enum Stop {
    Fault(Error),
    More,
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    values: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], Stop> {
        if n > MAX_MESSAGE || self.at + n > MAX_MESSAGE {
            return Err(Stop::Fault(Error::TooLong));
        }
        let taken = self.bytes.get(self.at..self.at + n).ok_or(Stop::More)?;
        self.at += n;
        Ok(taken)
    }

    fn number(&mut self, width: usize) -> Result<u64, Stop> {
        Ok(self.take(width)?.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
    }

    fn length(&mut self, width: usize) -> Result<usize, Stop> {
        usize::try_from(self.number(width)?).map_err(|_| Stop::Fault(Error::TooLong))
    }

    fn signed(&mut self, width: usize) -> Result<Value, Stop> {
        let shift = 64 - 8 * width as u32;
        let n = (self.number(width)? << shift) as i64 >> shift;
        Ok(u64::try_from(n).map_or(Value::Int(n), Value::Uint))
    }

    fn bytes(&mut self, n: usize) -> Result<Vec<u8>, Stop> {
        Ok(self.take(n)?.to_vec())
    }

    fn ext(&mut self, n: usize) -> Result<Value, Stop> {
        self.take(n.saturating_add(1))?;
        Ok(Value::Ext)
    }

    fn array(&mut self, n: usize, depth: usize) -> Result<Value, Stop> {
        let mut items = Vec::new();
        for _ in 0..n {
            items.push(self.value(depth + 1)?);
        }
        Ok(Value::Array(items))
    }

    fn map(&mut self, n: usize, depth: usize) -> Result<Value, Stop> {
        let mut pairs = Vec::new();
        for _ in 0..n {
            pairs.push((self.value(depth + 1)?, self.value(depth + 1)?));
        }
        Ok(Value::Map(pairs))
    }

    fn value(&mut self, depth: usize) -> Result<Value, Stop> {
        self.values += 1;
        if self.values > MAX_VALUES {
            return Err(Stop::Fault(Error::TooLong));
        }
        if depth > MAX_DEPTH {
            return Err(Stop::Fault(Error::TooDeep));
        }
        let head = self.take(1)?[0];
        Ok(match head {
            0x00..=0x7f => Value::Uint(u64::from(head)),
            0x80..=0x8f => self.map(usize::from(head & 0x0f), depth)?,
            0x90..=0x9f => self.array(usize::from(head & 0x0f), depth)?,
            0xa0..=0xbf => Value::Str(self.bytes(usize::from(head & 0x1f))?),
            0xc0 => Value::Nil,
            0xc1 => return Err(Stop::Fault(Error::BadByte)),
            0xc2 | 0xc3 => Value::Bool(head == 0xc3),
            0xc4..=0xc6 => {
                let n = self.length(1 << (head - 0xc4))?;
                Value::Bin(self.bytes(n)?)
            }
            0xc7..=0xc9 => {
                let n = self.length(1 << (head - 0xc7))?;
                self.ext(n)?
            }
            0xca => Value::Float(f64::from(f32::from_bits(self.number(4)? as u32))),
            0xcb => Value::Float(f64::from_bits(self.number(8)?)),
            0xcc..=0xcf => Value::Uint(self.number(1 << (head - 0xcc))?),
            0xd0..=0xd3 => self.signed(1 << (head - 0xd0))?,
            0xd4..=0xd8 => self.ext(1 << (head - 0xd4))?,
            0xd9..=0xdb => {
                let n = self.length(1 << (head - 0xd9))?;
                Value::Str(self.bytes(n)?)
            }
            0xdc | 0xdd => {
                let n = self.length(if head == 0xdc { 2 } else { 4 })?;
                self.array(n, depth)?
            }
            0xde | 0xdf => {
                let n = self.length(if head == 0xde { 2 } else { 4 })?;
                self.map(n, depth)?
            }
            0xe0..=0xff => Value::Int(i64::from(head as i8)),
        })
    }
}

/// Takes bytes as they come and gives whole messages.
#[derive(Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    at: usize,
}

impl Decoder {
    /// Adds bytes that came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.at);
        self.at = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if it is there.
    ///
    /// # Errors
    /// On bytes that are no message or break a bound; nothing after them can be read.
    pub fn next_message(&mut self) -> Result<Option<Value>, Error> {
        let mut reader = Reader { bytes: &self.buffer[self.at..], at: 0, values: 0 };
        match reader.value(0) {
            Ok(value) => {
                self.at += reader.at;
                Ok(Some(value))
            }
            Err(Stop::More) => Ok(None),
            Err(Stop::Fault(e)) => Err(e),
        }
    }

    /// Whether nothing is left over.
    pub fn is_empty(&self) -> bool {
        self.at == self.buffer.len()
    }

    /// The message id of the request that the buffer begins with, whatever follows: it serves to answer a
    /// request that can't be read as a whole.
    pub fn request_id(&self) -> Option<u64> {
        let mut reader = Reader { bytes: &self.buffer[self.at..], at: 0, values: 0 };
        let head = reader.take(1).ok()?[0];
        let kind = reader.value(1).ok()?;
        match reader.value(1).ok()? {
            Value::Uint(id) if head == 0x94 && kind == Value::Uint(0) => Some(id),
            _ => None,
        }
    }
}

/// Writes an array's head.
pub fn put_array(out: &mut Vec<u8>, n: u8) {
    debug_assert!(n < 16);
    out.push(0x90 | n);
}

/// Writes a map's head.
pub fn put_map(out: &mut Vec<u8>, n: u8) {
    debug_assert!(n < 16);
    out.push(0x80 | n);
}

/// Writes nil.
pub fn put_nil(out: &mut Vec<u8>) {
    out.push(0xc0);
}

/// Writes a boolean.
pub fn put_bool(out: &mut Vec<u8>, value: bool) {
    out.push(if value { 0xc3 } else { 0xc2 });
}

/// Writes a whole number in its shortest form.
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

/// Writes a string.
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

/// Writes bytes.
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
