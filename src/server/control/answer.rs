//! Answers to calls.

use super::call::Call;
use super::error::CallError;
use super::protocol::{self, Operation, RouteError, Status};
use crate::server::serving_status::ServingStatus;
use serde::Serialize;

/// The body of an answer that says whether the process is ready.
#[derive(Serialize)]
struct Readiness {
    ready: bool,
}

/// The body of an answer that says whether clients are sent elsewhere.
#[derive(Serialize)]
struct Evacuation {
    evacuated: bool,
}

/// The body of an answer that says why a call was refused.
#[derive(Serialize)]
struct Refusal {
    error: String,
}

/// An answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: Status,
    /// The method that the path takes, where the call had another.
    pub allow: Option<&'static str>,
    /// Its body, JSON.
    pub body: String,
}

impl Answer {
    fn new(status: Status, body: &impl Serialize) -> Answer {
        // Structs of numbers, texts and maps with text keys can always be written as JSON.
        let body = serde_json::to_string(body).unwrap_or_default();
        Answer { status, allow: None, body }
    }

    /// Returns the answer to a call that was not read.
    pub fn to_unread(error: CallError) -> Answer {
        Answer::new(error.status(), &Refusal { error: error.to_string() })
    }

    fn to_unrouted(error: RouteError) -> Answer {
        let refusal = Refusal { error: error.to_string() };
        match error {
            RouteError::UnknownPath => Answer::new(Status::NotFound, &refusal),
            RouteError::WrongMethod { allowed } => {
                Answer { allow: Some(allowed), ..Answer::new(Status::MethodNotAllowed, &refusal) }
            }
        }
    }

    /// Returns the answer as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let allow = self.allow.map_or(String::new(), |method| format!("{}: {method}\r\n", protocol::ALLOW));
        let head = format!(
            "{} {}\r\n{}{allow}{}: {}\r\n\r\n",
            protocol::VERSION,
            self.status.line(),
            protocol::COMMON_HEADERS,
            protocol::CONTENT_LENGTH,
            self.body.len(),
        );
        (head + &self.body).into_bytes()
    }
}

/// Carries a call out and returns its answer.
pub fn answer_call(call: &Call, status: &ServingStatus) -> Answer {
    match protocol::find_operation(&call.method, &call.target) {
        Ok(Operation::Ready) => {
            let ready = status.is_ready();
            let code = if ready { Status::Ok } else { Status::ServiceUnavailable };
            Answer::new(code, &Readiness { ready })
        }
        Ok(Operation::Telemetry) => Answer::new(Status::Ok, &status.figures()),
        Ok(Operation::Evacuate) => set_evacuated(status, true),
        Ok(Operation::Rejoin) => set_evacuated(status, false),
        Err(error) => Answer::to_unrouted(error),
    }
}

fn set_evacuated(status: &ServingStatus, evacuated: bool) -> Answer {
    status.set_evacuated(evacuated);
    Answer::new(Status::Ok, &Evacuation { evacuated })
}
