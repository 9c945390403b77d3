//! Settings of the accumulator.

/// When a reply may be sent, relative to its line becoming durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DurabilityMode {
    /// Once its line is durable.
    Strict,
    /// At once; lines are committed at an interval, and the replies sent before their line is durable are bounded.
    Interval {
        /// Between commits, ms.
        every_ms: u64,
        /// Replies sent before their line is durable, at most; further ones wait. 0 counts as 1.
        at_risk: u64,
    },
}

impl DurabilityMode {
    /// Returns the replies that may be sent before their line is durable: 0 in strict mode, else at least 1.
    pub fn max_at_risk(self) -> u64 {
        match self {
            DurabilityMode::Strict => 0,
            DurabilityMode::Interval { at_risk, .. } => at_risk.max(1),
        }
    }
}

/// What happens while the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailurePolicy {
    /// New requests are rejected, and replies wait.
    Reject,
    /// Replies are sent; usage that fits in no line is counted and recorded once the store recovers.
    Continue,
}

/// How a ledger is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// The length of a period, ms.
    pub period_ms: u64,
    /// How long after its end a period is closed, ms.
    pub grace_ms: u64,
    /// When a reply may be sent.
    pub mode: DurabilityMode,
    /// What happens while the store fails.
    pub on_failure: FailurePolicy,
    /// The classes' names, by position.
    pub classes: Vec<String>,
    /// Open aggregates at most.
    pub cells: usize,
    /// Records made and not yet durable at most, while the store fails and replies are sent all the same; usage stays in
    /// the table beyond.
    pub records: usize,
}
