//! Deliberate panics at named points, for tests that show what follows a panic there. Without the feature `test-faults`
//! there are none.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The variable that names the point of the panic and which pass of it panics: `store:3` for the third pass.
const VARIABLE: &str = "DUNLINSPREAD_PANIC_AT";

/// A place in the program that can be made to panic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PanicPoint {
    /// The task of a connection has read bytes.
    ConnectionRead,
    /// The task of an upstream call is about to connect.
    UpstreamConnect,
    /// The task of an upstream call has written its request.
    UpstreamRequestSent,
    /// The export worker found a request of an operator.
    ExportWorkerRequest,
    /// The store's writer reports lines that bill requests.
    StoreProgress,
    /// The signals' thread has received a signal.
    SignalReceived,
    /// The log's thread writes a line.
    LogLine,
    /// The log's thread hands a line to its writer, outside all that is caught there.
    LogThread,
}

impl PanicPoint {
    fn name(self) -> &'static str {
        match self {
            PanicPoint::ConnectionRead => "connection-read",
            PanicPoint::UpstreamConnect => "upstream-connect",
            PanicPoint::UpstreamRequestSent => "upstream-request-sent",
            PanicPoint::ExportWorkerRequest => "export-worker-request",
            PanicPoint::StoreProgress => "store-progress",
            PanicPoint::SignalReceived => "signal-received",
            PanicPoint::LogLine => "log-line",
            PanicPoint::LogThread => "log-thread",
        }
    }
}

/// The panic that the environment asks for.
struct RequestedPanic {
    point: String,
    /// Which pass of the point panics, from 1.
    pass: usize,
    passes: AtomicUsize,
}

/// Passes a point, which panics if the environment says so.
///
/// # Panics
/// In the pass that the environment names, with the feature `test-faults` alone.
pub fn pass(point: PanicPoint) {
    if !cfg!(feature = "test-faults") {
        return;
    }
    static REQUESTED: OnceLock<Option<RequestedPanic>> = OnceLock::new();
    let Some(requested) = REQUESTED.get_or_init(requested_panic) else { return };
    if requested.point != point.name() {
        return;
    }
    let pass = requested.passes.fetch_add(1, Ordering::Relaxed) + 1;
    assert!(pass != requested.pass, "deliberate panic at {}", point.name());
}

fn requested_panic() -> Option<RequestedPanic> {
    let text = std::env::var(VARIABLE).ok()?;
    let (point, pass) = text.split_once(':')?;
    Some(RequestedPanic { point: point.to_owned(), pass: pass.parse().ok()?, passes: AtomicUsize::new(0) })
}
