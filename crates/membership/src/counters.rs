//! Counters of a membership.

/// What a membership has counted since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams handed out to send.
    pub sent: u64,
    /// Bytes handed out to send, tags included.
    pub sent_bytes: u64,
    /// Datagrams received with a valid tag.
    pub received: u64,
    /// Datagrams dropped for a missing or wrong tag.
    pub forged: u64,
    /// Datagrams with a valid tag that SWIM refused (damaged, or for another start of this member).
    pub refused: u64,
    /// Timers dropped because the most that may wait were waiting.
    pub timers_dropped: u64,
}
