//! Deltas of the fan-out: order, coalescing, sharing between sessions, and the cases that need a `Resync`.

mod server_support;

use dunlinspread_config_sync::delta_log::DeltaLogSettings;
use dunlinspread_config_sync::fanout::{
    CloseReason, Fanout, FanoutAction, FanoutEvent, FanoutSettings, SessionId,
};
use dunlinspread_config_sync::message::{ToClient, ToServer};
use dunlinspread_config_sync::resource::{Digest, Position};
use dunlinspread_config_sync::size::transaction_bytes;
use dunlinspread_config_sync::table::Table;
use server_support::{History, Server, at, tenant};
use std::sync::Arc;

fn server(settings: FanoutSettings) -> (Server, History) {
    let mut server = Server::new(Fanout::new(settings));
    server.reset(at(0), &Table::new());
    (server, History::new())
}

/// Returns the number of transactions in each `Deltas` message that a client received.
fn batches(server: &Server, id: u64) -> Vec<usize> {
    let payloads = server.client(id).payloads();
    let lengths = payloads.iter().map(|message| match message {
        ToClient::Deltas(transactions) => transactions.len(),
        other => panic!("expected deltas, got {other:?}"),
    });
    lengths.collect()
}

fn deltas_of(server: &Server, id: u64) -> Vec<Arc<ToClient>> {
    let messages = server.client(id).messages.iter();
    messages.filter(|message| matches!(***message, ToClient::Deltas(_))).cloned().collect()
}

#[test]
fn a_client_at_the_head_gets_what_comes_after() {
    let (mut server, mut history) = server(FanoutSettings::default());
    server.watch(1, at(0), &Table::new());
    assert!(server.client(1).messages.is_empty());
    for _ in 0..3 {
        let transactions = history.tenants(1);
        server.publish(&history, transactions);
        server.tick_after(20);
    }
    assert_eq!(batches(&server, 1), [1, 1, 1]);
    assert_eq!(server.client(1).position, at(3));
    assert_eq!(server.client(1).table, history.table);
}

#[test]
fn what_comes_within_a_flush_goes_together() {
    let (mut server, mut history) = server(FanoutSettings { flush_ms: 20, ..FanoutSettings::default() });
    server.watch(1, at(0), &Table::new());
    server.now = 100;
    for _ in 0..5 {
        let transactions = history.tenants(2);
        server.publish(&history, transactions);
        server.tick_after(2);
    }
    assert_eq!(
        batches(&server, 1),
        [2],
        "the first transactions are sent at once, later ones wait for the flush"
    );
    assert_eq!(server.fanout.deadline(), 120);
    server.tick_after(9);
    assert_eq!(batches(&server, 1), [2]);
    server.tick_after(1);
    assert_eq!(batches(&server, 1), [2, 8]);
}

#[test]
fn one_message_serves_all_sessions() {
    let (mut server, mut history) = server(FanoutSettings::default());
    for id in 1..=3 {
        server.watch(id, at(0), &Table::new());
    }
    let transactions = history.tenants(4);
    server.publish(&history, transactions);
    for id in 4..=6 {
        server.watch(id, at(0), &Table::new());
    }
    let (first, fourth) = (deltas_of(&server, 1), deltas_of(&server, 4));
    for id in 2..=3 {
        assert!(Arc::ptr_eq(&first[0], &deltas_of(&server, id)[0]));
    }
    for id in 5..=6 {
        assert!(
            Arc::ptr_eq(&fourth[0], &deltas_of(&server, id)[0]),
            "new sessions share their messages as well"
        );
    }
    for id in 1..=6 {
        assert_eq!(server.client(id).position, at(4));
    }
}

#[test]
fn messages_are_cut_to_their_bound() {
    let max_message_bytes = 1_000;
    let (mut server, mut history) = server(FanoutSettings { max_message_bytes, ..FanoutSettings::default() });
    server.watch(1, at(0), &Table::new());
    let transactions = history.tenants(100);
    server.publish(&history, transactions);
    assert_eq!(server.client(1).position, at(100));
    for message in deltas_of(&server, 1) {
        let ToClient::Deltas(transactions) = &*message else { unreachable!("deltas only") };
        let bytes: usize = transactions.iter().map(|transaction| transaction_bytes(transaction)).sum();
        assert!(bytes <= max_message_bytes, "{bytes}");
    }
    let large = history.next((0..60).map(|number| tenant(&format!("large-{number}"), 1)).collect());
    assert!(transaction_bytes(&large) > max_message_bytes);
    server.now += 100;
    server.publish(&history, vec![large]);
    assert_eq!(server.client(1).position, at(101), "a transaction over the bound is sent alone");
}

#[test]
fn a_late_client_catches_up_message_by_message() {
    let settings = FanoutSettings { max_message_bytes: 1_000, ..FanoutSettings::default() };
    let (mut server, mut history) = server(settings);
    let transactions = history.tenants(100);
    server.publish(&history, transactions);
    server.tick_after(50);
    server.watch(1, at(0), &Table::new());
    let first = server.client(1).position;
    assert!(first > at(0) && first < at(100));
    assert_eq!(server.fanout.deadline(), server.now + 20, "catching up continues after 20 ms");

    let backlog = |bytes| FanoutEvent::Backlog { session: SessionId(1), bytes };
    server.event(backlog(1_001));
    server.tick_after(20);
    assert_eq!(server.client(1).position, first, "nothing is sent while the backlog exceeds its bound");
    server.event(backlog(0));
    let more = history.tenants(10);
    server.publish(&history, more);
    for _ in 0..100 {
        server.tick_after(20);
    }
    assert_eq!(server.client(1).position, at(110));
    assert_eq!(server.client(1).table, history.table);
    assert_eq!(server.client(1).resyncs, 0);
    let more = history.tenants(1);
    server.publish(&history, more);
    assert_eq!(server.client(1).position, at(111), "changes are sent at once after the client has caught up");
}

#[test]
fn a_client_that_is_caught_by_compaction_resyncs() {
    let log = DeltaLogSettings { max_transactions: 50, ..DeltaLogSettings::default() };
    let settings = FanoutSettings { max_message_bytes: 1_000, log, ..FanoutSettings::default() };
    let (mut server, mut history) = server(settings);
    let transactions = history.tenants(40);
    server.publish(&history, transactions);
    server.watch(1, at(0), &Table::new());
    let more = history.tenants(50);
    server.publish(&history, more);
    server.tick_after(20);
    assert_eq!(server.client(1).resyncs, 1);
    assert_eq!(server.client(1).position, at(90));
    assert_eq!(server.client(1).table, history.table);
}

#[test]
fn a_compacted_revision_resyncs() {
    let log = DeltaLogSettings { max_transactions: 4, ..DeltaLogSettings::default() };
    let (mut server, mut history) = server(FanoutSettings { log, ..FanoutSettings::default() });
    let transactions = history.tenants(3);
    let (third_position, third_table) = (history.position, history.table.clone());
    server.publish(&history, transactions);
    let transactions = history.tenants(4);
    server.publish(&history, transactions);
    server.tick_after(20);

    let answers = server.watch(1, third_position, &third_table);
    assert!(answers.is_empty());
    assert_eq!((server.client(1).resyncs, server.client(1).position), (0, at(7)));

    let answers = server.watch(2, at(2), &Table::new());
    server.settle(2, answers);
    assert_eq!((server.client(2).resyncs, server.client(2).position), (1, at(7)));
    assert_eq!(server.client(2).table, history.table);
}

#[test]
fn a_digest_or_an_epoch_that_differs_resyncs() {
    let (mut server, mut history) = server(FanoutSettings::default());
    let transactions = history.tenants(5);
    let good = history.table.clone();
    server.publish(&history, transactions);
    let mut corrupted = good.clone();
    corrupted.apply(&[tenant("tenant-1", 99), tenant("nobody", 1)]);
    let older = Position { epoch: server_support::EPOCH - 1, revision: 900 };
    for (id, position, table) in
        [(1, at(5), &corrupted), (2, older, &good), (3, Position::default(), &Table::new())]
    {
        let answers = server.watch(id, position, table);
        assert_eq!(server.client(id).resyncs, 1);
        server.settle(id, answers);
        assert_eq!(server.client(id).position, at(5));
        assert_eq!(server.client(id).table, history.table);
    }
    let fetched = server.client(2).payloads().len();
    assert_eq!(fetched, 2, "an equal table needs no piece, only `Resync` and `SnapshotEnd`");
}

#[test]
fn a_client_that_has_more_waits_until_the_head_is_there() {
    let (mut server, mut history) = server(FanoutSettings::default());
    let transactions = history.tenants(6);
    let (early, late) = transactions.split_at(2);
    let mut early_history = History::new();
    let _ = early_history.tenants(2);
    server.publish(&early_history, early.to_vec());
    server.watch(1, at(6), &history.table);
    server.watch(2, Position { epoch: server_support::EPOCH + 1, revision: 0 }, &Table::new());
    for id in [1, 2] {
        assert_eq!(server.client(id).heads, [at(2)], "the client receives a heartbeat with the head");
        assert!(server.client(id).payloads().is_empty(), "the client receives nothing else");
    }
    assert_eq!(server.fanout.sessions_ahead(), 2);

    server.now += 50;
    server.publish(&history, late.to_vec());
    assert!(server.client(1).payloads().is_empty());
    assert_eq!(server.fanout.sessions_ahead(), 1, "the head has reached the position of client 1");
    server.now += 50;
    let more = history.tenants(1);
    server.publish(&history, more);
    assert_eq!(batches(&server, 1), [1], "deltas start after the client's own position");
    assert_eq!(server.fanout.sessions_ahead(), 1, "the client with the higher epoch is still ahead");

    let next_epoch = Position { epoch: server_support::EPOCH + 1, revision: 1 };
    server.reset(next_epoch, &history.table);
    assert_eq!(server.fanout.sessions_ahead(), 0);
    assert_eq!(server.client(2).resyncs, 1);
    assert_eq!(server.client(2).position, next_epoch);
}

#[test]
fn a_client_between_the_last_flush_and_the_head_is_served() {
    let (mut server, mut history) = server(FanoutSettings::default());
    server.watch(1, at(0), &Table::new());
    server.now = 100;
    let transactions = history.tenants(1);
    server.publish(&history, transactions);
    let transactions = history.tenants(1);
    let table = history.table.clone();
    server.publish(&history, transactions);
    let transactions = history.tenants(1);
    server.publish(&history, transactions);
    assert_eq!(server.client(1).position, at(1), "two transactions wait for the flush");
    server.watch(2, at(2), &table);
    for id in [1, 2] {
        assert_eq!(server.client(id).position, at(3));
    }
}

#[test]
fn a_client_that_begins_is_brought_to_the_last_flush_only() {
    let (mut server, mut history) = server(FanoutSettings::default());
    server.now = 100;
    let transactions = history.tenants(2);
    server.publish(&history, transactions);
    let transactions = history.tenants(3);
    server.publish(&history, transactions);
    server.watch(1, at(0), &Table::new());
    assert_eq!(server.client(1).position, at(2));
    server.tick_after(20);
    assert_eq!(batches(&server, 1), [2, 3]);
}

#[test]
fn a_jump_resyncs_those_behind_and_no_other() {
    let (mut server, mut history) = server(FanoutSettings::default());
    let transactions = history.tenants(3);
    server.publish(&history, transactions);
    server.tick_after(30);
    server.watch(1, at(3), &history.table.clone());
    let _ = history.tenants(5);
    server.watch(2, at(8), &history.table.clone());
    server.reset(at(8), &history.table);
    assert_eq!((server.client(1).resyncs, server.client(1).position), (1, at(8)));
    assert_eq!((server.client(2).resyncs, server.client(2).position), (0, at(8)));
    server.reset(at(8), &history.table);
    assert_eq!(server.client(1).resyncs, 1, "a reset to the current position does not resync");
}

#[test]
fn transactions_that_do_not_follow_are_a_jump() {
    let (mut server, mut history) = server(FanoutSettings::default());
    server.watch(1, at(0), &Table::new());
    let mut transactions = history.tenants(4);
    transactions.remove(1);
    server.publish(&history, transactions);
    assert_eq!(server.fanout.head(), at(4));
    assert_eq!(server.client(1).position, at(4));
    assert_eq!(server.client(1).table, history.table);
}

#[test]
fn a_slow_session_is_dropped_and_resyncs() {
    let settings = FanoutSettings { max_backlog_bytes: 5_000, ..FanoutSettings::default() };
    let (mut server, mut history) = server(settings);
    server.watch(1, at(0), &Table::new());
    let backlog = |bytes| FanoutEvent::Backlog { session: SessionId(1), bytes };
    server.event(backlog(5_000));
    assert_eq!(server.closed(1), None);
    server.event(backlog(5_001));
    assert_eq!(server.closed(1), Some(CloseReason::Slow { bytes: 5_001 }));
    assert_eq!(server.fanout.sessions(), 0);
    let transactions = history.tenants(3);
    server.publish(&history, transactions);
    server.event(backlog(9_000));
    assert_eq!(server.client(1).position, at(0), "nothing is sent to a closed session");
    server.watch(2, at(0), &Table::new());
    assert_eq!(server.client(2).position, at(3));
}

#[test]
fn heartbeats_tell_the_head_to_those_that_watch() {
    let settings = FanoutSettings { heartbeat_ms: 1_000, ..FanoutSettings::default() };
    let (mut server, history) = server(settings);
    server.now = 5;
    server.event(FanoutEvent::Tick);
    server.watch(1, at(0), &history.table);
    server.event(FanoutEvent::Opened(SessionId(2)));
    let mut out = Vec::new();
    for now in (0..3_500).step_by(50) {
        server.fanout.on_event(5 + now, FanoutEvent::Tick, &mut out);
    }
    let to = |action: &FanoutAction| match action {
        FanoutAction::Send { session, message } => {
            assert_eq!(**message, ToClient::Heartbeat { head: at(0), age_ms: 0 });
            *session
        }
        FanoutAction::Close { session, reason } => panic!("{session:?} closed: {reason}"),
    };
    assert_eq!(out.iter().map(to).collect::<Vec<_>>(), [SessionId(1); 3]);
}

#[test]
fn positions_from_outside_never_panic() {
    let (mut server, mut history) = server(FanoutSettings::default());
    let transactions = history.tenants(2);
    server.publish(&history, transactions);
    let mut id = 0;
    for epoch in [0, 1, server_support::EPOCH, u64::MAX] {
        for revision in [0, 1, 2, 3, u64::MAX] {
            id += 1;
            let mut out = Vec::new();
            let member = server_support::member(
                &format!("m{id}"),
                "a",
                dunlinspread_config_sync::message::Role::Subscriber,
            );
            let position = Position { epoch, revision };
            let watch = ToServer::Watch { member, position, digest: Digest(1) };
            server.fanout.on_event(0, FanoutEvent::Opened(SessionId(id)), &mut out);
            server.fanout.on_event(0, FanoutEvent::Received(SessionId(id), watch), &mut out);
            assert_eq!(out.len(), 1, "{position:?}: expected one `Resync` or one heartbeat");
        }
    }
}
