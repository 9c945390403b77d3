//! Times in which subscribers were unreachable.
//!
//! A subscriber is *unreachable* only while its region is cut off or its process is down. A killed or
//! suspended relay, a restart of the publisher and a damaged frame leave it reachable. A process is down from
//! its kill until its replacement has its last good state and runs. A change counts as delivered to a
//! reachable subscriber if the subscriber was reachable from the change's publication until it was in force;
//! all other changes count towards the time to heal.

/// The reason why subscribers were unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The region of the subscribers was cut off.
    RegionCut,
    /// The process of the subscribers was down.
    ProcessDown {
        /// Time at which the process was started again, Unix ms.
        started_unix_ms: u64,
    },
}

/// A period in which some zones were unreachable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Unreachable zones.
    pub zones: Vec<usize>,
    /// Reason of the outage.
    pub cause: Cause,
    /// Start of the outage, Unix ms.
    pub from_unix_ms: u64,
    /// End of the outage, Unix ms; none if it never ended.
    pub until_unix_ms: Option<u64>,
}

impl Outage {
    /// Returns whether the time between publication and application of a change overlaps the outage.
    pub fn overlaps(&self, published_unix_ms: u64, applied_unix_ms: u64) -> bool {
        applied_unix_ms >= self.from_unix_ms
            && self.until_unix_ms.is_none_or(|until| published_unix_ms <= until)
    }
}
