//! Creates the tasks of the server and the channels between them.

use super::command_line::LoadedConfig;
use super::config_follower::FollowerStart;
use super::error::DaemonError;
use super::handover::{self, HandoverStart};
use super::ledger::LedgerStart;
use crate::admission::Settings;
use crate::config::Config;
use crate::operator::LedgerConfig;
use crate::server::control::{ControlEndpoint, ControlOptions};
use crate::server::dispatcher::{Dispatcher, DispatcherEnvironment, Mailboxes, server_identity};
use crate::server::distributed_config::DistributedSettings;
use crate::server::frontend::{ClientLog, FrontendContext, Listener};
use crate::server::messages::{
    DispatcherMessage, DispatcherSender, ListenerMessage, RegistryMessage, UpstreamMessage,
    WorkerPoolMessage, dispatcher_mailbox,
};
use crate::server::name_table::NameTable;
use crate::server::read_turns::ReadTurns;
use crate::server::registry::RegistryReporter;
use crate::server::request_ids::RequestIdSequence;
use crate::server::serving_status::ServingStatus;
use crate::server::supervisor::{self, TaskFailure};
use crate::server::task_times::TaskTimes;
use crate::server::timer_wheel::{Clock, TimerWheel};
use crate::server::upstream::{UpstreamClient, UpstreamClientSettings};
use crate::server::worker_pool::WorkerPoolLink;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use dunlinspread_ledger::DurabilityMode;
use futures_lite::future::BoxedLocal;
use slog::Logger;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;

/// Maximum interval at which the usage ledger's time advances, ms; a shorter commit interval takes
/// precedence.
const LEDGER_TICK_MS: f64 = 100.0;

/// Mailboxes of the tasks that connect to peers whose addresses can change.
#[derive(Clone)]
pub(super) struct PeerMailboxes {
    /// Mailbox of the worker pool link.
    pub(super) worker_pool: Sender<WorkerPoolMessage>,
    /// Mailbox of the upstream client; `None` if there is no upstream service.
    pub(super) upstream: Option<Sender<UpstreamMessage>>,
    /// Mailbox of the registry reporter.
    pub(super) registry: Sender<RegistryMessage>,
}

/// Handle with which the listener's task is shut down.
pub(super) struct ListenerHandle {
    /// Sender of the listener's mailbox.
    pub(super) sender: Sender<ListenerMessage>,
    /// Whether the task may end; if not, its end is a failure.
    pub(super) may_end: Rc<Cell<bool>>,
    /// Receives one message when the task ends as expected.
    pub(super) ended: Receiver<()>,
}

/// A server whose tasks have been started.
pub(super) struct RunningServer {
    /// Address on which clients connect.
    pub(super) listen: SocketAddr,
    /// The clock.
    pub(super) clock: Clock,
    /// The timer wheel.
    pub(super) wheel: Rc<TimerWheel>,
    /// Sender of the dispatcher's mailbox.
    pub(super) dispatcher: DispatcherSender,
    /// Mailboxes of the tasks that connect to peers whose addresses can change.
    pub(super) mailboxes: PeerMailboxes,
    /// Handle of the listener's task.
    pub(super) listener: ListenerHandle,
    /// Status that the control endpoint shows and changes.
    pub(super) status: Arc<ServingStatus>,
    /// Failures of tasks that should run as long as the process.
    pub(super) failures: Receiver<TaskFailure>,
    /// Control endpoint, if its address is configured; it ends with the server.
    _control: Option<ControlEndpoint>,
}

/// Shared parts from which the tasks are created.
struct Wiring<'a> {
    config: &'a Config,
    executor: &'a Rc<LocalExecutor<'static>>,
    clock: Clock,
    wheel: Rc<TimerWheel>,
    dispatcher: DispatcherSender,
    failures: Sender<TaskFailure>,
    status: Arc<ServingStatus>,
    request_ids: Rc<RequestIdSequence>,
    task_times: Rc<TaskTimes>,
    read_turns: Rc<ReadTurns>,
    log: &'a Logger,
}

/// Starts all tasks of a server.
///
/// # Errors
/// - [`DaemonError::Control`] if the control endpoint can't be started.
/// - [`DaemonError::Handover`] if a predecessor is serving and the handover from it is given up.
/// - [`DaemonError::Listen`] if listening on the client address fails.
/// - [`DaemonError::Ledger`] if the usage ledger can't be opened.
/// - The errors of [`FollowerStart::start`] if distributed configuration can't be started.
pub(super) async fn start_server(
    loaded: &LoadedConfig,
    executor: &Rc<LocalExecutor<'static>>,
    read_turns: &Rc<ReadTurns>,
    log: &Logger,
) -> Result<RunningServer, DaemonError> {
    let LoadedConfig { platform: config, operator } = loaded;
    let clock = Clock::start();
    let wheel = TimerWheel::new(clock, config.settings.tick_ms);
    let (dispatcher, dispatcher_messages) = dispatcher_mailbox(config.limits.dispatcher_mailbox);
    let (listener, listener_messages) = async_channel::unbounded();
    let (failures, failed_tasks) = async_channel::unbounded();
    // Capacity 1: one queued message also covers later changes.
    let (evacuation_changed, evacuation_changes) = async_channel::bounded(1);
    let status = ServingStatus::new(&config.classes, evacuation_changed);
    let wiring = Wiring {
        config,
        executor,
        clock,
        wheel: wheel.clone(),
        dispatcher: dispatcher.clone(),
        failures,
        status,
        request_ids: Rc::default(),
        task_times: Rc::new(TaskTimes::from_environment()),
        read_turns: read_turns.clone(),
        log,
    };
    let control = wiring.start_control()?;
    // The timer wheel must run before the handover, which has time limits.
    wiring.supervise("timer wheel", Box::pin(wheel.clone().advance()));
    let handover = handover::directory(loaded, log).map(|directory| (wiring.handover_start(), directory));
    let mut takeover = handover.as_ref().and_then(|(start, directory)| start.find_predecessor(directory));
    let socket = match &mut takeover {
        Some(takeover) => takeover.receive_socket().await?,
        None => dunlinspread_sockets::listen(config.listen)
            .map_err(|source| DaemonError::Listen { address: config.listen, source })?,
    };
    wiring.supervise("evacuation", Box::pin(report_evacuation(evacuation_changes, dispatcher.clone())));
    // A predecessor reports health to the registry until it has handed over.
    let mailboxes = wiring.start_peer_tasks(takeover.is_none());
    let mut dispatcher_task = wiring.new_dispatcher(&mailboxes, &listener, operator.ledger.as_ref())?;
    let takes_over = takeover.is_some();
    if let Some((start, directory)) = handover {
        start.start(directory, &socket, takeover, &mut dispatcher_task);
    }
    wiring.supervise("dispatcher", Box::pin(dispatcher_task.run(dispatcher_messages)));
    let context = wiring.start_frontend_context(loaded).await?;
    let listen = socket.local_addr().unwrap_or(config.listen);
    let socket = Async::new(socket).map_err(|source| DaemonError::Listen { address: listen, source })?;
    let accepts = !takes_over;
    let listener = wiring.start_listener(context, socket, accepts, listener, listener_messages);
    let status = wiring.status;
    Ok(RunningServer {
        listen,
        clock,
        wheel,
        dispatcher,
        mailboxes,
        listener,
        status,
        failures: failed_tasks,
        _control: control,
    })
}

/// Notifies the dispatcher of each change of the evacuation.
async fn report_evacuation(changes: Receiver<()>, dispatcher: DispatcherSender) {
    while changes.recv().await.is_ok() {
        // The dispatcher's mailbox closes only when the process ends.
        let _ = dispatcher.send(DispatcherMessage::EvacuationChanged).await;
    }
}

impl Wiring<'_> {
    /// Starts a task that should run as long as the process.
    fn supervise(&self, name: &'static str, task: BoxedLocal<()>) {
        let task_times = self.task_times.clone();
        let measured = async move { task_times.measure(name, task).await };
        let supervised = supervisor::supervise(name, measured, self.failures.clone());
        self.executor.spawn(supervised).detach();
    }

    /// Starts the control endpoint if its address is configured.
    fn start_control(&self) -> Result<Option<ControlEndpoint>, DaemonError> {
        let Some(address) = self.config.control else { return Ok(None) };
        let max_connections = self.config.limits.control_connections;
        let options = ControlOptions { address, max_connections };
        ControlEndpoint::start(options, self.status.clone(), self.failures.clone(), self.log)
            .map(Some)
            .map_err(|source| DaemonError::Control { address, source })
    }

    /// Starts the tasks that connect to the server's peers.
    fn start_peer_tasks(&self, reports_health: bool) -> PeerMailboxes {
        let upstream = self.config.upstream.map(|address| self.start_upstream_client(address));
        let (worker_pool, messages) = async_channel::unbounded();
        let link = WorkerPoolLink::new(
            self.config.worker_pool,
            self.config.classes.clone(),
            self.dispatcher.clone(),
            self.wheel.clone(),
            self.log.clone(),
        );
        self.supervise("worker pool link", Box::pin(link.run(messages)));
        let (registry, messages) = async_channel::unbounded();
        let reporter = RegistryReporter {
            address: self.config.registry,
            name: self.config.name.clone(),
            clock: self.clock,
            wheel: self.wheel.clone(),
            active: reports_health,
            log: self.log.clone(),
        };
        self.supervise("registry reporter", Box::pin(reporter.run(messages)));
        PeerMailboxes { worker_pool, upstream, registry }
    }

    fn start_upstream_client(&self, address: SocketAddr) -> Sender<UpstreamMessage> {
        let (sender, messages) = async_channel::unbounded();
        let client = UpstreamClient::new(UpstreamClientSettings {
            address,
            max_connections: self.config.limits.upstream_connections,
            dispatcher: self.dispatcher.clone(),
            sender: sender.clone(),
            executor: self.executor.clone(),
            clock: self.clock,
            wheel: self.wheel.clone(),
            log: self.log.clone(),
        });
        self.supervise("upstream client", Box::pin(client.run(messages)));
        sender
    }

    /// Returns the dispatcher, with the usage ledger if the operator file configures one.
    fn new_dispatcher(
        &self,
        mailboxes: &PeerMailboxes,
        listener: &Sender<ListenerMessage>,
        ledger: Option<&LedgerConfig>,
    ) -> Result<Dispatcher, DaemonError> {
        let mailboxes = Mailboxes {
            worker_pool: mailboxes.worker_pool.clone(),
            upstream: mailboxes.upstream.clone(),
            registry: mailboxes.registry.clone(),
            listener: listener.clone(),
        };
        let environment = DispatcherEnvironment {
            clock: self.clock,
            wheel: self.wheel.clone(),
            executor: self.executor.clone(),
            status: self.status.clone(),
            request_ids: self.request_ids.clone(),
            log: self.log.clone(),
        };
        let mut dispatcher = Dispatcher::new(self.config, environment, self.dispatcher.clone(), mailboxes);
        if let Some(ledger_config) = ledger {
            let start = LedgerStart {
                ledger_config,
                config: self.config,
                clock: self.clock,
                dispatcher: self.dispatcher.clone(),
                failures: self.failures.clone(),
                log: self.log,
            };
            dispatcher.enable_billing(start.open(self.executor)?, ledger_tick_ms(ledger_config.mode));
        }
        Ok(dispatcher)
    }

    fn handover_start(&self) -> HandoverStart {
        HandoverStart {
            identity: server_identity(self.config),
            executor: self.executor.clone(),
            clock: self.clock,
            wheel: self.wheel.clone(),
            dispatcher: self.dispatcher.clone(),
            failures: self.failures.clone(),
            status: self.status.clone(),
            log: self.log.clone(),
        }
    }

    /// Returns the context that all client connections share, with distributed settings if the operator file
    /// configures them.
    async fn start_frontend_context(
        &self,
        loaded: &LoadedConfig,
    ) -> Result<Rc<FrontendContext>, DaemonError> {
        let class_names = Arc::new(NameTable::new(&self.config.classes));
        let tenants = Arc::new(NameTable::new(&self.config.tenants));
        let distributed = self.start_config_follower(loaded, &class_names, &tenants).await?;
        Ok(Rc::new(FrontendContext {
            classes: self.config.settings.classes.clone(),
            class_names,
            tenants,
            distributed,
            passes_deadline: self.config.settings.passes_deadline,
            clock: self.clock,
            wheel: self.wheel.clone(),
            read_turns: self.read_turns.clone(),
            dispatcher: self.dispatcher.clone(),
            task_times: self.task_times.clone(),
            log: self.log.clone(),
            client_log: ClientLog::new(self.log.clone()),
            bills_accounts: loaded.operator.ledger.is_some(),
            request_ids: self.request_ids.clone(),
        }))
    }

    async fn start_config_follower(
        &self,
        loaded: &LoadedConfig,
        class_names: &Arc<NameTable>,
        tenants: &Arc<NameTable>,
    ) -> Result<Option<Rc<DistributedSettings>>, DaemonError> {
        let Some(settings) = &loaded.operator.config_sync else { return Ok(None) };
        let start = FollowerStart {
            settings,
            config: self.config,
            class_names: class_names.clone(),
            tenants: tenants.clone(),
            dispatcher: self.dispatcher.clone(),
            wheel: self.wheel.clone(),
            clock: self.clock,
            log: self.log,
        };
        let follower = start.start().await?;
        let distributed = follower.settings();
        self.supervise("distributed configuration", Box::pin(follower.run()));
        Ok(Some(distributed))
    }

    fn start_listener(
        &self,
        context: Rc<FrontendContext>,
        socket: Async<TcpListener>,
        accepts: bool,
        sender: Sender<ListenerMessage>,
        messages: Receiver<ListenerMessage>,
    ) -> ListenerHandle {
        let listener = Listener {
            context,
            socket,
            sender: sender.clone(),
            executor: self.executor.clone(),
            max_connections: self.config.limits.client_connections,
            idle_timeout_ms: initial_idle_timeout_ms(&self.config.settings),
            accepts,
        };
        let may_end = Rc::new(Cell::new(false));
        let (end_sender, ended) = async_channel::bounded(1);
        let (end_expected, failures) = (may_end.clone(), self.failures.clone());
        let task_times = self.task_times.clone();
        let task = async move {
            let listening = task_times.measure("listener", listener.run(messages));
            match supervisor::catch_panic(listening).await {
                Ok(()) if end_expected.get() => drop(end_sender.send(()).await),
                end => drop(failures.send(TaskFailure::new("listener", end)).await),
            }
        };
        self.executor.spawn(task).detach();
        ListenerHandle { sender, may_end, ended }
    }
}

/// Returns the idle timeout of client connections until the admission controller changes it, ms: the clients'
/// own idle timeout if it is configured, otherwise infinity.
fn initial_idle_timeout_ms(settings: &Settings) -> f64 {
    if settings.client_idle_timeout_ms > 0.0 { settings.client_idle_timeout_ms } else { f64::INFINITY }
}

/// Returns the interval at which the usage ledger's time advances, ms.
fn ledger_tick_ms(mode: DurabilityMode) -> f64 {
    match mode {
        DurabilityMode::Strict => LEDGER_TICK_MS,
        DurabilityMode::Interval { every_ms, .. } => LEDGER_TICK_MS.min(every_ms as f64),
    }
}
