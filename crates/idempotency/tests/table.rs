//! The table against a plain record of what was run: any order of arrivals, runs, ends and sweeps, with tries read late
//! and out of order, keys few enough to meet, and results past the bytes allowed.

use dunlinspread_idempotency::{Bounds, Ending, Known, Reuse, SecondRun, Span, Table, TryId};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const WINDOW_MS: f64 = 500.0;
const LATE_MS: f64 = 200.0;

#[derive(Clone, Debug)]
enum Step {
    /// A try of that key with that body, having reached the machine so long ago.
    Arrive {
        key: u8,
        body: u8,
        ago: f64,
    },
    /// The try at this place among those under way is run, ends, or is dropped.
    Run(usize),
    End {
        at: usize,
        how: u8,
    },
    Drop(usize),
    /// Time passes.
    Pass(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0u8..4, 0u8..8, 0.0..LATE_MS)
            .prop_map(|(key, body, ago)| Step::Arrive { key, body: body / 7, ago }),
        4 => (0usize..8).prop_map(Step::Run),
        3 => (0usize..8, 0u8..4).prop_map(|(at, how)| Step::End { at, how }),
        1 => (0usize..8).prop_map(Step::Drop),
        2 => (1.0..400.0).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..300)
}

struct Try {
    key: Rc<[u8]>,
    print: u64,
    reached: f64,
    repeats: bool,
    waits: bool,
    running: bool,
}

/// Whoever owns the requests, as the daemon's core does, with its own record of what was run.
struct Owner {
    table: Table<Vec<u8>>,
    now: f64,
    next: TryId,
    tries: BTreeMap<TryId, Try>,
    /// Runs that may have had their effect: by key, the try and when it reached the machine.
    ran: BTreeMap<Vec<u8>, Vec<(TryId, f64)>>,
    /// Results that were made, by key.
    made: BTreeMap<Vec<u8>, BTreeSet<Vec<u8>>>,
    answered: BTreeSet<TryId>,
}

impl Owner {
    fn new(result_bytes: usize) -> Owner {
        let span = Span { window_ms: WINDOW_MS, read_late_ms: LATE_MS };
        Owner {
            table: Table::new(Bounds { keys: 3, result_bytes }, vec![span]),
            now: 10_000.0,
            next: 0,
            tries: BTreeMap::new(),
            ran: BTreeMap::new(),
            made: BTreeMap::new(),
            answered: BTreeSet::new(),
        }
    }

    fn at(&self, place: usize) -> Option<TryId> {
        let count = self.tries.len();
        self.tries.keys().nth(place % count.max(1)).copied()
    }

    /// A waiting try gets its answer: once, and only a result that its key made.
    fn answer(&mut self, id: TryId, result: Option<&Vec<u8>>) {
        assert!(self.answered.insert(id), "{id} is answered twice");
        let Some(gone) = self.tries.remove(&id) else { panic!("{id} is unknown") };
        assert!(gone.waits, "{id} did not wait");
        if let Some(result) = result {
            assert!(self.made[&gone.key[..]].contains(result), "{id} gets what its key never made");
        }
        self.table.over(&gone.key, id);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Pass(ms) => {
                self.now += ms;
                self.table.sweep(self.now);
            }
            Step::Arrive { key, body, ago } => self.arrive(key, body, ago),
            Step::Run(at) => self.run(at),
            Step::End { at, how } => self.end(at, how),
            Step::Drop(at) => {
                let Some(id) = self.at(at).filter(|id| !self.tries[id].running) else { return };
                if let Some(gone) = self.tries.remove(&id) {
                    self.table.over(&gone.key, id);
                }
            }
        }
    }

    fn arrive(&mut self, key: u8, body: u8, ago: f64) {
        let (key, print, reached): (Rc<[u8]>, _, _) = ([key][..].into(), u64::from(body), self.now - ago);
        if !self.table.has_room(&key) {
            assert!(self.table.len() >= 3);
            return;
        }
        self.next += 1;
        let id = self.next;
        let known = self.table.arrive(&key, 0, print, id, reached);
        if matches!(known, Known::OtherBody | Known::Covered) {
            return;
        }
        let repeats = matches!(known, Known::Repeats(_));
        self.tries.insert(id, Try { key, print, reached, repeats, waits: false, running: false });
    }

    fn run(&mut self, at: usize) {
        let Some(id) = self.at(at) else { return };
        let Some(t) = self.tries.get_mut(&id).filter(|t| !t.running && !t.waits) else { return };
        let key = t.key.clone();
        // A repeat takes the result of what it repeats. One that was dropped unrun leaves it an heir.
        if t.repeats {
            match self.table.reuse(&key, id, t.reached) {
                Reuse::Now(result) => {
                    t.waits = true;
                    return self.answer(id, result.as_ref());
                }
                Reuse::Waits => {
                    t.waits = true;
                    return;
                }
                Reuse::Unrun => {
                    t.repeats = false;
                    self.table.keep(&key, t.print, id, t.reached, self.now + WINDOW_MS);
                    return;
                }
            }
        }
        let (print, reached) = (t.print, t.reached);
        let before = self.ran.entry(key.to_vec()).or_default();
        let covered = before.iter().any(|(other, at)| *other != id && reached <= at + WINDOW_MS);
        if let Ok(left) = self.table.run(&key, print, id, reached) {
            assert!(!covered, "{id} runs in the window of another run of its key: {before:?}, {reached}");
            before.push((id, reached));
            self.tries.get_mut(&id).expect("it is there").running = true;
            left.into_iter().for_each(|waited| self.answer(waited, None));
        }
    }

    fn end(&mut self, at: usize, how: u8) {
        let Some(id) = self.at(at).filter(|id| self.tries[id].running) else { return };
        let key = self.tries[&id].key.clone();
        let ending = match how {
            0 => Ending::Failed,
            1 => {
                self.ran.get_mut(&key[..]).expect("it ran").retain(|(other, _)| *other != id);
                Ending::NeverRan
            }
            n => {
                let result = vec![n; 40 + usize::from(n)];
                self.made.entry(key.to_vec()).or_default().insert(result.clone());
                Ending::Result(result)
            }
        };
        let failed = !matches!(ending, Ending::Result(_));
        let ended = self.table.ended(&key, id, ending);
        assert!(!failed || ended.result.is_none());
        for waited in ended.waiting {
            self.answer(waited, ended.result.as_ref());
        }
        self.tries.remove(&id);
        self.table.over(&key, id);
    }

    /// All ends; after every window nothing is left.
    fn settle(&mut self) {
        while let Some(id) = self.tries.iter().find(|(_, t)| t.running).map(|(id, _)| *id) {
            let at = self.tries.keys().position(|other| *other == id).expect("it is there");
            self.end(at, 2);
        }
        let waiting = self.tries.iter().filter(|(_, t)| t.waits).count();
        assert_eq!(waiting, 0, "tries wait for a run that is over");
        for (id, t) in std::mem::take(&mut self.tries) {
            self.table.over(&t.key, id);
        }
        self.table.sweep(self.now + 10.0 * (WINDOW_MS + LATE_MS));
        assert_eq!((self.table.len(), self.table.result_bytes()), (0, 0), "something is left over");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn no_key_runs_twice_in_its_window_and_all_that_wait_are_answered(
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

fn table() -> (Table<Vec<u8>>, Rc<[u8]>) {
    let span = Span { window_ms: WINDOW_MS, read_late_ms: LATE_MS };
    (Table::new(Bounds { keys: 2, result_bytes: 100 }, vec![span]), b"k"[..].into())
}

/// Past its bound the table takes no new key, and goes on with those that it knows.
#[test]
fn a_full_table_turns_new_keys_away_and_forgets_none() {
    let (mut table, key) = table();
    let other: Rc<[u8]> = b"l"[..].into();
    assert_eq!(table.arrive(&key, 0, 7, 1, 0.0), Known::New);
    assert!(table.run(&key, 7, 1, 0.0).is_ok());
    assert_eq!(table.arrive(&other, 0, 7, 2, 0.0), Known::New);
    assert!(!table.has_room(b"m") && table.has_room(b"k"));
    // Its window is over, but a try that it covers could still be read.
    table.over(&other, 2);
    let _ = table.ended(&key, 1, Ending::Failed);
    table.over(&key, 1);
    table.sweep(WINDOW_MS + LATE_MS);
    assert_eq!(table.look(&key, 7, WINDOW_MS), Known::Repeats(1));
    assert!(table.has_room(b"m"), "what never ran is given back");
    table.sweep(WINDOW_MS + LATE_MS + 61.0);
    assert!(table.is_empty());
}

/// Results past the bytes allowed go, the oldest first; their keys stay, and their repeats fail rather than run.
#[test]
fn a_result_that_found_no_room_fails_its_repeats() {
    let (mut table, key) = table();
    let other: Rc<[u8]> = b"l"[..].into();
    for (at, key) in [&key, &other].into_iter().enumerate() {
        let id = at as TryId + 1;
        assert_eq!(table.arrive(key, 0, 7, id, 0.0), Known::New);
        assert!(table.run(key, 7, id, 0.0).is_ok());
        let _ = table.ended(key, id, Ending::Result(vec![0; 60]));
        table.over(key, id);
    }
    assert_eq!(table.result_bytes(), 60);
    assert_eq!(table.reuse(&key, 8, 10.0), Reuse::Now(None));
    assert_eq!(table.reuse(&other, 9, 10.0), Reuse::Now(Some(vec![0; 60])));
    assert_eq!(table.run(&key, 7, 8, 10.0), Err(SecondRun));
}

/// Two tries of a key wait unread while the program stands still. The later one, past the window, is read first and then
/// dropped: what is known of the run before must not go with it, or the earlier one would run a second time.
#[test]
fn a_try_read_after_a_later_one_is_still_covered_by_the_run_before() {
    let (mut table, key) = table();
    assert_eq!(table.arrive(&key, 0, 7, 1, 0.0), Known::New);
    assert!(table.run(&key, 7, 1, 0.0).is_ok());
    let _ = table.ended(&key, 1, Ending::Result(vec![1]));
    table.over(&key, 1);
    assert_eq!(table.look(&key, 7, 600.0), Known::New);
    assert_eq!(table.arrive(&key, 0, 7, 2, 600.0), Known::New);
    table.over(&key, 2);
    assert_eq!(table.look(&key, 7, 490.0), Known::Repeats(1));
    assert_eq!(table.reuse(&key, 3, 490.0), Reuse::Now(Some(vec![1])));
    // Once another run took its place nothing but the window is known of it.
    assert_eq!(table.arrive(&key, 0, 7, 4, 600.0), Known::New);
    assert!(table.run(&key, 7, 4, 600.0).is_ok());
    assert_eq!(table.ended(&key, 4, Ending::NeverRan).waiting, vec![]);
    table.over(&key, 4);
    assert_eq!(table.look(&key, 7, 490.0), Known::Covered);
    assert_eq!(table.run(&key, 7, 5, 490.0), Err(SecondRun));
}
