//! The client side of sessions, for relays and subscribers alike: holds a table and its position and keeps them at the
//! head of the server it watches.
//!
//! The table is at every moment exactly what the publisher had at one position: a transaction is applied if it follows
//! and its digest fits, a snapshot once it is whole and its digest fits. Anything else leaves the old table and leads
//! to a snapshot or to another server. The position never goes back; a server that is behind is left.

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

/// The state of the one connection.
enum Link {
    /// None; the next attempt is at `until`.
    Waiting { until: Millis },
    /// Asked for.
    Connecting { since: Millis },
    /// Open; deltas are expected.
    Following,
    /// Open; a snapshot was asked for.
    Fetching(Staging),
}

/// What is known of the open session.
#[derive(Default)]
struct Session {
    /// When the last message arrived.
    heard_at: Millis,
    /// When the table last moved, was confirmed to be at the head, or a piece arrived.
    progress_at: Millis,
    /// Whether anything arrived at all.
    heard: bool,
    /// Whether it came to the server's head.
    proven: bool,
    /// Whether a snapshot was asked for because something did not fit; the second time the server is left.
    repaired: bool,
    /// What the server's last heartbeat said: its head and its age.
    last_heartbeat: Option<(Position, StateAge)>,
    /// The age at which its server is left.
    stale_after_ms: Millis,
    /// So long a new session has to show that its server is not that old, as one that has just begun itself.
    fresh_by: Millis,
    /// When its server is left for its age, if that goes on growing.
    stale_at: Millis,
    /// When a nearer server is tried again.
    return_at: Option<Millis>,
}

/// The client side of sessions.
pub struct Follower {
    settings: FollowerSettings,
    candidates: Candidates,
    link: Link,
    session: Session,
    position: Position,
    table: Table,
    /// How old the table is: since it was last known to be at the publisher's head.
    age: Option<StateAge>,
    /// The next snapshot is fetched whole, since one that was put together from differences did not fit.
    fetch_whole: bool,
    /// Where steps of the table are computed together with others.
    steps: Option<SharedSteps>,
    counters: FollowerCounters,
}

impl Follower {
    /// Begins with what was kept, or with `Position::default()` and an empty table. Connects at the first event.
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

    /// Takes an event and appends what is to be done, in order.
    pub fn on_event(&mut self, now: Millis, event: FollowerEvent, actions: &mut Vec<FollowerAction>) {
        match event {
            FollowerEvent::Connected => self.on_connected(now, actions),
            FollowerEvent::ConnectFailed | FollowerEvent::Disconnected => self.on_link_ended(now),
            FollowerEvent::Received(message) if self.is_open() => self.on_message(now, message, actions),
            FollowerEvent::Received(_) | FollowerEvent::Tick => {}
        }
        self.check_time(now, actions);
    }

    /// What it has.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The table at [`Follower::position`].
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether a session is open, so that messages can be sent.
    pub fn is_open(&self) -> bool {
        matches!(self.link, Link::Following | Link::Fetching(_))
    }

    /// How long ago it last knew itself at the publisher's head, by what its servers say of themselves; nothing if it
    /// never did.
    pub fn age_ms(&self, now: Millis) -> Option<Millis> {
        self.age.map(|age| age.at(now))
    }

    /// The same as it grows, for those that follow this one.
    pub fn state_age(&self) -> Option<StateAge> {
        self.age
    }

    /// Its counters.
    pub fn counters(&self) -> FollowerCounters {
        self.counters
    }

    /// From now on steps of the table are computed together with others in this process.
    pub fn share_steps(&mut self, steps: SharedSteps) {
        self.steps = Some(steps);
    }

    /// Takes over a table of equal digest, so that many followers in one process share its memory. Returns whether
    /// the digests were equal.
    pub fn share_table(&mut self, other: &Table) -> bool {
        if self.table.digest() != other.digest() {
            return false;
        }
        if !self.table.shares_with(other) {
            self.table = other.clone();
        }
        true
    }

    /// When the next [`FollowerEvent::Tick`] is needed at the latest.
    pub fn deadline(&self) -> Millis {
        match self.link {
            Link::Waiting { until } => until,
            Link::Connecting { since } => since.saturating_add(self.settings.connect_limit_ms),
            Link::Following | Link::Fetching(_) => {
                let silent = self.session.heard_at.saturating_add(self.silence_limit());
                let stalled = self.session.progress_at.saturating_add(self.settings.stall_ms);
                let return_at = self.session.return_at.unwrap_or(Millis::MAX);
                silent.min(stalled).min(return_at).min(self.session.stale_at)
            }
        }
    }

    /// A server that is only tried again has to answer as fast as it has to accept the connection.
    fn silence_limit(&self) -> Millis {
        let unproven_return = self.candidates.trial().is_some() && !self.session.heard;
        if unproven_return { self.settings.connect_limit_ms } else { self.settings.silence_ms }
    }

    fn on_connected(&mut self, now: Millis, actions: &mut Vec<FollowerAction>) {
        if !matches!(self.link, Link::Connecting { .. }) {
            return;
        }
        self.link = Link::Following;
        let return_at = self.candidates.next_return(now);
        let stale_after_ms = self.candidates.stretched(self.settings.stale_after_ms);
        let fresh_by = now.saturating_add(stale_after_ms);
        self.session = Session {
            heard_at: now,
            progress_at: now,
            stale_after_ms,
            fresh_by,
            stale_at: fresh_by.max(self.candidates.fresher_not_before()),
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
            Link::Following | Link::Fetching(_) if self.session.proven => self.candidates.session_lost(),
            _ => self.candidates.attempt_failed(),
        };
        self.wait(now, delay);
    }

    /// Waits at least a millisecond, so that servers that are all left at once are not gone through without end.
    fn wait(&mut self, now: Millis, delay: Millis) {
        self.link = Link::Waiting { until: now.saturating_add(delay.max(1)) };
    }

    /// Gives up the link and goes to the next server.
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
        let silence = now.saturating_sub(self.session.heard_at);
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

    /// Goes from a farther server to a nearer one, at once. Not in the middle of a snapshot.
    fn try_nearer(&mut self, now: Millis, actions: &mut Vec<FollowerAction>) {
        if !self.session.proven || matches!(self.link, Link::Fetching(_)) {
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
