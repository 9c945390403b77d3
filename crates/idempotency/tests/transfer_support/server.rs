//! Model of a server that consists of one process and later of two, with a record of the runs that is
//! independent of the tables.

use super::process::{AttemptNumber, KeyedAttempt, LostRun, Process, WINDOW_MS};
use super::step::Step;
use dunlinspread_idempotency::{Lookup, ReuseOutcome, RunResult};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::mem;

/// How far the results of a transferred table may differ from those of the original table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Comparison {
    /// The results have to be equal.
    Exact,
    /// The transferred table may evict a result earlier: imported keys are kept until the predecessor has
    /// ended, even past their windows, and their results take space that is free again in the original table.
    MayEvictEarlier,
}

/// Which processes decide on attempts.
enum Phase {
    Single,
    /// Both processes perform all steps and have to return the same results.
    Compared(Box<Process>, Comparison),
    /// The successor decides, and the predecessor finishes the runs that it began.
    HandedOver(Box<Process>),
}

struct Attempt {
    keyed: KeyedAttempt,
    is_duplicate: bool,
    is_waiting: bool,
    is_running: bool,
}

pub struct Server {
    pub predecessor: Process,
    phase: Phase,
    pub now: f64,
    last_number: AttemptNumber,
    attempts: BTreeMap<AttemptNumber, Attempt>,
    /// Runs that may have had side effects, by key, with the attempt and the time of its receipt.
    runs: BTreeMap<Vec<u8>, Vec<(AttemptNumber, f64)>>,
}

impl Server {
    pub fn new(result_bytes: usize) -> Server {
        Server {
            predecessor: Process::new(result_bytes, 1),
            phase: Phase::Single,
            now: 10_000.0,
            last_number: 0,
            attempts: BTreeMap::new(),
            runs: BTreeMap::new(),
        }
    }

    /// Copies the table to a successor. Both processes perform all further steps.
    pub fn copy_to(&mut self, mut successor: Process, comparison: Comparison) {
        self.predecessor.table.sweep(self.now);
        successor.import_from(&self.predecessor, self.now);
        assert_eq!(successor.table.result_bytes(), self.predecessor.table.result_bytes());
        let held = take_attempts(&mut self.attempts, |attempt| !attempt.is_running);
        held.iter().for_each(|attempt| self.predecessor.finish_attempt(&attempt.keyed));
        self.phase = Phase::Compared(Box::new(successor), comparison);
        held.into_iter().for_each(|attempt| self.arrive(attempt.keyed));
    }

    /// Hands the keys and the attempts that have not run over to the successor.
    pub fn hand_over_to(&mut self, mut successor: Process) {
        successor.import_from(&self.predecessor, self.now);
        self.phase = Phase::HandedOver(Box::new(successor));
        let held = take_attempts(&mut self.attempts, |attempt| !attempt.is_running);
        held.into_iter().for_each(|attempt| self.arrive(attempt.keyed));
    }

    /// Ends the successor, so that the predecessor owns the keys again. All attempts fail except those that
    /// the predecessor itself is running. Returns the end of the blackout.
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

    /// Ends the predecessor of a copied table, so that the outcome of the runs that it began is unknown. For
    /// the comparison its own table records these runs as failed.
    pub fn lose_predecessor(&mut self) {
        let Phase::Compared(successor, _) = &mut self.phase else { return };
        let lost = take_attempts(&mut self.attempts, |attempt| {
            attempt.is_running && !successor.has_begun(attempt.keyed.number)
        });
        let reported = successor.end_import();
        let mut expected = Vec::new();
        for attempt in lost {
            let number = attempt.keyed.number;
            let waiters = self.predecessor.finish_run(&attempt.keyed, RunResult::Failed).waiters;
            self.predecessor.finish_attempt(&attempt.keyed);
            expected.push(LostRun { number, waiters });
        }
        // Superseded runs are not reported, and no attempt waits for them.
        expected
            .retain(|run| reported.iter().any(|other| other.number == run.number) || !run.waiters.is_empty());
        assert_eq!(reported, expected, "the lost runs or their waiters differ");
        let waiters: Vec<_> = reported.into_iter().flat_map(|run| run.waiters).collect();
        waiters.into_iter().for_each(|waiter| self.close(waiter));
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Advance(ms) => {
                self.now += ms;
                self.sweep();
            }
            Step::Arrive { key, body, age_ms } => {
                self.last_number += 1;
                let (number, received_at) = (self.last_number, self.now - age_ms);
                let keyed =
                    KeyedAttempt { number, key: [key][..].into(), body_hash: u64::from(body), received_at };
                self.arrive(keyed);
            }
            Step::Run(position) => self.run(position),
            Step::End { position, outcome } => {
                if let Some(number) =
                    self.number_at(position).filter(|number| self.attempts[number].is_running)
                {
                    self.end(number, outcome);
                }
            }
            Step::Drop(position) => {
                if let Some(number) =
                    self.number_at(position).filter(|number| !self.attempts[number].is_running)
                {
                    self.close(number);
                }
            }
        }
    }

    /// Ends all runs and attempts, and asserts that all tables are empty after all windows.
    pub fn settle(&mut self) {
        let running = self.attempts.iter().filter(|(_, attempt)| attempt.is_running);
        let running: Vec<_> = running.map(|(number, _)| *number).collect();
        running.into_iter().for_each(|number| self.end(number, 2));
        let waiting = self.attempts.values().filter(|attempt| attempt.is_waiting).count();
        assert_eq!(waiting, 0, "attempts wait for a run that has ended");
        self.lose_predecessor();
        let open: Vec<_> = self.attempts.keys().copied().collect();
        open.into_iter().for_each(|number| self.close(number));
        self.now += 100.0 * WINDOW_MS;
        self.sweep();
        for process in self.processes() {
            assert!(process.table.is_empty(), "keys are left over");
            assert_eq!(process.table.result_bytes(), 0, "results are left over");
        }
    }

    fn arrive(&mut self, keyed: KeyedAttempt) {
        let lookup = self.decide(|process| process.arrive(&keyed));
        let is_duplicate = match lookup {
            Lookup::New => false,
            Lookup::DuplicateOf(_) => true,
            Lookup::Expired | Lookup::BodyMismatch => return self.close_everywhere(&keyed),
        };
        let attempt = Attempt { keyed, is_duplicate, is_waiting: false, is_running: false };
        self.attempts.insert(attempt.keyed.number, attempt);
    }

    /// Runs the attempt at this position, or lets it reuse a result, wait for one, or replace a dropped
    /// attempt.
    fn run(&mut self, position: usize) {
        let Some(number) = self.number_at(position) else { return };
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

    fn begin_run(&mut self, keyed: &KeyedAttempt) {
        let Ok(superseded_waiters) = self.decide(|process| process.begin_run(keyed)) else { return };
        let KeyedAttempt { number, received_at, .. } = *keyed;
        let earlier_runs = self.runs.entry(keyed.key.to_vec()).or_default();
        let is_covered =
            earlier_runs.iter().any(|(other, at)| *other != number && received_at <= at + WINDOW_MS);
        assert!(
            !is_covered,
            "{number}, {received_at}, runs within the window of another run of its key: {earlier_runs:?}"
        );
        earlier_runs.push((number, received_at));
        self.attempt_mut(number).is_running = true;
        superseded_waiters.into_iter().for_each(|waiter| self.close(waiter));
    }

    fn reuse_result(&mut self, keyed: &KeyedAttempt) -> ReuseOutcome<Vec<u8>> {
        let Phase::Compared(successor, Comparison::MayEvictEarlier) = &mut self.phase else {
            return self.decide(|process| process.reuse_result(keyed));
        };
        let expected = self.predecessor.reuse_result(keyed);
        let transferred = successor.reuse_result(keyed);
        let is_evicted =
            matches!(expected, ReuseOutcome::Ready(Some(_))) && transferred == ReuseOutcome::Ready(None);
        assert!(
            expected == transferred || is_evicted,
            "{keyed:?} gets {transferred:?} instead of {expected:?}"
        );
        expected
    }

    /// Asserts that a result is of a run of the same key. A result contains the number of the attempt that
    /// was run.
    fn check_result(&self, keyed: &KeyedAttempt, result: Option<&[u8]>) {
        let Some(result) = result else { return };
        let original = result
            .first_chunk()
            .copied()
            .map(AttemptNumber::from_be_bytes)
            .expect("a result begins with a number");
        let ran_for_key = self.runs[&keyed.key[..]].iter().any(|(number, _)| *number == original);
        assert!(ran_for_key, "{keyed:?} gets the result of attempt {original}, which has another key");
    }

    fn end(&mut self, number: AttemptNumber, outcome: u8) {
        let keyed = self.attempts[&number].keyed.clone();
        let result = match outcome {
            0 => RunResult::Failed,
            1 => {
                let runs = self.runs.get_mut(&keyed.key[..]).expect("the key was run");
                runs.retain(|(other, _)| *other != number);
                RunResult::NotStarted
            }
            byte => {
                let mut result = number.to_be_bytes().to_vec();
                result.resize(40 + usize::from(byte), byte);
                RunResult::Completed(result)
            }
        };
        let finished = self.decide(|process| process.finish_run(&keyed, result.clone()));
        if matches!(self.phase, Phase::HandedOver(_)) && self.predecessor.has_begun(number) {
            self.predecessor.finish_run(&keyed, result);
        }
        for waiter in finished.waiters {
            assert!(self.attempts[&waiter].is_waiting, "{waiter} was not waiting");
            self.check_result(&self.attempts[&waiter].keyed, finished.result.as_deref());
            self.close(waiter);
        }
        self.close(number);
    }

    /// Lets the processes that own the keys decide, and asserts that their decisions are equal.
    fn decide<T: PartialEq + Debug>(&mut self, decision: impl Fn(&mut Process) -> T) -> T {
        match &mut self.phase {
            Phase::Single => decision(&mut self.predecessor),
            Phase::HandedOver(successor) => decision(successor),
            Phase::Compared(successor, _) => {
                let expected = decision(&mut self.predecessor);
                assert_eq!(decision(successor), expected, "the transferred table decides differently");
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
        let attempt = self.attempts.remove(&number).expect("only an open attempt is closed");
        self.close_everywhere(&attempt.keyed);
    }

    fn close_everywhere(&mut self, keyed: &KeyedAttempt) {
        self.processes().into_iter().for_each(|process| process.finish_attempt(keyed));
    }

    fn number_at(&self, position: usize) -> Option<AttemptNumber> {
        self.attempts.keys().nth(position % self.attempts.len().max(1)).copied()
    }

    fn attempt_mut(&mut self, number: AttemptNumber) -> &mut Attempt {
        self.attempts.get_mut(&number).expect("the attempt is open")
    }
}

/// Removes and returns the attempts that match the predicate, sorted by number.
fn take_attempts(
    attempts: &mut BTreeMap<AttemptNumber, Attempt>,
    matches: impl Fn(&Attempt) -> bool,
) -> Vec<Attempt> {
    let (removed, remaining): (BTreeMap<_, _>, _) =
        mem::take(attempts).into_iter().partition(|(_, attempt)| matches(attempt));
    *attempts = remaining;
    removed.into_values().collect()
}
