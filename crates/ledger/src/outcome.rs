//! What became of a request, as it is billed.

/// The outcome of a request. Its number is stored; its word stands in exports and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// Not stated; never written.
    Unknown = 0,
    /// Completed within the latency objective.
    Completed = 1,
    /// Completed after it.
    CompletedLate = 2,
    /// Completed without an upstream call that belongs to it.
    Degraded = 3,
    /// Rejected without being run.
    Rejected = 4,
    /// Answered with an error.
    Failed = 5,
    /// Cancelled by its caller; no reply was due any more.
    Cancelled = 6,
}

impl Outcome {
    /// All outcomes that are billed.
    pub const ALL: [Outcome; 6] = [
        Outcome::Completed,
        Outcome::CompletedLate,
        Outcome::Degraded,
        Outcome::Rejected,
        Outcome::Failed,
        Outcome::Cancelled,
    ];

    /// Returns the word that stands in exports, reports and options.
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

    /// Returns the outcome of a word, if it is one that is billed.
    pub fn parse(word: &str) -> Option<Outcome> {
        Outcome::ALL.into_iter().find(|outcome| outcome.as_str() == word)
    }

    /// Returns the outcome of a stored number, [`Outcome::Unknown`] for a number of none.
    pub fn from_stored(number: i32) -> Outcome {
        Outcome::try_from(number).unwrap_or(Outcome::Unknown)
    }

    /// Returns whether a stored number is that of an outcome that is billed.
    pub fn is_billed(number: i32) -> bool {
        Outcome::ALL.iter().any(|outcome| *outcome as i32 == number)
    }
}
