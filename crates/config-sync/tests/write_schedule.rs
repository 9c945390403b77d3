//! The schedule of a subscriber's writes to disk: a failed disk is not retried early, no record is written
//! out of order, and the state on disk is complete at the end.

use dunlinspread_config_sync::resource::{Change, Millis, Position, Resource, Transaction};
use dunlinspread_config_sync::subscriber::{Persist, PersistedState};
use dunlinspread_config_sync::write_schedule::{QueuedRecord, RETRY_MS, WriteSchedule, writable_records};
use proptest::prelude::{Just, Strategy, any, proptest};
use proptest::test_runner::Config;
use std::collections::VecDeque;
use std::sync::Arc;

/// Largest number of records that wait for the writer thread.
const QUEUE_LENGTH: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    /// The next transaction is put in force.
    Append { refused: bool },
    /// The table of a publisher with a new epoch is put in force.
    Replace,
    /// The writer thread takes this many waiting records.
    Write { records: usize },
    /// The subscriber checks whether a write is due, as it does after each event.
    CatchUp,
    /// The clock advances by this many milliseconds.
    Wait(Millis),
    /// From now on the disk works or fails.
    SetDisk { works: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = proptest::prop_oneof![
        6 => any::<bool>().prop_map(|refused| Step::Append { refused }),
        3 => Just(Step::Replace),
        6 => (1..=QUEUE_LENGTH).prop_map(|records| Step::Write { records }),
        6 => Just(Step::CatchUp),
        2 => (1..RETRY_MS).prop_map(Step::Wait),
        2 => (RETRY_MS - 1..=RETRY_MS + 1).prop_map(Step::Wait),
        2 => any::<bool>().prop_map(|works| Step::SetDisk { works }),
    ];
    proptest::collection::vec(step, 1..120)
}

/// Model of a subscriber, the queue, the writer thread and its disk.
struct Model {
    now: Millis,
    schedule: WriteSchedule,
    /// State that the subscriber has in force, all of it confirmed.
    in_force: PersistedState,
    queue: VecDeque<QueuedRecord>,
    /// Whether the thread reported a failure that the subscriber has not processed yet.
    failure_reported: bool,
    store_is_open: bool,
    disk_works: bool,
    on_disk: PersistedState,
    last_failure: Option<Millis>,
}

impl Model {
    fn new() -> Model {
        Model {
            now: 1_000,
            schedule: WriteSchedule::default(),
            in_force: PersistedState::default(),
            queue: VecDeque::new(),
            failure_reported: false,
            store_is_open: true,
            disk_works: true,
            on_disk: PersistedState::default(),
            last_failure: None,
        }
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Append { refused } => self.append(*refused),
            Step::Replace => self.replace(),
            Step::Write { records } => self.write(*records),
            Step::CatchUp => self.catch_up(),
            Step::Wait(ms) => self.now += ms,
            Step::SetDisk { works } => self.disk_works = *works,
        }
    }

    fn append(&mut self, refused: bool) {
        let position = self.in_force.position.next();
        let tenant = format!("t{}", position.revision % 3).into();
        let changes =
            vec![Change::Put(Resource::TenantAllowance { tenant, milli_per_second: position.revision })];
        let mut mirror = self.in_force.mirror.clone();
        mirror.apply(&changes);
        let digest = mirror.digest();
        let transaction = Arc::new(Transaction { position, changes, digest, published_unix_ms: self.now });
        self.keep(Persist::Append { transaction, refused });
    }

    fn replace(&mut self) {
        let position = Position { epoch: self.in_force.position.epoch + 1, revision: 0 };
        self.keep(Persist::Replace(PersistedState { position, ..self.in_force.clone() }));
    }

    fn keep(&mut self, record: Persist) {
        self.in_force.apply(&record);
        if let Some(queued) = self.schedule.next(record) {
            self.enqueue(queued);
        }
    }

    fn enqueue(&mut self, queued: QueuedRecord) {
        if self.queue.len() < QUEUE_LENGTH {
            self.queue.push_back(queued);
        } else {
            self.schedule.on_not_queued(&queued);
        }
    }

    fn catch_up(&mut self) {
        if std::mem::take(&mut self.failure_reported) {
            self.schedule.on_failure(self.now);
        }
        if self.schedule.is_whole_state_due(self.now) {
            let queued = self.schedule.whole_state(self.in_force.clone());
            self.enqueue(queued);
        }
    }

    fn write(&mut self, records: usize) {
        let batch = self.queue.drain(..records.min(self.queue.len())).collect();
        let records = writable_records(batch, self.store_is_open);
        if records.is_empty() {
            return;
        }
        if let Some(failure) = self.last_failure.filter(|_| !self.store_is_open) {
            assert!(
                self.now >= failure + RETRY_MS,
                "the failed disk was retried after {} ms",
                self.now - failure
            );
        }
        self.store_is_open = self.disk_works;
        if !self.disk_works {
            (self.failure_reported, self.last_failure) = (true, Some(self.now));
            return;
        }
        for record in &records {
            if let Persist::Append { transaction, .. } = record {
                assert_eq!(transaction.position, self.on_disk.position.next(), "written out of order");
            }
            self.on_disk.apply(record);
        }
    }

    /// Makes the disk work, lets the retry interval pass, and checks that the whole state is written.
    fn settle(&mut self) {
        self.disk_works = true;
        for _ in 0..3 {
            self.write(QUEUE_LENGTH);
            self.catch_up();
            self.now += RETRY_MS;
            self.catch_up();
        }
        self.write(QUEUE_LENGTH);
        assert_eq!(self.on_disk.position, self.in_force.position);
        assert_eq!(self.on_disk.mirror.digest(), self.in_force.mirror.digest());
        assert_eq!(self.on_disk.held_back, self.in_force.held_back);
    }
}

proptest! {
    #![proptest_config(Config { cases: 1_000, ..Config::default() })]

    #[test]
    fn a_failed_disk_rests_and_the_state_is_written_in_the_end(steps in steps()) {
        let mut model = Model::new();
        for step in &steps {
            model.apply_step(step);
        }
        model.settle();
    }
}

/// A whole state that was queued before the subscriber knew of the failure, and one that follows it, are both
/// written only at the retry.
#[test]
fn whole_states_around_a_failure_wait_for_the_retry() {
    let mut model = Model::new();
    model.disk_works = false;
    model.replace();
    model.replace();
    model.write(1);
    assert_eq!(model.last_failure, Some(1_000));
    model.disk_works = true;
    model.write(1);
    assert!(!model.store_is_open, "the disk was retried for a record queued before the failure");
    model.catch_up();
    model.replace();
    model.append(false);
    assert!(model.queue.is_empty(), "a record was queued before the retry");
    model.now += RETRY_MS - 1;
    model.catch_up();
    assert!(model.queue.is_empty(), "a record was queued before the retry");
    model.now += 1;
    model.catch_up();
    model.append(false);
    model.write(2);
    assert_eq!(model.on_disk.position, model.in_force.position);
}

/// A retry that finds the queue full is repeated, and is still marked as a retry.
#[test]
fn a_retry_that_was_not_queued_is_made_up_for() {
    let mut schedule = WriteSchedule::default();
    schedule.on_failure(0);
    let retry = schedule.whole_state(PersistedState::default());
    assert!(retry.is_retry);
    schedule.on_not_queued(&retry);
    assert!(schedule.is_whole_state_due(RETRY_MS));
    assert!(schedule.whole_state(PersistedState::default()).is_retry);
    assert!(!schedule.is_whole_state_due(RETRY_MS));
}

/// After many appended transactions a whole state replaces them.
#[test]
fn many_transactions_give_way_to_the_whole_state() {
    let mut model = Model::new();
    let mut appended = 0;
    while !model.schedule.is_whole_state_due(model.now) {
        model.append(false);
        model.write(1);
        appended += 1;
    }
    assert_eq!(appended, 4097);
    model.catch_up();
    model.append(false);
    assert_eq!(model.queue.len(), 2);
    model.write(2);
    assert_eq!(model.on_disk.position, model.in_force.position);
}
