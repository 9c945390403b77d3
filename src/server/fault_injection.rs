//! Fault injection for tests: panics, stops and delays of the process at named points. Without the feature
//! `test-faults` no fault is injected.

use rustix::process::{Signal, getpid, kill_process};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Environment variable with the panic point and the number of the hit that panics: `store:3` is the third
/// hit.
const PANIC_VARIABLE: &str = "DUNLINSPREAD_PANIC_AT";
/// Environment variable with the stop point and the number of the hit that stops, in the same format.
const STOP_VARIABLE: &str = "DUNLINSPREAD_STOP_AT";
/// Environment variable with the slow points and the processor time that each hit costs:
/// `message:1000us,decision:200us`.
const SLOW_VARIABLE: &str = "DUNLINSPREAD_SLOW_AT";
/// Unit suffix of the costs in [`SLOW_VARIABLE`].
const COST_UNIT: &str = "us";
/// Time within which a signal that the process sends to itself takes effect.
const SIGNAL_DELIVERY_TIME: Duration = Duration::from_millis(5);

/// A point in the program at which a panic can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PanicPoint {
    /// The task of a connection has read bytes.
    ConnectionRead,
    /// The task of an upstream call is about to connect.
    UpstreamConnect,
    /// The task of an upstream call has written its request.
    UpstreamRequestSent,
    /// The export worker found an operator's request.
    ExportWorkerRequest,
    /// The store's writer reports lines that bill requests.
    StoreProgress,
    /// The signal thread has received a signal.
    SignalReceived,
    /// The log thread writes a line.
    LogLine,
    /// The log thread passes a line to its writer, outside the code whose panics it catches.
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

/// A point in the program at which the process can be stopped until it receives `SIGCONT`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPoint {
    /// A connection was accepted, and nothing has been read from it.
    ConnectionAccepted,
    /// A connection that is about to be evicted was checked and has no unread bytes.
    EvictionChecked,
    /// A connection that is about to be closed was checked and has no unread bytes.
    CloseChecked,
    /// A request was read and has not reached the dispatcher.
    RequestRead,
    /// The outcome of a request was decided, and none of its response has been written.
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

/// A point in the program at which each hit can be made to cost processor time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowPoint {
    /// A connection handles a message of its client, of a known or an unknown type.
    ClientMessage,
    /// The dispatcher handles a message from its mailbox.
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

/// Fault that an environment variable requests.
struct RequestedFault {
    point: String,
    /// Number of the hit of the point at which the fault occurs, counted from 1.
    due_hit: usize,
    /// Number of hits of the point so far.
    hits: AtomicUsize,
}

/// Panics at a panic point if the environment requests it.
///
/// # Panics
/// Panics at the hit that `DUNLINSPREAD_PANIC_AT` names, only with the feature `test-faults`.
pub fn maybe_panic(point: PanicPoint) {
    if !cfg!(feature = "test-faults") {
        return;
    }
    static REQUESTED: OnceLock<Option<RequestedFault>> = OnceLock::new();
    let requested = REQUESTED.get_or_init(|| RequestedFault::from_variable(PANIC_VARIABLE));
    let is_due = requested.as_ref().is_some_and(|fault| fault.is_due_at(point.name()));
    assert!(!is_due, "deliberate panic at {}", point.name());
}

/// Stops the process at a stop point if the environment requests it. `SIGCONT` resumes the process.
pub fn maybe_stop(point: StopPoint) {
    if !cfg!(feature = "test-faults") {
        return;
    }
    static REQUESTED: OnceLock<Option<RequestedFault>> = OnceLock::new();
    let requested = REQUESTED.get_or_init(|| RequestedFault::from_variable(STOP_VARIABLE));
    if requested.as_ref().is_some_and(|fault| fault.is_due_at(point.name())) {
        // The error is ignored: a process may always signal itself.
        let _ = kill_process(getpid(), Signal::STOP);
        std::thread::sleep(SIGNAL_DELIVERY_TIME);
    }
}

/// Keeps the thread busy for the configured time at a slow point if the environment requests it.
pub fn maybe_slow_down(point: SlowPoint) {
    if !cfg!(feature = "test-faults") {
        return;
    }
    static REQUESTED: OnceLock<Vec<(String, Duration)>> = OnceLock::new();
    let requested = REQUESTED.get_or_init(|| requested_costs(SLOW_VARIABLE));
    let cost = requested.iter().find(|(name, _)| name == point.name()).map(|(_, cost)| *cost);
    let started_at = Instant::now();
    while cost.is_some_and(|cost| started_at.elapsed() < cost) {
        std::hint::spin_loop();
    }
}

/// Returns the names of the requested slow points and the processor time that each hit of them costs.
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
        let (point, due_hit) = text.split_once(':')?;
        Some(RequestedFault {
            point: point.to_owned(),
            due_hit: due_hit.parse().ok()?,
            hits: AtomicUsize::new(0),
        })
    }

    /// Counts a hit if `point` is the requested point, and returns whether the fault is due at this hit.
    fn is_due_at(&self, point: &str) -> bool {
        self.point == point && self.hits.fetch_add(1, Ordering::Relaxed) + 1 == self.due_hit
    }
}
