//! Lines of a stream.

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
