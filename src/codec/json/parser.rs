//! The parser of JSON texts.

use super::error::Error;
use super::value::Value;

/// The deepest nesting.
const MAX_DEPTH: usize = 32;

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn fault<T>(&self, what: &'static str) -> Result<T, Error> {
        Err(Error { at: self.at, what })
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn space(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.at += 1;
        }
    }

    fn accept(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Value) -> Result<Value, Error> {
        if !self.bytes[self.at..].starts_with(word.as_bytes()) {
            return self.fault("no value");
        }
        self.at += word.len();
        Ok(value)
    }

    fn value(&mut self, depth: usize) -> Result<Value, Error> {
        if depth > MAX_DEPTH {
            return self.fault("nested too deep");
        }
        self.space();
        let value = match self.peek() {
            Some(b'{') => self.object(depth),
            Some(b'[') => self.array(depth),
            Some(b'"') => self.string().map(Value::Str),
            Some(b't') => self.word("true", Value::Bool(true)),
            Some(b'f') => self.word("false", Value::Bool(false)),
            Some(b'n') => self.word("null", Value::Null),
            Some(b'-' | b'0'..=b'9') => self.number(),
            _ => self.fault("no value"),
        }?;
        self.space();
        Ok(value)
    }

    fn object(&mut self, depth: usize) -> Result<Value, Error> {
        self.at += 1;
        let mut members = Vec::new();
        self.space();
        if self.accept(b'}') {
            return Ok(Value::Object(members));
        }
        loop {
            self.space();
            if self.peek() != Some(b'"') {
                return self.fault("a member has no name");
            }
            let name = self.string()?;
            self.space();
            if !self.accept(b':') {
                return self.fault("a colon is missing");
            }
            members.push((name, self.value(depth + 1)?));
            if self.accept(b'}') {
                // A list may have very many objects, each of a few members.
                members.shrink_to_fit();
                return Ok(Value::Object(members));
            }
            if !self.accept(b',') {
                return self.fault("an object is not closed");
            }
        }
    }

    fn array(&mut self, depth: usize) -> Result<Value, Error> {
        self.at += 1;
        let mut items = Vec::new();
        self.space();
        if self.accept(b']') {
            return Ok(Value::Array(items));
        }
        loop {
            items.push(self.value(depth + 1)?);
            if self.accept(b']') {
                return Ok(Value::Array(items));
            }
            if !self.accept(b',') {
                return self.fault("an array is not closed");
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
            _ => self.fault("no number"),
        }
    }

    fn hex4(&mut self) -> Result<u32, Error> {
        let digits = self.bytes.get(self.at..self.at + 4).and_then(|d| std::str::from_utf8(d).ok());
        match digits.filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit())) {
            Some(d) => {
                self.at += 4;
                Ok(u32::from_str_radix(d, 16).unwrap_or(0))
            }
            None => self.fault("a bad escape"),
        }
    }

    fn string(&mut self) -> Result<String, Error> {
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let Some(byte) = self.peek() else { return self.fault("a string is not closed") };
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    let Some(escape) = self.peek() else { return self.fault("a bad escape") };
                    self.at += 1;
                    let plain = match escape {
                        b'"' | b'\\' | b'/' => char::from(escape),
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'n' => '\n',
                        b'r' => '\r',
                        b't' => '\t',
                        b'u' => {
                            let mut code = self.hex4()?;
                            if (0xd800..0xdc00).contains(&code) && self.bytes[self.at..].starts_with(b"\\u") {
                                self.at += 2;
                                let low = self.hex4()?;
                                code = if (0xdc00..0xe000).contains(&low) {
                                    0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00)
                                } else {
                                    0xfffd
                                };
                            }
                            char::from_u32(code).unwrap_or('\u{fffd}')
                        }
                        _ => return self.fault("a bad escape"),
                    };
                    out.extend(plain.encode_utf8(&mut [0; 4]).as_bytes());
                }
                0..=0x1f => return self.fault("a raw control character in a string"),
                _ => out.push(byte),
            }
        }
        String::from_utf8(out).or_else(|_| self.fault("a string is not UTF-8"))
    }
}

/// Reads one text as a whole.
///
/// # Errors
/// On what is no JSON, on anything after the value, and on nesting past the bound.
pub fn parse(bytes: &[u8]) -> Result<Value, Error> {
    let mut parser = Parser { bytes, at: 0 };
    let value = parser.value(0)?;
    if parser.at < bytes.len() { parser.fault("more after the value") } else { Ok(value) }
}
