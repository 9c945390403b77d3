//! The lines of a ledger, as they stand in its store: one record a line, `prost` messages. `docs/formats/ledger.proto`
//! has the same as text, and a test holds the two together. Lines are only ever added.

use prost::Message;

/// What became of a request, as it is billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// Not stated; never written.
    Unknown = 0,
    /// Served within the aim.
    Completed = 1,
    /// Served after it.
    CompletedLate = 2,
    /// Served without a call that belongs to it.
    Degraded = 3,
    /// Turned away unrun.
    Rejected = 4,
    /// Answered with an error.
    Failed = 5,
    /// Its caller gave up: no answer was owed any more.
    Cancelled = 6,
}

impl Outcome {
    /// All that are billed.
    pub const ALL: [Outcome; 6] = [
        Outcome::Completed,
        Outcome::CompletedLate,
        Outcome::Degraded,
        Outcome::Rejected,
        Outcome::Failed,
        Outcome::Cancelled,
    ];

    /// As a word.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Unknown => "unknown",
            Outcome::Completed => "served",
            Outcome::CompletedLate => "late",
            Outcome::Degraded => "poorer",
            Outcome::Rejected => "refused",
            Outcome::Failed => "failed",
            Outcome::Cancelled => "withdrawn",
        }
    }

    /// The outcome of that word.
    pub fn parse(word: &str) -> Option<Outcome> {
        Outcome::ALL.into_iter().find(|o| o.as_str() == word)
    }
}

/// A line. Its id is the server (the store's owner), the start (of the [`Start`] before it) and its number in the store.
#[derive(Clone, PartialEq, Message)]
pub struct Line {
    /// The ledger's time when it was made, Unix ms: never less than that of the line before.
    #[prost(uint64, tag = "1")]
    pub at_ms: u64,
    /// What it says.
    #[prost(oneof = "LineKind", tags = "2, 3, 4, 5, 6, 7")]
    pub kind: Option<LineKind>,
}

/// What a line says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum LineKind {
    /// A server began to write.
    #[prost(message, tag = "2")]
    Start(Start),
    /// Use.
    #[prost(message, tag = "3")]
    Usage(Usage),
    /// Somebody corrects.
    #[prost(message, tag = "4")]
    Correction(Correction),
    /// Periods are closed.
    #[prost(message, tag = "5")]
    Close(Close),
    /// A batch was prepared or acknowledged.
    #[prost(message, tag = "6")]
    Export(Export),
    /// Use that is in no line.
    #[prost(message, tag = "7")]
    Unbilled(Unbilled),
}

/// The first line of each start.
#[derive(Clone, PartialEq, Message)]
pub struct Start {
    /// Unique for good: greater than that of any start before it, and with the time in it also after the store was lost.
    #[prost(uint64, tag = "1")]
    pub start: u64,
    /// The length of periods from now on, ms.
    #[prost(uint64, tag = "2")]
    pub period_ms: u64,
    /// The classes: usage names them by position.
    #[prost(string, repeated, tag = "3")]
    pub classes: Vec<String>,
    /// In interval mode, the most answers that may be out before their line is durable; 0 in strict mode.
    #[prost(uint64, tag = "4")]
    pub at_risk: u64,
    /// While the disk fails, answers go on leaving, and nothing bounds their number.
    #[prost(bool, tag = "5")]
    pub continues_on_failure: bool,
}

/// Use in one period.
#[derive(Clone, PartialEq, Message)]
pub struct Usage {
    /// The period, by its first ms.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// What was used, each key once.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Entry>,
    /// The period in which it was used, if that was closed before this line was written.
    #[prost(uint64, optional, tag = "3")]
    pub original_period: Option<u64>,
}

/// Use by one society in one class with one outcome.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// The society.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// The class, by position in the [`Start`] before.
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// The outcome.
    #[prost(enumeration = "Outcome", tag = "3")]
    pub outcome: i32,
    /// What was used.
    #[prost(message, required, tag = "4")]
    pub amount: Amount,
}

/// An amount of use.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Amount {
    /// Requests.
    #[prost(uint64, tag = "1")]
    pub requests: u64,
    /// Time in the worker pool, µs.
    #[prost(uint64, tag = "2")]
    pub pool_us: u64,
    /// Bytes of bodies taken in.
    #[prost(uint64, tag = "3")]
    pub bytes_in: u64,
    /// Bytes of results given out.
    #[prost(uint64, tag = "4")]
    pub bytes_out: u64,
}

impl Amount {
    /// Adds another; a sum past the range stays at its end.
    pub fn add(&mut self, other: &Amount) {
        self.requests = self.requests.saturating_add(other.requests);
        self.pool_us = self.pool_us.saturating_add(other.pool_us);
        self.bytes_in = self.bytes_in.saturating_add(other.bytes_in);
        self.bytes_out = self.bytes_out.saturating_add(other.bytes_out);
    }
}

/// The id of a line.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct LineId {
    /// The server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// The start.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// The number in the store.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

impl std::fmt::Display for LineIdText<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.0.server, self.0.start, self.0.number)
    }
}

/// A line's id as people write it: `SERVER/START/NUMBER`.
pub struct LineIdText<'a>(pub &'a LineId);

impl LineId {
    /// Reads an id as people write it.
    pub fn parse(text: &str) -> Option<LineId> {
        let mut parts = text.rsplitn(3, '/');
        let (number, start, server) = (parts.next()?, parts.next()?, parts.next()?);
        if server.is_empty() {
            return None;
        }
        Some(LineId { server: server.to_owned(), start: start.parse().ok()?, number: number.parse().ok()? })
    }
}

/// What was wrong in an earlier line, as a difference.
#[derive(Clone, PartialEq, Message)]
pub struct Correction {
    /// The open period, by its first ms.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// The line that is corrected.
    #[prost(message, required, tag = "2")]
    pub corrects: LineId,
    /// The society.
    #[prost(string, tag = "3")]
    pub tenant: String,
    /// The class, by name.
    #[prost(string, tag = "4")]
    pub class: String,
    /// The outcome.
    #[prost(enumeration = "Outcome", tag = "5")]
    pub outcome: i32,
    /// Requests, more or fewer.
    #[prost(sint64, tag = "6")]
    pub requests: i64,
    /// Time in the worker pool, µs.
    #[prost(sint64, tag = "7")]
    pub pool_us: i64,
    /// Why, in a person's words.
    #[prost(string, tag = "8")]
    pub reason: String,
    /// Unique to this correction: entering it twice enters it once.
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
    /// The server was not there when they ended: it closes them with what it knows.
    #[prost(bool, tag = "3")]
    pub late: bool,
}

/// The state of a batch.
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
    /// It is the last of that close.
    #[prost(bool, tag = "4")]
    pub last: bool,
    /// How many lines a batch of that close holds at most: the content follows from this and the lines up to the close.
    #[prost(uint64, tag = "5")]
    pub lines: u64,
    /// The collector has it, for good. Else it is only prepared.
    #[prost(bool, tag = "6")]
    pub acknowledged: bool,
}

/// Use that is in no line, or may be.
#[derive(Clone, PartialEq, Message)]
pub struct Unbilled {
    /// The requests known to be in no line.
    #[prost(uint64, tag = "1")]
    pub requests: u64,
    /// Up to so many more may be in none; they can't be counted any more.
    #[prost(uint64, tag = "2")]
    pub at_most: u64,
    /// Nothing bounds their number.
    #[prost(bool, tag = "3")]
    pub unbounded: bool,
    /// Between these times, Unix ms.
    #[prost(uint64, tag = "4")]
    pub from_ms: u64,
    /// And this.
    #[prost(uint64, tag = "5")]
    pub to_ms: u64,
    /// Why.
    #[prost(string, tag = "6")]
    pub reason: String,
}

/// A line that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// It is no message.
    #[error("the line can't be read: {0}")]
    Encoding(String),
    /// It is of a kind not known here.
    #[error("the line is of a kind that this program does not know: it was written by a newer one")]
    UnknownKind,
    /// It says what a line can't say.
    #[error("the line can't be true: {0}")]
    Invalid(&'static str),
}

impl Line {
    /// Reads a record.
    ///
    /// # Errors
    /// If it is no line that this program can have written.
    pub fn parse(bytes: &[u8]) -> Result<Line, LineError> {
        let line = Line::decode(bytes).map_err(|e| LineError::Encoding(e.to_string()))?;
        match &line.kind {
            None => Err(LineError::UnknownKind),
            Some(LineKind::Usage(usage)) => {
                let good = |e: &Entry| Outcome::ALL.iter().any(|o| *o as i32 == e.outcome);
                if !usage.entries.iter().all(good) {
                    return Err(LineError::Invalid("an entry has no outcome"));
                }
                Ok(line)
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
