//! What goes into and comes out of a [`Subscriber`](super::Subscriber).

use super::persistence::Persist;
use crate::follower::{FollowerEvent, FollowerSettings, LinkAction};
use crate::resource::Position;
use crate::update::Update;

/// How a subscriber is set up.
#[derive(Clone, Debug)]
pub struct SubscriberSettings {
    /// The link to its server.
    pub follower: FollowerSettings,
    /// The most keys that can be held back because the server refused their changes.
    pub max_held_back: usize,
    /// The least time between two reports of progress, ms.
    pub progress_ms: u64,
}

impl SubscriberSettings {
    /// The defaults around this link.
    pub fn new(follower: FollowerSettings) -> SubscriberSettings {
        SubscriberSettings { follower, max_held_back: 4_096, progress_ms: 250 }
    }
}

/// What happens to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberEvent {
    /// On the link, or time that has passed.
    Link(FollowerEvent),
    /// The owner put the update of this position, and all before it, in force.
    Applied(Position),
}

/// What a subscriber wants done.
#[derive(Clone, Debug)]
pub enum SubscriberAction {
    /// For the socket.
    Link(LinkAction),
    /// The owner has to put these changes in force in one step and to confirm with [`SubscriberEvent::Applied`]. There
    /// may be no changes in it, where all were refused: the position has to be confirmed nevertheless.
    InForce(Update),
    /// To be kept on disk; given once the owner confirmed the position.
    Persist(Persist),
}

/// Counters of a subscriber, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// Updates handed to the owner.
    pub updates: u64,
    /// Transactions that stayed out.
    pub refused_transactions: u64,
    /// Snapshots and other differences that stayed out.
    pub refused_differences: u64,
}
