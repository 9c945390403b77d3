//! One process, with its table and the identifiers that it assigned to the attempts.

use dunlinspread_idempotency::{
    AttemptId, Bounds, DuplicateRun, FinishedRun, IdempotencyTable, KeyWindow, Lookup, ReuseOutcome,
    RunResult,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub const WINDOW_MS: f64 = 500.0;
pub const MAX_READ_DELAY_MS: f64 = 200.0;
/// Maximum number of keys of a table; larger than the number of keys in a history.
const MAX_KEYS: usize = 10;

/// Number of an attempt in the history. Each process assigns its own identifier to the attempt.
pub type AttemptNumber = u64;

/// The properties of an attempt that the table needs.
#[derive(Clone, Debug)]
pub struct KeyedAttempt {
    pub number: AttemptNumber,
    pub key: Rc<[u8]>,
    pub body_hash: u64,
    pub received_at: f64,
}

/// A run whose outcome will never be known, and the attempts that waited for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRun {
    pub number: AttemptNumber,
    pub waiters: Vec<AttemptNumber>,
}

/// A process with a table. Its methods return attempts as numbers of the history.
pub struct Process {
    pub table: IdempotencyTable<Vec<u8>>,
    ids: BTreeMap<AttemptNumber, AttemptId>,
    numbers: BTreeMap<AttemptId, AttemptNumber>,
    open_attempts: BTreeSet<AttemptNumber>,
    begun_runs: BTreeSet<AttemptNumber>,
    next_id: AttemptId,
}

impl Process {
    pub fn new(result_bytes: usize, first_id: AttemptId) -> Process {
        let window = KeyWindow { window_ms: WINDOW_MS, max_read_delay_ms: MAX_READ_DELAY_MS };
        Process {
            table: IdempotencyTable::new(Bounds { keys: MAX_KEYS, result_bytes }, vec![window]),
            ids: BTreeMap::new(),
            numbers: BTreeMap::new(),
            open_attempts: BTreeSet::new(),
            begun_runs: BTreeSet::new(),
            next_id: first_id,
        }
    }

    /// Imports all keys of another process.
    pub fn import_from(&mut self, other: &Process, now: f64) {
        for record in other.table.export(now) {
            let number = record.run.as_ref().map_or(0, |run| other.numbers[&run.attempt]);
            let id = self.id_of(number);
            self.table.import(record, id).expect("the table is empty and as large as the other one");
        }
    }

    pub fn arrive(&mut self, attempt: &KeyedAttempt) -> Lookup {
        let id = self.id_of(attempt.number);
        let lookup = self.table.arrive(&attempt.key, 0, attempt.body_hash, id, attempt.received_at);
        if matches!(lookup, Lookup::New | Lookup::DuplicateOf(_)) {
            self.open_attempts.insert(attempt.number);
        }
        match lookup {
            Lookup::DuplicateOf(id) => Lookup::DuplicateOf(self.numbers[&id]),
            other => other,
        }
    }

    pub fn reserve(&mut self, attempt: &KeyedAttempt, window_end: f64) {
        let id = self.id_of(attempt.number);
        self.table.reserve(&attempt.key, attempt.body_hash, id, attempt.received_at, window_end);
    }

    pub fn begin_run(&mut self, attempt: &KeyedAttempt) -> Result<Vec<AttemptNumber>, DuplicateRun> {
        let id = self.id_of(attempt.number);
        let waiters = self.table.begin_run(&attempt.key, attempt.body_hash, id, attempt.received_at)?;
        self.begun_runs.insert(attempt.number);
        Ok(self.numbers_of(&waiters))
    }

    /// Returns whether this process ran the attempt.
    pub fn has_begun(&self, number: AttemptNumber) -> bool {
        self.begun_runs.contains(&number)
    }

    pub fn reuse_result(&mut self, attempt: &KeyedAttempt) -> ReuseOutcome<Vec<u8>> {
        let id = self.id_of(attempt.number);
        self.table.reuse_result(&attempt.key, id, attempt.received_at)
    }

    pub fn finish_run(&mut self, attempt: &KeyedAttempt, result: RunResult<Vec<u8>>) -> FinishedRun<Vec<u8>> {
        let id = self.id_of(attempt.number);
        let finished = self.table.finish_run(&attempt.key, id, result);
        FinishedRun { waiters: self.numbers_of(&finished.waiters), result: finished.result }
    }

    /// Closes an attempt, if it is open in this process.
    pub fn finish_attempt(&mut self, attempt: &KeyedAttempt) {
        if self.open_attempts.remove(&attempt.number) {
            let id = self.id_of(attempt.number);
            self.table.finish_attempt(&attempt.key, id);
        }
    }

    /// Records the end of the process from which the keys were imported. Returns its lost runs, sorted by
    /// number.
    pub fn end_import(&mut self) -> Vec<LostRun> {
        let runs = self.table.end_import();
        let lost = runs.into_iter().map(|run| LostRun {
            number: self.numbers[&run.attempt],
            waiters: self.numbers_of(&run.waiters),
        });
        let mut lost: Vec<_> = lost.collect();
        lost.sort_by_key(|run| run.number);
        lost
    }

    fn id_of(&mut self, number: AttemptNumber) -> AttemptId {
        if let Some(id) = self.ids.get(&number) {
            return *id;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(number, id);
        self.numbers.insert(id, number);
        id
    }

    fn numbers_of(&self, ids: &[AttemptId]) -> Vec<AttemptNumber> {
        ids.iter().map(|id| self.numbers[id]).collect()
    }
}
