//! Settings of the accumulator.

/// Rule for when a reply may be sent relative to the time at which its line becomes durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DurabilityMode {
    /// A reply is sent after its line is durable.
    Strict,
    /// A reply is sent immediately. Lines are committed at an interval, and the number of replies sent before
    /// their line is durable is bounded.
    Interval {
        /// Interval between commits, in ms.
        every_ms: u64,
        /// Maximum number of replies sent before their line is durable; further replies wait. 0 counts as 1.
        at_risk: u64,
    },
}

impl DurabilityMode {
    /// Returns the maximum number of replies sent before their line is durable: 0 in strict mode, otherwise
    /// at least 1.
    pub fn max_at_risk(self) -> u64 {
        match self {
            DurabilityMode::Strict => 0,
            DurabilityMode::Interval { at_risk, .. } => at_risk.max(1),
        }
    }
}

/// Policy for requests and replies while the store is failing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailurePolicy {
    /// New requests are rejected, and replies wait for the store.
    Reject,
    /// Replies are sent. Requests whose usage cannot be kept in memory are counted, and the count is recorded
    /// once the store recovers.
    Continue,
}

/// Settings of a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Length of a period, in ms.
    pub period_ms: u64,
    /// Delay between the end of a period and its close, in ms.
    pub grace_ms: u64,
    /// Rule for when a reply may be sent.
    pub mode: DurabilityMode,
    /// Policy while the store is failing.
    pub on_failure: FailurePolicy,
    /// Names of the classes, by position.
    pub classes: Vec<String>,
    /// Maximum number of open aggregates.
    pub cells: usize,
    /// Maximum number of records that are not durable while the store is failing and replies are sent without
    /// waiting for it. Beyond this limit, usage stays in the table.
    pub records: usize,
}
