//! Property test of the follower. Whatever messages arrive, in any order and from any server, the table
//! always equals that of a published position, and the position never goes back.

mod client_support;

use client_support::{Driver, History, allowance, at, delete, member, server};
use dunlinspread_config_sync::follower::{FollowerAction, FollowerEvent, FollowerSettings, LinkAction};
use dunlinspread_config_sync::message::ToClient;
use dunlinspread_config_sync::resource::{Digest, Position, Transaction};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;

/// A step of a schedule. Numbers are taken modulo the number of possible values.
#[derive(Clone, Debug)]
enum Step {
    Connected,
    ConnectFailed,
    Disconnected,
    Wait(u64),
    /// Transactions of one history: history, start, count.
    Deltas(usize, usize, usize),
    /// Two consecutive transactions in the wrong order.
    SwappedDeltas(usize, usize),
    DamagedDelta(usize, usize),
    /// A heartbeat of a server: history, head, age of the server's state.
    Heartbeat(usize, usize, u64),
    Resync(usize, usize),
    /// A snapshot, whole or cut short, in answer to the last `FetchDifferences`: history, number of
    /// transactions that the server has, number of messages sent.
    Snapshot(usize, usize, usize),
    /// A snapshot that lacks one of its pieces.
    TornSnapshot(usize, usize, usize),
    Busy(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let number = 0_usize..64;
    let pair = (number.clone(), number.clone());
    let triple = (number.clone(), number.clone(), number);
    let step = prop_oneof![
        8 => Just(Step::Connected),
        1 => Just(Step::ConnectFailed),
        1 => Just(Step::Disconnected),
        6 => (0_u64..4_000).prop_map(Step::Wait),
        6 => triple.clone().prop_map(|(history, from, count)| Step::Deltas(history, from, count)),
        1 => pair.clone().prop_map(|(history, from)| Step::SwappedDeltas(history, from)),
        1 => pair.clone().prop_map(|(history, from)| Step::DamagedDelta(history, from)),
        2 => pair.clone().prop_map(|(history, head)| Step::Heartbeat(history, head, 0)),
        2 => (pair.clone(), 0_u64..60_000)
            .prop_map(|((history, head), age)| Step::Heartbeat(history, head, age)),
        5 => pair.prop_map(|(history, head)| Step::Resync(history, head)),
        5 => triple.clone().prop_map(|(history, head, sent)| Step::Snapshot(history, head, sent)),
        1 => triple.prop_map(|(history, head, lost)| Step::TornSnapshot(history, head, lost)),
        1 => (0_u64..10_000).prop_map(Step::Busy),
    ];
    prop::collection::vec(step, 1..120)
}

/// Returns histories of two epochs; the second has none of the resources of the first.
fn histories() -> [History; 2] {
    let build = |epoch| {
        let mut history = History::new(epoch);
        for number in 0..24_u64 {
            let deleted = format!("tenant-{}-{epoch}", (number + 3) % 7);
            let put = allowance(&format!("tenant-{}-{epoch}", number % 7), number + 1);
            history.push(vec![put, delete(&deleted)]);
        }
        history
    };
    [build(1), build(2)]
}

/// Returns the history after `count` of its transactions, at least one.
fn as_of(history: &History, count: usize) -> History {
    let count = 1 + count % history.transactions.len();
    let (position, table) = history.tables[count - 1].clone();
    let transactions = history.transactions[..count].to_vec();
    History { position, table, transactions, tables: history.tables[..count].to_vec() }
}

struct World {
    histories: [History; 2],
    driver: Driver,
    fetched: Vec<u64>,
}

impl World {
    fn new(seed: u64) -> World {
        let servers = vec![server("relay-1", Some("a1"), "a"), server("relay-2", None, "a")];
        let settings = FollowerSettings::new(member("server-1", "a1", "a"), servers, seed);
        World { histories: histories(), driver: Driver::new(settings), fetched: Vec::new() }
    }

    /// Returns the events of a step in order.
    fn events(&self, step: &Step) -> Vec<FollowerEvent> {
        let history = |number: &usize| &self.histories[number % 2];
        let received = |message| vec![FollowerEvent::Received(message)];
        match step {
            Step::Connected => vec![FollowerEvent::Connected],
            Step::ConnectFailed => vec![FollowerEvent::ConnectFailed],
            Step::Disconnected => vec![FollowerEvent::Disconnected],
            Step::Wait(_) => vec![FollowerEvent::Tick],
            Step::Deltas(number, from, count) => {
                let transactions = &history(number).transactions;
                let from = self.near_position(history(number), *from);
                received(ToClient::Deltas(transactions.iter().skip(from).take(count % 6).cloned().collect()))
            }
            Step::SwappedDeltas(number, from) => {
                let transactions = &history(number).transactions;
                let mut some: Vec<_> = transactions.iter().skip(from % 22).take(2).cloned().collect();
                some.reverse();
                received(ToClient::Deltas(some))
            }
            Step::DamagedDelta(number, from) => {
                let from = self.near_position(history(number), *from);
                let damaged = history(number).transactions.get(from).map(damaged);
                received(ToClient::Deltas(damaged.into_iter().collect()))
            }
            Step::Heartbeat(number, head, age) => {
                received(as_of(history(number), *head).heartbeat_aged(*age))
            }
            Step::Resync(number, head) => {
                received(ToClient::Resync { head: as_of(history(number), *head).position })
            }
            Step::Snapshot(number, head, sent) => {
                let messages = as_of(history(number), *head).snapshot(&self.fetched);
                let sent = if sent % 3 == 0 { sent % messages.len() } else { messages.len() };
                messages.into_iter().take(sent).map(FollowerEvent::Received).collect()
            }
            Step::TornSnapshot(number, head, lost) => {
                let messages = as_of(history(number), *head).snapshot(&self.fetched);
                without_piece(messages, *lost).into_iter().map(FollowerEvent::Received).collect()
            }
            Step::Busy(retry_after_ms) => received(ToClient::Busy { retry_after_ms: *retry_after_ms }),
        }
    }

    /// Returns the follower's own revision in most cases, so that deltas often follow it, and an arbitrary
    /// one otherwise.
    fn near_position(&self, history: &History, from: usize) -> usize {
        let position = self.driver.follower.position();
        if from % 4 != 0 && position.epoch == history.position.epoch {
            position.revision as usize
        } else {
            from % history.transactions.len()
        }
    }

    fn apply_step(&mut self, step: &Step) {
        if let Step::Wait(time) = step {
            self.driver.now += time;
        }
        for event in self.events(step) {
            let before = self.driver.follower.position();
            self.driver.event(event);
            self.check(before);
            if let Some(digests) = self.driver.fetched() {
                self.fetched = digests;
            }
        }
    }

    fn check(&self, before: Position) {
        let position = self.driver.follower.position();
        assert!(position >= before, "from {before:?} back to {position:?}");
        let table = self.driver.follower.table();
        if position == Position::default() {
            assert!(table.is_empty());
            return;
        }
        let published = self.histories.iter().find_map(|history| history.table_at(position));
        let published = published.expect("a published position");
        assert_eq!(table.digest(), published.digest(), "torn at {position:?}");
        assert!(table.iter().eq(published.iter()), "torn at {position:?}");
        self.check_actions();
    }

    /// Asserts that nothing is sent on a connection after `Disconnect`.
    fn check_actions(&self) {
        let mut disconnected = false;
        for action in &self.driver.actions {
            match action {
                FollowerAction::Link(LinkAction::Send(message)) => {
                    assert!(!disconnected, "{message:?} was sent after `Disconnect`");
                }
                FollowerAction::Link(LinkAction::Disconnect(_)) => disconnected = true,
                FollowerAction::Link(LinkAction::Connect(_)) | FollowerAction::Advanced(_) => {}
            }
        }
    }

    /// Connects to a server without faults until the follower has the newest state.
    fn heal(&mut self) {
        let newest = self.histories[1].clone();
        for _ in 0..40 {
            let position = self.driver.follower.position();
            if position == newest.position {
                return;
            }
            self.driver.wake();
            self.driver.event(FollowerEvent::Disconnected);
            self.driver.accept();
            self.driver.receive(ToClient::Resync { head: newest.position });
            let fetched = self.driver.fetched().expect("`Resync` is answered with `FetchDifferences`");
            newest.snapshot(&fetched).into_iter().for_each(|message| {
                self.driver.receive(message);
            });
        }
        panic!("the follower did not reach {:?} with a server without faults", at(2, 24));
    }
}

/// Returns the transaction with a wrong digest or a wrong change.
fn damaged(transaction: &Arc<Transaction>) -> Arc<Transaction> {
    let mut damaged = (**transaction).clone();
    if transaction.position.revision % 2 == 0 {
        damaged.digest = Digest(transaction.digest.0.wrapping_add(1));
    } else {
        damaged.changes[0] = allowance("damaged", 1);
    }
    Arc::new(damaged)
}

/// Returns a snapshot without one of its pieces, numbered and counted as if that piece did not exist.
fn without_piece(mut messages: Vec<ToClient>, lost: usize) -> Vec<ToClient> {
    let count = messages.len() - 1;
    if count > 0 {
        messages.remove(lost % count);
    }
    for (number, message) in (0..).zip(&mut messages) {
        match message {
            ToClient::Piece { sequence, .. } => *sequence = number,
            ToClient::SnapshotEnd { pieces, .. } => *pieces = number,
            _ => {}
        }
    }
    messages
}

proptest! {
    // The fixed seed makes the result the same on every run.
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(30),
        ..ProptestConfig::default()
    })]
    #[test]
    fn never_torn_never_backwards(steps in steps(), seed in any::<u64>()) {
        let mut world = World::new(seed);
        for step in &steps {
            world.apply_step(step);
        }
        world.heal();
        prop_assert_eq!(world.driver.follower.position(), at(2, 24));
        prop_assert_eq!(world.driver.follower.table().digest(), world.histories[1].table.digest());
    }
}
