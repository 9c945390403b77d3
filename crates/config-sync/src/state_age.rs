//! Age of a state, as servers report it and clients compute it.

use crate::message::MAX_AGE_MS;
use crate::resource::Millis;

/// Age that a state had at a time on this process's clock; it has grown since. Stored as two numbers, since
/// the time when the state was new may lie before the start of this clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateAge {
    at: Millis,
    age_ms: Millis,
}

impl StateAge {
    /// Creates the age of a state that is `age_ms` old at the time `at`.
    pub fn new(at: Millis, age_ms: Millis) -> StateAge {
        StateAge { at, age_ms: age_ms.min(MAX_AGE_MS) }
    }

    /// Returns the age at the time `now`, at most [`MAX_AGE_MS`].
    pub fn at(self, now: Millis) -> Millis {
        self.age_ms.saturating_add(now.saturating_sub(self.at)).min(MAX_AGE_MS)
    }

    /// Returns the time at which the age reaches `limit_ms`; the time of the measurement if it already had.
    pub fn passes(self, limit_ms: Millis) -> Millis {
        self.at.saturating_add(limit_ms.saturating_sub(self.age_ms))
    }

    /// Returns the lower of the two ages at the time `now`.
    pub fn younger(self, other: Option<StateAge>, now: Millis) -> StateAge {
        other.filter(|other| other.at(now) < self.at(now)).unwrap_or(self)
    }
}

/// Age of a server's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAge {
    /// The server is the publisher, whose state is always current.
    Publisher,
    /// The server is a relay that was never known to be at the publisher's head.
    Unknown,
    /// The server is a relay whose state has this age.
    Known(StateAge),
}

impl ServerAge {
    /// Returns the age that a heartbeat reports at the time `now`, ms.
    pub fn at(self, now: Millis) -> Millis {
        match self {
            ServerAge::Publisher => 0,
            ServerAge::Unknown => MAX_AGE_MS,
            ServerAge::Known(age) => age.at(now),
        }
    }
}

impl From<Option<StateAge>> for ServerAge {
    fn from(age: Option<StateAge>) -> ServerAge {
        age.map_or(ServerAge::Unknown, ServerAge::Known)
    }
}
