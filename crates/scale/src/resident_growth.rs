//! Measures the growth of this process's resident memory.

use crate::machine::resident_bytes;

/// Growth of this process's resident memory since [`Growth::begin`].
pub struct Growth {
    before: u64,
}

impl Growth {
    /// Starts measuring from the current resident memory.
    pub fn begin() -> Growth {
        Growth { before: resident_bytes() }
    }

    /// Returns the growth since [`Growth::begin`] in bytes, 0 if the memory shrank.
    pub fn bytes(&self) -> f64 {
        resident_bytes().saturating_sub(self.before) as f64
    }
}
