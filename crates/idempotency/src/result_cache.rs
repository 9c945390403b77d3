//! The order in which cached results are evicted, and the bytes that they hold.

use crate::outcome::AttemptId;
use std::collections::VecDeque;
use std::rc::Rc;

/// Names the run of a key whose result was cached.
pub(crate) struct CachedResult {
    pub(crate) key: Rc<[u8]>,
    pub(crate) attempt: AttemptId,
}

/// The results that were cached, oldest first. Some of them may be gone since.
pub(crate) struct ResultCache {
    max_bytes: usize,
    bytes: usize,
    oldest_first: VecDeque<CachedResult>,
}

impl ResultCache {
    pub(crate) fn new(max_bytes: usize) -> Self {
        ResultCache { max_bytes, bytes: 0, oldest_first: VecDeque::new() }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the results in the order in which they were cached. Some of them may be gone since.
    pub(crate) fn oldest_first(&self) -> impl Iterator<Item = &CachedResult> {
        self.oldest_first.iter()
    }

    /// Drops all results.
    pub(crate) fn clear(&mut self) {
        self.bytes = 0;
        self.oldest_first.clear();
    }

    /// Adds a result of so many bytes.
    pub(crate) fn add(&mut self, result: CachedResult, bytes: usize) {
        self.oldest_first.push_back(result);
        self.bytes += bytes;
    }

    /// Subtracts the bytes of a result that is gone.
    pub(crate) fn subtract(&mut self, bytes: usize) {
        self.bytes -= bytes;
    }

    /// Takes the oldest result out while the limit is exceeded. The caller drops it and subtracts its bytes.
    pub(crate) fn pop_excess(&mut self) -> Option<CachedResult> {
        if self.bytes <= self.max_bytes { None } else { self.oldest_first.pop_front() }
    }

    /// Removes the oldest results that are gone since, up to the first one that is there.
    pub(crate) fn trim(&mut self, is_cached: impl Fn(&CachedResult) -> bool) {
        while self.oldest_first.front().is_some_and(|result| !is_cached(result)) {
            self.oldest_first.pop_front();
        }
    }
}
