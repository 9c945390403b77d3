//! Idempotency keys of requests: an adapter from requests to the table of keys.

use super::body_hasher::{BODY_HASH_KEY_BYTES, BodyHasher};
use super::request::{Request, RequestKey};
use crate::admission::{Class, RequestId};
use crate::config::Config;
use dunlinspread_idempotency::{
    Bounds, DuplicateRun, FailedRun, FinishedRun, IdempotencyTable, ImportError, KeyRecord, KeyWindow,
    Lookup, ReuseOutcome, RunResult,
};
use std::rc::Rc;

/// Maximum delay after the client timeout at which an attempt received before that timeout may still be read,
/// ms.
const MAX_READ_DELAY_MS: f64 = 5000.0;

/// The idempotency keys in use. A request without a key passes all checks and is not recorded.
pub(super) struct IdempotencyKeys {
    table: IdempotencyTable<Rc<[u8]>>,
    body_hasher: BodyHasher,
}

impl IdempotencyKeys {
    pub(super) fn new(config: &Config) -> Self {
        let bounds =
            Bounds { keys: config.limits.idempotency_keys, result_bytes: config.limits.result_bytes };
        let windows = config.settings.classes.iter().map(key_window).collect();
        IdempotencyKeys { table: IdempotencyTable::new(bounds, windows), body_hasher: BodyHasher::new() }
    }

    /// Returns the key of a request together with the hash of the body.
    pub(super) fn request_key(&self, key: Vec<u8>, body: &[u8]) -> RequestKey {
        RequestKey { key: Rc::from(key), body_hash: self.body_hasher.hash(body) }
    }

    /// Returns the number of keys.
    pub(super) fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether the table has room for an attempt of this key.
    pub(super) fn has_room(&self, key: &RequestKey) -> bool {
        self.table.has_room(&key.key)
    }

    /// Returns whether an attempt of this key has run or may still run.
    pub(super) fn is_in_use(&self, key: &RequestKey, received_at: f64) -> bool {
        self.table.lookup(&key.key, key.body_hash, received_at) != Lookup::New
    }

    /// Registers an attempt, and returns whether it is new, a duplicate, or one that may not run.
    pub(super) fn register_attempt(
        &mut self,
        key: &RequestKey,
        class: usize,
        id: RequestId,
        received_at: f64,
    ) -> Lookup {
        self.table.arrive(&key.key, class, key.body_hash, id, received_at)
    }

    /// Returns whether the request was received within the window of a run of its key.
    pub(super) fn has_run(&self, request: &Request) -> bool {
        request.key.as_ref().is_some_and(|key| self.table.has_run(&key.key, request.received_at))
    }

    /// Records the start of a request's run, and returns the requests that waited for the run that it
    /// supersedes.
    ///
    /// # Errors
    /// Returns [`DuplicateRun`] if the request was received within the window of another run of its key.
    pub(super) fn begin_run(
        &mut self,
        id: RequestId,
        request: &Request,
    ) -> Result<Vec<RequestId>, DuplicateRun> {
        match &request.key {
            Some(key) => self.table.begin_run(&key.key, key.body_hash, id, request.received_at),
            None => Ok(Vec::new()),
        }
    }

    /// Records the end of a request's run and returns the requests that waited for it.
    pub(super) fn finish_run(
        &mut self,
        id: RequestId,
        request: &Request,
        result: RunResult<Rc<[u8]>>,
    ) -> FinishedRun<Rc<[u8]>> {
        match &request.key {
            Some(key) => self.table.finish_run(&key.key, id, result),
            None => FinishedRun { waiters: Vec::new(), result: None },
        }
    }

    /// Returns the result that a duplicate reuses, or registers the request as waiting for it.
    pub(super) fn reuse_result(&mut self, id: RequestId, request: &Request) -> ReuseOutcome<Rc<[u8]>> {
        match &request.key {
            Some(key) => self.table.reuse_result(&key.key, id, request.received_at),
            None => ReuseOutcome::NotRun,
        }
    }

    /// Reserves the key for a request until `window_end`, Unix ms, replacing the reservation of an earlier
    /// attempt.
    pub(super) fn reserve(&mut self, id: RequestId, request: &Request, window_end: f64) {
        if let Some(key) = &request.key {
            self.table.reserve(&key.key, key.body_hash, id, request.received_at, window_end);
        }
    }

    /// Releases the reservation of a request. This does not affect a recorded run.
    pub(super) fn release(&mut self, id: RequestId, request: &Request) {
        if let Some(key) = &request.key {
            self.table.release(&key.key, id);
        }
    }

    /// Ends the attempt of a removed request, and releases its reservation if it never ran.
    pub(super) fn finish_attempt(&mut self, id: RequestId, request: &Request) {
        if let Some(key) = &request.key {
            self.table.finish_attempt(&key.key, id);
        }
    }

    /// Removes expired keys: those for which no attempt within one of their windows can still be read.
    pub(super) fn sweep(&mut self, now: f64) {
        self.table.sweep(now);
    }
}

/// Transfer of the keys between two processes.
impl IdempotencyKeys {
    /// Returns the secret key of the body hash.
    pub(super) fn body_hash_key(&self) -> [u8; BODY_HASH_KEY_BYTES] {
        self.body_hasher.key()
    }

    /// Sets the secret key of the body hash.
    ///
    /// Allowed only while no idempotency key is in use, because hashes under the old key don't match.
    pub(super) fn set_body_hash_key(&mut self, key: [u8; BODY_HASH_KEY_BYTES]) {
        self.body_hasher = BodyHasher::with_key(key);
    }

    /// Returns the records of all keys that have run: first those with a result, oldest result first.
    pub(super) fn export(&self, now: f64) -> impl Iterator<Item = KeyRecord<Rc<[u8]>>> + '_ {
        self.table.export(now)
    }

    /// Imports a key from another process. Its run is recorded under the id `attempt`, which no request may
    /// have.
    ///
    /// # Errors
    /// Returns [`ImportError`] and imports nothing if the table is full, the key is already known, or its
    /// class does not exist.
    pub(super) fn import(
        &mut self,
        record: KeyRecord<Rc<[u8]>>,
        attempt: RequestId,
    ) -> Result<(), ImportError> {
        self.table.import(record, attempt)
    }

    /// Records the end of an imported run in the other process, and returns the requests that waited for it.
    pub(super) fn finish_imported_run(
        &mut self,
        key: &Rc<[u8]>,
        attempt: RequestId,
        result: RunResult<Rc<[u8]>>,
    ) -> FinishedRun<Rc<[u8]>> {
        self.table.finish_run(key, attempt, result)
    }

    /// Records that the process from which keys were imported has ended, and returns its runs whose end is
    /// unknown.
    ///
    /// Must be called when that process ends even if none of its runs is in progress: until then the imported
    /// keys are not swept.
    pub(super) fn end_import(&mut self) -> Vec<FailedRun> {
        self.table.end_import()
    }

    /// Removes all keys.
    pub(super) fn clear(&mut self) {
        self.table.clear();
    }

    /// Forbids runs of requests received up to `until`, Unix ms, except for runs that are already recorded,
    /// because the other process may have run any key.
    pub(super) fn begin_blackout(&mut self, until: f64) {
        self.table.begin_blackout(until);
    }

    /// Returns the time until which unknown keys may not run, Unix ms; `None` if they may.
    pub(super) fn blackout_until(&self) -> Option<f64> {
        self.table.blackout_until()
    }

    /// Returns the latest window end that a request received at `received_at` can have, Unix ms.
    pub(super) fn latest_window_end(&self, received_at: f64) -> f64 {
        self.table.latest_window_end(received_at)
    }
}

/// Returns the key window of a class and its maximum read delay.
fn key_window(class: &Class) -> KeyWindow {
    KeyWindow {
        window_ms: class.key_window_ms,
        max_read_delay_ms: class.client_timeout_ms + MAX_READ_DELAY_MS,
    }
}
