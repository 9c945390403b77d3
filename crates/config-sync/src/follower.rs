//! Client side of sessions, for relays and subscribers alike: holds a table and its position, and keeps both
//! at the head of the server that it watches.
//!
//! At any time the table is exactly the publisher's table at some position: a transaction is applied if it
//! follows and its digest matches, a snapshot once it is complete and its digest matches. Anything else
//! leaves the table unchanged and leads to a snapshot or to another server. The position never decreases; a
//! server that is behind is left.

mod api;
mod candidates;
mod messages;
mod staging;
mod staleness;

pub use api::{
    Advance, DisconnectReason, FollowerAction, FollowerCounters, FollowerEvent, FollowerSettings, LinkAction,
    SessionFault,
};

use crate::message::ToServer;
use crate::resource::{Millis, Position};
use crate::shared_steps::SharedSteps;
use crate::state_age::StateAge;
use crate::table::Table;
use candidates::Candidates;
use staging::Staging;

/// State of the connection to the server.
enum Link {
    /// There is no connection; the next attempt is at `until`.
    Waiting { until: Millis },
    /// A connection attempt is in progress.
    Connecting { since: Millis },
    /// The session is open; deltas are expected.
    Following,
    /// The session is open; a snapshot was requested.
    Fetching(Staging),
}

/// State of the open session.
#[derive(Default)]
struct Session {
    /// Time at which the last message arrived.
    last_received_at: Millis,
    /// Time at which the table last advanced, was confirmed to be at the head, or a piece arrived.
    progress_at: Millis,
    /// Whether any message has arrived.
    has_received: bool,
    /// Whether the table has reached the server's head.
    synced: bool,
    /// Whether a snapshot was requested because deltas did not match; the second time, the server is left.
    resynced_after_fault: bool,
    /// Head and age in the server's last heartbeat.
    last_heartbeat: Option<(Position, StateAge)>,
    /// Age of the server's state at which the server is left.
    stale_after_ms: Millis,
    /// Time until which the server is not left for its age: a server that has itself just started may need it
    /// to become fresh.
    fresh_deadline: Millis,
    /// Time at which the server is left for its age if that keeps growing.
    stale_at: Millis,
    /// Time at which a nearer server is tried again.
    return_at: Option<Millis>,
}

/// Client side of sessions.
pub struct Follower {
    settings: FollowerSettings,
    candidates: Candidates,
    link: Link,
    session: Session,
    position: Position,
    table: Table,
    /// Age of the table: the time since it was last known to be at the publisher's head.
    age: Option<StateAge>,
    /// Whether the next snapshot is fetched whole, since the digest of one assembled from differences did not
    /// match.
    fetch_whole: bool,
    /// Cache of table steps shared with other followers in this process.
    steps: Option<SharedSteps>,
    counters: FollowerCounters,
}

impl Follower {
    /// Creates a follower with a stored table and its position, or with `Position::default()` and an empty
    /// table. It connects at the first event.
    pub fn new(settings: FollowerSettings, now: Millis, position: Position, table: Table) -> Follower {
        Follower {
            candidates: Candidates::new(&settings),
            settings,
            link: Link::Waiting { until: now },
            session: Session::default(),
            position,
            table,
            age: None,
            fetch_whole: false,
            steps: None,
            counters: FollowerCounters::default(),
        }
    }

    /// Handles an event and appends the resulting actions, in order.
    pub fn on_event(&mut self, now: Millis, event: FollowerEvent, actions: &mut Vec<FollowerAction>) {
        match event {
            FollowerEvent::Connected => self.on_connected(now, actions),
            FollowerEvent::ConnectFailed | FollowerEvent::Disconnected => self.on_link_ended(now),
            FollowerEvent::Received(message) if self.is_open() => self.on_message(now, message, actions),
            FollowerEvent::Received(_) | FollowerEvent::Tick => {}
        }
        self.check_time(now, actions);
    }

    /// Returns the position of the table.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the table at [`Follower::position`].
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns whether a session is open, so that messages can be sent.
    pub fn is_open(&self) -> bool {
        matches!(self.link, Link::Following | Link::Fetching(_))
    }

    /// Returns how long ago the table was last known to be at the publisher's head, according to the ages
    /// that its servers report; `None` if it never was.
    pub fn age_ms(&self, now: Millis) -> Option<Millis> {
        self.age.map(|age| age.at(now))
    }

    /// Returns the age of the table as a [`StateAge`], which grows with time, for the clients of this
    /// follower's relay.
    pub fn state_age(&self) -> Option<StateAge> {
        self.age
    }

    /// Returns the follower's counters.
    pub fn counters(&self) -> FollowerCounters {
        self.counters
    }

    /// Makes the follower share the computation of table steps with others in this process.
    pub fn share_steps(&mut self, steps: SharedSteps) {
        self.steps = Some(steps);
    }

    /// Replaces the table by `other` if their digests are equal, so that many followers in one process share
    /// its memory. Returns whether the digests were equal.
    pub fn share_table(&mut self, other: &Table) -> bool {
        if self.table.digest() != other.digest() {
            return false;
        }
        if !self.table.shares_with(other) {
            self.table = other.clone();
        }
        true
    }

    /// Returns when the next [`FollowerEvent::Tick`] is required at the latest.
    pub fn deadline(&self) -> Millis {
        match self.link {
            Link::Waiting { until } => until,
            Link::Connecting { since } => since.saturating_add(self.settings.connect_limit_ms),
            Link::Following | Link::Fetching(_) => {
                let silent = self.session.last_received_at.saturating_add(self.silence_limit());
                let stalled = self.session.progress_at.saturating_add(self.settings.stall_ms);
                let return_at = self.session.return_at.unwrap_or(Millis::MAX);
                silent.min(stalled).min(return_at).min(self.session.stale_at)
            }
        }
    }

    /// Returns the maximum silence of the server. A server on trial has to answer as fast as it has to accept
    /// the connection.
    fn silence_limit(&self) -> Millis {
        let unanswered_trial = self.candidates.trial().is_some() && !self.session.has_received;
        if unanswered_trial { self.settings.connect_limit_ms } else { self.settings.silence_ms }
    }

    fn on_connected(&mut self, now: Millis, actions: &mut Vec<FollowerAction>) {
        if !matches!(self.link, Link::Connecting { .. }) {
            return;
        }
        self.link = Link::Following;
        let return_at = self.candidates.next_return(now);
        let stale_after_ms = self.candidates.with_jitter(self.settings.stale_after_ms);
        let fresh_deadline = now.saturating_add(stale_after_ms);
        self.session = Session {
            last_received_at: now,
            progress_at: now,
            stale_after_ms,
            fresh_deadline,
            stale_at: fresh_deadline.max(self.candidates.fresher_not_before()),
            return_at,
            ..Session::default()
        };
        self.counters.sessions += 1;
        send(
            actions,
            ToServer::Watch {
                member: self.settings.member.clone(),
                position: self.position,
                digest: self.table.digest(),
            },
        );
    }

    fn on_link_ended(&mut self, now: Millis) {
        let delay = match self.link {
            Link::Waiting { .. } => return,
            Link::Following | Link::Fetching(_) if self.session.synced => self.candidates.session_lost(),
            _ => self.candidates.attempt_failed(),
        };
        self.wait(now, delay);
    }

    /// Schedules the next attempt after at least a millisecond, so that leaving all servers at once does not
    /// cause an endless loop over them.
    fn wait(&mut self, now: Millis, delay: Millis) {
        self.link = Link::Waiting { until: now.saturating_add(delay.max(1)) };
    }

    /// Closes the link and schedules an attempt at the next server.
    fn leave(&mut self, now: Millis, reason: DisconnectReason, actions: &mut Vec<FollowerAction>) {
        disconnect(actions, reason);
        let delay = self.candidates.attempt_failed();
        self.wait(now, delay);
    }

    fn check_time(&mut self, now: Millis, actions: &mut Vec<FollowerAction>) {
        match self.link {
            Link::Waiting { until } if now >= until => self.connect(now, actions),
            Link::Connecting { since } if now >= since.saturating_add(self.settings.connect_limit_ms) => {
                self.leave(now, DisconnectReason::ConnectLimit(self.settings.connect_limit_ms), actions);
            }
            Link::Following | Link::Fetching(_) => self.check_session(now, actions),
            Link::Waiting { .. } | Link::Connecting { .. } => {}
        }
    }

    fn check_session(&mut self, now: Millis, actions: &mut Vec<FollowerAction>) {
        let silence = now.saturating_sub(self.session.last_received_at);
        let stall = now.saturating_sub(self.session.progress_at);
        if silence >= self.silence_limit() {
            disconnect(actions, DisconnectReason::Silent(silence));
            self.on_link_ended(now);
        } else if stall >= self.settings.stall_ms {
            self.leave(now, DisconnectReason::Stalled(stall), actions);
        } else if self.session.return_at.is_some_and(|at| now >= at) {
            self.try_nearer(now, actions);
        } else if now >= self.session.stale_at {
            self.try_fresher(now, actions);
        }
    }

    /// Switches from a farther server to a nearer one at once, but not during a snapshot.
    fn try_nearer(&mut self, now: Millis, actions: &mut Vec<FollowerAction>) {
        if !self.session.synced || matches!(self.link, Link::Fetching(_)) {
            self.session.return_at = self.candidates.next_return(now);
            return;
        }
        disconnect(actions, DisconnectReason::TryingNearer);
        self.candidates.try_nearer(self.session.last_heartbeat.map(|(_, age)| age));
        self.connect(now, actions);
    }

    fn connect(&mut self, now: Millis, actions: &mut Vec<FollowerAction>) {
        let Some(server) = self.candidates.current() else {
            self.wait(now, self.settings.backoff.cap_ms);
            return;
        };
        actions.push(FollowerAction::Link(LinkAction::Connect(server.clone())));
        self.link = Link::Connecting { since: now };
    }
}

fn send(actions: &mut Vec<FollowerAction>, message: ToServer) {
    actions.push(FollowerAction::Link(LinkAction::Send(message)));
}

fn disconnect(actions: &mut Vec<FollowerAction>, reason: DisconnectReason) {
    actions.push(FollowerAction::Link(LinkAction::Disconnect(reason)));
}
