//! A relay: a [`Follower`] towards the publisher or the relay above, a [`Fanout`] towards those below.
//!
//! Deltas are passed on as soon as they are applied. A snapshot from above moves the head of the fan-out in one step;
//! sessions below it resync by bucket digests. Cut off from above, a relay goes on serving what it has, and its
//! heartbeats say its head and how old that is.

use crate::fanout::{Fanout, FanoutAction, FanoutEvent, FanoutSettings};
use crate::follower::{
    Advance, Follower, FollowerAction, FollowerCounters, FollowerEvent, FollowerSettings, LinkAction,
};
use crate::message::ToServer;
use crate::progress::ProgressReporter;
use crate::resource::{Millis, Position};
use crate::table::Table;

/// The longest delay between a relay's attempts to reach a server above it, ms: less than a subscriber's, since all below
/// wait for it and a server has few relays below it to bear.
const MAX_RELAY_BACKOFF_MS: u64 = 1_000;

/// How a relay is set up.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// The side towards the publisher.
    pub follower: FollowerSettings,
    /// The side towards the clients.
    pub fanout: FanoutSettings,
    /// The least time between two reports of progress, ms.
    pub progress_ms: u64,
}

impl RelaySettings {
    /// The defaults around these two sides.
    pub fn new(mut follower: FollowerSettings, fanout: FanoutSettings) -> RelaySettings {
        follower.backoff.cap_ms = follower.backoff.cap_ms.min(MAX_RELAY_BACKOFF_MS);
        RelaySettings { follower, fanout, progress_ms: 250 }
    }
}

/// What happens to a relay.
#[derive(Clone, Debug)]
pub enum RelayEvent {
    /// On the link to the server above.
    Upstream(FollowerEvent),
    /// On a session with a client below.
    Downstream(FanoutEvent),
    /// Time has passed, for both sides; needed at [`Relay::deadline`] at the latest.
    Tick,
}

/// What a relay wants done.
#[derive(Clone, Debug)]
pub enum RelayAction {
    /// For the connection to the server above.
    Upstream(LinkAction),
    /// For a session with a client below.
    Downstream(FanoutAction),
}

/// A relay.
pub struct Relay {
    follower: Follower,
    fanout: Fanout,
    reporter: ProgressReporter,
    /// Kept to spare an allocation for each event.
    follower_actions: Vec<FollowerAction>,
    fanout_actions: Vec<FanoutAction>,
}

impl Relay {
    /// Begins with nothing and fetches it from above.
    pub fn new(settings: RelaySettings, now: Millis) -> Relay {
        Relay {
            follower: Follower::new(settings.follower, now, Position::default(), Table::new()),
            fanout: Fanout::new(settings.fanout),
            reporter: ProgressReporter::new(settings.progress_ms),
            follower_actions: Vec::new(),
            fanout_actions: Vec::new(),
        }
    }

    /// Takes an event and appends what is to be done, in order.
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

    /// When the next tick is needed at the latest.
    pub fn deadline(&self) -> Millis {
        let report = if self.follower.is_open() { self.reporter.deadline() } else { Millis::MAX };
        self.follower.deadline().min(self.fanout.deadline()).min(report)
    }

    /// The side towards the publisher.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// The side towards the clients.
    pub fn fanout(&self) -> &Fanout {
        &self.fanout
    }

    /// What it serves.
    pub fn position(&self) -> Position {
        self.follower.position()
    }

    /// Counters of the side towards the publisher.
    pub fn follower_counters(&self) -> FollowerCounters {
        self.follower.counters()
    }

    /// Refusals from below that were not passed on because too many waited.
    pub fn refusals_dropped(&self) -> u64 {
        self.reporter.refusals_dropped()
    }

    fn on_upstream(&mut self, now: Millis, event: FollowerEvent, actions: &mut Vec<RelayAction>) {
        if matches!(event, FollowerEvent::Received(_)) {
            self.reporter.server_heard(now);
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
                FollowerAction::Advanced(advance) => self.pass_on(now, advance, actions),
            }
        }
        self.follower_actions = follower_actions;
    }

    /// The fan-out says how old the state is that it serves.
    fn tell_age(&mut self) {
        self.fanout.set_age(self.follower.state_age().into());
    }

    fn pass_on(&mut self, now: Millis, advance: Advance, actions: &mut Vec<RelayAction>) {
        self.tell_age();
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
        self.tell_age();
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
            refusals.into_iter().for_each(|refusal| self.reporter.refuse(refusal));
        }
    }

    /// Tells the server above how far the subscribers below have come, by zone.
    fn report(&mut self, now: Millis, actions: &mut Vec<RelayAction>) {
        if !self.follower.is_open() {
            return;
        }
        if let Some(progress) = self.reporter.report(now, || self.fanout.zones()) {
            actions.push(RelayAction::Upstream(LinkAction::Send(progress)));
        }
    }
}
