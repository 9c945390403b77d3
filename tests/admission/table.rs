//! Compares the request table with the reference table.

use super::concurrency_limit::SaturatedClasses;
use super::deadlines::DeadlineCheck;
use super::idempotency::IdempotencyReservations;
use super::memory::MemoryBudget;
use super::operations::{CLASSES, IDS, Operation, operations, preemption, seeded, settings};
use super::plain_table::{Moment, PlainTable};
use super::ready_queue::ReadyGroup;
use super::request::Request;
use super::request_table::RequestTable;
use super::run_estimates::RunEstimates;
use super::scheduling::Scheduler;
use super::settings::{Preemption, Settings};
use super::shutdown::Shutdown;
use proptest::test_runner::TestCaseError;
use proptest::{prop_assert_eq, proptest};

/// Relative difference of two sums of memory that rounding may cause.
const ROUNDING: f64 = 1e-12;

/// Both tables, and the other inputs of their queries.
struct Pair {
    settings: Settings,
    estimates: RunEstimates,
    reservations: IdempotencyReservations,
    table: RequestTable,
    plain: PlainTable,
    now: f64,
}

impl Pair {
    fn new(preemption: Preemption) -> Pair {
        let settings = settings(preemption);
        Pair {
            estimates: RunEstimates::new(&settings.classes),
            reservations: IdempotencyReservations::new(&settings),
            table: RequestTable::default(),
            plain: PlainTable::default(),
            now: 0.0,
            settings,
        }
    }

    fn apply(&mut self, operation: &Operation) {
        match *operation {
            Operation::Insert(id, request) => {
                self.table.insert(id, request);
                self.plain.requests.insert(id, request);
            }
            Operation::Remove(id) => {
                self.table.remove(id);
                self.plain.requests.remove(&id);
            }
            Operation::SetState(id, state) => {
                self.table.set_state(id, state);
                if let Some(request) = self.plain.requests.get_mut(&id) {
                    request.state = state;
                }
            }
            Operation::SetAnswered(id) => {
                self.table.set_answered(id);
                if let Some(request) = self.plain.requests.get_mut(&id) {
                    request.answered = true;
                }
            }
            Operation::Promote(id) => {
                assert_eq!(self.table.promote_duplicate(id), self.plain.promote_duplicate(id));
            }
            Operation::CapDeadlines(stop_at) => {
                self.table.cap_deadlines(stop_at);
                self.plain.cap_deadlines(stop_at);
            }
            Operation::Reserve(id) => {
                self.reservations.reserve(self.now, id, self.now, &self.settings.classes[0]);
            }
            Operation::RecordRun { class, took_ms } => self.estimates.record_run(class, took_ms, 1.0),
            Operation::Wait(ms) => {
                self.now += ms;
                self.table.advance(self.now);
            }
        }
    }

    fn compare(&self) -> Result<(), TestCaseError> {
        self.compare_sums()?;
        self.compare_duplicates()?;
        let mut due_calls: Vec<_> = self.table.due().with_call_due_by(self.now).collect();
        due_calls.sort_unstable();
        prop_assert_eq!(due_calls, self.plain.due_calls(self.now));
        let grace = Shutdown::new(self.now / 2.0, self.now, &self.settings);
        for idle in [false, true] {
            for shutdown in [None, Some(grace)] {
                self.compare_overdue(idle, shutdown)?;
            }
            for largest_kb in [f64::INFINITY, 19.0, 0.0] {
                self.compare_best(idle, largest_kb)?;
            }
        }
        Ok(())
    }

    fn compare_sums(&self) -> Result<(), TestCaseError> {
        let totals = self.table.totals();
        prop_assert_eq!(totals.runs(), self.plain.run_counts());
        for class in 0..CLASSES {
            prop_assert_eq!(totals.class(class), self.plain.class_counts(class));
        }
        let queued: usize = (0..CLASSES).map(|class| self.plain.class_counts(class).queued).sum();
        prop_assert_eq!(totals.queued(), queued);
        let saturated = SaturatedClasses::new(totals, &self.settings.class_limits);
        let is_saturated = self.plain.class_counts(1).in_progress >= 2;
        prop_assert_eq!(saturated.contains(1), is_saturated);
        prop_assert_eq!(saturated.queued(), if is_saturated { totals.class(1).queued } else { 0 });
        let settings = Settings { memory_kb: 0.0, run_memory_factor: 3.0, ..self.settings.clone() };
        let used_kb = -MemoryBudget::new(&settings).free_kb(totals, 0);
        let plain_kb = self.plain.used_kb(settings.run_memory_factor);
        assert!((used_kb - plain_kb).abs() <= ROUNDING * plain_kb, "{used_kb} kB, reference {plain_kb} kB");
        Ok(())
    }

    fn compare_duplicates(&self) -> Result<(), TestCaseError> {
        for id in 0..IDS {
            prop_assert_eq!(self.table.queued_duplicates(id), self.plain.queued_duplicates(id));
            let unanswered = self.table.unanswered_duplicates(id).count();
            prop_assert_eq!(unanswered, self.plain.unanswered_duplicates(id).count());
        }
        Ok(())
    }

    fn compare_overdue(&self, idle: bool, shutdown: Option<Shutdown>) -> Result<(), TestCaseError> {
        for overloaded in [false, true] {
            let check = DeadlineCheck {
                now: self.now,
                idle,
                overloaded,
                settings: &self.settings,
                estimates: &self.estimates,
                requests: &self.table,
                shutdown,
                timer_lag_ms: 0.0,
            };
            let moment = self.moment(idle, overloaded, shutdown);
            prop_assert_eq!(check.overdue(), self.plain.overdue(&moment));
        }
        Ok(())
    }

    fn compare_best(&self, idle: bool, largest_kb: f64) -> Result<(), TestCaseError> {
        let moment = self.moment(idle, false, None);
        let scheduler = Scheduler {
            now: self.now,
            idle,
            classes: &self.settings.classes,
            estimates: &self.estimates,
            requests: &self.table,
            reservations: &self.reservations,
        };
        let fits = |request: &Request| request.request_kb <= largest_kb;
        for closed_class in [None, Some(0), Some(1)] {
            let is_open = |class: usize| Some(class) != closed_class;
            let best = scheduler.best(|group: ReadyGroup| is_open(group.class), fits);
            let expected = self.plain.best(&moment, |request| is_open(request.class) && fits(request));
            prop_assert_eq!(best, expected);
        }
        Ok(())
    }

    fn moment(&self, idle: bool, overloaded: bool, shutdown: Option<Shutdown>) -> Moment<'_> {
        Moment {
            now: self.now,
            idle,
            overloaded,
            shutdown,
            settings: &self.settings,
            estimates: &self.estimates,
            reservations: &self.reservations,
        }
    }
}

proptest! {
    #![proptest_config(seeded(512))]

    /// Guards against an index that becomes stale when a request changes.
    #[test]
    fn the_table_answers_as_a_walk_over_all_requests_does(preemption in preemption(), operations in operations()) {
        let mut pair = Pair::new(preemption);
        for operation in &operations {
            pair.apply(operation);
            pair.compare()?;
        }
    }
}
