//! The table compared with a plain record of the runs, for any order of arrivals, runs, ends and sweeps.
//! Attempts are read late and out of order, the keys are few enough to collide, and the results exceed the
//! size limit.

use dunlinspread_idempotency::{
    AttemptId, Bounds, DuplicateRun, IdempotencyTable, KeyWindow, Lookup, ReuseOutcome, RunResult,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const WINDOW_MS: f64 = 500.0;
const MAX_READ_DELAY_MS: f64 = 200.0;

#[derive(Clone, Debug)]
enum Step {
    /// An attempt of the key arrives. It was received `age_ms` before.
    Arrive { key: u8, body: u8, age_ms: f64 },
    /// The open attempt at this position is run, or reuses the result that it duplicates.
    Run(usize),
    /// The run of the open attempt at this position ends.
    End { position: usize, outcome: u8 },
    /// The open attempt at this position is dropped, unless it is running.
    Drop(usize),
    /// Time advances by this many ms, and the table is swept.
    Advance(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0u8..4, 0u8..8, 0.0..MAX_READ_DELAY_MS)
            .prop_map(|(key, body, age_ms)| Step::Arrive { key, body: body / 7, age_ms }),
        4 => (0usize..8).prop_map(Step::Run),
        3 => (0usize..8, 0u8..4).prop_map(|(position, outcome)| Step::End { position, outcome }),
        1 => (0usize..8).prop_map(Step::Drop),
        2 => (1.0..400.0).prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..300)
}

struct Attempt {
    key: Rc<[u8]>,
    body_hash: u64,
    received_at: f64,
    is_duplicate: bool,
    is_waiting: bool,
    is_running: bool,
}

/// The owner of the requests, like the dispatcher, with its own record of the runs.
struct Owner {
    table: IdempotencyTable<Vec<u8>>,
    now: f64,
    last_id: AttemptId,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Runs that may have had side effects, by key, with the attempt and the time of its receipt.
    runs: BTreeMap<Vec<u8>, Vec<(AttemptId, f64)>>,
    /// Results of the runs, by key.
    results: BTreeMap<Vec<u8>, BTreeSet<Vec<u8>>>,
    answered: BTreeSet<AttemptId>,
}

impl Owner {
    fn new(result_bytes: usize) -> Owner {
        let window = KeyWindow { window_ms: WINDOW_MS, max_read_delay_ms: MAX_READ_DELAY_MS };
        Owner {
            table: IdempotencyTable::new(Bounds { keys: 3, result_bytes }, vec![window]),
            now: 10_000.0,
            last_id: 0,
            attempts: BTreeMap::new(),
            runs: BTreeMap::new(),
            results: BTreeMap::new(),
            answered: BTreeSet::new(),
        }
    }

    fn id_at(&self, position: usize) -> Option<AttemptId> {
        let count = self.attempts.len();
        self.attempts.keys().nth(position % count.max(1)).copied()
    }

    /// Answers a waiting attempt. Each attempt is answered once, and only with a result of its key.
    fn answer(&mut self, id: AttemptId, result: Option<&Vec<u8>>) {
        assert!(self.answered.insert(id), "{id} is answered twice");
        let Some(attempt) = self.attempts.remove(&id) else { panic!("{id} is unknown") };
        assert!(attempt.is_waiting, "{id} was not waiting");
        if let Some(result) = result {
            assert!(
                self.results[&attempt.key[..]].contains(result),
                "{id} gets a result that no run of its key returned"
            );
        }
        self.table.finish_attempt(&attempt.key, id);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Advance(ms) => {
                self.now += ms;
                self.table.sweep(self.now);
            }
            Step::Arrive { key, body, age_ms } => self.arrive(key, body, age_ms),
            Step::Run(position) => self.run(position),
            Step::End { position, outcome } => self.end(position, outcome),
            Step::Drop(position) => {
                let Some(id) = self.id_at(position).filter(|id| !self.attempts[id].is_running) else {
                    return;
                };
                if let Some(attempt) = self.attempts.remove(&id) {
                    self.table.finish_attempt(&attempt.key, id);
                }
            }
        }
    }

    fn arrive(&mut self, key: u8, body: u8, age_ms: f64) {
        let (key, body_hash, received_at): (Rc<[u8]>, _, _) =
            ([key][..].into(), u64::from(body), self.now - age_ms);
        if !self.table.has_room(&key) {
            assert!(self.table.len() >= 3);
            return;
        }
        self.last_id += 1;
        let id = self.last_id;
        let lookup = self.table.arrive(&key, 0, body_hash, id, received_at);
        if matches!(lookup, Lookup::BodyMismatch | Lookup::Expired) {
            return;
        }
        let is_duplicate = matches!(lookup, Lookup::DuplicateOf(_));
        self.attempts.insert(
            id,
            Attempt { key, body_hash, received_at, is_duplicate, is_waiting: false, is_running: false },
        );
    }

    fn run(&mut self, position: usize) {
        let Some(id) = self.id_at(position) else { return };
        let Some(attempt) =
            self.attempts.get_mut(&id).filter(|attempt| !attempt.is_running && !attempt.is_waiting)
        else {
            return;
        };
        let key = attempt.key.clone();
        // A duplicate reuses the result of the original attempt, or replaces it if it was dropped before it
        // ran.
        if attempt.is_duplicate {
            match self.table.reuse_result(&key, id, attempt.received_at) {
                ReuseOutcome::Ready(result) => {
                    attempt.is_waiting = true;
                    return self.answer(id, result.as_ref());
                }
                ReuseOutcome::Pending => {
                    attempt.is_waiting = true;
                    return;
                }
                ReuseOutcome::NotRun => {
                    attempt.is_duplicate = false;
                    self.table.reserve(
                        &key,
                        attempt.body_hash,
                        id,
                        attempt.received_at,
                        self.now + WINDOW_MS,
                    );
                    return;
                }
            }
        }
        let (body_hash, received_at) = (attempt.body_hash, attempt.received_at);
        let earlier_runs = self.runs.entry(key.to_vec()).or_default();
        let is_covered = earlier_runs.iter().any(|(other, at)| *other != id && received_at <= at + WINDOW_MS);
        if let Ok(superseded_waiters) = self.table.begin_run(&key, body_hash, id, received_at) {
            assert!(
                !is_covered,
                "{id} runs in the window of another run of its key: {earlier_runs:?}, {received_at}"
            );
            earlier_runs.push((id, received_at));
            self.attempts.get_mut(&id).expect("the attempt is open").is_running = true;
            superseded_waiters.into_iter().for_each(|waiter| self.answer(waiter, None));
        }
    }

    fn end(&mut self, position: usize, outcome: u8) {
        let Some(id) = self.id_at(position).filter(|id| self.attempts[id].is_running) else { return };
        let key = self.attempts[&id].key.clone();
        let run_result = match outcome {
            0 => RunResult::Failed,
            1 => {
                self.runs.get_mut(&key[..]).expect("the key was run").retain(|(other, _)| *other != id);
                RunResult::NotStarted
            }
            byte => {
                let result = vec![byte; 40 + usize::from(byte)];
                self.results.entry(key.to_vec()).or_default().insert(result.clone());
                RunResult::Completed(result)
            }
        };
        let has_no_result = !matches!(run_result, RunResult::Completed(_));
        let finished = self.table.finish_run(&key, id, run_result);
        assert!(!has_no_result || finished.result.is_none());
        for waiter in finished.waiters {
            self.answer(waiter, finished.result.as_ref());
        }
        self.attempts.remove(&id);
        self.table.finish_attempt(&key, id);
    }

    /// Ends all runs and attempts, and asserts that the table is empty after all windows.
    fn settle(&mut self) {
        while let Some(id) = self.attempts.iter().find(|(_, attempt)| attempt.is_running).map(|(id, _)| *id) {
            let position = self.attempts.keys().position(|other| *other == id).expect("the attempt is open");
            self.end(position, 2);
        }
        let waiting = self.attempts.iter().filter(|(_, attempt)| attempt.is_waiting).count();
        assert_eq!(waiting, 0, "attempts wait for a run that has ended");
        for (id, attempt) in std::mem::take(&mut self.attempts) {
            self.table.finish_attempt(&attempt.key, id);
        }
        self.table.sweep(self.now + 10.0 * (WINDOW_MS + MAX_READ_DELAY_MS));
        assert_eq!((self.table.len(), self.table.result_bytes()), (0, 0), "keys or results are left over");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn no_key_runs_twice_in_its_window_and_every_waiter_is_answered(
        steps in steps(), result_bytes in prop_oneof![Just(0usize), Just(60), Just(10_000)]
    ) {
        let mut owner = Owner::new(result_bytes);
        for step in steps {
            owner.step(step);
            prop_assert!(owner.table.result_bytes() <= result_bytes);
        }
        owner.settle();
    }
}

fn table() -> (IdempotencyTable<Vec<u8>>, Rc<[u8]>) {
    let window = KeyWindow { window_ms: WINDOW_MS, max_read_delay_ms: MAX_READ_DELAY_MS };
    (IdempotencyTable::new(Bounds { keys: 2, result_bytes: 100 }, vec![window]), b"k"[..].into())
}

/// A full table accepts no new keys, but continues to work for the existing ones.
#[test]
fn a_full_table_has_no_room_for_new_keys_and_keeps_the_known_ones() {
    let (mut table, key) = table();
    let other: Rc<[u8]> = b"l"[..].into();
    assert_eq!(table.arrive(&key, 0, 7, 1, 0.0), Lookup::New);
    assert!(table.begin_run(&key, 7, 1, 0.0).is_ok());
    assert_eq!(table.arrive(&other, 0, 7, 2, 0.0), Lookup::New);
    assert!(!table.has_room(b"m") && table.has_room(b"k"));
    // The key window is over, but an attempt received within it could still be read.
    table.finish_attempt(&other, 2);
    let _ = table.finish_run(&key, 1, RunResult::Failed);
    table.finish_attempt(&key, 1);
    table.sweep(WINDOW_MS + MAX_READ_DELAY_MS);
    assert_eq!(table.lookup(&key, 7, WINDOW_MS), Lookup::DuplicateOf(1));
    assert!(table.has_room(b"m"), "the slot of a key that was never run is released");
    table.sweep(WINDOW_MS + MAX_READ_DELAY_MS + 61.0);
    assert!(table.is_empty());
}

/// The oldest results beyond the size limit are evicted. Their keys remain in the table, and their duplicates
/// fail.
#[test]
fn duplicates_of_an_evicted_result_fail() {
    let (mut table, key) = table();
    let other: Rc<[u8]> = b"l"[..].into();
    for (index, key) in [&key, &other].into_iter().enumerate() {
        let id = index as AttemptId + 1;
        assert_eq!(table.arrive(key, 0, 7, id, 0.0), Lookup::New);
        assert!(table.begin_run(key, 7, id, 0.0).is_ok());
        let _ = table.finish_run(key, id, RunResult::Completed(vec![0; 60]));
        table.finish_attempt(key, id);
    }
    assert_eq!(table.result_bytes(), 60);
    assert_eq!(table.reuse_result(&key, 8, 10.0), ReuseOutcome::Ready(None));
    assert_eq!(table.reuse_result(&other, 9, 10.0), ReuseOutcome::Ready(Some(vec![0; 60])));
    assert_eq!(table.begin_run(&key, 7, 8, 10.0), Err(DuplicateRun));
}

/// Two attempts of a key are unread while the process is stalled. The later one, received after the window of
/// the previous run, is read first and dropped. The previous run must stay in the table, or the earlier
/// attempt would run the key again.
#[test]
fn an_attempt_read_after_a_later_one_is_still_a_duplicate_of_the_run_before() {
    let (mut table, key) = table();
    assert_eq!(table.arrive(&key, 0, 7, 1, 0.0), Lookup::New);
    assert!(table.begin_run(&key, 7, 1, 0.0).is_ok());
    let _ = table.finish_run(&key, 1, RunResult::Completed(vec![1]));
    table.finish_attempt(&key, 1);
    assert_eq!(table.lookup(&key, 7, 600.0), Lookup::New);
    assert_eq!(table.arrive(&key, 0, 7, 2, 600.0), Lookup::New);
    table.finish_attempt(&key, 2);
    assert_eq!(table.lookup(&key, 7, 490.0), Lookup::DuplicateOf(1));
    assert_eq!(table.reuse_result(&key, 3, 490.0), ReuseOutcome::Ready(Some(vec![1])));
    // Of a superseded run only the end of its window is kept.
    assert_eq!(table.arrive(&key, 0, 7, 4, 600.0), Lookup::New);
    assert!(table.begin_run(&key, 7, 4, 600.0).is_ok());
    assert_eq!(table.finish_run(&key, 4, RunResult::NotStarted).waiters, vec![]);
    table.finish_attempt(&key, 4);
    assert_eq!(table.lookup(&key, 7, 490.0), Lookup::Expired);
    assert_eq!(table.begin_run(&key, 7, 5, 490.0), Err(DuplicateRun));
}
