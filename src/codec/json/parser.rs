//! Parser for JSON texts.

use super::error::Error;
use super::value::Value;
use std::ops::Range;

/// Maximum depth of nesting.
const MAX_DEPTH: usize = 32;
/// UTF-16 code units that are the first of a surrogate pair.
const HIGH_SURROGATES: Range<u32> = 0xd800..0xdc00;
/// UTF-16 code units that are the second of a surrogate pair.
const LOW_SURROGATES: Range<u32> = 0xdc00..0xe000;

struct Parser<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn error<T>(&self, reason: &'static str) -> Result<T, Error> {
        Err(Error { offset: self.position, reason })
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.position).copied()
    }

    fn skip_whitespace(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.position += 1;
        }
    }

    fn accept(&mut self, byte: u8) -> bool {
        let is_next = self.peek() == Some(byte);
        self.position += usize::from(is_next);
        is_next
    }

    fn literal(&mut self, word: &str, value: Value) -> Result<Value, Error> {
        if !self.bytes[self.position..].starts_with(word.as_bytes()) {
            return self.error("expected a value");
        }
        self.position += word.len();
        Ok(value)
    }

    fn value(&mut self, depth: usize) -> Result<Value, Error> {
        if depth > MAX_DEPTH {
            return self.error("nested too deeply");
        }
        self.skip_whitespace();
        let value = match self.peek() {
            Some(b'{') => self.object(depth),
            Some(b'[') => self.array(depth),
            Some(b'"') => self.string().map(Value::Str),
            Some(b't') => self.literal("true", Value::Bool(true)),
            Some(b'f') => self.literal("false", Value::Bool(false)),
            Some(b'n') => self.literal("null", Value::Null),
            Some(b'-' | b'0'..=b'9') => self.number(),
            _ => self.error("expected a value"),
        }?;
        self.skip_whitespace();
        Ok(value)
    }

    fn object(&mut self, depth: usize) -> Result<Value, Error> {
        self.position += 1;
        let mut members = Vec::new();
        self.skip_whitespace();
        if self.accept(b'}') {
            return Ok(Value::Object(members));
        }
        loop {
            self.skip_whitespace();
            if self.peek() != Some(b'"') {
                return self.error("expected a member name");
            }
            let name = self.string()?;
            self.skip_whitespace();
            if !self.accept(b':') {
                return self.error("expected `:`");
            }
            members.push((name, self.value(depth + 1)?));
            if self.accept(b'}') {
                // Saves memory: an array may hold very many objects of a few members each.
                members.shrink_to_fit();
                return Ok(Value::Object(members));
            }
            if !self.accept(b',') {
                return self.error("expected `,` or `}`");
            }
        }
    }

    fn array(&mut self, depth: usize) -> Result<Value, Error> {
        self.position += 1;
        let mut items = Vec::new();
        self.skip_whitespace();
        if self.accept(b']') {
            return Ok(Value::Array(items));
        }
        loop {
            items.push(self.value(depth + 1)?);
            if self.accept(b']') {
                return Ok(Value::Array(items));
            }
            if !self.accept(b',') {
                return self.error("expected `,` or `]`");
            }
        }
    }

    fn number(&mut self) -> Result<Value, Error> {
        let start = self.position;
        while matches!(self.peek(), Some(b'-' | b'+' | b'.' | b'e' | b'E' | b'0'..=b'9')) {
            self.position += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.position]).unwrap_or("");
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Value::Number(number)),
            _ => self.error("invalid number"),
        }
    }

    fn four_hex_digits(&mut self) -> Result<u32, Error> {
        let digits =
            self.bytes.get(self.position..self.position + 4).and_then(|d| std::str::from_utf8(d).ok());
        match digits.filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit())) {
            Some(d) => {
                self.position += 4;
                Ok(u32::from_str_radix(d, 16).unwrap_or(0))
            }
            None => self.error("invalid escape"),
        }
    }

    fn string(&mut self) -> Result<String, Error> {
        self.position += 1;
        let mut text = Vec::new();
        loop {
            let Some(byte) = self.peek() else { return self.error("unterminated string") };
            self.position += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    let character = self.escape()?;
                    text.extend(character.encode_utf8(&mut [0; 4]).as_bytes());
                }
                0..=0x1f => return self.error("unescaped control character in a string"),
                _ => text.push(byte),
            }
        }
        String::from_utf8(text).or_else(|_| self.error("string is not valid UTF-8"))
    }

    /// Reads an escape after its backslash.
    fn escape(&mut self) -> Result<char, Error> {
        let Some(escape) = self.peek() else { return self.error("invalid escape") };
        self.position += 1;
        match escape {
            b'"' | b'\\' | b'/' => Ok(char::from(escape)),
            b'b' => Ok('\u{8}'),
            b'f' => Ok('\u{c}'),
            b'n' => Ok('\n'),
            b'r' => Ok('\r'),
            b't' => Ok('\t'),
            b'u' => self.unicode_escape(),
            _ => self.error("invalid escape"),
        }
    }

    /// Reads the digits of a `\u` escape, and a second escape if the first one is a high surrogate. An
    /// unpaired surrogate becomes the replacement character.
    fn unicode_escape(&mut self) -> Result<char, Error> {
        let mut code = self.four_hex_digits()?;
        if HIGH_SURROGATES.contains(&code) && self.bytes[self.position..].starts_with(b"\\u") {
            self.position += 2;
            let low = self.four_hex_digits()?;
            code = if LOW_SURROGATES.contains(&low) {
                0x10000 + ((code - HIGH_SURROGATES.start) << 10) + (low - LOW_SURROGATES.start)
            } else {
                u32::from(char::REPLACEMENT_CHARACTER)
            };
        }
        Ok(char::from_u32(code).unwrap_or(char::REPLACEMENT_CHARACTER))
    }
}

/// Parses a text as one value.
///
/// # Errors
/// Returns an [`Error`] if the text is not valid JSON, has trailing characters after the value, or is nested
/// too deeply.
pub fn parse(bytes: &[u8]) -> Result<Value, Error> {
    let mut parser = Parser { bytes, position: 0 };
    let value = parser.value(0)?;
    if parser.position < bytes.len() {
        parser.error("trailing characters after the value")
    } else {
        Ok(value)
    }
}
