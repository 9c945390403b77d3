//! Responses to the calls of the control endpoint.

use super::call::Call;
use super::error::CallError;
use super::protocol::{self, Operation, RouteError, Status};
use crate::server::serving_status::ServingStatus;
use serde::Serialize;

/// Response body with the readiness of the process.
#[derive(Serialize)]
struct ReadinessBody {
    ready: bool,
}

/// Response body with the evacuation flag.
#[derive(Serialize)]
struct EvacuationBody {
    evacuated: bool,
}

/// Response body with the reason why a call was refused.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

/// Response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: Status,
    /// Value of the `Allow` header: the method of the path, if the call used another one.
    pub allow: Option<&'static str>,
    /// Body, as JSON.
    pub body: String,
}

impl Response {
    fn new(status: Status, body: &impl Serialize) -> Response {
        // Serialization does not fail: the bodies consist of numbers, strings, booleans and maps with string
        // keys.
        let body = serde_json::to_string(body).unwrap_or_default();
        Response { status, allow: None, body }
    }

    /// Returns the response to a call that could not be read.
    pub fn for_call_error(error: CallError) -> Response {
        Response::new(error.status(), &ErrorBody { error: error.to_string() })
    }

    fn for_route_error(error: RouteError) -> Response {
        let body = ErrorBody { error: error.to_string() };
        match error {
            RouteError::UnknownPath => Response::new(Status::NotFound, &body),
            RouteError::WrongMethod { allowed } => {
                Response { allow: Some(allowed), ..Response::new(Status::MethodNotAllowed, &body) }
            }
        }
    }

    /// Returns the response as bytes on the wire.
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

/// Executes a call and returns its response.
pub fn respond(call: &Call, status: &ServingStatus) -> Response {
    match protocol::find_operation(&call.method, &call.target) {
        Ok(Operation::Ready) => {
            let ready = status.is_ready();
            let http_status = if ready { Status::Ok } else { Status::ServiceUnavailable };
            Response::new(http_status, &ReadinessBody { ready })
        }
        Ok(Operation::Telemetry) => Response::new(Status::Ok, &status.telemetry_snapshot()),
        Ok(Operation::Evacuate) => set_evacuated(status, true),
        Ok(Operation::Rejoin) => set_evacuated(status, false),
        Err(error) => Response::for_route_error(error),
    }
}

fn set_evacuated(status: &ServingStatus, evacuated: bool) -> Response {
    status.set_evacuated(evacuated);
    Response::new(Status::Ok, &EvacuationBody { evacuated })
}
