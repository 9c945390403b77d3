//! A server that is one process, then two, as its clients see it; with a record of the runs that knows no tables.

use super::process::{AttemptNumber, Keyed, LostRun, Process, WINDOW_MS};
use super::step::Step;
use dunlinspread_idempotency::{Lookup, ReuseOutcome, RunResult};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::mem;

/// How the results of a moved table may differ from those of the table that stayed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Comparison {
    /// Not at all.
    Exact,
    /// A result may be evicted earlier. Keys that were loaded stay until the predecessor is gone, also past their
    /// windows, and their results take bytes that the table that stayed has free again.
    MayEvictEarlier,
}

/// Which processes decide.
enum Phase {
    Single,
    /// Both processes get all steps, and must answer alike.
    Compared(Box<Process>, Comparison),
    /// The successor decides, and the predecessor finishes the runs that it began.
    HandedOver(Box<Process>),
}

struct Attempt {
    keyed: Keyed,
    is_duplicate: bool,
    is_waiting: bool,
    is_running: bool,
}

pub struct Server {
    pub predecessor: Process,
    phase: Phase,
    pub now: f64,
    next: AttemptNumber,
    attempts: BTreeMap<AttemptNumber, Attempt>,
    /// Runs that may have had their effect: by key, the attempt and when it was received.
    ran: BTreeMap<Vec<u8>, Vec<(AttemptNumber, f64)>>,
}

impl Server {
    pub fn new(result_bytes: usize) -> Server {
        Server {
            predecessor: Process::new(result_bytes, 1),
            phase: Phase::Single,
            now: 10_000.0,
            next: 0,
            attempts: BTreeMap::new(),
            ran: BTreeMap::new(),
        }
    }

    /// The table is copied to a successor that gets all further steps beside the predecessor.
    pub fn copy_to(&mut self, mut successor: Process, comparison: Comparison) {
        self.predecessor.table.sweep(self.now);
        successor.import_from(&self.predecessor, self.now);
        assert_eq!(successor.table.result_bytes(), self.predecessor.table.result_bytes());
        let held = take_attempts(&mut self.attempts, |attempt| !attempt.is_running);
        held.iter().for_each(|attempt| self.predecessor.finish_attempt(&attempt.keyed));
        self.phase = Phase::Compared(Box::new(successor), comparison);
        held.into_iter().for_each(|attempt| self.arrive(attempt.keyed));
    }

    /// The successor owns the keys from now on, and gets the attempts that have not run.
    pub fn hand_over_to(&mut self, mut successor: Process) {
        successor.import_from(&self.predecessor, self.now);
        self.phase = Phase::HandedOver(Box::new(successor));
        let held = take_attempts(&mut self.attempts, |attempt| !attempt.is_running);
        held.into_iter().for_each(|attempt| self.arrive(attempt.keyed));
    }

    /// The successor dies, and the predecessor owns the keys again: all attempts fail but those that it runs itself.
    /// Returns the end of its blackout.
    pub fn take_back(&mut self) -> f64 {
        self.phase = Phase::Single;
        let blackout_end = self.predecessor.table.latest_window_end(self.now);
        self.predecessor.table.begin_blackout(blackout_end);
        let lost = mem::take(&mut self.attempts);
        for (number, attempt) in lost {
            if attempt.is_running && self.predecessor.has_begun(number) {
                self.attempts.insert(number, attempt);
            } else {
                self.predecessor.finish_attempt(&attempt.keyed);
            }
        }
        blackout_end
    }

    /// The predecessor of a copied table is gone: all that it began before has an unknown end. Its own table is told
    /// so for the comparison.
    pub fn lose_predecessor(&mut self) {
        let Phase::Compared(successor, _) = &mut self.phase else { return };
        let lost = take_attempts(&mut self.attempts, |attempt| {
            attempt.is_running && !successor.has_begun(attempt.keyed.number)
        });
        let told = successor.end_import();
        let mut expected = Vec::new();
        for attempt in lost {
            let number = attempt.keyed.number;
            let waiters = self.predecessor.finish_run(&attempt.keyed, RunResult::Failed).waiters;
            self.predecessor.finish_attempt(&attempt.keyed);
            expected.push(LostRun { number, waiters });
        }
        // Of a run that another one superseded nothing is told, and nothing waits for it.
        expected.retain(|run| told.iter().any(|other| other.number == run.number) || !run.waiters.is_empty());
        assert_eq!(told, expected, "other attempts wait for the lost runs");
        let waiters: Vec<_> = told.into_iter().flat_map(|run| run.waiters).collect();
        waiters.into_iter().for_each(|waiter| self.close(waiter));
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Advance(ms) => {
                self.now += ms;
                self.sweep();
            }
            Step::Arrive { key, body, ago } => {
                self.next += 1;
                let (number, received_at) = (self.next, self.now - ago);
                let keyed = Keyed { number, key: [key][..].into(), body_hash: u64::from(body), received_at };
                self.arrive(keyed);
            }
            Step::Run(at) => self.run(at),
            Step::End { at, how } => {
                if let Some(number) = self.at(at).filter(|number| self.attempts[number].is_running) {
                    self.end(number, how);
                }
            }
            Step::Drop(at) => {
                if let Some(number) = self.at(at).filter(|number| !self.attempts[number].is_running) {
                    self.close(number);
                }
            }
        }
    }

    /// Ends all runs and attempts. After every window no process knows anything.
    pub fn settle(&mut self) {
        let running = self.attempts.iter().filter(|(_, attempt)| attempt.is_running);
        let running: Vec<_> = running.map(|(number, _)| *number).collect();
        running.into_iter().for_each(|number| self.end(number, 2));
        let waiting = self.attempts.values().filter(|attempt| attempt.is_waiting).count();
        assert_eq!(waiting, 0, "attempts wait for a run that is over");
        self.lose_predecessor();
        let open: Vec<_> = self.attempts.keys().copied().collect();
        open.into_iter().for_each(|number| self.close(number));
        self.now += 100.0 * WINDOW_MS;
        self.sweep();
        for process in self.processes() {
            assert!(process.table.is_empty(), "keys are left over");
            assert_eq!(process.table.result_bytes(), 0, "bytes of results are left over");
        }
    }

    fn arrive(&mut self, keyed: Keyed) {
        let lookup = self.decide(|process| process.arrive(&keyed));
        let is_duplicate = match lookup {
            Lookup::New => false,
            Lookup::DuplicateOf(_) => true,
            Lookup::Expired | Lookup::BodyMismatch => return self.close_everywhere(&keyed),
        };
        let attempt = Attempt { keyed, is_duplicate, is_waiting: false, is_running: false };
        self.attempts.insert(attempt.keyed.number, attempt);
    }

    /// The attempt at this position runs, takes a result, waits for one, or takes the place of a dropped attempt.
    fn run(&mut self, at: usize) {
        let Some(number) = self.at(at) else { return };
        let attempt = &self.attempts[&number];
        if attempt.is_running || attempt.is_waiting {
            return;
        }
        let keyed = attempt.keyed.clone();
        if !attempt.is_duplicate {
            return self.begin_run(&keyed);
        }
        match self.reuse_result(&keyed) {
            ReuseOutcome::Ready(result) => {
                self.check_result(&keyed, result.as_deref());
                self.close(number);
            }
            ReuseOutcome::Pending => self.attempt_mut(number).is_waiting = true,
            ReuseOutcome::NotRun => {
                let window_end = self.now + WINDOW_MS;
                self.decide(|process| process.reserve(&keyed, window_end));
                self.attempt_mut(number).is_duplicate = false;
            }
        }
    }

    fn begin_run(&mut self, keyed: &Keyed) {
        let Ok(superseded_waiters) = self.decide(|process| process.begin_run(keyed)) else { return };
        let Keyed { number, received_at, .. } = *keyed;
        let before = self.ran.entry(keyed.key.to_vec()).or_default();
        let covered = before.iter().any(|(other, at)| *other != number && received_at <= at + WINDOW_MS);
        assert!(
            !covered,
            "{number}, {received_at}, runs in the window of another run of its key: {before:?}"
        );
        before.push((number, received_at));
        self.attempt_mut(number).is_running = true;
        superseded_waiters.into_iter().for_each(|waiter| self.close(waiter));
    }

    fn reuse_result(&mut self, keyed: &Keyed) -> ReuseOutcome<Vec<u8>> {
        let Phase::Compared(successor, Comparison::MayEvictEarlier) = &mut self.phase else {
            return self.decide(|process| process.reuse_result(keyed));
        };
        let expected = self.predecessor.reuse_result(keyed);
        let moved = successor.reuse_result(keyed);
        let is_evicted =
            matches!(expected, ReuseOutcome::Ready(Some(_))) && moved == ReuseOutcome::Ready(None);
        assert!(expected == moved || is_evicted, "{keyed:?} gets {moved:?} for {expected:?}");
        expected
    }

    /// A result tells which attempt made it: one of the same key.
    fn check_result(&self, keyed: &Keyed, result: Option<&[u8]>) {
        let Some(result) = result else { return };
        let made_by = result.first_chunk().copied().map(AttemptNumber::from_be_bytes).expect("a number");
        let made_by_key = self.ran[&keyed.key[..]].iter().any(|(number, _)| *number == made_by);
        assert!(made_by_key, "{keyed:?} gets the result of {made_by}, which ran for another key");
    }

    fn end(&mut self, number: AttemptNumber, how: u8) {
        let keyed = self.attempts[&number].keyed.clone();
        let result = match how {
            0 => RunResult::Failed,
            1 => {
                let runs = self.ran.get_mut(&keyed.key[..]).expect("it ran");
                runs.retain(|(other, _)| *other != number);
                RunResult::NotStarted
            }
            how => {
                let mut result = number.to_be_bytes().to_vec();
                result.resize(40 + usize::from(how), how);
                RunResult::Completed(result)
            }
        };
        let finished = self.decide(|process| process.finish_run(&keyed, result.clone()));
        if matches!(self.phase, Phase::HandedOver(_)) && self.predecessor.has_begun(number) {
            self.predecessor.finish_run(&keyed, result);
        }
        for waiter in finished.waiters {
            assert!(self.attempts[&waiter].is_waiting, "{waiter} did not wait");
            self.check_result(&self.attempts[&waiter].keyed, finished.result.as_deref());
            self.close(waiter);
        }
        self.close(number);
    }

    /// Has the processes decide that own the keys, and compares what they say.
    fn decide<T: PartialEq + Debug>(&mut self, decision: impl Fn(&mut Process) -> T) -> T {
        match &mut self.phase {
            Phase::Single => decision(&mut self.predecessor),
            Phase::HandedOver(successor) => decision(successor),
            Phase::Compared(successor, _) => {
                let expected = decision(&mut self.predecessor);
                assert_eq!(decision(successor), expected, "the moved table decides otherwise");
                expected
            }
        }
    }

    fn processes(&mut self) -> Vec<&mut Process> {
        match &mut self.phase {
            Phase::Single => vec![&mut self.predecessor],
            Phase::HandedOver(successor) | Phase::Compared(successor, _) => {
                vec![&mut self.predecessor, successor]
            }
        }
    }

    fn sweep(&mut self) {
        let now = self.now;
        self.processes().into_iter().for_each(|process| process.table.sweep(now));
    }

    fn close(&mut self, number: AttemptNumber) {
        let attempt = self.attempts.remove(&number).expect("an open attempt is closed once");
        self.close_everywhere(&attempt.keyed);
    }

    fn close_everywhere(&mut self, keyed: &Keyed) {
        self.processes().into_iter().for_each(|process| process.finish_attempt(keyed));
    }

    fn at(&self, position: usize) -> Option<AttemptNumber> {
        self.attempts.keys().nth(position % self.attempts.len().max(1)).copied()
    }

    fn attempt_mut(&mut self, number: AttemptNumber) -> &mut Attempt {
        self.attempts.get_mut(&number).expect("an open attempt")
    }
}

/// Takes the attempts out that are such, in the order of their numbers.
fn take_attempts(
    attempts: &mut BTreeMap<AttemptNumber, Attempt>,
    is_such: impl Fn(&Attempt) -> bool,
) -> Vec<Attempt> {
    let (taken, left): (BTreeMap<_, _>, _) =
        mem::take(attempts).into_iter().partition(|(_, attempt)| is_such(attempt));
    *attempts = left;
    taken.into_values().collect()
}
