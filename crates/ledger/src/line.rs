//! The lines of a ledger as they are stored. Each line is one record that contains a `prost` message.
//!
//! `docs/formats/ledger.proto` describes the same format, and a test verifies that both agree. Field names
//! may differ between the two; tags and types do not.

use crate::line_id::LineId;
use crate::outcome::Outcome;
use prost::Message;

/// A line. Its [`LineId`] consists of the server's name, the id of the last [`Start`] line, and the line's
/// number in the store.
#[derive(Clone, PartialEq, Message)]
pub struct Line {
    /// Ledger time at which the line was created, in Unix ms; never earlier than the time of the previous
    /// line.
    #[prost(uint64, tag = "1")]
    pub at_ms: u64,
    /// Content of the line.
    #[prost(oneof = "LineKind", tags = "2, 3, 4, 5, 6, 7")]
    pub kind: Option<LineKind>,
}

/// The content of a line.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum LineKind {
    /// A server started writing the ledger.
    #[prost(message, tag = "2")]
    Start(Start),
    /// Usage in one period.
    #[prost(message, tag = "3")]
    Usage(Usage),
    /// A correction of an earlier line.
    #[prost(message, tag = "4")]
    Correction(Correction),
    /// Periods were closed.
    #[prost(message, tag = "5")]
    Close(Close),
    /// A batch was prepared or acknowledged.
    #[prost(message, tag = "6")]
    Export(Export),
    /// Usage is, or may be, missing from the usage lines.
    #[prost(message, tag = "7")]
    Unbilled(Unbilled),
}

/// The first line after each start of a server.
#[derive(Clone, PartialEq, Message)]
pub struct Start {
    /// Id of the start. It is greater than the id of any earlier start and, being based on the time, unique
    /// even if the previous store was lost.
    #[prost(uint64, tag = "1")]
    pub start: u64,
    /// Length of the periods that follow, in ms.
    #[prost(uint64, tag = "2")]
    pub period_ms: u64,
    /// Names of the classes; usage entries refer to classes by their position here.
    #[prost(string, repeated, tag = "3")]
    pub classes: Vec<String>,
    /// Maximum number of replies that may be sent before their line is durable in interval mode; 0 in strict
    /// mode.
    #[prost(uint64, tag = "4")]
    pub at_risk: u64,
    /// Whether replies are sent while the store is failing, without a bound on their number.
    #[prost(bool, tag = "5")]
    pub continues_on_failure: bool,
}

/// Usage in one period.
#[derive(Clone, PartialEq, Message)]
pub struct Usage {
    /// Start of the period, in Unix ms.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// Usage entries, at most one per combination of tenant, class and outcome.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Entry>,
    /// Start of the period in which the usage occurred, if that period was closed before this line was
    /// written.
    #[prost(uint64, optional, tag = "3")]
    pub original_period: Option<u64>,
}

/// Usage by one tenant in one class with one outcome.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Account of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Position of the class in the last [`Start`] line.
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// Number of the [`Outcome`].
    #[prost(enumeration = "Outcome", tag = "3")]
    pub outcome: i32,
    /// Amount of usage.
    #[prost(message, required, tag = "4")]
    pub amount: Amount,
}

/// An amount of usage.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Amount {
    /// Number of requests.
    #[prost(uint64, tag = "1")]
    pub requests: u64,
    /// Time spent in the worker pool, in µs.
    #[prost(uint64, tag = "2")]
    pub pool_us: u64,
    /// Total size of the request bodies, in bytes.
    #[prost(uint64, tag = "3")]
    pub bytes_in: u64,
    /// Total size of the results, in bytes.
    #[prost(uint64, tag = "4")]
    pub bytes_out: u64,
}

impl Amount {
    /// Adds another amount. Sums saturate at the maximum value.
    pub fn add(&mut self, other: &Amount) {
        self.requests = self.requests.saturating_add(other.requests);
        self.pool_us = self.pool_us.saturating_add(other.pool_us);
        self.bytes_in = self.bytes_in.saturating_add(other.bytes_in);
        self.bytes_out = self.bytes_out.saturating_add(other.bytes_out);
    }
}

/// A correction of an earlier line, given as a difference.
#[derive(Clone, PartialEq, Message)]
pub struct Correction {
    /// Start of the period that is open when the correction is entered, in Unix ms.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// Id of the corrected line.
    #[prost(message, required, tag = "2")]
    pub corrects: LineId,
    /// Account of the tenant.
    #[prost(string, tag = "3")]
    pub tenant: String,
    /// Name of the class.
    #[prost(string, tag = "4")]
    pub class: String,
    /// Number of the [`Outcome`].
    #[prost(enumeration = "Outcome", tag = "5")]
    pub outcome: i32,
    /// Difference in the number of requests.
    #[prost(sint64, tag = "6")]
    pub requests: i64,
    /// Difference in the time spent in the worker pool, in µs.
    #[prost(sint64, tag = "7")]
    pub pool_us: i64,
    /// Reason given by the operator.
    #[prost(string, tag = "8")]
    pub reason: String,
    /// Idempotency token: a correction whose token is already in the ledger is not entered again.
    #[prost(string, tag = "9")]
    pub token: String,
}

/// The close of one or more periods: no later line belongs to them.
#[derive(Clone, PartialEq, Message)]
pub struct Close {
    /// Start of the first closed period, in Unix ms.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// End (exclusive) of the last closed period, in Unix ms.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Whether the server was down when the periods ended. They are closed with the usage known to the
    /// server.
    #[prost(bool, tag = "3")]
    pub late: bool,
}

/// The preparation or acknowledgement of a batch.
#[derive(Clone, PartialEq, Message)]
pub struct Export {
    /// Number of the batch, from 1.
    #[prost(uint64, tag = "1")]
    pub batch: u64,
    /// Digest of the batch.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// Number of the close line whose periods the batch contains.
    #[prost(uint64, tag = "3")]
    pub close: u64,
    /// Whether this is the last batch of the close.
    #[prost(bool, tag = "4")]
    pub last: bool,
    /// Maximum number of items per batch of the close. The content of the batch is determined by this limit
    /// and the lines up to the close.
    #[prost(uint64, tag = "5")]
    pub lines: u64,
    /// Whether the collector acknowledged the batch; if false, the batch is prepared.
    #[prost(bool, tag = "6")]
    pub acknowledged: bool,
}

/// A record of usage that is, or may be, missing from the usage lines.
#[derive(Clone, PartialEq, Message)]
pub struct Unbilled {
    /// Number of requests known to be missing from the usage lines.
    #[prost(uint64, tag = "1")]
    pub requests: u64,
    /// Maximum number of further requests that may be missing; their exact number can no longer be
    /// determined.
    #[prost(uint64, tag = "2")]
    pub at_most: u64,
    /// Whether the number of further missing requests is unbounded.
    #[prost(bool, tag = "3")]
    pub unbounded: bool,
    /// Earliest time of the missing requests, in Unix ms.
    #[prost(uint64, tag = "4")]
    pub from_ms: u64,
    /// Latest time of the missing requests, in Unix ms.
    #[prost(uint64, tag = "5")]
    pub to_ms: u64,
    /// Reason why the usage is missing.
    #[prost(string, tag = "6")]
    pub reason: String,
}

/// The reason why a line, a batch or an operator's request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The bytes cannot be decoded.
    #[error("cannot be decoded: {0}")]
    Encoding(String),
    /// The kind of the line or request is unknown.
    #[error("unknown kind, written by a newer version of this program")]
    UnknownKind,
    /// The content contradicts itself or earlier lines.
    #[error("invalid content: {0}")]
    Invalid(&'static str),
}

impl From<prost::DecodeError> for LineError {
    fn from(error: prost::DecodeError) -> LineError {
        LineError::Encoding(error.to_string())
    }
}

impl Line {
    /// Decodes and validates a line from its record.
    ///
    /// # Errors
    /// Returns [`LineError::Encoding`] if the record cannot be decoded, [`LineError::UnknownKind`] if the
    /// line has no known kind, or [`LineError::Invalid`] if its content contradicts itself.
    pub fn parse(bytes: &[u8]) -> Result<Line, LineError> {
        let line = Line::decode(bytes)?;
        match &line.kind {
            None => Err(LineError::UnknownKind),
            Some(LineKind::Usage(usage)) if !usage.entries.iter().all(|e| Outcome::is_billed(e.outcome)) => {
                Err(LineError::Invalid("a usage entry has no valid outcome"))
            }
            Some(LineKind::Start(start)) if start.period_ms == 0 => {
                Err(LineError::Invalid("the period length is 0"))
            }
            Some(LineKind::Close(close)) if close.from >= close.to => {
                Err(LineError::Invalid("the closed time span is empty"))
            }
            Some(_) => Ok(line),
        }
    }
}
