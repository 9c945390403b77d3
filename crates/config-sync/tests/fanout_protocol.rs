//! Handling of clients that violate the protocol, and limits on sessions and zones.

mod server_support;

use dunlinspread_config_sync::fanout::{
    CloseReason, Fanout, FanoutEvent, FanoutSettings, ProtocolFault, SessionId,
};
use dunlinspread_config_sync::message::{
    MAX_REPORTED_REFUSALS, MAX_REPORTED_ZONES, Refusal, Role, ToServer, ZoneProgress,
};
use dunlinspread_config_sync::resource::{Digest, Position};
use dunlinspread_config_sync::table::Table;
use server_support::{Client, History, Server, at, member, zone_progress};

fn server() -> Server {
    let mut server = Server::new(Fanout::new(FanoutSettings::default()));
    server.reset(at(0), &Table::new());
    server
}

fn send(server: &mut Server, id: u64, message: ToServer) -> Option<CloseReason> {
    server.event(FanoutEvent::Received(SessionId(id), message));
    server.closed(id)
}

fn open(server: &mut Server, id: u64) {
    server.clients.insert(SessionId(id), Client::new(at(0), Table::new()));
    server.event(FanoutEvent::Opened(SessionId(id)));
}

fn watch_as(server: &mut Server, id: u64, name: &str, zone: &str, role: Role) {
    open(server, id);
    let watch =
        ToServer::Watch { member: member(name, zone, role), position: at(0), digest: Digest::default() };
    server.event(FanoutEvent::Received(SessionId(id), watch));
}

fn progress(zones: Vec<ZoneProgress>, refusals: Vec<Refusal>) -> ToServer {
    ToServer::Progress { zones, refusals }
}

fn refusal(name: &str) -> Refusal {
    Refusal { member: name.into(), position: at(1), reason: "no".into() }
}

#[test]
fn watch_comes_first_and_once() {
    let premature = [
        ToServer::FetchDifferences { bucket_digests: Vec::new() },
        ToServer::PieceTaken { sequence: 0 },
        progress(Vec::new(), Vec::new()),
    ];
    let mut server = server();
    for (id, message) in premature.into_iter().enumerate() {
        open(&mut server, id as u64);
        assert_eq!(send(&mut server, id as u64, message), Some(ProtocolFault::NotWatched.into()));
    }
    server.watch(10, at(0), &Table::new());
    let again = server.client(10).watch("another");
    assert_eq!(send(&mut server, 10, again), Some(ProtocolFault::SecondWatch.into()));
    assert_eq!(server.fanout.sessions(), 0);
    assert!(server.fanout.zones().is_empty());
}

#[test]
fn what_was_not_asked_for_ends_the_session() {
    let mut server = server();
    server.watch(1, at(0), &Table::new());
    let wrong_length = ToServer::FetchDifferences { bucket_digests: vec![0; 4_095] };
    assert_eq!(send(&mut server, 1, wrong_length), Some(ProtocolFault::BucketDigests(4_095).into()));
    server.watch(2, at(5), &Table::new());
    let fetch = ToServer::FetchDifferences { bucket_digests: Vec::new() };
    assert_eq!(
        send(&mut server, 2, fetch),
        Some(ProtocolFault::UnexpectedFetch.into()),
        "a client ahead of the server may not fetch"
    );
    server.watch(3, at(0), &Table::new());
    let taken = ToServer::PieceTaken { sequence: 0 };
    assert_eq!(send(&mut server, 3, taken), Some(ProtocolFault::UnexpectedPiece(0).into()));
}

#[test]
fn a_fetch_during_a_snapshot_ends_the_session() {
    let mut history = History::new();
    for block in 0..40 {
        let changes =
            (0..1_000).map(|number| server_support::tenant(&format!("{block}-{number}"), 1)).collect();
        history.next(changes);
    }
    let mut server = server();
    server.reset(history.position, &history.table);
    let fetch = server.watch(1, Position::default(), &Table::new());
    assert_eq!(send(&mut server, 1, fetch[0].clone()), None);
    assert_eq!(send(&mut server, 1, fetch[0].clone()), Some(ProtocolFault::UnexpectedFetch.into()));
    assert_eq!(server.fanout.snapshots(), 0);
}

#[test]
fn a_silent_connection_is_closed() {
    let mut server = server();
    open(&mut server, 1);
    server.tick_after(5_000);
    assert_eq!(server.closed(1), None);
    server.tick_after(1_000);
    assert_eq!(server.closed(1), Some(CloseReason::NoWatch));
}

#[test]
fn sessions_are_bounded() {
    let settings = FanoutSettings { max_sessions: 2, ..FanoutSettings::default() };
    let mut server = Server::new(Fanout::new(settings));
    for id in 1..=3 {
        open(&mut server, id);
    }
    assert_eq!(server.closed(3), Some(CloseReason::Full));
    assert_eq!(server.client(3).busy.len(), 1);
    server.event(FanoutEvent::Closed(SessionId(1)));
    open(&mut server, 4);
    assert_eq!(server.closed(4), None);
}

#[test]
fn a_member_that_comes_again_replaces_its_older_session() {
    let mut server = server();
    watch_as(&mut server, 1, "one", "a", Role::Subscriber);
    watch_as(&mut server, 2, "two", "a", Role::Subscriber);
    watch_as(&mut server, 3, "one", "a", Role::Subscriber);
    assert_eq!(server.closed(1), Some(CloseReason::Replaced));
    assert_eq!((server.closed(2), server.closed(3)), (None, None));
    assert_eq!(server.fanout.zones()[0].subscribers, 2, "a replaced session is not counted twice");
    watch_as(&mut server, 4, "one", "a", Role::Subscriber);
    assert_eq!(server.closed(3), Some(CloseReason::Replaced));
}

#[test]
fn reports_are_checked() {
    let zone = |number: usize| zone_progress(&format!("z{number}"), 1, at(0), 0);
    let relay_faults = [
        (progress((0..=MAX_REPORTED_ZONES).map(zone).collect(), vec![]), ProtocolFault::ReportedZones(257)),
        (
            progress(vec![], vec![refusal("x"); MAX_REPORTED_REFUSALS + 1]),
            ProtocolFault::ReportedRefusals(17),
        ),
        (progress(vec![zone(1), zone(1)], vec![]), ProtocolFault::RepeatedZone),
        (
            progress(vec![zone_progress("a", 1, at(0), 2)], vec![]),
            ProtocolFault::Refusing { refusing: 2, subscribers: 1 },
        ),
    ];
    let own = || zone_progress("a", 1, at(0), 0);
    let subscriber_faults = [
        progress(vec![], vec![]),
        progress(vec![zone_progress("b", 1, at(0), 0)], vec![]),
        progress(vec![zone_progress("a", 2, at(0), 0)], vec![]),
        progress(vec![zone_progress("a", 0, at(0), 0)], vec![]),
        progress(vec![own(), zone(1)], vec![]),
        progress(vec![own()], vec![refusal("another")]),
    ];
    let mut server = server();
    let mut id = 0;
    for (message, fault) in relay_faults {
        id += 1;
        watch_as(&mut server, id, "relay", "a", Role::Relay);
        assert_eq!(send(&mut server, id, message), Some(fault.into()));
    }
    for message in subscriber_faults {
        id += 1;
        watch_as(&mut server, id, "subscriber", "a", Role::Subscriber);
        assert_eq!(send(&mut server, id, message), Some(ProtocolFault::NotItsOwn.into()));
    }
    assert!(server.fanout.zones().is_empty(), "a faulty report is dropped whole");
    assert!(server.fanout.take_refusals().is_empty());
    watch_as(&mut server, 90, "subscriber", "a", Role::Subscriber);
    assert_eq!(send(&mut server, 90, progress(vec![own()], vec![refusal("subscriber")])), None);
    assert_eq!(server.fanout.take_refusals(), [refusal("subscriber")]);
}

#[test]
fn zones_are_bounded() {
    let settings = FanoutSettings { max_zones: 2, ..FanoutSettings::default() };
    let mut server = Server::new(Fanout::new(settings));
    server.reset(at(0), &Table::new());
    watch_as(&mut server, 1, "one", "a", Role::Subscriber);
    watch_as(&mut server, 2, "two", "b", Role::Subscriber);
    watch_as(&mut server, 3, "three", "c", Role::Subscriber);
    assert_eq!(server.closed(3), Some(CloseReason::TooManyZones));
    watch_as(&mut server, 4, "relay", "c", Role::Relay);
    let zones = vec![zone_progress("a", 3, at(0), 0), zone_progress("c", 3, at(0), 0)];
    assert_eq!(send(&mut server, 4, progress(zones, vec![])), Some(CloseReason::TooManyZones));
    let subscribers: Vec<u32> = server.fanout.zones().iter().map(|zone| zone.subscribers).collect();
    assert_eq!(subscribers, [1, 1]);
}

#[test]
fn events_of_unknown_sessions_do_nothing() {
    let mut server = server();
    let fetch = ToServer::FetchDifferences { bucket_digests: Vec::new() };
    for event in [
        FanoutEvent::Received(SessionId(9), fetch),
        FanoutEvent::Closed(SessionId(9)),
        FanoutEvent::Backlog { session: SessionId(9), bytes: usize::MAX },
    ] {
        let mut out = Vec::new();
        server.fanout.on_event(0, event, &mut out);
        assert!(out.is_empty());
    }
}
