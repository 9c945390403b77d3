//! How old a state is, as servers tell it and clients work it out.

use crate::message::MAX_AGE_MS;
use crate::resource::Millis;

/// The age that a state had at a time on this process's clock; it grows since. Kept as two numbers, since the moment
/// when the state was new may lie before this clock's beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateAge {
    at: Millis,
    age_ms: Millis,
}

impl StateAge {
    /// One that is `age_ms` at the time `at`.
    pub fn new(at: Millis, age_ms: Millis) -> StateAge {
        StateAge { at, age_ms: age_ms.min(MAX_AGE_MS) }
    }

    /// What it is at the time `now`, [`MAX_AGE_MS`] at most.
    pub fn at(self, now: Millis) -> Millis {
        self.age_ms.saturating_add(now.saturating_sub(self.at)).min(MAX_AGE_MS)
    }

    /// When it passes `limit_ms`; at once if it has.
    pub fn passes(self, limit_ms: Millis) -> Millis {
        self.at.saturating_add(limit_ms.saturating_sub(self.age_ms))
    }

    /// The younger of the two at the time `now`.
    pub fn younger(self, other: Option<StateAge>, now: Millis) -> StateAge {
        other.filter(|other| other.at(now) < self.at(now)).unwrap_or(self)
    }
}

/// How old the state of a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAge {
    /// It is the publisher, whose state is always the newest.
    Publisher,
    /// A relay that never knew itself at the publisher's head.
    Unknown,
    /// A relay that did.
    Known(StateAge),
}

impl ServerAge {
    /// What a heartbeat says at the time `now`.
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
