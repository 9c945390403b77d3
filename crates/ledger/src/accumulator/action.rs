//! What the accumulator takes in and gives out.

use crate::account_name::AccountName;
use crate::line::LineError;
use crate::outcome::Outcome;

/// The usage of one request, as it is billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRecord<'a> {
    /// 1 for a reply; 0 for further usage of a request billed before.
    pub requests: u64,
    /// The tenant's account.
    pub account: AccountName<'a>,
    /// The class, by position.
    pub class: u16,
    /// What became of the request.
    pub outcome: Outcome,
    /// Time in the worker pool, µs.
    pub pool_us: u64,
    /// Bytes of the request's body.
    pub bytes_in: u64,
    /// Bytes of the result.
    pub bytes_out: u64,
}

/// Whether a reply may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyDecision {
    /// At once.
    SendNow,
    /// Once an [`Action::Release`] of this mark or a later one is given.
    HoldUntil(u64),
}

/// What the owner of an accumulator has to do, in the order in which actions are given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append this record to the store, after all before it.
    Append(Vec<u8>),
    /// Let the store write again after a failure; the records follow again, from the first that failed.
    Resume,
    /// Send the replies held up to this mark.
    Release(u64),
    /// Admit or reject new requests.
    AcceptRequests(bool),
    /// The close line with this number is durable.
    PeriodsClosed(u64),
    /// An entry given to [`UsageAccumulator::append_entry`](super::UsageAccumulator::append_entry) is durable.
    EntryDurable {
        /// The tag it was given with.
        tag: u64,
        /// Its line's number.
        number: u64,
    },
    /// Log this.
    Notify(Notice),
}

/// A condition that operators should know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The store does not take lines, for this reason.
    StoreFailing(String),
    /// The store takes lines again.
    StoreRecovered {
        /// Requests that are in no line.
        unbilled: u64,
    },
    /// The start before was not closed cleanly, and replies may be in no line.
    UncleanShutdown {
        /// Such replies at most; none if nothing bounds them.
        at_most: Option<u64>,
    },
    /// Periods that ended while the server was down are closed now.
    ClosedLate {
        /// The first ms of the first of them, Unix ms.
        from: u64,
        /// The first ms after them, Unix ms.
        to: u64,
    },
    /// The clock is behind the ledger's time by so many ms; that time stands still until the clock has passed it.
    ClockBehind(u64),
}

/// Why an entry was not appended; nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryRejected {
    /// The store fails.
    #[error("the store does not take lines now")]
    StoreFailing,
    /// Too many records wait for the store.
    #[error("{0} records wait for the store, and no more may")]
    QueueFull(usize),
    /// The entry contradicts the lines before it, or could not be read again.
    #[error(transparent)]
    Invalid(#[from] LineError),
}

/// Why periods were not closed early; nothing was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseRejected {
    /// The store fails.
    #[error("the store does not take lines now")]
    StoreFailing,
    /// All up to now is closed already.
    #[error("all up to {closed_to} is closed already")]
    NothingOpen {
        /// All before this time is closed, Unix ms.
        closed_to: u64,
    },
}

/// Figures for the log and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerGauges {
    /// Open aggregates.
    pub cells: usize,
    /// Bytes of open aggregates and of records that are not durable.
    pub bytes: usize,
    /// Records made and not yet durable.
    pub records: usize,
    /// Requests billed and not yet durable.
    pub at_risk: u64,
    /// Requests in no line, since the start.
    pub unbilled: u64,
    /// Times that aggregates were written early for want of room.
    pub spills: u64,
}
