//! State and settings shared by all client connections.

use super::client_log::ClientLog;
use crate::admission::Class;
use crate::server::distributed_config::DistributedSettings;
use crate::server::messages::DispatcherSender;
use crate::server::name_table::NameTable;
use crate::server::read_turns::ReadTurns;
use crate::server::request_ids::RequestIdSequence;
use crate::server::task_times::TaskTimes;
use crate::server::timer_wheel::{Clock, TimerWheel};
use slog::Logger;
use std::rc::Rc;
use std::sync::Arc;

/// State and settings shared by all connections.
pub struct FrontendContext {
    /// Settings of the classes by position.
    pub classes: Vec<Class>,
    /// Positions of the classes by name.
    pub class_names: Arc<NameTable>,
    /// Positions of the tenants by name; empty at a site without tenants.
    pub tenants: Arc<NameTable>,
    /// The distributed settings, if there are any.
    pub distributed: Option<Rc<DistributedSettings>>,
    /// Whether each request states how long its client waits.
    pub passes_deadline: bool,
    /// The clock.
    pub clock: Clock,
    /// The timers.
    pub wheel: Rc<TimerWheel>,
    /// Queue of connections that wait for their turn to be read.
    pub read_turns: Rc<ReadTurns>,
    /// Sender to the dispatcher.
    pub dispatcher: DispatcherSender,
    /// Run times of the event loop's tasks.
    pub task_times: Rc<TaskTimes>,
    /// The log.
    pub log: Logger,
    /// Log for lines that clients can cause.
    pub client_log: ClientLog,
    /// Whether requests are billed to the account that they name.
    pub bills_accounts: bool,
    /// Sequence of request ids.
    pub request_ids: Rc<RequestIdSequence>,
}

/// Target that the method of a request names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MethodTarget {
    /// A class, by position.
    Class(usize),
    /// A route to the class at this position.
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
    /// Returns the target of a method, or `None` for an unknown method.
    pub(super) fn resolve_method(&self, name: &[u8]) -> Option<MethodTarget> {
        if let Some(class) = self.class_names.position(name) {
            return Some(MethodTarget::Class(class));
        }
        self.distributed.as_ref()?.route(name).map(MethodTarget::Route)
    }

    /// Returns the position of the tenant that a request names, or `None` if the request is invalid: an
    /// unlisted tenant has no share by which its traffic could be limited.
    pub(super) fn resolve_tenant(&self, name: Option<&str>) -> Option<usize> {
        if let Some(distributed) = &self.distributed {
            return distributed.tenant(name);
        }
        if self.tenants.is_empty() {
            return Some(0);
        }
        self.tenants.position(name?.as_bytes())
    }
}
