//! The parser of JSON texts.

use super::error::Error;
use super::value::Value;
use std::ops::Range;

/// The deepest nesting.
const MAX_DEPTH: usize = 32;
/// Code units that are the first of a pair.
const HIGH_SURROGATES: Range<u32> = 0xd800..0xdc00;
/// Code units that are the second of a pair.
const LOW_SURROGATES: Range<u32> = 0xdc00..0xe000;

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn error<T>(&self, what: &'static str) -> Result<T, Error> {
        Err(Error { at: self.at, what })
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn skip_whitespace(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.at += 1;
        }
    }

    fn accept(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
        found
    }

    fn literal(&mut self, word: &str, value: Value) -> Result<Value, Error> {
        if !self.bytes[self.at..].starts_with(word.as_bytes()) {
            return self.error("no value");
        }
        self.at += word.len();
        Ok(value)
    }

    fn value(&mut self, depth: usize) -> Result<Value, Error> {
        if depth > MAX_DEPTH {
            return self.error("nested too deep");
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
            _ => self.error("no value"),
        }?;
        self.skip_whitespace();
        Ok(value)
    }

    fn object(&mut self, depth: usize) -> Result<Value, Error> {
        self.at += 1;
        let mut members = Vec::new();
        self.skip_whitespace();
        if self.accept(b'}') {
            return Ok(Value::Object(members));
        }
        loop {
            self.skip_whitespace();
            if self.peek() != Some(b'"') {
                return self.error("a member has no name");
            }
            let name = self.string()?;
            self.skip_whitespace();
            if !self.accept(b':') {
                return self.error("a colon is missing");
            }
            members.push((name, self.value(depth + 1)?));
            if self.accept(b'}') {
                // A list may have very many objects, each of a few members.
                members.shrink_to_fit();
                return Ok(Value::Object(members));
            }
            if !self.accept(b',') {
                return self.error("an object is not closed");
            }
        }
    }

    fn array(&mut self, depth: usize) -> Result<Value, Error> {
        self.at += 1;
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
                return self.error("an array is not closed");
            }
        }
    }

    fn number(&mut self) -> Result<Value, Error> {
        let from = self.at;
        while matches!(self.peek(), Some(b'-' | b'+' | b'.' | b'e' | b'E' | b'0'..=b'9')) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[from..self.at]).unwrap_or("");
        match text.parse::<f64>() {
            Ok(n) if n.is_finite() => Ok(Value::Number(n)),
            _ => self.error("no number"),
        }
    }

    fn four_hex_digits(&mut self) -> Result<u32, Error> {
        let digits = self.bytes.get(self.at..self.at + 4).and_then(|d| std::str::from_utf8(d).ok());
        match digits.filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit())) {
            Some(d) => {
                self.at += 4;
                Ok(u32::from_str_radix(d, 16).unwrap_or(0))
            }
            None => self.error("a bad escape"),
        }
    }

    fn string(&mut self) -> Result<String, Error> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let Some(byte) = self.peek() else { return self.error("a string is not closed") };
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    let character = self.escape()?;
                    text.extend(character.encode_utf8(&mut [0; 4]).as_bytes());
                }
                0..=0x1f => return self.error("a raw control character in a string"),
                _ => text.push(byte),
            }
        }
        String::from_utf8(text).or_else(|_| self.error("a string is not UTF-8"))
    }

    /// Reads an escape after its backslash.
    fn escape(&mut self) -> Result<char, Error> {
        let Some(escape) = self.peek() else { return self.error("a bad escape") };
        self.at += 1;
        match escape {
            b'"' | b'\\' | b'/' => Ok(char::from(escape)),
            b'b' => Ok('\u{8}'),
            b'f' => Ok('\u{c}'),
            b'n' => Ok('\n'),
            b'r' => Ok('\r'),
            b't' => Ok('\t'),
            b'u' => self.unicode_escape(),
            _ => self.error("a bad escape"),
        }
    }

    /// Reads the digits of a `\u` escape, and those of a second one where the first is the high half of a pair. A half
    /// without its other half becomes the replacement character.
    fn unicode_escape(&mut self) -> Result<char, Error> {
        let mut code = self.four_hex_digits()?;
        if HIGH_SURROGATES.contains(&code) && self.bytes[self.at..].starts_with(b"\\u") {
            self.at += 2;
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
/// If the text is no JSON, has anything after the value, or nests past the limit.
pub fn parse(bytes: &[u8]) -> Result<Value, Error> {
    let mut parser = Parser { bytes, at: 0 };
    let value = parser.value(0)?;
    if parser.at < bytes.len() { parser.error("more after the value") } else { Ok(value) }
}
