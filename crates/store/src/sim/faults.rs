//! The faults of a simulated disk.

/// What goes wrong on a simulated disk.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The operation at which the power is cut, counted from 0; it and all after it fail.
    pub crash_at: Option<u64>,
    /// The syncs that fail, of files and of the directory, counted from 0.
    pub failing_syncs: Vec<u64>,
    /// The bytes that fit, of all files.
    pub capacity_bytes: Option<u64>,
    /// Whether truncating a file fails.
    pub failing_truncates: bool,
    /// Whether some writes and reads transfer only a part.
    pub short_transfers: bool,
}
