//! A client that stops without closing its connection is detected and no longer counted. An idle client keeps
//! its session with small keep-alive messages.

mod client_support;

use client_support::{History, member, server};
use dunlinspread_config_sync::client::{Judge, Rejection, Server};
use dunlinspread_config_sync::codec::encode_to_server;
use dunlinspread_config_sync::fanout::{
    CloseReason, Fanout, FanoutAction, FanoutEvent, FanoutSettings, SessionId,
};
use dunlinspread_config_sync::follower::{FollowerEvent, FollowerSettings, LinkAction};
use dunlinspread_config_sync::frame::FrameKey;
use dunlinspread_config_sync::message::{Member, Role, ToClient, ToServer, ZoneProgress};
use dunlinspread_config_sync::relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use dunlinspread_config_sync::resource::{Change, Millis, Position};
use dunlinspread_config_sync::subscriber::{
    PersistedState, Subscriber, SubscriberAction, SubscriberEvent, SubscriberSettings,
};

const SILENCE_MS: Millis = 15_000;
/// Bytes of a TCP header with timestamps and of an IP header.
const HEADER_BYTES: usize = 32 + 20;
const HOUR_MS: Millis = 3_600_000;

fn history() -> History {
    let mut history = History::new(1);
    history.grow(10);
    history
}

fn fanout_at(history: &History) -> Fanout {
    let mut fanout = Fanout::new(FanoutSettings::default());
    fanout.reset(0, history.position, history.table.clone(), 1, &mut Vec::new());
    fanout
}

/// Returns the first events of a client that has applied all of `history`.
fn watch_events(history: &History, session: u64, client: Member, subscribers: u32) -> Vec<FanoutEvent> {
    let id = SessionId(session);
    let (position, digest) = (history.position, history.table.digest());
    let zones = vec![ZoneProgress { zone: client.zone.clone(), subscribers, least: position, refusing: 0 }];
    vec![
        FanoutEvent::Opened(id),
        FanoutEvent::Received(id, ToServer::Watch { member: client, position, digest }),
        FanoutEvent::Received(id, ToServer::Progress { zones, refusals: vec![] }),
    ]
}

fn feed(fanout: &mut Fanout, now: Millis, events: Vec<FanoutEvent>) -> Vec<FanoutAction> {
    let mut out = Vec::new();
    events.into_iter().for_each(|event| fanout.on_event(now, event, &mut out));
    out
}

fn closed(actions: &[FanoutAction]) -> Vec<(SessionId, CloseReason)> {
    let closed = actions.iter().filter_map(|action| match action {
        FanoutAction::Close { session, reason } => Some((*session, *reason)),
        FanoutAction::Send { .. } => None,
    });
    closed.collect()
}

/// Returns each zone's number of subscribers and the least position in force among them.
fn in_force(zones: &[ZoneProgress]) -> Vec<(u32, Position)> {
    zones.iter().map(|zone| (zone.subscribers, zone.least)).collect()
}

#[test]
fn a_silent_client_is_closed_and_no_longer_counted_while_the_others_stay() {
    let mut history = history();
    let mut fanout = fanout_at(&history);
    let old = history.position;
    feed(&mut fanout, 0, watch_events(&history, 1, member("dead", "a1", "a"), 1));
    feed(&mut fanout, 0, watch_events(&history, 2, member("quiet", "a1", "a"), 1));
    history.grow(1);
    let last = history.transactions.last().expect("a transaction").clone();
    fanout.publish(0, vec![last], &history.table, &mut Vec::new());
    let zones =
        vec![ZoneProgress { zone: "a1".into(), subscribers: 1, least: history.position, refusing: 0 }];
    let progress = ToServer::Progress { zones, refusals: vec![] };
    feed(&mut fanout, 0, vec![FanoutEvent::Received(SessionId(2), progress)]);
    let mut now = 0;
    let mut ended = Vec::new();
    while ended.is_empty() {
        assert_eq!(in_force(&fanout.zones()), [(2, old)], "at {now}");
        assert!(now <= SILENCE_MS + 1_000, "the silent session was not closed in time");
        now += 500;
        ended = closed(&feed(&mut fanout, now, vec![FanoutEvent::Tick]));
        if now % 7_500 == 0 {
            feed(&mut fanout, now, vec![FanoutEvent::Received(SessionId(2), ToServer::Alive)]);
        }
    }
    assert!(now >= SILENCE_MS, "closed at {now}");
    assert_eq!(ended, [(SessionId(1), CloseReason::Silent { heartbeats: 15 })]);
    assert_eq!(in_force(&fanout.zones()), [(1, history.position)], "the closed session is no longer counted");
    assert_eq!(fanout.sessions(), 1);
}

#[test]
fn a_silent_relay_takes_what_it_reported_with_it() {
    let history = history();
    let mut fanout = fanout_at(&history);
    let relay = Member { role: Role::Relay, ..member("relay-1", "a1", "a") };
    feed(&mut fanout, 0, watch_events(&history, 1, relay, 400));
    assert_eq!(in_force(&fanout.zones()), [(400, history.position)]);
    let ended: Vec<_> = (1..=17)
        .flat_map(|second| closed(&feed(&mut fanout, second * 1_000, vec![FanoutEvent::Tick])))
        .collect();
    assert_eq!(ended.len(), 1);
    assert!(fanout.zones().is_empty());
}

#[test]
fn a_relay_tells_the_publisher_at_once_that_a_client_is_gone() {
    let history = history();
    let own = Member { role: Role::Relay, ..member("relay-1", "a1", "a") };
    let follower = FollowerSettings::new(own, vec![server("above", None, "a")], 3);
    let mut relay = Relay::new(RelaySettings::new(follower, FanoutSettings::default()), 0);
    let mut out = Vec::new();
    relay.on_event(0, RelayEvent::Tick, &mut out);
    relay.on_event(0, RelayEvent::Upstream(FollowerEvent::Connected), &mut out);
    let resync = ToClient::Resync { head: history.position };
    for message in std::iter::once(resync).chain(history.snapshot(&[])) {
        relay.on_event(0, RelayEvent::Upstream(FollowerEvent::Received(message)), &mut out);
    }
    for event in watch_events(&history, 1, member("dead", "a1", "a"), 1) {
        relay.on_event(0, RelayEvent::Downstream(event), &mut out);
    }
    for step in 1..=64 {
        let now = step * 250;
        let heartbeat = FollowerEvent::Received(history.heartbeat());
        relay.on_event(now, RelayEvent::Upstream(heartbeat), &mut out);
        relay.on_event(now, RelayEvent::Tick, &mut out);
    }
    let reports = out.iter().filter_map(|action| match action {
        RelayAction::Upstream(LinkAction::Send(ToServer::Progress { zones, .. })) => Some(zones.len()),
        _ => None,
    });
    let reports: Vec<usize> = reports.collect();
    assert_eq!(reports, [0, 1, 0], "the relay reports an empty list after 16 s");
}

#[test]
fn a_server_that_was_itself_held_up_closes_nobody_for_it() {
    let history = history();
    let mut fanout = fanout_at(&history);
    feed(&mut fanout, 0, watch_events(&history, 1, member("server-1", "a1", "a"), 1));
    for now in [1_000, 2_000, 62_000, 63_000, 130_000] {
        assert_eq!(closed(&feed(&mut fanout, now, vec![FanoutEvent::Tick])), []);
    }
}

struct AcceptsAll;

impl Judge for AcceptsAll {
    fn judge(&self, _: &[Change]) -> Result<(), Rejection> {
        Ok(())
    }
}

/// Returns a subscriber at the head of `history`, with a single server to watch.
fn subscriber(history: &History) -> Subscriber {
    let servers: Vec<Server> = vec![server("zone-1", Some("a1"), "a")];
    let settings = SubscriberSettings::new(FollowerSettings::new(member("server-1", "a1", "a"), servers, 1));
    let stored = PersistedState {
        position: history.position,
        published_unix_ms: 1,
        mirror: history.table.clone(),
        held_back: vec![],
    };
    Subscriber::resume(settings, Box::new(AcceptsAll), &stored, 0)
}

fn sent(actions: &mut Vec<SubscriberAction>) -> Vec<ToServer> {
    let sent = actions.drain(..).filter_map(|action| match action {
        SubscriberAction::Link(LinkAction::Send(message)) => Some(message),
        _ => None,
    });
    sent.collect()
}

/// Runs a real subscriber against a real fan-out for an hour without changes; returns every message that the
/// subscriber sent.
fn idle_hour() -> Vec<ToServer> {
    let history = history();
    let mut fanout = fanout_at(&history);
    let mut subscriber = subscriber(&history);
    let (id, mut out) = (SessionId(1), Vec::new());
    let link = SubscriberEvent::Link;
    subscriber.on_event(0, link(FollowerEvent::Tick), &mut out);
    feed(&mut fanout, 0, vec![FanoutEvent::Opened(id)]);
    subscriber.on_event(0, link(FollowerEvent::Connected), &mut out);
    let mut all = Vec::new();
    let mut now = 0;
    while now < HOUR_MS {
        let messages = sent(&mut out);
        all.extend(messages.clone());
        let mut events: Vec<_> =
            messages.into_iter().map(|message| FanoutEvent::Received(id, message)).collect();
        events.push(FanoutEvent::Tick);
        for action in feed(&mut fanout, now, events) {
            match action {
                FanoutAction::Send { message, .. } => {
                    subscriber.on_event(now, link(FollowerEvent::Received((*message).clone())), &mut out);
                }
                FanoutAction::Close { reason, .. } => panic!("closed at {now}: {reason}"),
            }
        }
        now = fanout.deadline().min(subscriber.deadline()).max(now + 1);
        subscriber.on_event(now, link(FollowerEvent::Tick), &mut out);
    }
    all
}

#[test]
fn an_idle_subscriber_stays_for_less_than_20_bytes_a_second() {
    let messages = idle_hour();
    assert!(matches!(messages[..2], [ToServer::Watch { .. }, ToServer::Progress { .. }]));
    let keep_alives = &messages[2..];
    assert!(keep_alives.iter().all(|message| *message == ToServer::Alive), "{keep_alives:?}");
    let key = FrameKey::new(b"0123456789abcdef").expect("16 bytes");
    let frame = key.seal(|out| encode_to_server(&ToServer::Alive, out)).expect("short").len();
    let acknowledgement = HEADER_BYTES;
    let bytes = keep_alives.len() * (frame + HEADER_BYTES + acknowledgement);
    let per_second = bytes as f64 / (HOUR_MS / 1_000) as f64;
    println!("{} keep-alives of {frame} bytes in an hour, {per_second:.1} bytes/s", keep_alives.len());
    assert!(per_second < 20.0, "{per_second} bytes/s");
}
