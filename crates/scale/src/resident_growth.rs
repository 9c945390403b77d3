//! The growth of this process's resident memory.

use crate::machine::resident_bytes;

/// Growth of this process's resident memory.
pub struct Growth {
    before: u64,
}

impl Growth {
    /// From now on.
    pub fn begin() -> Growth {
        Growth { before: resident_bytes() }
    }

    /// Bytes grown since then.
    pub fn bytes(&self) -> f64 {
        resident_bytes().saturating_sub(self.before) as f64
    }
}
