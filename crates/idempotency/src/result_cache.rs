//! Eviction order and total size of the cached results.

use crate::outcome::AttemptId;
use std::collections::VecDeque;
use std::rc::Rc;

/// Identifies a cached result by the key and the attempt that was run.
pub(crate) struct CachedResult {
    pub(crate) key: Rc<[u8]>,
    pub(crate) attempt: AttemptId,
}

/// Queue of the cached results, oldest first. It may contain results that have been dropped since.
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

    /// Returns the results in the order in which they were cached, including some that have been dropped
    /// since.
    pub(crate) fn oldest_first(&self) -> impl Iterator<Item = &CachedResult> {
        self.oldest_first.iter()
    }

    /// Removes all results.
    pub(crate) fn clear(&mut self) {
        self.bytes = 0;
        self.oldest_first.clear();
    }

    /// Adds a result with a size of `bytes`.
    pub(crate) fn add(&mut self, result: CachedResult, bytes: usize) {
        self.oldest_first.push_back(result);
        self.bytes += bytes;
    }

    /// Subtracts the size of a dropped result from the total.
    pub(crate) fn subtract(&mut self, bytes: usize) {
        self.bytes -= bytes;
    }

    /// Removes and returns the oldest result if the limit is exceeded. The caller drops the result and
    /// subtracts its size.
    pub(crate) fn pop_excess(&mut self) -> Option<CachedResult> {
        if self.bytes <= self.max_bytes { None } else { self.oldest_first.pop_front() }
    }

    /// Removes dropped results from the front of the queue, up to the first one that is still cached.
    pub(crate) fn trim(&mut self, is_cached: impl Fn(&CachedResult) -> bool) {
        while self.oldest_first.front().is_some_and(|result| !is_cached(result)) {
            self.oldest_first.pop_front();
        }
    }
}
