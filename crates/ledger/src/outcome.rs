//! The billed outcome of a request.

/// The outcome of a request. Its number is stored; its name is used in exports and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// Missing or unknown outcome; never written.
    Unknown = 0,
    /// Completed within the latency objective.
    Completed = 1,
    /// Completed after the latency objective.
    CompletedLate = 2,
    /// Completed without one of its upstream calls.
    Degraded = 3,
    /// Rejected without being run.
    Rejected = 4,
    /// Answered with an error.
    Failed = 5,
    /// Cancelled by its caller, so that no reply was required any more.
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

    /// Returns the name of the outcome in exports, reports and options.
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

    /// Returns the billed outcome with this name, if there is one.
    pub fn parse(name: &str) -> Option<Outcome> {
        Outcome::ALL.into_iter().find(|outcome| outcome.as_str() == name)
    }

    /// Returns the outcome with this stored number, or [`Outcome::Unknown`] if there is none.
    pub fn from_stored(number: i32) -> Outcome {
        Outcome::try_from(number).unwrap_or(Outcome::Unknown)
    }

    /// Returns whether this stored number belongs to a billed outcome.
    pub fn is_billed(number: i32) -> bool {
        Outcome::ALL.iter().any(|outcome| *outcome as i32 == number)
    }
}
