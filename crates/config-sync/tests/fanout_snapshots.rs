//! Snapshots of the fan-out: pieces, the window, the limit on concurrent snapshots, and concurrent changes.

mod server_support;

use dunlinspread_config_sync::delta_log::DeltaLogSettings;
use dunlinspread_config_sync::fanout::{
    CloseReason, Fanout, FanoutEvent, FanoutSettings, ProtocolFault, SessionId,
};
use dunlinspread_config_sync::message::{PIECE_BYTES, PIECE_WINDOW, ToClient, ToServer};
use dunlinspread_config_sync::resource::{Change, Key, Position};
use dunlinspread_config_sync::size::resource_bytes;
use dunlinspread_config_sync::table::Table;
use server_support::{History, Server, at, tenant};
use std::sync::Arc;

/// Returns a server whose table fills about 30 pieces.
fn full_server(settings: FanoutSettings) -> (Server, History) {
    let mut history = History::new();
    for block in 0..40 {
        let changes = (0..1_000).map(|number| tenant(&format!("tenant-{block}-{number}"), 5)).collect();
        history.next(changes);
    }
    let mut server = Server::new(Fanout::new(settings));
    server.reset(history.position, &history.table);
    (server, history)
}

fn received(id: u64, message: ToServer) -> FanoutEvent {
    FanoutEvent::Received(SessionId(id), message)
}

fn pieces(server: &Server, id: u64) -> Vec<Arc<ToClient>> {
    let messages = server.client(id).messages.iter();
    messages.filter(|message| matches!(***message, ToClient::Piece { .. })).cloned().collect()
}

#[test]
fn pieces_keep_to_the_window_and_to_their_size() {
    let (mut server, history) = full_server(FanoutSettings::default());
    let fetch = server.watch(1, Position::default(), &Table::new());
    let mut confirmations = server.event(received(1, fetch[0].clone()));
    assert_eq!(confirmations.len(), PIECE_WINDOW as usize);
    while !confirmations.is_empty() {
        let confirmed = confirmations.remove(0);
        let more = server.event(received(1, confirmed));
        assert!(more.len() <= 1, "at most one new piece per confirmation");
        confirmations.extend(more);
        assert!(confirmations.len() <= PIECE_WINDOW as usize);
    }
    assert_eq!(server.client(1).position, history.position);
    assert_eq!(server.client(1).table, history.table);
    let pieces = pieces(&server, 1);
    assert!(pieces.len() > 10, "{}", pieces.len());
    for piece in pieces {
        let ToClient::Piece { buckets, .. } = &*piece else { unreachable!("pieces only") };
        let bytes: usize = buckets.iter().flat_map(|bucket| &bucket.resources).map(resource_bytes).sum();
        assert!(bytes <= PIECE_BYTES && !buckets.is_empty());
    }
}

#[test]
fn only_what_differs_is_sent() {
    let (mut server, mut history) = full_server(FanoutSettings::default());
    let old = history.table.clone();
    history.next(vec![tenant("tenant-3-7", 6), Change::Delete(Key::Tenant("tenant-4-4".into()))]);
    server.reset(at(100), &history.table);
    let answers = server.watch(1, Position { epoch: 1, revision: 1 }, &old);
    server.settle(1, answers);
    assert_eq!(server.client(1).table, history.table);
    let pieces = pieces(&server, 1);
    let ToClient::Piece { buckets, .. } = &*pieces[0] else { unreachable!("pieces only") };
    assert_eq!((pieces.len(), buckets.len()), (1, 2));
}

#[test]
fn a_snapshot_is_of_one_position_and_deltas_go_on_from_there() {
    let (mut server, mut history) = full_server(FanoutSettings::default());
    let pinned = history.position;
    let fetch = server.watch(1, Position::default(), &Table::new());
    let mut confirmations = server.event(received(1, fetch[0].clone()));
    while !confirmations.is_empty() {
        let changed = history.tenants(1);
        server.publish(&history, changed);
        server.tick_after(20);
        let confirmed = confirmations.remove(0);
        confirmations.extend(server.event(received(1, confirmed)));
    }
    server.tick_after(20);
    let client = server.client(1);
    let ends = client.payloads().into_iter().filter_map(|message| match message {
        ToClient::SnapshotEnd { position, .. } => Some(*position),
        _ => None,
    });
    assert_eq!(ends.collect::<Vec<_>>(), [pinned]);
    assert_eq!((client.resyncs, client.position), (1, history.position));
    assert_eq!(client.table, history.table);
}

#[test]
fn a_snapshot_older_than_the_log_is_followed_by_another() {
    let log = DeltaLogSettings { max_transactions: 3, ..DeltaLogSettings::default() };
    let (mut server, mut history) = full_server(FanoutSettings { log, ..FanoutSettings::default() });
    let fetch = server.watch(1, Position::default(), &Table::new());
    let confirmations = server.event(received(1, fetch[0].clone()));
    let changed = history.tenants(4);
    server.publish(&history, changed);
    server.settle(1, confirmations);
    assert_eq!((server.client(1).resyncs, server.client(1).position), (2, history.position));
    assert_eq!(server.client(1).table, history.table);
    assert_eq!(server.fanout.snapshots(), 0);
}

#[test]
fn a_snapshot_under_way_survives_a_jump() {
    let (mut server, mut history) = full_server(FanoutSettings::default());
    let fetch = server.watch(1, Position::default(), &Table::new());
    let confirmations = server.event(received(1, fetch[0].clone()));
    history.next(vec![tenant("late", 1)]);
    let jumped = Position { epoch: server_support::EPOCH + 1, revision: 4 };
    server.reset(jumped, &history.table);
    server.settle(1, confirmations);
    assert_eq!((server.client(1).resyncs, server.client(1).position), (2, jumped));
    assert_eq!(server.client(1).table, history.table);
}

#[test]
fn places_are_bounded_and_those_without_are_told_when_to_come_again() {
    let settings = FanoutSettings { max_snapshots: 2, busy_retry_ms: 100, ..FanoutSettings::default() };
    let (mut server, history) = full_server(settings);
    let first = server.watch(1, Position::default(), &Table::new());
    let _second = server.watch(2, Position::default(), &Table::new());
    assert_eq!(server.fanout.snapshots(), 2);
    for id in 3..20 {
        server.watch(id, Position::default(), &Table::new());
        assert_eq!(server.closed(id), Some(CloseReason::NoSnapshotPlace));
        assert!((100..=200).contains(&server.client(id).busy[0]));
    }
    let mut waits: Vec<u64> = (3..20).map(|id| server.client(id).busy[0]).collect();
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 5, "retry delays lack jitter: {waits:?}");

    server.watch(20, history.position, &history.table);
    assert_eq!(server.closed(20), None, "a client that needs no snapshot is served");
    server.settle(1, first);
    assert_eq!(server.fanout.snapshots(), 1);
    server.event(FanoutEvent::Closed(SessionId(2)));
    assert_eq!(server.fanout.snapshots(), 0);
    let answers = server.watch(21, Position::default(), &Table::new());
    server.settle(21, answers);
    assert_eq!(server.client(21).table, history.table);
}

#[test]
fn cold_clients_share_their_pieces() {
    let (mut server, _) = full_server(FanoutSettings::default());
    for id in 1..=3 {
        let answers = server.watch(id, Position::default(), &Table::new());
        server.settle(id, answers);
    }
    let first = pieces(&server, 1);
    for id in 2..=3 {
        let same = pieces(&server, id);
        assert_eq!(same.len(), first.len());
        assert!(first.iter().zip(&same).all(|(one, other)| Arc::ptr_eq(one, other)));
    }
}

#[test]
fn a_client_that_finds_its_table_spoilt_may_fetch() {
    let (mut server, mut history) = full_server(FanoutSettings::default());
    server.watch(1, history.position, &history.table);
    let mut corrupted = history.table.clone();
    corrupted.apply(&[tenant("tenant-1-1", 77)]);
    server.clients.get_mut(&SessionId(1)).expect("an open session").table = corrupted.clone();
    let fetch = ToServer::FetchDifferences { bucket_digests: corrupted.bucket_digests() };
    server.settle(1, vec![fetch]);
    assert_eq!(server.client(1).table, history.table);
    let changed = history.tenants(2);
    server.publish(&history, changed);
    assert_eq!(server.client(1).position, history.position);
}

#[test]
fn a_client_that_stops_confirming_is_closed() {
    let settings = FanoutSettings { stall_ms: 10_000, silence_ms: 5_000, ..FanoutSettings::default() };
    let (mut server, _) = full_server(settings);
    let fetch = server.watch(1, Position::default(), &Table::new());
    server.watch(2, Position::default(), &Table::new());
    server.now = 4_000;
    let confirmations = server.event(received(1, fetch[0].clone()));
    server.now = 9_000;
    server.event(received(1, confirmations[0].clone()));
    server.tick_after(10_000);
    assert_eq!(server.closed(1), None, "a confirmation within the limit keeps the session open");
    assert_eq!(server.closed(2), Some(CloseReason::NoFetch));
    server.tick_after(1_000);
    assert_eq!(server.closed(1), Some(CloseReason::Stalled));
    assert_eq!(server.fanout.snapshots(), 0);
}

#[test]
fn pieces_are_confirmed_in_order_or_the_session_ends() {
    for (sequence, fault) in [(1, 1), (4, 4), (u32::MAX, u32::MAX)] {
        let (mut server, _) = full_server(FanoutSettings::default());
        let fetch = server.watch(1, Position::default(), &Table::new());
        server.event(received(1, fetch[0].clone()));
        server.event(received(1, ToServer::PieceTaken { sequence }));
        assert_eq!(server.closed(1), Some(ProtocolFault::UnexpectedPiece(fault).into()));
    }
}
