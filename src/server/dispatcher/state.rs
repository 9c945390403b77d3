//! The state of the dispatcher, and the two ways in which it acts: events for the admission controller, and messages to
//! other tasks.

use super::gauge_poll::GaugePoll;
use super::handover_state::{HandingOver, TakingOver};
use super::idempotency_keys::IdempotencyKeys;
use super::pool_link::PoolLink;
use super::recent_attempts::RecentAttempts;
use super::repeating_log::RepeatingLog;
use super::request::ExecutionState;
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

/// The mailboxes of the tasks that the dispatcher writes to.
pub struct Mailboxes {
    /// The link to the worker pool.
    pub worker_pool: Sender<WorkerPoolMessage>,
    /// The client of the upstream service; the last tier has none.
    pub upstream: Option<Sender<UpstreamMessage>>,
    /// The reporter of health to the registry.
    pub registry: Sender<RegistryMessage>,
    /// The listener.
    pub listener: Sender<ListenerMessage>,
}

/// What the dispatcher shares with the rest of the process.
pub struct DispatcherEnvironment {
    /// The clock.
    pub clock: Clock,
    /// The timers.
    pub wheel: Rc<TimerWheel>,
    /// Runs the dispatcher's timers.
    pub executor: Rc<LocalExecutor<'static>>,
    /// What operators see and set.
    pub status: Arc<ServingStatus>,
    /// The ids of requests.
    pub request_ids: Rc<RequestIdSequence>,
    /// The log.
    pub log: Logger,
}

/// How the worker pool started.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolStart {
    /// Whether it started cold.
    pub(super) cold: bool,
    /// How long ago, ms.
    pub(super) ago_ms: f64,
}

/// The task that owns all requests and gives their final responses.
pub struct Dispatcher {
    pub(super) settings: Settings,
    /// The most requests in the table.
    max_requests: usize,
    /// The names of the worker pool's gauges, in the order of their values.
    pub(super) gauge_names: Vec<String>,
    pub(super) controller: Option<AdmissionController>,
    /// Events that wait for the controller; carrying out actions adds some.
    pub(super) events: VecDeque<Event>,
    pub(super) requests: RequestTable,
    pub(super) keys: IdempotencyKeys,
    /// The attempts whose runs the worker pool keeps paused for nobody. It starts none of the same attempt.
    pub(super) abandoned_runs: RecentAttempts,
    /// The attempts whose clients went after a run was requested.
    pub(super) withdrawn_runs: RecentAttempts,
    pub(super) pool: PoolLink,
    pub(super) upstream: Option<Sender<UpstreamMessage>>,
    registry: Sender<RegistryMessage>,
    pub(super) listener: Sender<ListenerMessage>,
    pub(super) gauge_poll: GaugePoll,
    /// The health of this process.
    pub(super) health: ServiceHealth,
    /// The share that goes out with every response.
    pub(super) advertised_share: Option<f64>,
    /// The usage ledger, if responses are billed.
    pub(super) usage: Option<Box<Billing>>,
    /// How often the time of the usage ledger advances, ms.
    pub(super) usage_tick_ms: f64,
    pub(super) status: Arc<ServingStatus>,
    pub(super) handing_over: HandingOver,
    pub(super) taking_over: TakingOver,
    /// Whether a link to the worker pool was ever up.
    pub(super) was_linked: bool,
    /// Told once no request is left.
    pub(super) idle: Option<Sender<()>>,
    pub(super) clock: Clock,
    wheel: Rc<TimerWheel>,
    executor: Rc<LocalExecutor<'static>>,
    own_mailbox: DispatcherSender,
    pub(super) log: Logger,
    /// The lines that may come with each request or command.
    pub(super) repeating_log: RepeatingLog,
}

impl Dispatcher {
    /// Returns a dispatcher without requests. `own_mailbox` is where its timers send to.
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
            withdrawn_runs: RecentAttempts::default(),
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
            idle: None,
            clock,
            wheel,
            executor,
            own_mailbox,
            repeating_log: RepeatingLog::new(log.clone()),
            log,
        }
    }

    /// Bills every final response from now on; the time of the ledger advances every `tick_ms`.
    pub fn enable_billing(&mut self, billing: Billing, tick_ms: f64) {
        self.usage = Some(Box::new(billing));
        self.usage_tick_ms = tick_ms;
    }

    /// Starts the admission controller if it has not started.
    ///
    /// How the worker pool started, known before the first request, tells better than the settings how warm the machine
    /// is.
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

    /// Passes an event to the controller and carries out its actions, with all events that these cause.
    pub(super) fn dispatch_event(&mut self, event: Event) {
        self.events.push_back(event);
        self.dispatch_pending_events();
    }

    /// Passes the events that wait to the controller, and carries out its actions.
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
            // So slow a reader would take memory without bound: its connection ends.
            reply.mailbox.close();
        }
    }

    /// Returns whether the server is healthy.
    pub(super) fn is_healthy(&self) -> bool {
        if let Some(successor) = self.handing_over.successor_health() {
            return successor.healthy;
        }
        self.health.is_healthy()
    }

    /// Passes inputs to the health of this process, and reports a change to the registry.
    pub(super) fn update_health(&mut self, inputs: &[HealthInput]) {
        if self.health.on_inputs(inputs).is_some() {
            self.report_health();
        }
    }

    /// Takes the state of ledger and evacuation as it is now, without waiting for the messages that tell of changes.
    pub(super) fn refresh_health(&mut self) {
        let billing = HealthInput::BillingHealth(self.can_bill());
        let is_evacuated = self.status.is_evacuated();
        let evacuation = if is_evacuated { HealthInput::Evacuate } else { HealthInput::Rejoin };
        self.update_health(&[billing, evacuation]);
    }

    /// Reports health to the registry.
    pub(super) fn report_health(&self) {
        self.tell_registry(RegistryMessage::SetHealth(self.is_healthy()));
    }

    /// Sets whether this process is ready to serve: it decides, its worker pool was reached, and it goes on.
    pub(super) fn update_readiness(&self) {
        let decides = self.taking_over.is_owner && !self.handing_over.is_handed_over();
        let goes_on = self.health.state() != ServiceState::ShuttingDown;
        self.status.set_ready(decides && self.was_linked && goes_on);
    }

    /// Sends a message to the reporter of health.
    pub(super) fn tell_registry(&self, message: RegistryMessage) {
        // The mailbox is unbounded and closes only at the end of the process.
        let _ = self.registry.try_send(message);
    }

    /// Sends a message to the listener.
    pub(super) fn tell_listener(&self, message: ListenerMessage) {
        // The mailbox is unbounded and closes only at the end of the process.
        let _ = self.listener.try_send(message);
    }

    /// Returns whether the table has room for one more request.
    pub(super) fn has_room(&self) -> bool {
        self.requests.len() + self.handing_over.len() < self.max_requests
    }

    /// Sends a command for a request to the worker pool, at once or when a link is up again.
    pub(super) fn request_command(&mut self, id: RequestId, command: PoolCommand) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.unconfirmed.push(command.clone());
        self.pool.send(command);
    }

    /// Removes a request; the reservation of its key is released if it never ran.
    pub(super) fn remove(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(id) {
            self.keys.finish_attempt(id, &request);
        }
    }

    /// Removes a request that is over, unless the worker pool has still to report its run.
    pub(super) fn remove_if_idle(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id).filter(|request| request.is_idle()) else { return };
        if matches!(request.state, ExecutionState::Paused) {
            self.abandoned_runs.add(request.attempt);
        }
        self.remove(id);
    }
}

/// Returns how a request ended that gets this response; `None` for the response to a health check.
fn request_end(response: &Response) -> Option<RequestEnd> {
    match response {
        Response::Completed(_) => Some(RequestEnd::Served),
        Response::Rejected { .. } => Some(RequestEnd::Refused),
        Response::Failed | Response::Invalid => Some(RequestEnd::Failed),
        Response::Health(_) => None,
    }
}
