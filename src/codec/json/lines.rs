//! Splitting of a stream into lines.

/// Splits bytes that are fed in pieces of any size into lines. A line that exceeds the limit is skipped.
pub struct Lines {
    buffer: Vec<u8>,
    position: usize,
    max_line_bytes: usize,
    is_skipping: bool,
}

/// A line of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Line {
    /// A line, without its newline.
    Whole(Vec<u8>),
    /// A line that exceeds the limit; its bytes are skipped.
    TooLong,
}

impl Lines {
    /// Returns a splitter for lines of at most `max_line_bytes`.
    pub fn new(max_line_bytes: usize) -> Self {
        Lines { buffer: Vec::new(), position: 0, max_line_bytes, is_skipping: false }
    }

    /// Appends bytes of the stream to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.position);
        self.position = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next line if its newline has arrived.
    pub fn next_line(&mut self) -> Option<Line> {
        loop {
            let rest = &self.buffer[self.position..];
            let end = rest.iter().position(|b| *b == b'\n');
            let length = end.unwrap_or(rest.len());
            if length > self.max_line_bytes || self.is_skipping {
                let was_skipping = std::mem::replace(&mut self.is_skipping, end.is_none());
                self.position += end.map_or(length, |e| e + 1);
                if !was_skipping {
                    return Some(Line::TooLong);
                }
                end?;
                continue;
            }
            let line = rest[..end?].to_vec();
            self.position += length + 1;
            return Some(Line::Whole(line));
        }
    }
}
