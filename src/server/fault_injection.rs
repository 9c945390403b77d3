//! Deliberate panics, stops and slowness of the process at named points, for tests that show what follows there. Without
//! the feature `test-faults` there are none.

use rustix::process::{Signal, getpid, kill_process};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The variable that names the point of the panic and which pass of it panics: `store:3` for the third pass.
const PANIC_VARIABLE: &str = "DUNLINSPREAD_PANIC_AT";
/// The variable that names the point of the stop and which pass of it stops, in the same form.
const STOP_VARIABLE: &str = "DUNLINSPREAD_STOP_AT";
/// The variable that names the points that are slow and what each pass of them costs: `message:1000us,decision:200us`.
const SLOW_VARIABLE: &str = "DUNLINSPREAD_SLOW_AT";
/// The unit of a cost in that variable.
const COST_UNIT: &str = "us";
/// Time within which a signal of the process to itself takes effect.
const SIGNAL_TIME: Duration = Duration::from_millis(5);

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

/// A place in the program at which the process can be made to stop until it is continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPoint {
    /// A connection was accepted, and nothing is read from it yet.
    ConnectionAccepted,
    /// A connection to be evicted was found to have no unread bytes.
    EvictionChecked,
    /// A connection to be closed was found to have no unread bytes.
    CloseChecked,
    /// A request was read, and the dispatcher does not have it yet.
    RequestRead,
    /// A response was decided, and nothing of it is written yet.
    ResponseDecided,
}

impl StopPoint {
    fn name(self) -> &'static str {
        match self {
            StopPoint::ConnectionAccepted => "connection-accepted",
            StopPoint::EvictionChecked => "eviction-checked",
            StopPoint::CloseChecked => "close-checked",
            StopPoint::RequestRead => "request-read",
            StopPoint::ResponseDecided => "response-decided",
        }
    }
}

/// A place in the program that can be made to cost processor time in each pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowPoint {
    /// A connection handles a message of its client, known or unknown.
    ClientMessage,
    /// The dispatcher handles a message of its mailbox.
    DispatcherMessage,
}

impl SlowPoint {
    fn name(self) -> &'static str {
        match self {
            SlowPoint::ClientMessage => "message",
            SlowPoint::DispatcherMessage => "decision",
        }
    }
}

/// The fault that the environment asks for.
struct RequestedFault {
    point: String,
    /// Which pass of the point has the fault, from 1.
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
    static REQUESTED: OnceLock<Option<RequestedFault>> = OnceLock::new();
    let requested = REQUESTED.get_or_init(|| RequestedFault::from_variable(PANIC_VARIABLE));
    let is_due = requested.as_ref().is_some_and(|fault| fault.is_due_at(point.name()));
    assert!(!is_due, "deliberate panic at {}", point.name());
}

/// Passes a point at which the process stops if the environment says so. It goes on with `SIGCONT`.
pub fn pass_stop(point: StopPoint) {
    if !cfg!(feature = "test-faults") {
        return;
    }
    static REQUESTED: OnceLock<Option<RequestedFault>> = OnceLock::new();
    let requested = REQUESTED.get_or_init(|| RequestedFault::from_variable(STOP_VARIABLE));
    if requested.as_ref().is_some_and(|fault| fault.is_due_at(point.name())) {
        // A process may always signal itself.
        let _ = kill_process(getpid(), Signal::STOP);
        std::thread::sleep(SIGNAL_TIME);
    }
}

/// Passes a point that costs processor time if the environment says so: the thread is busy for that long.
pub fn pass_slow(point: SlowPoint) {
    if !cfg!(feature = "test-faults") {
        return;
    }
    static REQUESTED: OnceLock<Vec<(String, Duration)>> = OnceLock::new();
    let requested = REQUESTED.get_or_init(|| requested_costs(SLOW_VARIABLE));
    let cost = requested.iter().find(|(name, _)| name == point.name()).map(|(_, cost)| *cost);
    let since = Instant::now();
    while cost.is_some_and(|cost| since.elapsed() < cost) {
        std::hint::spin_loop();
    }
}

/// Returns the points that are slow, by their names, and what a pass of each costs.
fn requested_costs(variable: &str) -> Vec<(String, Duration)> {
    let text = std::env::var(variable).unwrap_or_default();
    let parse = |item: &str| {
        let (point, cost) = item.split_once(':')?;
        let cost_us = cost.strip_suffix(COST_UNIT)?.parse().ok()?;
        Some((point.to_owned(), Duration::from_micros(cost_us)))
    };
    text.split(',').filter_map(parse).collect()
}

impl RequestedFault {
    fn from_variable(variable: &str) -> Option<RequestedFault> {
        let text = std::env::var(variable).ok()?;
        let (point, pass) = text.split_once(':')?;
        Some(RequestedFault {
            point: point.to_owned(),
            pass: pass.parse().ok()?,
            passes: AtomicUsize::new(0),
        })
    }

    /// Counts a pass of this point, and returns whether the fault is due in it.
    fn is_due_at(&self, point: &str) -> bool {
        self.point == point && self.passes.fetch_add(1, Ordering::Relaxed) + 1 == self.pass
    }
}
