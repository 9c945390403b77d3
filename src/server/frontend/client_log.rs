//! Log lines that clients can cause at any rate. Repeated lines are counted instead of written.

use super::connection::Connection;
use super::connection_state::{FinishReason, MIN_LINGER_MS};
use super::error::ConnectionError;
use super::late_requests::{Age, RequestEnd, is_late};
use crate::server::messages::RequestProgress;
use crate::server::repeated_lines::{LineKind, Repeated, RepeatedLines};
use crate::server::supervisor::Panic;
use slog::{Logger, error, warn};
use std::cell::RefCell;
use std::io;

/// Maximum number of lines per window for kinds whose lines name a single client or panic: each line is
/// evidence of its own.
const SINGLE_EVENTS_PER_WINDOW: u32 = 20;

/// Kind of a log line. Lines of the same kind count as repetitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientLine {
    /// A connection was closed because of this error.
    ConnectionError(ConnectionError),
    /// Bytes arrived on a connection that had ended.
    DiscardedBytes {
        /// Reason why the connection had ended.
        reason: FinishReason,
        /// Whether the bytes arrived after the time within which the protocol has a crossing request sent
        /// again.
        late: bool,
    },
    /// A request ended late.
    LateRequest(RequestEnd),
    /// The number of connections is close to its limit.
    NearLimit,
    /// A connection could not be accepted; holds the system's error number.
    AcceptingPaused(Option<i32>),
    /// The task of a connection panicked.
    TaskPanicked,
}

impl LineKind for ClientLine {
    fn lines_per_window(self) -> u32 {
        match self {
            ClientLine::DiscardedBytes { .. } | ClientLine::LateRequest(_) | ClientLine::TaskPanicked => {
                SINGLE_EVENTS_PER_WINDOW
            }
            _ => 1,
        }
    }
}

impl ClientLine {
    fn message(self) -> &'static str {
        match self {
            ClientLine::ConnectionError(_) => "client connection closed on error",
            ClientLine::DiscardedBytes { .. } => "bytes on an ended connection discarded",
            ClientLine::LateRequest(_) => "request answered late",
            ClientLine::NearLimit => "connections near limit",
            ClientLine::AcceptingPaused(_) => "accepting paused",
            ClientLine::TaskPanicked => "connection task panicked",
        }
    }
}

/// Writes the log lines that clients can cause.
pub struct ClientLog {
    log: Logger,
    lines: RefCell<RepeatedLines<ClientLine>>,
}

impl ClientLog {
    /// Returns a client log that writes to `log`.
    pub fn new(log: Logger) -> ClientLog {
        ClientLog { log, lines: RefCell::default() }
    }

    /// Logs that a connection was closed because of an error.
    pub(super) fn connection_error(&self, now: f64, error: ConnectionError) {
        let line = ClientLine::ConnectionError(error);
        if self.admits(now, line) {
            warn!(self.log, "{}", line.message(); "component" => "frontend", "reason" => %error);
        }
    }

    /// Logs bytes that arrived on a connection that this server had ended. A request among them is not
    /// accepted.
    pub(super) fn discarded_bytes(&self, now: f64, connection: &Connection, length: usize) {
        let Some((ended_at, reason)) = connection.state.borrow().finishing_since() else { return };
        if reason == FinishReason::ClosedByTask {
            return;
        }
        let ended_ms_ago = now - ended_at;
        let line = ClientLine::DiscardedBytes { reason, late: ended_ms_ago > MIN_LINGER_MS };
        if self.admits(now, line) {
            warn!(self.log, "{}", line.message(); "component" => "frontend",
                "reason" => %reason, "ended_ms_ago" => ended_ms_ago.round(), "bytes" => length,
                "client" => connection.client_address());
        }
    }

    /// Logs the end of a request if it is late.
    pub(super) fn request_ended(
        &self,
        now: f64,
        connection: &Connection,
        progress: &RequestProgress,
        end: RequestEnd,
    ) {
        let line = ClientLine::LateRequest(end);
        if !is_late(progress, now) || !self.admits(now, line) {
            return;
        }
        let request = &progress.request;
        let age = |at| Age::of(progress, at);
        warn!(self.log, "{}", line.message(); "component" => "frontend",
            "client" => connection.client_address(), "end" => %end,
            "due_ms" => %age(Some(request.due_at)), "ended_ms" => %age(Some(now)),
            "answered_ms" => %age(progress.answered_at()), "forwarded_ms" => %age(progress.forwarded_at()),
            "held_ms" => %age(progress.held_at()), "decided_ms" => %age(progress.decided_at()),
            "read_ms" => %age(Some(request.read_at)), "accepted_ms" => %age(Some(request.accepted_at)),
            "attempt" => format!("{:016x}", request.attempt));
    }

    /// Logs that a connection was added past the reserve that is kept free.
    pub(super) fn near_limit(&self, now: f64, open: usize, limit: usize) {
        let line = ClientLine::NearLimit;
        if self.admits(now, line) {
            warn!(self.log, "{}", line.message(); "component" => "frontend", "open" => open, "limit" => limit);
        }
    }

    /// Logs that a connection could not be accepted.
    pub(super) fn accepting_paused(&self, now: f64, error: &io::Error, open: usize) {
        let line = ClientLine::AcceptingPaused(error.raw_os_error());
        if self.admits(now, line) {
            warn!(self.log, "{}", line.message(); "component" => "frontend",
                "error" => error.to_string(), "open" => open);
        }
    }

    /// Logs that the task of a connection panicked.
    pub(super) fn task_panicked(&self, now: f64, panic: &Panic) {
        let line = ClientLine::TaskPanicked;
        if self.admits(now, line) {
            error!(self.log, "{}", line.message(); "component" => "frontend", "error" => %panic);
        }
    }

    /// Logs the repetitions of the windows that have ended.
    pub(super) fn log_repetitions(&self, now: f64) {
        let ended = self.lines.borrow_mut().end_windows(now);
        ended.into_iter().for_each(|repeated| self.write_repeated(repeated));
    }

    /// Logs all repetitions when the listener ends.
    pub(super) fn log_all_repetitions(&self) {
        let ended = self.lines.borrow_mut().end_all();
        ended.into_iter().for_each(|repeated| self.write_repeated(repeated));
    }

    /// Counts a line, and returns whether it is to be written.
    fn admits(&self, now: f64, line: ClientLine) -> bool {
        self.log_repetitions(now);
        self.lines.borrow_mut().admit(now, line)
    }

    fn write_repeated(&self, repeated: Repeated<ClientLine>) {
        let Repeated { kind, count } = repeated;
        match kind {
            ClientLine::ConnectionError(error) => warn!(self.log, "{}", kind.message();
                "component" => "frontend", "reason" => %error, "repeated" => count),
            ClientLine::DiscardedBytes { reason, late } => warn!(self.log, "{}", kind.message();
                "component" => "frontend", "reason" => %reason, "late" => late, "repeated" => count),
            ClientLine::LateRequest(end) => warn!(self.log, "{}", kind.message();
                "component" => "frontend", "end" => %end, "repeated" => count),
            ClientLine::NearLimit => warn!(self.log, "{}", kind.message();
                "component" => "frontend", "repeated" => count),
            ClientLine::AcceptingPaused(number) => warn!(self.log, "{}", kind.message();
                "component" => "frontend", "error" => number.map(os_error_text), "repeated" => count),
            ClientLine::TaskPanicked => error!(self.log, "{}", kind.message();
                "component" => "frontend", "repeated" => count),
        }
    }
}

fn os_error_text(number: i32) -> String {
    io::Error::from_raw_os_error(number).to_string()
}
