//! Settings of a log.

/// The settings of a log.
#[derive(Clone, Debug)]
pub struct Options {
    /// The owner of the store. A store of another owner is refused.
    pub owner: String,
    /// The size from which a segment is followed by a new one, in bytes. Recovery holds one segment in memory.
    pub segment_bytes: u64,
    /// The longest record, in bytes.
    pub max_record: usize,
    /// What goes into the checksums, unknown to those whose bytes are stored.
    pub salt: u64,
    /// The time that new files bear, Unix ms; for people only.
    pub now_ms: u64,
}

impl Options {
    /// Returns the defaults: segments of 16 MiB, records of 1 MiB at most, a random salt.
    pub fn new(owner: &str) -> Options {
        use std::hash::{BuildHasher as _, RandomState};
        let salt = RandomState::new().hash_one(owner);
        Options { owner: owner.to_owned(), segment_bytes: 16 << 20, max_record: 1 << 20, salt, now_ms: 0 }
    }
}
