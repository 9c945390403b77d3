//! The lines of a ledger as they are stored: one record for each line, a `prost` message.
//!
//! `docs/formats/ledger.proto` has the same as text, and a test holds the two together. The names of fields here may
//! differ from those there; their tags and types do not.

use crate::line_id::LineId;
use crate::outcome::Outcome;
use prost::Message;

/// A line. Its [`LineId`] is the server, the start of the last [`Start`] line and its own number in the store.
#[derive(Clone, PartialEq, Message)]
pub struct Line {
    /// The ledger's time when the line was made, Unix ms; never less than that of the line before.
    #[prost(uint64, tag = "1")]
    pub at_ms: u64,
    /// The content.
    #[prost(oneof = "LineKind", tags = "2, 3, 4, 5, 6, 7")]
    pub kind: Option<LineKind>,
}

/// The content of a line.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum LineKind {
    /// A server began to write.
    #[prost(message, tag = "2")]
    Start(Start),
    /// Usage of a period.
    #[prost(message, tag = "3")]
    Usage(Usage),
    /// A correction of an earlier line.
    #[prost(message, tag = "4")]
    Correction(Correction),
    /// Periods are closed.
    #[prost(message, tag = "5")]
    Close(Close),
    /// A batch was prepared or acknowledged.
    #[prost(message, tag = "6")]
    Export(Export),
    /// Usage that is in no line.
    #[prost(message, tag = "7")]
    Unbilled(Unbilled),
}

/// The first line of each start.
#[derive(Clone, PartialEq, Message)]
pub struct Start {
    /// The start's id: greater than that of any start before it and, with the time in it, unique also if the store before
    /// was lost.
    #[prost(uint64, tag = "1")]
    pub start: u64,
    /// The length of periods from now on, ms.
    #[prost(uint64, tag = "2")]
    pub period_ms: u64,
    /// The classes' names; usage names classes by position.
    #[prost(string, repeated, tag = "3")]
    pub classes: Vec<String>,
    /// In interval mode, the replies that may be sent before their line is durable, at most; 0 in strict mode.
    #[prost(uint64, tag = "4")]
    pub at_risk: u64,
    /// Whether replies are sent while the store fails, with no bound on their number.
    #[prost(bool, tag = "5")]
    pub continues_on_failure: bool,
}

/// Usage in one period.
#[derive(Clone, PartialEq, Message)]
pub struct Usage {
    /// The period, by its first ms.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// What was used, each combination of tenant, class and outcome once.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Entry>,
    /// The period in which it was used, if that was closed before this line was written.
    #[prost(uint64, optional, tag = "3")]
    pub original_period: Option<u64>,
}

/// Usage by one tenant in one class with one outcome.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// The tenant's account.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// The class, by position in the last [`Start`].
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// The outcome's number.
    #[prost(enumeration = "Outcome", tag = "3")]
    pub outcome: i32,
    /// What was used.
    #[prost(message, required, tag = "4")]
    pub amount: Amount,
}

/// An amount of usage.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Amount {
    /// Requests.
    #[prost(uint64, tag = "1")]
    pub requests: u64,
    /// Time in the worker pool, µs.
    #[prost(uint64, tag = "2")]
    pub pool_us: u64,
    /// Bytes of requests' bodies.
    #[prost(uint64, tag = "3")]
    pub bytes_in: u64,
    /// Bytes of results.
    #[prost(uint64, tag = "4")]
    pub bytes_out: u64,
}

impl Amount {
    /// Adds another amount; a sum beyond the range stays at its end.
    pub fn add(&mut self, other: &Amount) {
        self.requests = self.requests.saturating_add(other.requests);
        self.pool_us = self.pool_us.saturating_add(other.pool_us);
        self.bytes_in = self.bytes_in.saturating_add(other.bytes_in);
        self.bytes_out = self.bytes_out.saturating_add(other.bytes_out);
    }
}

/// A correction of an earlier line, as a difference.
#[derive(Clone, PartialEq, Message)]
pub struct Correction {
    /// The period that is open as the correction is entered, by its first ms.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// The line that is corrected.
    #[prost(message, required, tag = "2")]
    pub corrects: LineId,
    /// The tenant's account.
    #[prost(string, tag = "3")]
    pub tenant: String,
    /// The class, by name.
    #[prost(string, tag = "4")]
    pub class: String,
    /// The outcome's number.
    #[prost(enumeration = "Outcome", tag = "5")]
    pub outcome: i32,
    /// Requests, more or fewer.
    #[prost(sint64, tag = "6")]
    pub requests: i64,
    /// Time in the worker pool, µs, more or less.
    #[prost(sint64, tag = "7")]
    pub pool_us: i64,
    /// The reason, in an operator's words.
    #[prost(string, tag = "8")]
    pub reason: String,
    /// An idempotency token: a correction with a token that is there already is not entered again.
    #[prost(string, tag = "9")]
    pub token: String,
}

/// Periods are closed: no later line belongs to them.
#[derive(Clone, PartialEq, Message)]
pub struct Close {
    /// The first period closed, by its first ms.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The first ms that is not closed.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Whether the server was down when they ended; it closes them with what it knows.
    #[prost(bool, tag = "3")]
    pub late: bool,
}

/// A batch was prepared or acknowledged.
#[derive(Clone, PartialEq, Message)]
pub struct Export {
    /// The batch's number, from 1.
    #[prost(uint64, tag = "1")]
    pub batch: u64,
    /// The digest of its content.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The number of the close line whose periods it holds.
    #[prost(uint64, tag = "3")]
    pub close: u64,
    /// Whether it is the last batch of that close.
    #[prost(bool, tag = "4")]
    pub last: bool,
    /// Items of a batch of that close at most; the content follows from this and the lines up to the close.
    #[prost(uint64, tag = "5")]
    pub lines: u64,
    /// Whether the collector has it for good; else it is prepared.
    #[prost(bool, tag = "6")]
    pub acknowledged: bool,
}

/// Usage that is, or may be, in no line.
#[derive(Clone, PartialEq, Message)]
pub struct Unbilled {
    /// Requests known to be in no line.
    #[prost(uint64, tag = "1")]
    pub requests: u64,
    /// Further requests that may be in no line, at most; they can't be counted any more.
    #[prost(uint64, tag = "2")]
    pub at_most: u64,
    /// Whether nothing bounds their number.
    #[prost(bool, tag = "3")]
    pub unbounded: bool,
    /// The time of the first of them, Unix ms.
    #[prost(uint64, tag = "4")]
    pub from_ms: u64,
    /// The time of the last of them, Unix ms.
    #[prost(uint64, tag = "5")]
    pub to_ms: u64,
    /// The reason.
    #[prost(string, tag = "6")]
    pub reason: String,
}

/// Why a line, a batch or an operator's request is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The bytes are no message.
    #[error("the line can't be read: {0}")]
    Encoding(String),
    /// The line is of a kind not known here.
    #[error("the line is of a kind that this program does not know: it was written by a newer one")]
    UnknownKind,
    /// The content contradicts itself or the lines before it.
    #[error("the line can't be true: {0}")]
    Invalid(&'static str),
}

impl From<prost::DecodeError> for LineError {
    fn from(error: prost::DecodeError) -> LineError {
        LineError::Encoding(error.to_string())
    }
}

impl Line {
    /// Reads a record.
    ///
    /// # Errors
    /// If this program can't have written it.
    pub fn parse(bytes: &[u8]) -> Result<Line, LineError> {
        let line = Line::decode(bytes)?;
        match &line.kind {
            None => Err(LineError::UnknownKind),
            Some(LineKind::Usage(usage)) if !usage.entries.iter().all(|e| Outcome::is_billed(e.outcome)) => {
                Err(LineError::Invalid("an entry has no outcome"))
            }
            Some(LineKind::Start(start)) if start.period_ms == 0 => {
                Err(LineError::Invalid("periods have no length"))
            }
            Some(LineKind::Close(close)) if close.from >= close.to => {
                Err(LineError::Invalid("no period is closed"))
            }
            Some(_) => Ok(line),
        }
    }
}
