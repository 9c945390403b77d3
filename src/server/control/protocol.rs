//! Wire words of the control endpoint, HTTP/1.1 with JSON answers: calls, status codes and headers.

/// Version of an answer.
pub(super) const VERSION: &str = "HTTP/1.1";
/// Method of a call that reads.
const GET: &str = "GET";
/// Method of a call that changes.
const PUT: &str = "PUT";
/// What stands before the authority in a target that is a whole URL.
const SCHEME: &str = "http://";
/// Header of the length of a body.
pub(super) const CONTENT_LENGTH: &str = "Content-Length";
/// Header of the encoding of a body.
pub(super) const TRANSFER_ENCODING: &str = "Transfer-Encoding";
/// The one encoding of a body that is read.
pub(super) const CHUNKED: &str = "chunked";
/// Header of a caller that sends its body only after an interim answer.
pub(super) const EXPECT: &str = "Expect";
/// Header of the methods that a path takes.
pub(super) const ALLOW: &str = "Allow";
/// Headers of every answer.
pub(super) const COMMON_HEADERS: &str =
    "Content-Type: application/json\r\nCache-Control: no-store\r\nConnection: close\r\n";

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Whether the process is ready to serve.
    Ready,
    /// The figures.
    Telemetry,
    /// Send clients elsewhere.
    Evacuate,
    /// Take clients again.
    Rejoin,
}

/// A call that the endpoint takes.
struct Route {
    path: &'static str,
    method: &'static str,
    operation: Operation,
}

/// All calls, each path with its one method.
const ROUTES: [Route; 4] = [
    Route { path: "/api/ready", method: GET, operation: Operation::Ready },
    Route { path: "/api/telemetry", method: GET, operation: Operation::Telemetry },
    Route { path: "/api/evacuate", method: PUT, operation: Operation::Evacuate },
    Route { path: "/api/rejoin", method: PUT, operation: Operation::Rejoin },
];

/// Why a call that could be read is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No such path.
    #[error("no such path")]
    UnknownPath,
    /// The path takes another method.
    #[error("the method of this path is {allowed}")]
    WrongMethod {
        /// The method that it takes.
        allowed: &'static str,
    },
}

/// Returns what a call of this method and target asks for. A query is not read.
///
/// # Errors
/// If there is no such path, or it takes another method.
pub fn find_operation(method: &str, target: &str) -> Result<Operation, RouteError> {
    let path = path_of(target);
    let route = ROUTES.iter().find(|route| route.path == path).ok_or(RouteError::UnknownPath)?;
    if route.method == method {
        Ok(route.operation)
    } else {
        Err(RouteError::WrongMethod { allowed: route.method })
    }
}

/// Returns the path of a target, which may be a whole URL and have a query.
fn path_of(target: &str) -> &str {
    let path = match target.strip_prefix(SCHEME) {
        Some(rest) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => target,
    };
    path.split('?').next().unwrap_or(path)
}

/// The status of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Yes, or done.
    Ok,
    /// The call can't be read.
    BadRequest,
    /// No such path.
    NotFound,
    /// The path takes another method.
    MethodNotAllowed,
    /// The call was not whole in time.
    RequestTimeout,
    /// The body is too long.
    ContentTooLarge,
    /// The head is too long.
    HeadTooLarge,
    /// The body has an encoding that is not read.
    NotImplemented,
    /// Not ready.
    ServiceUnavailable,
}

impl Status {
    /// Returns the code and its reason phrase, as they stand in the first line of an answer.
    pub fn line(self) -> &'static str {
        match self {
            Status::Ok => "200 OK",
            Status::BadRequest => "400 Bad Request",
            Status::NotFound => "404 Not Found",
            Status::MethodNotAllowed => "405 Method Not Allowed",
            Status::RequestTimeout => "408 Request Timeout",
            Status::ContentTooLarge => "413 Content Too Large",
            Status::HeadTooLarge => "431 Request Header Fields Too Large",
            Status::NotImplemented => "501 Not Implemented",
            Status::ServiceUnavailable => "503 Service Unavailable",
        }
    }
}
