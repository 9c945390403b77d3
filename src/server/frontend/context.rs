//! State and settings shared by all client connections.

use super::connection::Connection;
use super::connection_state::FinishReason;
use crate::admission::Class;
use crate::server::distributed_config::DistributedSettings;
use crate::server::messages::DispatcherMessage;
use crate::server::name_table::NameTable;
use crate::server::request_ids::RequestIdSequence;
use crate::server::task_times::TaskTimes;
use crate::server::timer_wheel::{Clock, TimerWheel};
use async_channel::Sender;
use slog::{Logger, warn};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

/// Window in which log lines of one kind are limited, ms.
pub(super) const LOG_WINDOW_MS: f64 = 1000.0;
/// The most log lines of one kind in one window.
const MAX_LOG_LINES: u32 = 20;

/// What all connections share.
pub struct FrontendContext {
    /// The settings of the classes, in order.
    pub classes: Vec<Class>,
    /// The classes by name.
    pub class_names: Arc<NameTable>,
    /// The tenants by name; empty at a site that has none.
    pub tenants: Arc<NameTable>,
    /// The distributed settings, if there are any.
    pub distributed: Option<Rc<DistributedSettings>>,
    /// Whether each request states how long its client waits.
    pub passes_deadline: bool,
    /// The clock.
    pub clock: Clock,
    /// The timers.
    pub wheel: Rc<TimerWheel>,
    /// Sender to the dispatcher.
    pub dispatcher: Sender<DispatcherMessage>,
    /// How long the tasks of the event loop run.
    pub task_times: Rc<TaskTimes>,
    /// The log.
    pub log: Logger,
    /// Whether requests name the account that they are billed to.
    pub bills_accounts: bool,
    /// The ids of requests.
    pub request_ids: Rc<RequestIdSequence>,
    /// Log lines about faulty connections in the current window.
    pub fault_log: Cell<LogWindow>,
    /// Log lines about requests that ended late in the current window.
    pub late_request_log: Cell<LogWindow>,
}

/// A window in which log lines are counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogWindow {
    /// When the window began, Unix ms.
    pub started_at: f64,
    /// Log lines asked for in the window.
    pub lines: u32,
}

/// What the method of a request stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MethodTarget {
    /// A class, by position.
    Class(usize),
    /// A route that leads to the class at that position.
    Route(usize),
}

impl MethodTarget {
    /// Returns the position of the class.
    pub(super) fn class(self) -> usize {
        match self {
            MethodTarget::Class(class) | MethodTarget::Route(class) => class,
        }
    }
}

impl FrontendContext {
    /// Returns what a method stands for, or `None` for an unknown method.
    pub(super) fn resolve_method(&self, name: &[u8]) -> Option<MethodTarget> {
        if let Some(class) = self.class_names.position(name) {
            return Some(MethodTarget::Class(class));
        }
        self.distributed.as_ref()?.route(name).map(MethodTarget::Route)
    }

    /// Returns the position of the tenant that a request names, or `None` if the request has to be turned down: a
    /// tenant that is not listed has no share by which its traffic could be judged.
    pub(super) fn resolve_tenant(&self, name: Option<&str>) -> Option<usize> {
        if let Some(distributed) = &self.distributed {
            return distributed.tenant(name);
        }
        if self.tenants.is_empty() {
            return Some(0);
        }
        self.tenants.position(name?.as_bytes())
    }

    /// Logs why a connection was closed, at most [`MAX_LOG_LINES`] lines a window.
    pub(super) fn log_connection_error(&self, error: &dyn std::error::Error) {
        if may_log(&self.fault_log, self.clock.now()) {
            warn!(self.log, "client connection closed on error";
                "component" => "frontend", "reason" => error.to_string());
        }
    }

    /// Logs that bytes came on a connection that this server had ended; a request among them is not accepted.
    pub(super) fn log_discarded_bytes(&self, connection: &Connection, length: usize) {
        let Some((since, reason)) = connection.state.borrow().finishing_since() else { return };
        let now = self.clock.now();
        if reason == FinishReason::ClosedByTask || !may_log(&self.fault_log, now) {
            return;
        }
        warn!(self.log, "bytes on an ended connection discarded"; "component" => "frontend",
            "reason" => %reason, "ended_ms_ago" => (now - since).round(), "bytes" => length,
            "client" => connection.client_address());
    }

    /// Counts a log line about a request that ended late, and returns whether it may be written.
    pub(super) fn may_log_late_request(&self, now: f64) -> bool {
        may_log(&self.late_request_log, now)
    }
}

/// Counts a log line in its window, and returns whether it may be written.
fn may_log(lines_of_kind: &Cell<LogWindow>, now: f64) -> bool {
    let mut window = lines_of_kind.get();
    if now - window.started_at > LOG_WINDOW_MS {
        window = LogWindow { started_at: now, lines: 0 };
    }
    let may_log = window.lines < MAX_LOG_LINES;
    window.lines += 1;
    lines_of_kind.set(window);
    may_log
}
