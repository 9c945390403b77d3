//! One process: its table, and the identifiers that it gave to the attempts.

use dunlinspread_idempotency::{
    AttemptId, Bounds, DuplicateRun, FinishedRun, IdempotencyTable, KeyWindow, Lookup, ReuseOutcome,
    RunResult,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub const WINDOW_MS: f64 = 500.0;
pub const MAX_READ_DELAY_MS: f64 = 200.0;
/// More keys than a history uses.
const MAX_KEYS: usize = 10;

/// The number of an attempt in the history; each process knows it by an identifier of its own.
pub type AttemptNumber = u64;

/// What an attempt asks with.
#[derive(Clone, Debug)]
pub struct Keyed {
    pub number: AttemptNumber,
    pub key: Rc<[u8]>,
    pub body_hash: u64,
    pub received_at: f64,
}

/// A run whose end will never be known, and the attempts that waited for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRun {
    pub number: AttemptNumber,
    pub waiters: Vec<AttemptNumber>,
}

/// A process with a table. What it returns is in numbers of the history.
pub struct Process {
    pub table: IdempotencyTable<Vec<u8>>,
    ids: BTreeMap<AttemptNumber, AttemptId>,
    numbers: BTreeMap<AttemptId, AttemptNumber>,
    open: BTreeSet<AttemptNumber>,
    begun: BTreeSet<AttemptNumber>,
    next_id: AttemptId,
}

impl Process {
    pub fn new(result_bytes: usize, first_id: AttemptId) -> Process {
        let window = KeyWindow { window_ms: WINDOW_MS, max_read_delay_ms: MAX_READ_DELAY_MS };
        Process {
            table: IdempotencyTable::new(Bounds { keys: MAX_KEYS, result_bytes }, vec![window]),
            ids: BTreeMap::new(),
            numbers: BTreeMap::new(),
            open: BTreeSet::new(),
            begun: BTreeSet::new(),
            next_id: first_id,
        }
    }

    /// Loads all keys of another process.
    pub fn import_from(&mut self, other: &Process, now: f64) {
        for record in other.table.export(now) {
            let number = record.run.as_ref().map_or(0, |run| other.numbers[&run.attempt]);
            let id = self.id(number);
            self.table.import(record, id).expect("the table is empty and as large as the other one");
        }
    }

    pub fn arrive(&mut self, keyed: &Keyed) -> Lookup {
        let id = self.id(keyed.number);
        let lookup = self.table.arrive(&keyed.key, 0, keyed.body_hash, id, keyed.received_at);
        if matches!(lookup, Lookup::New | Lookup::DuplicateOf(_)) {
            self.open.insert(keyed.number);
        }
        match lookup {
            Lookup::DuplicateOf(id) => Lookup::DuplicateOf(self.numbers[&id]),
            other => other,
        }
    }

    pub fn reserve(&mut self, keyed: &Keyed, window_end: f64) {
        let id = self.id(keyed.number);
        self.table.reserve(&keyed.key, keyed.body_hash, id, keyed.received_at, window_end);
    }

    pub fn begin_run(&mut self, keyed: &Keyed) -> Result<Vec<AttemptNumber>, DuplicateRun> {
        let id = self.id(keyed.number);
        let waiters = self.table.begin_run(&keyed.key, keyed.body_hash, id, keyed.received_at)?;
        self.begun.insert(keyed.number);
        Ok(self.numbers_of(&waiters))
    }

    /// Returns whether this process ran the attempt.
    pub fn has_begun(&self, number: AttemptNumber) -> bool {
        self.begun.contains(&number)
    }

    pub fn reuse_result(&mut self, keyed: &Keyed) -> ReuseOutcome<Vec<u8>> {
        let id = self.id(keyed.number);
        self.table.reuse_result(&keyed.key, id, keyed.received_at)
    }

    pub fn finish_run(&mut self, keyed: &Keyed, result: RunResult<Vec<u8>>) -> FinishedRun<Vec<u8>> {
        let id = self.id(keyed.number);
        let finished = self.table.finish_run(&keyed.key, id, result);
        FinishedRun { waiters: self.numbers_of(&finished.waiters), result: finished.result }
    }

    /// Closes an attempt, if it is open in this process.
    pub fn finish_attempt(&mut self, keyed: &Keyed) {
        if self.open.remove(&keyed.number) {
            let id = self.id(keyed.number);
            self.table.finish_attempt(&keyed.key, id);
        }
    }

    /// The process that the keys came from is gone. Returns its runs in the order of their numbers.
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

    fn id(&mut self, number: AttemptNumber) -> AttemptId {
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
