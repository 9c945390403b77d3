//! Detection of requests that end late, and their age at each stage, which shows the stage that was late.

use crate::server::messages::RequestProgress;
use std::fmt;

/// Time between the dispatcher's sending of a response and its writing past which the request counts as late,
/// ms.
const LATE_WRITE_MS: f64 = 500.0;

/// How a request ended on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// The response is being written.
    Written,
    /// The client cancelled the request.
    Withdrawn,
    /// The connection ended before a response was written.
    ConnectionEnded,
}

impl fmt::Display for RequestEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequestEnd::Written => "written",
            RequestEnd::Withdrawn => "withdrawn",
            RequestEnd::ConnectionEnded => "its connection ended",
        })
    }
}

/// The age of a request at a stage, in whole ms.
pub(super) struct Age(Option<f64>);

impl Age {
    /// Returns the age of a request at a stage that it reached at `at`, Unix ms; `None` if it never reached
    /// the stage.
    pub(super) fn of(progress: &RequestProgress, at: Option<f64>) -> Age {
        Age(at.map(|at| at - progress.request.received_at))
    }
}

impl fmt::Display for Age {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(ms) => write!(f, "{}", ms.round()),
            None => f.write_str("never"),
        }
    }
}

/// Returns whether a request that ends at `now` is late: it is past its due time, or its response waited
/// longer than [`LATE_WRITE_MS`] to be written.
pub(super) fn is_late(progress: &RequestProgress, now: f64) -> bool {
    let waiting_since = progress.answered_at().unwrap_or(now);
    now > progress.request.due_at || now - waiting_since > LATE_WRITE_MS
}
