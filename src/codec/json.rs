//! JSON: reads one whole text into a value, and cuts a stream into lines. It owns the bounds on depth and on the
//! length of a line; it must never follow nesting without a bound, nor hold more of a line than that.

/// The deepest nesting.
const MAX_DEPTH: usize = 32;

/// One value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// null
    Null,
    /// A boolean.
    Bool(bool),
    /// A number.
    Number(f64),
    /// A string.
    Str(String),
    /// An array.
    Array(Vec<Value>),
    /// An object, in the order of the text.
    Object(Vec<(String, Value)>),
}

impl Value {
    /// The member of an object.
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Object(members) => members.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    /// The text of a string.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Value::Str(text) => Some(text),
            _ => None,
        }
    }

    /// The number.
    pub fn as_f64(&self) -> Option<f64> {
        match self {
            Value::Number(n) => Some(*n),
            _ => None,
        }
    }

    /// The number, if it is whole and from 0.
    pub fn as_u64(&self) -> Option<u64> {
        self.as_f64().filter(|n| n.fract() == 0.0 && (0.0..9e15).contains(n)).map(|n| n as u64)
    }
}

/// Why a text is no JSON, and at which byte.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The byte, from 0.
    pub at: usize,
    /// What is wrong there.
    pub what: &'static str,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "no JSON at byte {}: {}", self.at, self.what)
    }
}

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

/// Appends a string in quotes.
pub fn put_str(out: &mut String, text: &str) {
    use std::fmt::Write as _;
    out.push('"');
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            '\0'..='\u{1f}' => {
                let done = write!(out, "\\u{:04x}", u32::from(c));
                debug_assert!(done.is_ok());
            }
            _ => out.push(c),
        }
    }
    out.push('"');
}

/// Takes bytes as they come and gives whole lines; a line over the bound is dropped up to its end.
pub struct Lines {
    buffer: Vec<u8>,
    at: usize,
    max: usize,
    skipping: bool,
}

/// What [`Lines`] found.
#[derive(Debug, PartialEq, Eq)]
pub enum Line {
    /// A line, without its end.
    Whole(Vec<u8>),
    /// A line over the bound begins here; it is passed over.
    TooLong,
}

impl Lines {
    /// Lines of at most so many bytes.
    pub fn new(max: usize) -> Self {
        Lines { buffer: Vec::new(), at: 0, max, skipping: false }
    }

    /// Adds bytes that came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.at);
        self.at = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next line, if its end is there.
    pub fn next_line(&mut self) -> Option<Line> {
        loop {
            let rest = &self.buffer[self.at..];
            let end = rest.iter().position(|b| *b == b'\n');
            let length = end.unwrap_or(rest.len());
            if length > self.max || self.skipping {
                let known = std::mem::replace(&mut self.skipping, end.is_none());
                self.at += end.map_or(length, |e| e + 1);
                if !known {
                    return Some(Line::TooLong);
                }
                end?;
                continue;
            }
            let line = rest[..end?].to_vec();
            self.at += length + 1;
            return Some(Line::Whole(line));
        }
    }
}
