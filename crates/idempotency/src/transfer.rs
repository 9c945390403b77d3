//! Transfer of the table to another process.

use crate::entry::{Run, RunState};
use crate::outcome::{AttemptId, FailedRun};
use crate::record::{ImportError, KeyRecord};
use crate::result_cache::CachedResult;
use crate::table::IdempotencyTable;

impl<R: Clone + AsRef<[u8]>> IdempotencyTable<R> {
    /// Returns a record of each key that was run and that has an open attempt or a window for which an
    /// attempt can still be read.
    ///
    /// The keys with a cached result come first, oldest result first, so that a table that imports them in
    /// this order evicts results in the same order. Reservations and open attempts are not exported.
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

    /// Imports a key from another process. Its run gets the number `attempt`, which no other attempt may
    /// have.
    ///
    /// The key is kept at least until [`IdempotencyTable::end_import`], since the other process may still
    /// forward an attempt that it read long ago. The end of a run that is in progress there is reported to
    /// this table with [`IdempotencyTable::finish_run`].
    ///
    /// # Errors
    /// In each case the table is unchanged.
    /// - [`ImportError::KnownKey`] if the table already has the key.
    /// - [`ImportError::UnknownClass`] if the table has no class at the record's position.
    /// - [`ImportError::TableFull`] if the table is full.
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

    /// Returns an error if the record can't be imported.
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

    /// Records that the process from which keys were imported has ended, and returns its runs whose outcome
    /// is unknown.
    ///
    /// These runs are marked as failed, since they may have had side effects, and the attempts that wait for
    /// them fail. From now on the imported keys are swept like all others.
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

    /// Removes all keys and results, as if none had been imported.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.results.clear();
    }

    /// Begins a blackout: attempts received up to `until`, Unix ms, may not run. Runs that this table already
    /// has are not affected, and their results can be reused.
    ///
    /// For a process that handed its keys over and takes them back because the other process, which may have
    /// run any key, died. `until` has to be at least [`IdempotencyTable::latest_window_end`] of the last
    /// request that the other process may have received.
    pub fn begin_blackout(&mut self, until: f64) {
        self.blackout.extend_to(until);
    }

    /// Returns the end of the blackout, up to which unknown keys are not run, or `None` if there was no
    /// blackout.
    pub fn blackout_until(&self) -> Option<f64> {
        self.blackout.until()
    }

    /// Returns the latest end that the window of an attempt received at `received_at` can have, over all
    /// classes.
    pub fn latest_window_end(&self, received_at: f64) -> f64 {
        self.windows.latest_window_end(received_at)
    }
}
