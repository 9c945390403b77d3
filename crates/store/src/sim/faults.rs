//! [`Faults`]: the faults of a simulated disk.

/// The faults that a simulated disk injects.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Index of the operation at which the power fails, counted from 0. It and all later operations fail.
    pub crash_at: Option<u64>,
    /// Indices of the syncs that fail, counted from 0 over files and the directory.
    pub failing_syncs: Vec<u64>,
    /// Capacity of the disk in bytes, over all files.
    pub capacity_bytes: Option<u64>,
    /// Whether truncating a file fails.
    pub failing_truncates: bool,
    /// Whether some writes and reads transfer only part of the bytes.
    pub short_transfers: bool,
}
