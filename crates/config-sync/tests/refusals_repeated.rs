//! Refusals that were told on a link that broke are told again in the next session, within bounds.

mod client_support;

use client_support::{History, member, server};
use dunlinspread_config_sync::fanout::{FanoutEvent, FanoutSettings, SessionId};
use dunlinspread_config_sync::follower::{FollowerEvent, FollowerSettings, LinkAction};
use dunlinspread_config_sync::message::{Member, Refusal, Role, ToServer, ZoneProgress};
use dunlinspread_config_sync::relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use dunlinspread_config_sync::resource::Millis;

const SESSION: SessionId = SessionId(1);

/// A relay whose only client refuses things; what it reports upwards.
struct Refusing {
    relay: Relay,
    now: Millis,
    history: History,
    reported: Vec<Refusal>,
}

impl Refusing {
    fn new() -> Refusing {
        let own = Member { role: Role::Relay, ..member("relay-1", "a1", "a") };
        let follower = FollowerSettings::new(own, vec![server("above", None, "a")], 3);
        let relay = Relay::new(RelaySettings::new(follower, FanoutSettings::default()), 0);
        let mut refusing = Refusing { relay, now: 0, history: History::new(1), reported: Vec::new() };
        refusing.history.grow(1);
        refusing.event(RelayEvent::Tick);
        refusing.above(FollowerEvent::Connected);
        let below = member("server-1", "a1", "a");
        let (position, digest) = (refusing.history.position, refusing.history.table.digest());
        refusing.below(FanoutEvent::Opened(SESSION));
        refusing.below(FanoutEvent::Received(SESSION, ToServer::Watch { member: below, position, digest }));
        refusing
    }

    fn event(&mut self, event: RelayEvent) {
        let mut out = Vec::new();
        self.relay.on_event(self.now, event, &mut out);
        for action in out {
            if let RelayAction::Upstream(LinkAction::Send(ToServer::Progress { refusals, .. })) = action {
                self.reported.extend(refusals);
            }
        }
    }

    fn above(&mut self, event: FollowerEvent) {
        self.event(RelayEvent::Upstream(event));
    }

    fn below(&mut self, event: FanoutEvent) {
        self.event(RelayEvent::Downstream(event));
    }

    /// Its client refuses transactions, each with its number as the reason.
    fn refuse(&mut self, numbers: std::ops::Range<usize>) {
        let position = self.history.position;
        for number in numbers {
            let zones =
                vec![ZoneProgress { zone: "a1".into(), subscribers: 1, least: position, refusing: 1 }];
            let reason = number.to_string().into();
            let refusals = vec![Refusal { member: "server-1".into(), position, reason }];
            self.below(FanoutEvent::Received(SESSION, ToServer::Progress { zones, refusals }));
        }
    }

    /// What is reported while time passes in which the server above is heard.
    fn reports_within(&mut self, time: Millis) -> Vec<usize> {
        for _ in 0..time / 250 {
            self.now += 250;
            self.above(FollowerEvent::Received(self.history.since(Default::default())));
            self.below(FanoutEvent::Received(SESSION, ToServer::Alive));
            self.event(RelayEvent::Tick);
            if !self.relay.follower().is_open() {
                self.connect();
            }
        }
        self.reported.drain(..).map(|refusal| refusal.reason.parse().expect("a number")).collect()
    }

    fn connect(&mut self) {
        while !self.relay.follower().is_open() {
            self.now = self.now.max(self.relay.deadline());
            self.event(RelayEvent::Tick);
            self.above(FollowerEvent::Connected);
        }
    }

    fn reconnect(&mut self) {
        self.above(FollowerEvent::Disconnected);
        self.connect();
    }
}

#[test]
fn what_was_told_last_on_a_link_that_broke_is_told_again_in_order() {
    let mut refusing = Refusing::new();
    refusing.refuse(0..5);
    assert_eq!(refusing.reports_within(1_000), [0, 1, 2, 3, 4]);
    refusing.reconnect();
    refusing.refuse(5..6);
    assert_eq!(refusing.reports_within(1_000), [0, 1, 2, 3, 4, 5]);
    assert!(refusing.reports_within(1_000).is_empty(), "once a session");
}

#[test]
fn what_was_told_well_before_the_server_was_last_heard_is_not_told_again() {
    let mut refusing = Refusing::new();
    refusing.refuse(0..100);
    assert_eq!(refusing.reports_within(2_500).len(), 100);
    refusing.reconnect();
    assert_eq!(refusing.reports_within(2_500), [96, 97, 98, 99]);
}
