//! Reader for one MessagePack message.

use super::error::Error;
use super::value::Value;

/// Maximum length of a message including everything around its body, bytes. The largest request takes less
/// than half of it, and each connection may hold one partial message.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024;
/// Maximum depth of nesting.
const MAX_DEPTH: usize = 8;
/// Maximum number of values in one message.
const MAX_VALUES: usize = 1024;

/// Reason why a value can't be read.
pub(super) enum ReadError {
    /// The bytes are not a valid message.
    Invalid(Error),
    /// The value is not complete yet.
    Incomplete,
}

/// Reads values from the start of a buffer.
pub(super) struct Reader<'a> {
    pub(super) bytes: &'a [u8],
    pub(super) position: usize,
    pub(super) values_read: usize,
}

impl<'a> Reader<'a> {
    pub(super) fn take(&mut self, n: usize) -> Result<&'a [u8], ReadError> {
        if n > MAX_MESSAGE_BYTES || self.position + n > MAX_MESSAGE_BYTES {
            return Err(ReadError::Invalid(Error::TooLong));
        }
        let taken = self.bytes.get(self.position..self.position + n).ok_or(ReadError::Incomplete)?;
        self.position += n;
        Ok(taken)
    }

    fn number(&mut self, width: usize) -> Result<u64, ReadError> {
        Ok(self.take(width)?.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
    }

    fn length(&mut self, width: usize) -> Result<usize, ReadError> {
        usize::try_from(self.number(width)?).map_err(|_| ReadError::Invalid(Error::TooLong))
    }

    fn signed(&mut self, width: usize) -> Result<Value, ReadError> {
        let shift = 64 - 8 * width as u32;
        let n = (self.number(width)? << shift) as i64 >> shift;
        Ok(u64::try_from(n).map_or(Value::Int(n), Value::Uint))
    }

    fn bytes(&mut self, n: usize) -> Result<Vec<u8>, ReadError> {
        Ok(self.take(n)?.to_vec())
    }

    fn ext(&mut self, n: usize) -> Result<Value, ReadError> {
        self.take(n.saturating_add(1))?;
        Ok(Value::Ext)
    }

    fn array(&mut self, n: usize, depth: usize) -> Result<Value, ReadError> {
        let mut items = Vec::new();
        for _ in 0..n {
            items.push(self.value(depth + 1)?);
        }
        Ok(Value::Array(items))
    }

    fn map(&mut self, n: usize, depth: usize) -> Result<Value, ReadError> {
        let mut pairs = Vec::new();
        for _ in 0..n {
            pairs.push((self.value(depth + 1)?, self.value(depth + 1)?));
        }
        Ok(Value::Map(pairs))
    }

    pub(super) fn value(&mut self, depth: usize) -> Result<Value, ReadError> {
        self.values_read += 1;
        if self.values_read > MAX_VALUES {
            return Err(ReadError::Invalid(Error::TooLong));
        }
        if depth > MAX_DEPTH {
            return Err(ReadError::Invalid(Error::TooDeep));
        }
        let marker = self.take(1)?[0];
        Ok(match marker {
            0x00..=0x7f => Value::Uint(u64::from(marker)),
            0x80..=0x8f => self.map(usize::from(marker & 0x0f), depth)?,
            0x90..=0x9f => self.array(usize::from(marker & 0x0f), depth)?,
            0xa0..=0xbf => Value::Str(self.bytes(usize::from(marker & 0x1f))?),
            0xc0 => Value::Nil,
            0xc1 => return Err(ReadError::Invalid(Error::InvalidMarker)),
            0xc2 | 0xc3 => Value::Bool(marker == 0xc3),
            0xc4..=0xc6 => {
                let n = self.length(1 << (marker - 0xc4))?;
                Value::Bin(self.bytes(n)?)
            }
            0xc7..=0xc9 => {
                let n = self.length(1 << (marker - 0xc7))?;
                self.ext(n)?
            }
            0xca => Value::Float(f64::from(f32::from_bits(self.number(4)? as u32))),
            0xcb => Value::Float(f64::from_bits(self.number(8)?)),
            0xcc..=0xcf => Value::Uint(self.number(1 << (marker - 0xcc))?),
            0xd0..=0xd3 => self.signed(1 << (marker - 0xd0))?,
            0xd4..=0xd8 => self.ext(1 << (marker - 0xd4))?,
            0xd9..=0xdb => {
                let n = self.length(1 << (marker - 0xd9))?;
                Value::Str(self.bytes(n)?)
            }
            0xdc | 0xdd => {
                let n = self.length(if marker == 0xdc { 2 } else { 4 })?;
                self.array(n, depth)?
            }
            0xde | 0xdf => {
                let n = self.length(if marker == 0xde { 2 } else { 4 })?;
                self.map(n, depth)?
            }
            0xe0..=0xff => Value::Int(i64::from(marker as i8)),
        })
    }
}
