//! The table of idempotency keys.

use crate::blackout::Blackout;
use crate::entry::{Entry, Reservation, Run, RunState};
use crate::outcome::{AttemptId, DuplicateRun, FinishedRun, Lookup, ReuseOutcome, RunResult};
use crate::result_cache::{CachedResult, ResultCache};
use crate::settings::{Bounds, KeyWindow, KeyWindows};
use std::collections::HashMap;
use std::rc::Rc;

/// Table of idempotency keys, each with its last run, the result and the attempts that wait for it.
///
/// Times are Unix milliseconds. `received_at` is the time at which an attempt reached the machine, which may
/// be long before it was read.
///
/// # Invariants
/// - A key is run at most once within its window.
/// - The entry of a key that was run is kept until no attempt received within its window can be read any
///   more.
pub struct IdempotencyTable<R> {
    pub(crate) max_keys: usize,
    pub(crate) windows: KeyWindows,
    pub(crate) entries: HashMap<Rc<[u8]>, Entry<R>>,
    pub(crate) results: ResultCache,
    pub(crate) blackout: Blackout,
}

impl<R: Clone + AsRef<[u8]>> IdempotencyTable<R> {
    /// Returns an empty table. `windows` contains the key windows of the classes, by position.
    pub fn new(bounds: Bounds, windows: Vec<KeyWindow>) -> Self {
        IdempotencyTable {
            max_keys: bounds.keys,
            windows: KeyWindows::new(windows),
            entries: HashMap::new(),
            results: ResultCache::new(bounds.result_bytes),
            blackout: Blackout::none(),
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the cached results, in bytes.
    pub fn result_bytes(&self) -> usize {
        self.results.bytes()
    }

    /// Returns whether the table can accept an attempt of this key: it has an entry for the key, or is not
    /// full.
    pub fn has_room(&self, key: &[u8]) -> bool {
        self.entries.len() < self.max_keys || self.entries.contains_key(key)
    }

    /// Classifies an attempt with this body that was received at `received_at`, without registering it.
    pub fn lookup(&self, key: &[u8], body_hash: u64, received_at: f64) -> Lookup {
        let entry = self.entries.get(key);
        let is_in_window_of_run = entry.is_some_and(|entry| entry.is_in_window_of_run(received_at));
        if self.blackout.covers(received_at) && !is_in_window_of_run {
            return Lookup::Expired;
        }
        entry.map_or(Lookup::New, |entry| entry.lookup(body_hash, received_at))
    }

    /// Returns whether an attempt received at `received_at` falls, or may fall, within the window of a run of
    /// its key.
    pub fn has_run(&self, key: &[u8], received_at: f64) -> bool {
        self.blackout.covers(received_at)
            || self.entries.get(key).is_some_and(|entry| received_at <= entry.window_end())
    }

    /// Registers an attempt and returns its classification.
    ///
    /// A new attempt reserves its key. New attempts and duplicates are open until
    /// [`IdempotencyTable::finish_attempt`]. Other attempts are not registered.
    pub fn arrive(
        &mut self,
        key: &Rc<[u8]>,
        class: usize,
        body_hash: u64,
        attempt: AttemptId,
        received_at: f64,
    ) -> Lookup {
        let lookup = self.lookup(key, body_hash, received_at);
        if matches!(lookup, Lookup::Expired | Lookup::BodyMismatch) {
            return lookup;
        }
        let window_end = self.windows.window_end(class, received_at);
        let entry = self.entries.entry(key.clone()).or_insert_with(|| Entry::new(class));
        entry.open_attempts += 1;
        if lookup == Lookup::New {
            entry.reservation = Some(Reservation { attempt, body_hash, window_end });
        }
        lookup
    }

    /// Reserves the key for an open attempt, with a window until at least `window_end`, replacing any earlier
    /// reservation.
    ///
    /// If the attempt was run already, its window is extended. An attempt within the window of another run
    /// reserves nothing.
    pub fn reserve(
        &mut self,
        key: &[u8],
        body_hash: u64,
        attempt: AttemptId,
        received_at: f64,
        window_end: f64,
    ) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let may_not_run = received_at <= entry.window_end() || self.blackout.covers(received_at);
        match &mut entry.run {
            Some(run) if run.attempt == attempt => run.window_end = run.window_end.max(window_end),
            _ if may_not_run => {}
            _ => {
                let earlier = entry.reservation.map_or(window_end, |earlier| earlier.window_end);
                let window_end = earlier.max(window_end);
                entry.reservation = Some(Reservation { attempt, body_hash, window_end });
            }
        }
    }

    /// Releases the reservation of an attempt. Runs are not affected.
    pub fn release(&mut self, key: &[u8], attempt: AttemptId) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.reservation.take_if(|reservation| reservation.attempt == attempt);
        if entry.is_empty() {
            self.entries.remove(key);
        }
    }

    /// Records the beginning of the run of an open attempt, if it may run.
    ///
    /// Returns the attempts that waited for the superseded run, which has outlasted its own window. These
    /// attempts fail.
    ///
    /// # Errors
    /// Returns [`DuplicateRun`] if the attempt falls, or may fall, within the window of another run, or if
    /// the key is unknown.
    pub fn begin_run(
        &mut self,
        key: &[u8],
        body_hash: u64,
        attempt: AttemptId,
        received_at: f64,
    ) -> Result<Vec<AttemptId>, DuplicateRun> {
        let Some(entry) = self.entries.get_mut(key) else { return Err(DuplicateRun) };
        if entry.run.as_ref().is_some_and(|run| run.attempt == attempt) {
            return Ok(Vec::new());
        }
        if received_at <= entry.window_end() || self.blackout.covers(received_at) {
            return Err(DuplicateRun);
        }
        let mut window_end = self.windows.window_end(entry.class, received_at);
        if let Some(reservation) = entry.reservation.take_if(|reservation| reservation.attempt == attempt) {
            window_end = window_end.max(reservation.window_end);
        }
        let run = Run {
            attempt,
            body_hash,
            window_end,
            state: RunState::Running,
            is_imported: false,
            waiters: Vec::new(),
        };
        let Some(superseded) = entry.run.replace(run) else { return Ok(Vec::new()) };
        entry.previous_window_end = entry.previous_window_end.max(superseded.window_end);
        self.results.subtract(superseded.result_bytes());
        Ok(superseded.waiters)
    }

    /// Returns the result of the run that an attempt duplicates, or registers the attempt as waiting for it.
    #[must_use]
    pub fn reuse_result(&mut self, key: &[u8], attempt: AttemptId, received_at: f64) -> ReuseOutcome<R> {
        let may_have_run = self.has_run(key, received_at);
        let entry = self.entries.get_mut(key);
        let run = entry.and_then(|entry| entry.run.as_mut());
        let Some(run) = run.filter(|run| received_at <= run.window_end) else {
            return if may_have_run { ReuseOutcome::Ready(None) } else { ReuseOutcome::NotRun };
        };
        match &run.state {
            RunState::Completed(result) => ReuseOutcome::Ready(Some(result.clone())),
            RunState::Failed => ReuseOutcome::Ready(None),
            RunState::Running => {
                run.waiters.push(attempt);
                ReuseOutcome::Pending
            }
        }
    }

    /// Records the end of an attempt's run and returns the attempts that waited for it.
    ///
    /// Has no effect if the last run of the key is of another attempt or has already ended.
    #[must_use]
    pub fn finish_run(
        &mut self,
        key: &Rc<[u8]>,
        attempt: AttemptId,
        run_result: RunResult<R>,
    ) -> FinishedRun<R> {
        let mut finished = FinishedRun { waiters: Vec::new(), result: None };
        let Some(entry) = self.entries.get_mut(key) else { return finished };
        let Some(run) = entry.run.as_mut().filter(|run| run.attempt == attempt && run.is_running()) else {
            return finished;
        };
        finished.waiters = std::mem::take(&mut run.waiters);
        match run_result {
            RunResult::NotStarted => entry.run = None,
            RunResult::Failed => run.state = RunState::Failed,
            RunResult::Completed(result) => {
                let bytes = result.as_ref().len();
                run.state = RunState::Completed(result.clone());
                finished.result = Some(result);
                self.cache_result(CachedResult { key: key.clone(), attempt }, bytes);
            }
        }
        finished
    }

    /// Closes an attempt: it no longer waits, and its reservation is released.
    pub fn finish_attempt(&mut self, key: &[u8], attempt: AttemptId) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.open_attempts = entry.open_attempts.saturating_sub(1);
            if let Some(run) = &mut entry.run {
                run.waiters.retain(|waiter| *waiter != attempt);
            }
        }
        self.release(key, attempt);
    }

    /// Removes the keys without open attempts for whose windows no attempt can be read any more.
    pub fn sweep(&mut self, now: f64) {
        let (windows, results) = (&self.windows, &mut self.results);
        self.entries.retain(|_, entry| {
            let is_needed = entry.is_needed(now, windows.max_read_delay_ms(entry.class));
            if !is_needed {
                results.subtract(entry.run.as_ref().map_or(0, Run::result_bytes));
            }
            is_needed
        });
        let entries = &self.entries;
        results
            .trim(|cached| entries.get(&cached.key).is_some_and(|entry| entry.has_result_of(cached.attempt)));
    }

    /// Adds a result and evicts the oldest results beyond the limit. Duplicates of a run with an evicted
    /// result fail.
    pub(crate) fn cache_result(&mut self, result: CachedResult, bytes: usize) {
        self.results.add(result, bytes);
        while let Some(oldest) = self.results.pop_excess() {
            let run = self.entries.get_mut(&oldest.key).and_then(|entry| entry.run.as_mut());
            if let Some(run) = run.filter(|run| run.attempt == oldest.attempt) {
                self.results.subtract(run.result_bytes());
                run.state = RunState::Failed;
            }
        }
    }
}
