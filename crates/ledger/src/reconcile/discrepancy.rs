//! What does not fit in the exports of several servers.

use crate::line_id::{LineId, LineIdText};
use std::fmt;

/// Something that does not fit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Discrepancy {
    /// A server began a new ledger: the one before was lost, or is elsewhere.
    NewLedger {
        /// The server.
        server: String,
        /// The ids of its ledgers, oldest first.
        ledger_ids: Vec<u64>,
    },
    /// A server closed a period as one that ended while it was down, yet it was listed then.
    ClosedLateWhileListed {
        /// The close line.
        by: LineId,
        /// The span closed, Unix ms.
        span: (u64, u64),
    },
    /// Usage in a period in which the server was not listed at all.
    UsedWhileNotListed {
        /// The line that closed the period.
        by: LineId,
        /// The period, by its first ms.
        period: u64,
        /// Requests.
        requests: i64,
    },
    /// Requests that are, or may be, in no line.
    Unbilled {
        /// The line that closed the span that they fall in.
        by: LineId,
        /// Requests known to be in no line.
        requests: u64,
        /// Further requests that may be in no line, at most; none if nothing bounds them.
        at_most: Option<u64>,
    },
    /// Corrections take more than there was.
    BelowZero {
        /// The tenant's account.
        tenant: String,
        /// The period in which the corrections were entered, by its first ms.
        period: u64,
        /// What is left.
        requests: i64,
    },
    /// A correction names a server of which nothing was exported.
    CorrectsUnknown {
        /// The correction.
        line: LineId,
        /// The line that it names.
        corrects: LineId,
    },
    /// Two closes of one server overlap, or leave a gap.
    SpansDoNotMeet {
        /// The later close line.
        by: LineId,
        /// Where the one before ended, Unix ms.
        before_to: u64,
        /// Where this one begins, Unix ms.
        from: u64,
    },
}

impl fmt::Display for Discrepancy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = LineIdText;
        match self {
            Discrepancy::NewLedger { server, ledger_ids } => write!(
                f,
                "{server} has {} ledgers, begun at {ledger_ids:?}: account for what the older ones held",
                ledger_ids.len()
            ),
            Discrepancy::ClosedLateWhileListed { by, span: (from, to) } => {
                write!(f, "line {} closed {from} to {to} late, yet the server was listed then", id(by))
            }
            Discrepancy::UsedWhileNotListed { by, period, requests } => write!(
                f,
                "line {} has {requests} requests in period {period}, in which the server was not listed",
                id(by)
            ),
            Discrepancy::Unbilled { by, requests, at_most } => {
                let more = at_most.map_or("any number".to_owned(), |count| count.to_string());
                write!(
                    f,
                    "before line {}: {requests} requests are in no line, and possibly {more} more",
                    id(by)
                )
            }
            Discrepancy::BelowZero { tenant, period, requests } => {
                write!(f, "{tenant} comes to {requests} requests in period {period}")
            }
            Discrepancy::CorrectsUnknown { line, corrects } => {
                write!(f, "line {} corrects {}, of whose ledger nothing is here", id(line), id(corrects))
            }
            Discrepancy::SpansDoNotMeet { by, before_to, from } => {
                write!(f, "line {} closes from {from} on, the close before ended at {before_to}", id(by))
            }
        }
    }
}
