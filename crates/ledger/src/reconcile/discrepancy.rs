//! Discrepancies found in the exports of several servers.

use crate::line_id::{LineId, LineIdText};
use std::fmt;

/// A discrepancy found by a reconciliation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Discrepancy {
    /// A server began a new ledger, so the previous one was lost or is in another place.
    NewLedger {
        /// Name of the server.
        server: String,
        /// Ids of the server's ledgers, oldest first.
        ledger_ids: Vec<u64>,
    },
    /// A server closed periods as having ended while it was down, although it was listed at that time.
    ClosedLateWhileListed {
        /// Id of the close line.
        close_line: LineId,
        /// Start and end (exclusive) of the closed time span, in Unix ms.
        span: (u64, u64),
    },
    /// A server reported usage in a period in which it was not listed at all.
    UsageWhileNotListed {
        /// Id of the line that closed the period.
        close_line: LineId,
        /// Start of the period, in Unix ms.
        period: u64,
        /// Number of requests.
        requests: i64,
    },
    /// Requests are, or may be, missing from the usage lines.
    Unbilled {
        /// Id of the line that closed the time span of these requests.
        close_line: LineId,
        /// Number of requests known to be missing from the usage lines.
        requests: u64,
        /// Maximum number of further requests that may be missing; `None` if the number is not bounded.
        at_most: Option<u64>,
    },
    /// Corrections reduce the total of a tenant below zero.
    NegativeTotal {
        /// Account of the tenant.
        tenant: String,
        /// Start of the period in which the corrections were entered, in Unix ms.
        period: u64,
        /// Total number of requests, which is negative.
        requests: i64,
    },
    /// A correction refers to a server without any exported batch.
    CorrectsUnknownServer {
        /// Id of the correction line.
        line: LineId,
        /// Id of the line to which it refers.
        corrects: LineId,
    },
    /// Two successive closes of one ledger overlap or leave a gap.
    NonContiguousCloses {
        /// Id of the later close line.
        close_line: LineId,
        /// End of the earlier close, in Unix ms.
        before_to: u64,
        /// Start of the later close, in Unix ms.
        from: u64,
    },
}

impl fmt::Display for Discrepancy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = LineIdText;
        match self {
            Discrepancy::NewLedger { server, ledger_ids } => write!(
                f,
                "{server} has {} ledgers, begun at {ledger_ids:?}: check the older ones for missing usage",
                ledger_ids.len()
            ),
            Discrepancy::ClosedLateWhileListed { close_line, span: (from, to) } => {
                write!(
                    f,
                    "line {} closed {from} to {to} late, although the server was listed at that time",
                    id(close_line)
                )
            }
            Discrepancy::UsageWhileNotListed { close_line, period, requests } => write!(
                f,
                "line {} has {requests} requests in period {period}, in which the server was not listed",
                id(close_line)
            ),
            Discrepancy::Unbilled { close_line, requests, at_most } => {
                let more = at_most.map_or("any number".to_owned(), |count| count.to_string());
                write!(
                    f,
                    "before line {}: {requests} requests are in no usage line, and possibly {more} more",
                    id(close_line)
                )
            }
            Discrepancy::NegativeTotal { tenant, period, requests } => {
                write!(f, "{tenant} has a total of {requests} requests in period {period}")
            }
            Discrepancy::CorrectsUnknownServer { line, corrects } => {
                write!(
                    f,
                    "line {} corrects {}, but no batch of that server was exported",
                    id(line),
                    id(corrects)
                )
            }
            Discrepancy::NonContiguousCloses { close_line, before_to, from } => {
                write!(
                    f,
                    "line {} closes from {from}, but the previous close ended at {before_to}",
                    id(close_line)
                )
            }
        }
    }
}
