//! Input and output types of the accumulator.

use crate::account_name::AccountName;
use crate::line::LineError;
use crate::outcome::Outcome;

/// The billed usage of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRecord<'a> {
    /// Number of requests: 1 for a reply, 0 for additional usage of a request that was already billed.
    pub requests: u64,
    /// Account of the tenant.
    pub account: AccountName<'a>,
    /// Position of the request's class in the list of classes.
    pub class: u16,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time spent in the worker pool, in µs.
    pub pool_us: u64,
    /// Size of the request body, in bytes.
    pub bytes_in: u64,
    /// Size of the result, in bytes.
    pub bytes_out: u64,
}

/// The decision when a reply may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyDecision {
    /// The reply may be sent immediately.
    SendNow,
    /// The reply is held until an [`Action::Release`] with this mark or a later one.
    HoldUntil(u64),
}

/// An action that the owner of an accumulator has to carry out. Actions are carried out in the order of the
/// list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append this record to the store, after all records of earlier actions.
    Append(Vec<u8>),
    /// Resume writing to the store after a failure. The records are appended again by later actions,
    /// beginning with the first one that failed.
    Resume,
    /// Send all held replies with this mark or an earlier one.
    Release(u64),
    /// Admit new requests if true, reject them if false.
    AcceptRequests(bool),
    /// Reports that the close line with this number is durable.
    PeriodsClosed(u64),
    /// Reports that a line appended by
    /// [`UsageAccumulator::append_entry`](super::UsageAccumulator::append_entry) is durable.
    EntryDurable {
        /// Tag passed to `append_entry`.
        tag: u64,
        /// Number of the line.
        number: u64,
    },
    /// Log this notice.
    Notify(Notice),
}

/// A condition that is reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The store cannot write lines; the value is the reason.
    StoreFailing(String),
    /// The store writes lines again.
    StoreRecovered {
        /// Number of requests that were not recorded in any usage line.
        unbilled: u64,
    },
    /// The previous run of the server was not shut down cleanly; the usage of some sent replies may be
    /// missing from the ledger.
    UncleanShutdown {
        /// Maximum number of these replies; `None` if the number is not bounded.
        at_most: Option<u64>,
    },
    /// Periods that ended while the server was down have been closed at startup.
    ClosedLate {
        /// Start of the first of these periods, in Unix ms.
        from: u64,
        /// End (exclusive) of the last of these periods, in Unix ms.
        to: u64,
    },
    /// The clock is behind the ledger's time by this number of ms. The ledger's time does not advance until
    /// the clock has caught up.
    ClockBehind(u64),
}

/// The reason why a line was not appended. The ledger is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryRejected {
    /// The store is failing.
    #[error("the store cannot write lines at present")]
    StoreFailing,
    /// The maximum number of records is already waiting for the store.
    #[error("the record queue is full: {0} records are waiting for the store")]
    QueueFull(usize),
    /// The line contradicts earlier lines, or its encoding would not be accepted when the ledger is read.
    #[error(transparent)]
    Invalid(#[from] LineError),
}

/// The reason why periods were not closed early. The ledger is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseRejected {
    /// The store is failing.
    #[error("the store cannot write lines at present")]
    StoreFailing,
    /// All time up to the present is already closed.
    #[error("all periods up to {closed_to} are already closed")]
    NothingOpen {
        /// End (exclusive) of the closed periods, in Unix ms.
        closed_to: u64,
    },
}

/// Gauges for the log and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerGauges {
    /// Number of open aggregates.
    pub cells: usize,
    /// Memory used by open aggregates and by records that are not durable yet, in bytes.
    pub bytes: usize,
    /// Number of records that are not durable yet.
    pub records: usize,
    /// Number of billed requests whose usage is not durable yet.
    pub at_risk: u64,
    /// Number of requests since startup that were not recorded in any usage line.
    pub unbilled: u64,
    /// Number of times that aggregates were written early because the table was full.
    pub spills: u64,
}
