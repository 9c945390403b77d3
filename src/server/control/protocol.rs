//! Wire protocol of the control endpoint, HTTP/1.1 with JSON responses: routes, status codes and headers.

/// HTTP version of a response.
pub(super) const VERSION: &str = "HTTP/1.1";
/// Method of the calls that read.
const GET: &str = "GET";
/// Method of the calls that change the status.
const PUT: &str = "PUT";
/// Prefix of the authority in a target that is an absolute URL.
const SCHEME: &str = "http://";
/// Header with the length of a body.
pub(super) const CONTENT_LENGTH: &str = "Content-Length";
/// Header with the encoding of a body.
pub(super) const TRANSFER_ENCODING: &str = "Transfer-Encoding";
/// The only supported encoding of a body.
pub(super) const CHUNKED: &str = "chunked";
/// Header of a caller that sends its body only after an interim response.
pub(super) const EXPECT: &str = "Expect";
/// Header with the method that a path supports.
pub(super) const ALLOW: &str = "Allow";
/// Headers of each response.
pub(super) const COMMON_HEADERS: &str =
    "Content-Type: application/json\r\nCache-Control: no-store\r\nConnection: close\r\n";

/// Operation that a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads whether the process is ready to serve.
    Ready,
    /// Reads the telemetry counters.
    Telemetry,
    /// Starts the evacuation: clients are directed to other servers.
    Evacuate,
    /// Ends the evacuation.
    Rejoin,
}

/// Path and method of an operation.
struct Route {
    path: &'static str,
    method: &'static str,
    operation: Operation,
}

/// All routes. Each path has exactly one method.
const ROUTES: [Route; 4] = [
    Route { path: "/api/ready", method: GET, operation: Operation::Ready },
    Route { path: "/api/telemetry", method: GET, operation: Operation::Telemetry },
    Route { path: "/api/evacuate", method: PUT, operation: Operation::Evacuate },
    Route { path: "/api/rejoin", method: PUT, operation: Operation::Rejoin },
];

/// Reason why a valid call matches no operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// The endpoint has no such path.
    #[error("no such path")]
    UnknownPath,
    /// The path supports another method.
    #[error("the method of this path is {allowed}")]
    WrongMethod {
        /// Method that the path supports.
        allowed: &'static str,
    },
}

/// Returns the operation of a method and a target. The query of the target is ignored.
///
/// # Errors
/// Returns [`RouteError::UnknownPath`] if no operation has this path, and [`RouteError::WrongMethod`] if the
/// path supports another method.
pub fn find_operation(method: &str, target: &str) -> Result<Operation, RouteError> {
    let path = path_of(target);
    let route = ROUTES.iter().find(|route| route.path == path).ok_or(RouteError::UnknownPath)?;
    if route.method == method {
        Ok(route.operation)
    } else {
        Err(RouteError::WrongMethod { allowed: route.method })
    }
}

/// Returns the path of a target, which may be an absolute URL and have a query.
fn path_of(target: &str) -> &str {
    let path = match target.strip_prefix(SCHEME) {
        Some(rest) => rest.find('/').map_or("/", |index| &rest[index..]),
        None => target,
    };
    path.split('?').next().unwrap_or(path)
}

/// HTTP status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The call succeeded. For [`Operation::Ready`], the process is ready.
    Ok,
    /// The call is malformed.
    BadRequest,
    /// The endpoint has no such path.
    NotFound,
    /// The path supports another method.
    MethodNotAllowed,
    /// The call was not complete within the timeout.
    RequestTimeout,
    /// The body exceeds the size limit.
    ContentTooLarge,
    /// The head exceeds the limit on its size or on its number of header fields.
    HeadTooLarge,
    /// The body has an unsupported encoding.
    NotImplemented,
    /// The process is not ready.
    ServiceUnavailable,
}

impl Status {
    /// Returns the status code and reason phrase for the status line of a response.
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
