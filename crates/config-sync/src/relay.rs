//! A relay: a [`Follower`] of the publisher or of a relay above, and a [`Fanout`] to the clients below.
//!
//! Deltas are forwarded as soon as they are applied. A snapshot from above moves the head of the fan-out in
//! one step; the sessions below resync by bucket digests. A relay that is cut off from the servers above
//! continues to serve its table, and its heartbeats report its head and the age of its table.

use crate::fanout::{Fanout, FanoutAction, FanoutEvent, FanoutSettings};
use crate::follower::{
    Advance, Follower, FollowerAction, FollowerCounters, FollowerEvent, FollowerSettings, LinkAction,
};
use crate::message::ToServer;
use crate::progress::ProgressReporter;
use crate::resource::{Millis, Position};
use crate::table::Table;

/// Maximum delay between a relay's attempts to reach a server above, ms: shorter than a subscriber's, since
/// all clients below wait for the relay, and a server has to serve only few relays.
const MAX_RELAY_BACKOFF_MS: u64 = 1_000;

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Settings of the side towards the publisher.
    pub follower: FollowerSettings,
    /// Settings of the side towards the clients.
    pub fanout: FanoutSettings,
    /// Minimum time between two progress reports, ms.
    pub progress_ms: u64,
}

impl RelaySettings {
    /// Returns the defaults with the settings of the two sides; limits the follower's backoff to a relay's
    /// maximum.
    pub fn new(mut follower: FollowerSettings, fanout: FanoutSettings) -> RelaySettings {
        follower.backoff.cap_ms = follower.backoff.cap_ms.min(MAX_RELAY_BACKOFF_MS);
        RelaySettings { follower, fanout, progress_ms: 250 }
    }
}

/// Input events of a relay.
#[derive(Clone, Debug)]
pub enum RelayEvent {
    /// An event of the link to the server above.
    Upstream(FollowerEvent),
    /// An event of a session with a client below.
    Downstream(FanoutEvent),
    /// Time has passed, for both sides; required at [`Relay::deadline`] at the latest.
    Tick,
}

/// Actions requested by a relay.
#[derive(Clone, Debug)]
pub enum RelayAction {
    /// An action on the link to the server above.
    Upstream(LinkAction),
    /// An action on a session with a client below.
    Downstream(FanoutAction),
}

/// State machine of a relay.
pub struct Relay {
    follower: Follower,
    fanout: Fanout,
    reporter: ProgressReporter,
    /// Buffers that are reused to avoid an allocation per event.
    follower_actions: Vec<FollowerAction>,
    fanout_actions: Vec<FanoutAction>,
}

impl Relay {
    /// Creates a relay with an empty table, which it fetches from a server above.
    pub fn new(settings: RelaySettings, now: Millis) -> Relay {
        Relay {
            follower: Follower::new(settings.follower, now, Position::default(), Table::new()),
            fanout: Fanout::new(settings.fanout),
            reporter: ProgressReporter::new(settings.progress_ms),
            follower_actions: Vec::new(),
            fanout_actions: Vec::new(),
        }
    }

    /// Handles an event and appends the resulting actions, in order.
    pub fn on_event(&mut self, now: Millis, event: RelayEvent, actions: &mut Vec<RelayAction>) {
        match event {
            RelayEvent::Upstream(event) => self.on_upstream(now, event, actions),
            RelayEvent::Downstream(event) => self.on_downstream(now, event, actions),
            RelayEvent::Tick => {
                self.on_upstream(now, FollowerEvent::Tick, actions);
                self.on_downstream(now, FanoutEvent::Tick, actions);
            }
        }
        self.report(now, actions);
    }

    /// Returns when the next [`RelayEvent::Tick`] is required at the latest.
    pub fn deadline(&self) -> Millis {
        let report = if self.follower.is_open() { self.reporter.deadline() } else { Millis::MAX };
        self.follower.deadline().min(self.fanout.deadline()).min(report)
    }

    /// Returns the side towards the publisher.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Returns the side towards the clients.
    pub fn fanout(&self) -> &Fanout {
        &self.fanout
    }

    /// Returns the position of the relay's table.
    pub fn position(&self) -> Position {
        self.follower.position()
    }

    /// Returns the counters of the side towards the publisher.
    pub fn follower_counters(&self) -> FollowerCounters {
        self.follower.counters()
    }

    /// Returns the number of refusals from below that were dropped because the queue of the reporter was
    /// full.
    pub fn refusals_dropped(&self) -> u64 {
        self.reporter.refusals_dropped()
    }

    fn on_upstream(&mut self, now: Millis, event: FollowerEvent, actions: &mut Vec<RelayAction>) {
        if matches!(event, FollowerEvent::Received(_)) {
            self.reporter.on_server_message(now);
        }
        let mut follower_actions = std::mem::take(&mut self.follower_actions);
        self.follower.on_event(now, event, &mut follower_actions);
        for action in follower_actions.drain(..) {
            match action {
                FollowerAction::Link(action) => {
                    if matches!(action, LinkAction::Send(ToServer::Watch { .. })) {
                        self.reporter.session_opened(now);
                    }
                    actions.push(RelayAction::Upstream(action));
                }
                FollowerAction::Advanced(advance) => self.forward(now, advance, actions),
            }
        }
        self.follower_actions = follower_actions;
    }

    /// Sets the age of the table that the fan-out reports in heartbeats.
    fn update_fanout_age(&mut self) {
        self.fanout.set_age(self.follower.state_age().into());
    }

    fn forward(&mut self, now: Millis, advance: Advance, actions: &mut Vec<RelayAction>) {
        self.update_fanout_age();
        let mut fanout_actions = std::mem::take(&mut self.fanout_actions);
        let table = self.follower.table();
        match advance {
            Advance::Deltas { transactions, .. } => {
                self.fanout.publish(now, transactions, table, &mut fanout_actions);
            }
            Advance::Snapshot { position, published_unix_ms, .. } => {
                self.fanout.reset(now, position, table.clone(), published_unix_ms, &mut fanout_actions);
            }
        }
        actions.extend(fanout_actions.drain(..).map(RelayAction::Downstream));
        self.fanout_actions = fanout_actions;
    }

    fn on_downstream(&mut self, now: Millis, event: FanoutEvent, actions: &mut Vec<RelayAction>) {
        self.update_fanout_age();
        let mut fanout_actions = std::mem::take(&mut self.fanout_actions);
        self.fanout.on_event(now, event, &mut fanout_actions);
        actions.extend(fanout_actions.drain(..).map(RelayAction::Downstream));
        self.fanout_actions = fanout_actions;
        self.collect_refusals();
    }

    fn collect_refusals(&mut self) {
        loop {
            let refusals = self.fanout.take_refusals();
            if refusals.is_empty() {
                return;
            }
            refusals.into_iter().for_each(|refusal| self.reporter.queue_refusal(refusal));
        }
    }

    /// Reports the progress of the subscribers below, by zone, to the server above.
    fn report(&mut self, now: Millis, actions: &mut Vec<RelayAction>) {
        if !self.follower.is_open() {
            return;
        }
        if let Some(progress) = self.reporter.report(now, || self.fanout.zones()) {
            actions.push(RelayAction::Upstream(LinkAction::Send(progress)));
        }
    }
}
