//! When a subscriber's state is written to disk: a disk that failed has its rest, no record is written out of
//! order, and what is written in the end is the state.

use dunlinspread_config_sync::resource::{Change, Millis, Position, Resource, Transaction};
use dunlinspread_config_sync::subscriber::{Persist, PersistedState};
use dunlinspread_config_sync::write_schedule::{QueuedRecord, RETRY_MS, WriteSchedule, writable_records};
use proptest::prelude::{Just, Strategy, any, proptest};
use proptest::test_runner::Config;
use std::collections::VecDeque;
use std::sync::Arc;

/// Records that wait for the thread at most.
const QUEUE_LENGTH: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    /// The next transaction comes in force.
    Append { refused: bool },
    /// The table of a publisher of another epoch comes in force.
    Replace,
    /// The thread takes so many records that wait.
    Write { records: usize },
    /// The subscriber looks whether something is due, as it does after all that it does.
    CatchUp,
    /// Time passes, ms.
    Wait(Millis),
    /// From now on the disk fails, or works.
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

/// A subscriber, the queue, the thread and its disk.
struct Model {
    now: Millis,
    schedule: WriteSchedule,
    /// What the subscriber has in force, all of it confirmed.
    in_force: PersistedState,
    queue: VecDeque<QueuedRecord>,
    /// The thread told of a failure, and the subscriber has not heard of it.
    failure_told: bool,
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
            failure_told: false,
            store_is_open: true,
            disk_works: true,
            on_disk: PersistedState::default(),
            last_failure: None,
        }
    }

    fn take(&mut self, step: &Step) {
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
            self.hand_over(queued);
        }
    }

    fn hand_over(&mut self, queued: QueuedRecord) {
        if self.queue.len() < QUEUE_LENGTH {
            self.queue.push_back(queued);
        } else {
            self.schedule.on_not_queued(&queued);
        }
    }

    fn catch_up(&mut self) {
        if std::mem::take(&mut self.failure_told) {
            self.schedule.on_failure(self.now);
        }
        if self.schedule.is_whole_state_due(self.now) {
            let queued = self.schedule.whole_state(self.in_force.clone());
            self.hand_over(queued);
        }
    }

    fn write(&mut self, records: usize) {
        let batch = self.queue.drain(..records.min(self.queue.len())).collect();
        let records = writable_records(batch, self.store_is_open);
        if records.is_empty() {
            return;
        }
        if let Some(failure) = self.last_failure.filter(|_| !self.store_is_open) {
            assert!(self.now >= failure + RETRY_MS, "tried again after {} ms", self.now - failure);
        }
        self.store_is_open = self.disk_works;
        if !self.disk_works {
            (self.failure_told, self.last_failure) = (true, Some(self.now));
            return;
        }
        for record in &records {
            if let Persist::Append { transaction, .. } = record {
                assert_eq!(transaction.position, self.on_disk.position.next(), "out of order");
            }
            self.on_disk.apply(record);
        }
    }

    /// With a disk that works and time to rest, all is written.
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
            model.take(step);
        }
        model.settle();
    }
}

/// A whole state that was handed over before the subscriber learned of the failure, and one that comes after.
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
    assert!(!model.store_is_open, "tried for what was handed over before");
    model.catch_up();
    model.replace();
    model.append(false);
    assert!(model.queue.is_empty(), "handed over before the retry");
    model.now += RETRY_MS - 1;
    model.catch_up();
    assert!(model.queue.is_empty(), "handed over before the retry");
    model.now += 1;
    model.catch_up();
    model.append(false);
    model.write(2);
    assert_eq!(model.on_disk.position, model.in_force.position);
}

/// A retry that finds the queue full is a retry the next time, too.
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

/// Many transactions make way for a whole state.
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
