//! Refusals reported on a link that broke are reported again in the next session, within bounds.

mod client_support;

use client_support::{History, member, server};
use dunlinspread_config_sync::fanout::{FanoutEvent, FanoutSettings, SessionId};
use dunlinspread_config_sync::follower::{FollowerEvent, FollowerSettings, LinkAction};
use dunlinspread_config_sync::message::{Member, Refusal, Role, ToServer, ZoneProgress};
use dunlinspread_config_sync::relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use dunlinspread_config_sync::resource::Millis;

const SESSION: SessionId = SessionId(1);

/// A relay whose only client refuses changes, with the refusals that it reports upstream.
struct RefusingRelay {
    relay: Relay,
    now: Millis,
    history: History,
    reported: Vec<Refusal>,
}

impl RefusingRelay {
    fn new() -> RefusingRelay {
        let own = Member { role: Role::Relay, ..member("relay-1", "a1", "a") };
        let follower = FollowerSettings::new(own, vec![server("above", None, "a")], 3);
        let relay = Relay::new(RelaySettings::new(follower, FanoutSettings::default()), 0);
        let mut refusing = RefusingRelay { relay, now: 0, history: History::new(1), reported: Vec::new() };
        refusing.history.grow(1);
        refusing.event(RelayEvent::Tick);
        refusing.upstream_event(FollowerEvent::Connected);
        let client = member("server-1", "a1", "a");
        let (position, digest) = (refusing.history.position, refusing.history.table.digest());
        refusing.downstream_event(FanoutEvent::Opened(SESSION));
        refusing.downstream_event(FanoutEvent::Received(
            SESSION,
            ToServer::Watch { member: client, position, digest },
        ));
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

    fn upstream_event(&mut self, event: FollowerEvent) {
        self.event(RelayEvent::Upstream(event));
    }

    fn downstream_event(&mut self, event: FanoutEvent) {
        self.event(RelayEvent::Downstream(event));
    }

    /// Reports refusals of the client, each with its number as the reason.
    fn refuse(&mut self, numbers: std::ops::Range<usize>) {
        let position = self.history.position;
        for number in numbers {
            let zones =
                vec![ZoneProgress { zone: "a1".into(), subscribers: 1, least: position, refusing: 1 }];
            let reason = number.to_string().into();
            let refusals = vec![Refusal { member: "server-1".into(), position, reason }];
            self.downstream_event(FanoutEvent::Received(SESSION, ToServer::Progress { zones, refusals }));
        }
    }

    /// Advances the clock while the upstream server is heard; returns the numbers of the reported refusals.
    fn reports_during(&mut self, duration: Millis) -> Vec<usize> {
        for _ in 0..duration / 250 {
            self.now += 250;
            self.upstream_event(FollowerEvent::Received(self.history.since(Default::default())));
            self.downstream_event(FanoutEvent::Received(SESSION, ToServer::Alive));
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
            self.upstream_event(FollowerEvent::Connected);
        }
    }

    fn reconnect(&mut self) {
        self.upstream_event(FollowerEvent::Disconnected);
        self.connect();
    }
}

#[test]
fn what_was_told_last_on_a_link_that_broke_is_told_again_in_order() {
    let mut refusing = RefusingRelay::new();
    refusing.refuse(0..5);
    assert_eq!(refusing.reports_during(1_000), [0, 1, 2, 3, 4]);
    refusing.reconnect();
    refusing.refuse(5..6);
    assert_eq!(refusing.reports_during(1_000), [0, 1, 2, 3, 4, 5]);
    assert!(refusing.reports_during(1_000).is_empty(), "refusals are repeated only once per session");
}

#[test]
fn what_was_told_well_before_the_server_was_last_heard_is_not_told_again() {
    let mut refusing = RefusingRelay::new();
    refusing.refuse(0..100);
    assert_eq!(refusing.reports_during(2_500).len(), 100);
    refusing.reconnect();
    assert_eq!(refusing.reports_during(2_500), [96, 97, 98, 99]);
}
