//! [`Counters`]: counts of datagrams and dropped timers.

/// Counts since the start of a membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams returned for sending.
    pub sent: u64,
    /// Bytes returned for sending, tags included.
    pub sent_bytes: u64,
    /// Datagrams received with a valid tag.
    pub received: u64,
    /// Datagrams dropped for a missing or wrong tag.
    pub forged: u64,
    /// Datagrams with a valid tag that the SWIM state machine refused (damaged, or addressed to another start
    /// of this member).
    pub refused: u64,
    /// Timers dropped because the timer queue was full.
    pub timers_dropped: u64,
}
