//! Settings, events and actions of a [`Subscriber`](super::Subscriber).

use super::persistence::Persist;
use crate::follower::{FollowerEvent, FollowerSettings, LinkAction};
use crate::resource::Position;
use crate::update::Update;

/// Settings of a subscriber.
#[derive(Clone, Debug)]
pub struct SubscriberSettings {
    /// Settings of the link to the server.
    pub follower: FollowerSettings,
    /// Maximum number of keys that can be held back because the round server refused their changes.
    pub max_held_back: usize,
    /// Minimum time between two progress reports, ms.
    pub progress_ms: u64,
}

impl SubscriberSettings {
    /// Returns the defaults with these settings of the link.
    pub fn new(follower: FollowerSettings) -> SubscriberSettings {
        SubscriberSettings { follower, max_held_back: 4_096, progress_ms: 250 }
    }
}

/// Input events of a subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberEvent {
    /// An event of the link, or the passing of time.
    Link(FollowerEvent),
    /// The owner has put the update of this position, and all earlier ones, in force.
    Applied(Position),
}

/// Actions requested by a subscriber.
#[derive(Clone, Debug)]
pub enum SubscriberAction {
    /// An action for the task that owns the socket.
    Link(LinkAction),
    /// The owner has to put these changes in force in one step and to confirm them with
    /// [`SubscriberEvent::Applied`]. The update has no changes if all were refused; its position has to be
    /// confirmed nevertheless.
    InForce(Update),
    /// A record to be written to disk; requested once the owner has confirmed its position.
    Persist(Persist),
}

/// Counters of a subscriber, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// Number of updates passed to the owner.
    pub updates: u64,
    /// Number of transactions that were refused.
    pub refused_transactions: u64,
    /// Number of snapshots and other differences that were refused.
    pub refused_differences: u64,
}
