//! The move of the table to another process.

use crate::entry::{Run, RunState};
use crate::outcome::{AttemptId, FailedRun};
use crate::record::{ImportError, KeyRecord};
use crate::result_cache::CachedResult;
use crate::table::IdempotencyTable;

impl<R: Clone + AsRef<[u8]>> IdempotencyTable<R> {
    /// Returns a record of each key that was run and of whose windows an attempt is open or can still be read.
    ///
    /// The keys with a cached result come first, oldest result first: a table that imports them in this order evicts
    /// in the same order. Reservations and open attempts have no records.
    pub fn export(&self, now: f64) -> impl Iterator<Item = KeyRecord<R>> + '_ {
        let cached = self.results.oldest_first().filter_map(|cached| {
            let entry = self.entries.get(&cached.key)?;
            entry.has_result_of(cached.attempt).then_some((&cached.key, entry))
        });
        let others = self.entries.iter().filter(|(_, entry)| !entry.has_result());
        cached
            .chain(others)
            .filter(move |(_, entry)| entry.is_needed(now, self.windows.max_read_delay_ms(entry.class)))
            .filter_map(|(key, entry)| KeyRecord::of_entry(key, entry))
    }

    /// Loads a key from another process. Its run is known as `attempt` from then on, which no other attempt may be.
    ///
    /// The key stays until [`IdempotencyTable::end_import`] at least, since the other process may still pass on an
    /// attempt that it read long ago. A run that goes on there ends here by [`IdempotencyTable::finish_run`].
    ///
    /// # Errors
    /// [`ImportError`] if the table is full, knows the key already, or has no such class. Nothing is loaded then.
    pub fn import(&mut self, record: KeyRecord<R>, attempt: AttemptId) -> Result<(), ImportError> {
        self.check_import(&record)?;
        let key = record.key.clone();
        let entry = record.into_entry(attempt);
        let has_result = entry.has_result();
        let result_bytes = entry.run.as_ref().map_or(0, Run::result_bytes);
        self.entries.insert(key.clone(), entry);
        if has_result {
            self.cache_result(CachedResult { key, attempt }, result_bytes);
        }
        Ok(())
    }

    /// Returns an error if the record can't be loaded.
    fn check_import(&self, record: &KeyRecord<R>) -> Result<(), ImportError> {
        let key_text = || record.key.escape_ascii().to_string();
        if self.entries.contains_key(&record.key) {
            return Err(ImportError::KnownKey { key: key_text() });
        }
        if !self.windows.has_class(record.class) {
            return Err(ImportError::UnknownClass { key: key_text(), class: record.class });
        }
        if !self.has_room(&record.key) {
            return Err(ImportError::TableFull { key: key_text(), max_keys: self.max_keys });
        }
        Ok(())
    }

    /// Records that the process from which keys were loaded is gone, and returns its runs whose end is not known.
    ///
    /// They count as failed: they may have had their effect, and the attempts that wait for them fail. From now on the
    /// loaded keys are swept as all others.
    #[must_use]
    pub fn end_import(&mut self) -> Vec<FailedRun> {
        let mut failed = Vec::new();
        for entry in self.entries.values_mut().filter(|entry| entry.is_imported) {
            entry.is_imported = false;
            let Some(run) = entry.run.as_mut().filter(|run| run.is_imported) else { continue };
            if run.is_running() {
                run.state = RunState::Failed;
                failed.push(FailedRun { attempt: run.attempt, waiters: std::mem::take(&mut run.waiters) });
            }
        }
        failed.sort_unstable_by_key(|run| run.attempt);
        failed
    }

    /// Drops all keys and results, as if none had been loaded.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.results.clear();
    }

    /// Allows no run of an attempt received up to `until`, Unix ms, except for runs that this table knows already.
    ///
    /// For a process that handed its keys over and takes them back since the other one died: that one may have run any
    /// key. The time has to reach to [`IdempotencyTable::latest_window_end`] of the last request it may have received.
    pub fn begin_blackout(&mut self, until: f64) {
        self.blackout.extend_to(until);
    }

    /// Returns until when unknown keys are not run; `None` if they are.
    pub fn blackout_until(&self) -> Option<f64> {
        self.blackout.until()
    }

    /// Returns the end of the longest window that an attempt received at `received_at` can have, by its class.
    pub fn latest_window_end(&self, received_at: f64) -> f64 {
        self.windows.latest_window_end(received_at)
    }
}
