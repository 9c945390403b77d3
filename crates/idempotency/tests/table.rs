//! The table against a plain record of the runs: any order of arrivals, runs, ends and sweeps, with attempts read late
//! and out of order, few enough keys to collide, and results beyond the allowed bytes.

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
    /// An attempt of that key with that body arrives, received that many milliseconds ago.
    Arrive {
        key: u8,
        body: u8,
        ago: f64,
    },
    /// The open attempt at this position is run, its run ends, or it is dropped.
    Run(usize),
    End {
        at: usize,
        how: u8,
    },
    Drop(usize),
    /// Time advances, ms.
    Advance(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0u8..4, 0u8..8, 0.0..MAX_READ_DELAY_MS)
            .prop_map(|(key, body, ago)| Step::Arrive { key, body: body / 7, ago }),
        4 => (0usize..8).prop_map(Step::Run),
        3 => (0usize..8, 0u8..4).prop_map(|(at, how)| Step::End { at, how }),
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
    running: bool,
}

/// The owner of the requests, as the dispatcher is, with its own record of the runs.
struct Owner {
    table: IdempotencyTable<Vec<u8>>,
    now: f64,
    next: AttemptId,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Runs that may have had their effect: by key, the attempt and when it was received.
    ran: BTreeMap<Vec<u8>, Vec<(AttemptId, f64)>>,
    /// The results of the runs, by key.
    made: BTreeMap<Vec<u8>, BTreeSet<Vec<u8>>>,
    answered: BTreeSet<AttemptId>,
}

impl Owner {
    fn new(result_bytes: usize) -> Owner {
        let span = KeyWindow { window_ms: WINDOW_MS, max_read_delay_ms: MAX_READ_DELAY_MS };
        Owner {
            table: IdempotencyTable::new(Bounds { keys: 3, result_bytes }, vec![span]),
            now: 10_000.0,
            next: 0,
            attempts: BTreeMap::new(),
            ran: BTreeMap::new(),
            made: BTreeMap::new(),
            answered: BTreeSet::new(),
        }
    }

    fn at(&self, place: usize) -> Option<AttemptId> {
        let count = self.attempts.len();
        self.attempts.keys().nth(place % count.max(1)).copied()
    }

    /// Answers a waiting attempt: once, and only with a result of its key.
    fn answer(&mut self, id: AttemptId, result: Option<&Vec<u8>>) {
        assert!(self.answered.insert(id), "{id} is answered twice");
        let Some(gone) = self.attempts.remove(&id) else { panic!("{id} is unknown") };
        assert!(gone.is_waiting, "{id} did not wait");
        if let Some(result) = result {
            assert!(self.made[&gone.key[..]].contains(result), "{id} gets what its key never made");
        }
        self.table.finish_attempt(&gone.key, id);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Advance(ms) => {
                self.now += ms;
                self.table.sweep(self.now);
            }
            Step::Arrive { key, body, ago } => self.arrive(key, body, ago),
            Step::Run(at) => self.run(at),
            Step::End { at, how } => self.end(at, how),
            Step::Drop(at) => {
                let Some(id) = self.at(at).filter(|id| !self.attempts[id].running) else { return };
                if let Some(gone) = self.attempts.remove(&id) {
                    self.table.finish_attempt(&gone.key, id);
                }
            }
        }
    }

    fn arrive(&mut self, key: u8, body: u8, ago: f64) {
        let (key, body_hash, received_at): (Rc<[u8]>, _, _) =
            ([key][..].into(), u64::from(body), self.now - ago);
        if !self.table.has_room(&key) {
            assert!(self.table.len() >= 3);
            return;
        }
        self.next += 1;
        let id = self.next;
        let known = self.table.arrive(&key, 0, body_hash, id, received_at);
        if matches!(known, Lookup::BodyMismatch | Lookup::Expired) {
            return;
        }
        let is_duplicate = matches!(known, Lookup::DuplicateOf(_));
        self.attempts.insert(
            id,
            Attempt { key, body_hash, received_at, is_duplicate, is_waiting: false, running: false },
        );
    }

    fn run(&mut self, at: usize) {
        let Some(id) = self.at(at) else { return };
        let Some(t) = self.attempts.get_mut(&id).filter(|t| !t.running && !t.is_waiting) else { return };
        let key = t.key.clone();
        // A duplicate takes the result of its original, or takes its place if that was dropped before it ran.
        if t.is_duplicate {
            match self.table.reuse_result(&key, id, t.received_at) {
                ReuseOutcome::Ready(result) => {
                    t.is_waiting = true;
                    return self.answer(id, result.as_ref());
                }
                ReuseOutcome::Pending => {
                    t.is_waiting = true;
                    return;
                }
                ReuseOutcome::NotRun => {
                    t.is_duplicate = false;
                    self.table.reserve(&key, t.body_hash, id, t.received_at, self.now + WINDOW_MS);
                    return;
                }
            }
        }
        let (body_hash, received_at) = (t.body_hash, t.received_at);
        let before = self.ran.entry(key.to_vec()).or_default();
        let covered = before.iter().any(|(other, at)| *other != id && received_at <= at + WINDOW_MS);
        if let Ok(superseded_waiters) = self.table.begin_run(&key, body_hash, id, received_at) {
            assert!(!covered, "{id} runs in the window of another run of its key: {before:?}, {received_at}");
            before.push((id, received_at));
            self.attempts.get_mut(&id).expect("it is there").running = true;
            superseded_waiters.into_iter().for_each(|waited| self.answer(waited, None));
        }
    }

    fn end(&mut self, at: usize, how: u8) {
        let Some(id) = self.at(at).filter(|id| self.attempts[id].running) else { return };
        let key = self.attempts[&id].key.clone();
        let run_result = match how {
            0 => RunResult::Failed,
            1 => {
                self.ran.get_mut(&key[..]).expect("it ran").retain(|(other, _)| *other != id);
                RunResult::NotStarted
            }
            n => {
                let result = vec![n; 40 + usize::from(n)];
                self.made.entry(key.to_vec()).or_default().insert(result.clone());
                RunResult::Completed(result)
            }
        };
        let failed = !matches!(run_result, RunResult::Completed(_));
        let ended = self.table.finish_run(&key, id, run_result);
        assert!(!failed || ended.result.is_none());
        for waited in ended.waiters {
            self.answer(waited, ended.result.as_ref());
        }
        self.attempts.remove(&id);
        self.table.finish_attempt(&key, id);
    }

    /// Ends all; after every window the table is empty.
    fn settle(&mut self) {
        while let Some(id) = self.attempts.iter().find(|(_, t)| t.running).map(|(id, _)| *id) {
            let at = self.attempts.keys().position(|other| *other == id).expect("it is there");
            self.end(at, 2);
        }
        let waiting = self.attempts.iter().filter(|(_, t)| t.is_waiting).count();
        assert_eq!(waiting, 0, "attempts wait for a run that is over");
        for (id, t) in std::mem::take(&mut self.attempts) {
            self.table.finish_attempt(&t.key, id);
        }
        self.table.sweep(self.now + 10.0 * (WINDOW_MS + MAX_READ_DELAY_MS));
        assert_eq!(
            (self.table.len(), self.table.result_bytes()),
            (0, 0),
            "something is superseded_waiters over"
        );
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
    let span = KeyWindow { window_ms: WINDOW_MS, max_read_delay_ms: MAX_READ_DELAY_MS };
    (IdempotencyTable::new(Bounds { keys: 2, result_bytes: 100 }, vec![span]), b"k"[..].into())
}

/// A full table has no room for new keys, and goes on with the known ones.
#[test]
fn a_full_table_has_no_room_for_new_keys_and_keeps_the_known_ones() {
    let (mut table, key) = table();
    let other: Rc<[u8]> = b"l"[..].into();
    assert_eq!(table.arrive(&key, 0, 7, 1, 0.0), Lookup::New);
    assert!(table.begin_run(&key, 7, 1, 0.0).is_ok());
    assert_eq!(table.arrive(&other, 0, 7, 2, 0.0), Lookup::New);
    assert!(!table.has_room(b"m") && table.has_room(b"k"));
    // Its window is over, but an attempt of it could still be read.
    table.finish_attempt(&other, 2);
    let _ = table.finish_run(&key, 1, RunResult::Failed);
    table.finish_attempt(&key, 1);
    table.sweep(WINDOW_MS + MAX_READ_DELAY_MS);
    assert_eq!(table.lookup(&key, 7, WINDOW_MS), Lookup::DuplicateOf(1));
    assert!(table.has_room(b"m"), "what never ran is given back");
    table.sweep(WINDOW_MS + MAX_READ_DELAY_MS + 61.0);
    assert!(table.is_empty());
}

/// The oldest results beyond the allowed bytes are evicted; their keys stay, and their duplicates fail.
#[test]
fn duplicates_of_an_evicted_result_fail() {
    let (mut table, key) = table();
    let other: Rc<[u8]> = b"l"[..].into();
    for (at, key) in [&key, &other].into_iter().enumerate() {
        let id = at as AttemptId + 1;
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

/// Two attempts of a key wait unread while the process stands still. The later one, past the window, is read first
/// and dropped: the run before must stay known, or the earlier attempt would run a second time.
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
    // Of a superseded run only the end of its window is known.
    assert_eq!(table.arrive(&key, 0, 7, 4, 600.0), Lookup::New);
    assert!(table.begin_run(&key, 7, 4, 600.0).is_ok());
    assert_eq!(table.finish_run(&key, 4, RunResult::NotStarted).waiters, vec![]);
    table.finish_attempt(&key, 4);
    assert_eq!(table.lookup(&key, 7, 490.0), Lookup::Expired);
    assert_eq!(table.begin_run(&key, 7, 5, 490.0), Err(DuplicateRun));
}
