//! Settings of a log.

/// The settings of a log.
#[derive(Clone, Debug)]
pub struct Options {
    /// Owner of the store. Opening a store of another owner fails.
    pub owner: String,
    /// Size in bytes at which a new segment is started. Recovery holds one segment in memory.
    pub segment_bytes: u64,
    /// Maximum length of a record, in bytes.
    pub max_record: usize,
    /// Salt of the checksums. It is unknown to those whose data is stored, so that they can't forge frames.
    pub salt: u64,
    /// Creation time written to new files, Unix ms. For information only.
    pub now_ms: u64,
}

impl Options {
    /// Returns the default settings: segments of 16 MiB, records of at most 1 MiB, and a random salt.
    pub fn new(owner: &str) -> Options {
        use std::hash::{BuildHasher as _, RandomState};
        let salt = RandomState::new().hash_one(owner);
        Options { owner: owner.to_owned(), segment_bytes: 16 << 20, max_record: 1 << 20, salt, now_ms: 0 }
    }
}
