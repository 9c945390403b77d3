//! When subscribers could not be reached.
//!
//! A subscriber is *unreachable* while its region is cut off or its process is down, and at no other time: a relay that is
//! killed or stopped, a publisher that restarts and a damaged frame leave it reachable. A process is down from its kill
//! until the one that is started for it has its last good state and runs. A change counts as delivered to a reachable
//! subscriber if it was neither published nor on its way while the subscriber was unreachable; all others count towards
//! the time to heal.

/// Why subscribers could not be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Their region was cut off.
    RegionCut,
    /// Their process was down.
    ProcessDown {
        /// When it was started again, Unix ms.
        started_unix_ms: u64,
    },
}

/// One time in which some zones could not be reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The zones.
    pub zones: Vec<usize>,
    /// Why.
    pub cause: Cause,
    /// From when, Unix ms.
    pub from_unix_ms: u64,
    /// Until when, Unix ms; none if it never ended.
    pub until_unix_ms: Option<u64>,
}

impl Outage {
    /// Whether anything between these times fell into it.
    pub fn meets(&self, published_unix_ms: u64, applied_unix_ms: u64) -> bool {
        applied_unix_ms >= self.from_unix_ms
            && self.until_unix_ms.is_none_or(|until| published_unix_ms <= until)
    }
}
