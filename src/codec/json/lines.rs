//! Lines of a stream.

/// Cuts bytes, in any pieces, into lines. A line past the limit is skipped.
pub struct Lines {
    buffer: Vec<u8>,
    at: usize,
    max: usize,
    skipping: bool,
}

/// A line of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Line {
    /// A line, without its end.
    Whole(Vec<u8>),
    /// A line past the limit, which is skipped.
    TooLong,
}

impl Lines {
    /// Returns a decoder of lines of at most `max` bytes.
    pub fn new(max: usize) -> Self {
        Lines { buffer: Vec::new(), at: 0, max, skipping: false }
    }

    /// Adds bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.at);
        self.at = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next line if its end has come.
    pub fn next_line(&mut self) -> Option<Line> {
        loop {
            let rest = &self.buffer[self.at..];
            let end = rest.iter().position(|b| *b == b'\n');
            let length = end.unwrap_or(rest.len());
            if length > self.max || self.skipping {
                let was_skipping = std::mem::replace(&mut self.skipping, end.is_none());
                self.at += end.map_or(length, |e| e + 1);
                if !was_skipping {
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
