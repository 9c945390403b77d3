//! State of the dispatcher, and its two kinds of output: events for the admission controller, and messages to
//! other tasks.

use super::gauge_poll::GaugePoll;
use super::handover_state::{HandingOver, TakingOver};
use super::idempotency_keys::IdempotencyKeys;
use super::pool_link::PoolLink;
use super::recent_attempts::RecentAttempts;
use super::repeating_log::RepeatingLog;
use super::request::{ExecutionState, UnconfirmedCommand};
use super::request_table::RequestTable;
use crate::admission::{AdmissionController, Event, RequestId, Settings};
use crate::config::Config;
use crate::server::evacuation::{HealthInput, ServiceHealth, ServiceState};
use crate::server::messages::{
    ConnectionMessage, DispatcherMessage, DispatcherSender, ListenerMessage, PoolCommand, RegistryMessage,
    ReplyHandle, Response, UpstreamMessage, WorkerPoolMessage,
};
use crate::server::request_ids::RequestIdSequence;
use crate::server::serving_status::ServingStatus;
use crate::server::telemetry::RequestEnd;
use crate::server::timer_wheel::{Clock, TimerWheel};
use crate::server::usage::Billing;
use async_channel::{Sender, TrySendError};
use async_executor::LocalExecutor;
use slog::Logger;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

/// Mailboxes of the tasks to which the dispatcher sends messages.
pub struct Mailboxes {
    /// Mailbox of the link to the worker pool.
    pub worker_pool: Sender<WorkerPoolMessage>,
    /// Mailbox of the client of the upstream service; `None` in the last tier, which has no upstream service.
    pub upstream: Option<Sender<UpstreamMessage>>,
    /// Mailbox of the task that reports health to the registry.
    pub registry: Sender<RegistryMessage>,
    /// Mailbox of the listener.
    pub listener: Sender<ListenerMessage>,
}

/// Resources that the dispatcher shares with the rest of the process.
pub struct DispatcherEnvironment {
    /// Clock of the process.
    pub clock: Clock,
    /// Timer wheel of the process.
    pub wheel: Rc<TimerWheel>,
    /// Executor that runs the dispatcher's timers.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Status that operators can read, and the settings that they can change.
    pub status: Arc<ServingStatus>,
    /// Sequence of request ids.
    pub request_ids: Rc<RequestIdSequence>,
    /// Logger.
    pub log: Logger,
}

/// Start of the worker pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolStart {
    /// Whether the worker pool started cold.
    pub(super) cold: bool,
    /// Time since the start, ms.
    pub(super) ago_ms: f64,
}

/// The task that owns all requests and sends their final responses.
pub struct Dispatcher {
    pub(super) settings: Settings,
    /// Maximum number of requests in the table.
    max_requests: usize,
    /// Names of the worker pool's gauges, in the order of their values.
    pub(super) gauge_names: Vec<String>,
    pub(super) controller: Option<AdmissionController>,
    /// Events not yet passed to the controller. Carrying out actions may add events.
    pub(super) events: VecDeque<Event>,
    pub(super) requests: RequestTable,
    pub(super) keys: IdempotencyKeys,
    /// Attempts of ended requests whose runs are still paused in the worker pool, which ignores run commands
    /// for them.
    pub(super) abandoned_runs: RecentAttempts,
    /// Attempts that may have run and whose clients disconnected or cancelled before the final response.
    pub(super) undelivered_runs: RecentAttempts,
    pub(super) pool: PoolLink,
    pub(super) upstream: Option<Sender<UpstreamMessage>>,
    registry: Sender<RegistryMessage>,
    pub(super) listener: Sender<ListenerMessage>,
    pub(super) gauge_poll: GaugePoll,
    /// Health of this process.
    pub(super) health: ServiceHealth,
    /// Advertised share, which is sent with every response.
    pub(super) advertised_share: Option<f64>,
    /// Usage ledger; `None` if responses are not billed.
    pub(super) usage: Option<Box<Billing>>,
    /// Interval at which the time of the usage ledger advances, ms.
    pub(super) usage_tick_ms: f64,
    pub(super) status: Arc<ServingStatus>,
    pub(super) handing_over: HandingOver,
    pub(super) taking_over: TakingOver,
    /// Whether a link to the worker pool has ever been up.
    pub(super) was_linked: bool,
    /// Notified once no request is left.
    pub(super) idle_notifier: Option<Sender<()>>,
    pub(super) clock: Clock,
    wheel: Rc<TimerWheel>,
    executor: Rc<LocalExecutor<'static>>,
    own_mailbox: DispatcherSender,
    pub(super) log: Logger,
    /// Rate-limited log for lines that each request or command may cause.
    pub(super) repeating_log: RepeatingLog,
}

impl Dispatcher {
    /// Returns a dispatcher without requests. `own_mailbox` receives the messages of its timers.
    pub fn new(
        config: &Config,
        environment: DispatcherEnvironment,
        own_mailbox: DispatcherSender,
        mailboxes: Mailboxes,
    ) -> Self {
        let DispatcherEnvironment { clock, wheel, executor, status, request_ids, log } = environment;
        Dispatcher {
            settings: config.settings.clone(),
            max_requests: config.limits.requests,
            gauge_names: config.gauge_names.clone(),
            controller: None,
            events: VecDeque::new(),
            requests: RequestTable::default(),
            keys: IdempotencyKeys::new(config),
            abandoned_runs: RecentAttempts::default(),
            undelivered_runs: RecentAttempts::default(),
            pool: PoolLink::new(mailboxes.worker_pool, clock, log.clone()),
            upstream: mailboxes.upstream,
            registry: mailboxes.registry,
            listener: mailboxes.listener,
            gauge_poll: GaugePoll::default(),
            health: ServiceHealth::default(),
            advertised_share: None,
            usage: None,
            usage_tick_ms: 0.0,
            status,
            handing_over: HandingOver::new(),
            taking_over: TakingOver::new(request_ids),
            was_linked: false,
            idle_notifier: None,
            clock,
            wheel,
            executor,
            own_mailbox,
            repeating_log: RepeatingLog::new(log.clone()),
            log,
        }
    }

    /// Enables billing of every final response. The time of the ledger advances every `tick_ms`.
    pub fn enable_billing(&mut self, billing: Billing, tick_ms: f64) {
        self.usage = Some(Box::new(billing));
        self.usage_tick_ms = tick_ms;
    }

    /// Starts the admission controller if it has not started.
    ///
    /// If the start of the worker pool is known before the first request, it overrides the settings, because
    /// it is a better indication of how warm the machine is.
    pub(super) fn start_controller(&mut self, pool: Option<PoolStart>) {
        if self.controller.is_some() {
            return;
        }
        let mut started_at = self.clock.now();
        if let Some(pool) = pool {
            self.settings.cold_start = pool.cold;
            started_at -= pool.ago_ms;
        }
        self.controller = Some(AdmissionController::new(started_at, self.settings.clone()));
        self.dispatch_event(Event::Start);
    }

    /// Passes an event to the controller, carries out the resulting actions, and processes all events that
    /// they cause.
    pub(super) fn dispatch_event(&mut self, event: Event) {
        self.events.push_back(event);
        self.dispatch_pending_events();
    }

    /// Passes the pending events to the controller, and carries out the resulting actions.
    pub(super) fn dispatch_pending_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let now = self.clock.now();
            if let Some(controller) = &mut self.controller {
                controller.on_event(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
        }
    }

    /// Sends a message to this task after a delay.
    pub(super) fn schedule(&self, delay_ms: f64, message: DispatcherMessage) {
        let (sleep, mailbox) = (self.wheel.sleep(delay_ms), self.own_mailbox.clone());
        let timer = async move {
            sleep.await;
            // The mailbox closes only at the end of the process.
            let _ = mailbox.send(message).await;
        };
        self.executor.spawn(timer).detach();
    }

    /// Sends a response to the connection of its request.
    pub(super) fn send_response(&self, reply: ReplyHandle, response: Response) {
        if let Some(progress) = &reply.progress {
            progress.set_answered(self.clock.now());
        }
        if let (Some(class), Some(end)) = (reply.class, request_end(&response)) {
            self.status.telemetry().record_end(class, end);
        }
        let advertised_share = match self.handing_over.successor_health() {
            Some(successor) => successor.advertised_share,
            None => self.advertised_share,
        };
        let message = ConnectionMessage::Response { tag: reply.tag, response, advertised_share };
        if let Err(TrySendError::Full(_)) = reply.mailbox.try_send(message) {
            // The connection is closed to bound the memory that a client which reads too slowly can take.
            reply.mailbox.close();
        }
    }

    /// Returns whether the server is healthy: after a handover as reported by the successor, otherwise the
    /// health of this process.
    pub(super) fn is_healthy(&self) -> bool {
        if let Some(successor) = self.handing_over.successor_health() {
            return successor.healthy;
        }
        self.health.is_healthy()
    }

    /// Updates the health of this process with these inputs, and reports a change to the registry.
    pub(super) fn update_health(&mut self, inputs: &[HealthInput]) {
        if self.health.on_inputs(inputs).is_some() {
            self.report_health();
        }
    }

    /// Updates the health with the current state of ledger and evacuation, without waiting for messages about
    /// changes.
    pub(super) fn refresh_health(&mut self) {
        let billing = HealthInput::BillingHealth(self.can_bill());
        let is_evacuated = self.status.is_evacuated();
        let evacuation = if is_evacuated { HealthInput::Evacuate } else { HealthInput::Rejoin };
        self.update_health(&[billing, evacuation]);
    }

    /// Reports the current health to the registry.
    pub(super) fn report_health(&self) {
        self.send_to_registry(RegistryMessage::SetHealth(self.is_healthy()));
    }

    /// Sets whether this process is ready to serve: it decides on requests, has had a link to its worker
    /// pool, and is not shutting down.
    pub(super) fn update_readiness(&self) {
        let is_owner = self.taking_over.is_owner && !self.handing_over.is_handed_over();
        let keeps_serving = self.health.state() != ServiceState::ShuttingDown;
        self.status.set_ready(is_owner && self.was_linked && keeps_serving);
    }

    /// Sends a message to the task that reports health to the registry.
    pub(super) fn send_to_registry(&self, message: RegistryMessage) {
        // The mailbox is unbounded and closes only at the end of the process.
        let _ = self.registry.try_send(message);
    }

    /// Sends a message to the listener.
    pub(super) fn send_to_listener(&self, message: ListenerMessage) {
        // The mailbox is unbounded and closes only at the end of the process.
        let _ = self.listener.try_send(message);
    }

    /// Returns whether the table has room for one more request.
    pub(super) fn has_room(&self) -> bool {
        self.requests.len() + self.handing_over.waiting_count() < self.max_requests
    }

    /// Sends a command for a request to the worker pool, immediately or when the next link is up.
    pub(super) fn request_command(&mut self, id: RequestId, command: PoolCommand) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let delivery = self.pool.send(command.clone());
        request.unconfirmed.push(UnconfirmedCommand { command, delivery });
    }

    /// Removes a request, and releases the reservation of its key if it never ran.
    pub(super) fn remove(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(id) {
            self.keys.finish_attempt(id, &request);
        }
    }

    /// Removes a finished request, unless the worker pool is yet to report the end of its run.
    pub(super) fn remove_if_idle(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id).filter(|request| request.is_idle()) else { return };
        if matches!(request.state, ExecutionState::Paused) {
            self.abandoned_runs.add(request.attempt);
        }
        self.remove(id);
    }
}

/// Returns the end of a request that gets this response, for telemetry; `None` for the response to a health
/// check.
fn request_end(response: &Response) -> Option<RequestEnd> {
    match response {
        Response::Completed(_) => Some(RequestEnd::Served),
        Response::Rejected { .. } => Some(RequestEnd::Refused),
        Response::Failed | Response::Invalid => Some(RequestEnd::Failed),
        Response::Health(_) => None,
    }
}
