//! Requests that end late: when they do, and how old they were at each stage, so that it is seen which one was late.

use crate::server::messages::RequestProgress;
use std::fmt;

/// Time from a response's leaving the dispatcher to its writing past which it counts as late, ms.
const LATE_WRITE_MS: f64 = 500.0;

/// How a request ended for its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// Its response is being written.
    Written,
    /// Its client withdrew it.
    Withdrawn,
    /// Its connection ended without a response.
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
    /// Returns the age of a request at that time, Unix ms; `None` if it never came to the stage.
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

/// Returns whether a request that ends at `now` is late: past its due time, or its response waited long for its writing.
pub(super) fn is_late(progress: &RequestProgress, now: f64) -> bool {
    let waits_since = progress.answered_at().unwrap_or(now);
    now > progress.request.due_at || now - waits_since > LATE_WRITE_MS
}
