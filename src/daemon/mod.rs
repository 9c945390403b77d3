//! The round server as a process: reads its command line, wires the actors together, hears signals, and ends. SIGTERM
//! is the notice to leave, SIGHUP has the configuration reread. It decides nothing, and must never end for a SIGHUP or
//! a faulty file.

mod config_sync;
mod ledger;

use crate::config::Config;
use crate::daemon::config_sync::ConfigSync;
use crate::operator::{LogFormat, LogLevel, OperatorConfig};
use crate::server::dispatcher::{Dispatcher, Mailboxes};
use crate::server::frontend::{FrontendContext, Listener, LogWindow};
use crate::server::messages::{
    DispatcherMessage, ListenerMessage, RegistryMessage, UpstreamMessage, WorkerPoolMessage,
};
use crate::server::name_table::NameTable;
use crate::server::registry::RegistryReporter;
use crate::server::supervisor::{self, TaskFailure};
use crate::server::timer_wheel::{Clock, TimerWheel};
use crate::server::upstream::{UpstreamClient, UpstreamClientSettings};
use crate::server::worker_pool::WorkerPoolLink;
use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use clap::{Args, Parser, Subcommand};
use dunlinspread_ledger::DurabilityMode;
use futures_lite::StreamExt;
use futures_lite::future::{BoxedLocal, or};
use slog::{Drain, Logger, info, o, warn};
use std::cell::Cell;
use std::ffi::OsString;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

/// How often time passes for the ledger, ms, if its interval is not shorter.
const LEDGER_TICK_MS: f64 = 100.0;
/// Before the stop, the module's time ends so much earlier, ms: its last answers still have to go out.
const ANSWER_MARGIN_MS: f64 = 100.0;
/// Connections end so long before the stop, ms, so that nothing is read too late to be answered.
const CLOSING_MS: f64 = 600.0;
/// Their sending sides are shut so long before the stop, ms, once the module's last answers are out: callers then see the
/// end of what they read, where the end of the process could reset connections over unread bytes and take answers along.
const FINISH_MS: f64 = 70.0;
/// The program ends so long before the stop at the latest, ms.
const END_MARGIN_MS: f64 = 40.0;

/// A round server: takes requests from client proxies, has the worker pool run them, and turns away what would come to
/// nothing.
#[derive(Parser)]
#[command(name = "dunlinspread", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Option<Verb>,
    #[command(flatten)]
    files: Files,
    /// The form of the log's lines; overrides the operator file.
    #[arg(long, global = true, value_enum)]
    log_format: Option<LogFormat>,
}

#[derive(Clone, Copy, Subcommand)]
enum Verb {
    /// Serve until SIGTERM; what the program does with no command.
    Serve,
    /// Read the platform file and the operator file, print what is in force, and end with 1 if one is faulty.
    Check,
}

/// Where settings come from. They are read again on SIGHUP.
#[derive(Args, Clone)]
struct Files {
    /// The platform's configuration, as JSON.
    #[arg(long, global = true, env = "RELAY_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operator file, as HCL; without one, all that it could switch on is off.
    #[arg(long, global = true, env = "DUNLINSPREAD_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
}

impl Files {
    fn read(&self) -> Result<(Config, OperatorConfig), String> {
        let path = self.config.as_ref().ok_or("`RELAY_CONFIG`: is not set")?;
        let text = std::fs::read(path).map_err(|e| format!("`RELAY_CONFIG`: {}: {e}", path.display()))?;
        let (name, listen) = (std::env::var("RELAY_NAME").ok(), std::env::var("RELAY_LISTEN").ok());
        let config = Config::read(&text, name.as_deref(), listen.as_deref())
            .map_err(|e| format!("{}: {e}", path.display()))?;
        let operator = match &self.operator {
            Some(path) => OperatorConfig::load(path).map_err(|e| e.to_string())?,
            None => OperatorConfig::default(),
        };
        Ok((config, operator))
    }
}

/// Runs the program with the arguments of a command line, the program's own name first.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = Cli::parse_from(arguments);
    let (config, operator) = match cli.files.read() {
        Ok(read) => read,
        Err(e) => {
            eprintln!("dunlinspread: configuration: {e}");
            return ExitCode::FAILURE;
        }
    };
    if let Some(Verb::Check) = cli.command {
        print!("{config}\n{operator}");
        return ExitCode::SUCCESS;
    }
    let format = cli.log_format.unwrap_or(operator.log.format);
    let (drain, flush) = log_drain(format, config.limits.log_lines);
    let level = match operator.log.level {
        LogLevel::Error => slog::Level::Error,
        LogLevel::Warning => slog::Level::Warning,
        LogLevel::Info => slog::Level::Info,
    };
    let log = Logger::root(drain.filter_level(level).fuse(), o!("name" => config.name.clone()));
    let executor = Rc::new(LocalExecutor::new());
    let result = async_io::block_on(executor.run(serve(cli.files, config, operator, executor.clone(), log)));
    // Lines still on their way are written before the end.
    drop(flush);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("dunlinspread: {e}");
            ExitCode::FAILURE
        }
    }
}

/// The log's writer. It has a thread of its own: a log that nobody reads never holds up serving.
fn log_drain(format: LogFormat, lines: usize) -> (slog_async::Async, slog_async::AsyncGuard) {
    let writer: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        }
        LogFormat::Json => {
            let json = slog_json::Json::new(std::io::stderr()).add_default_keys().set_flush(true).build();
            Box::new(std::sync::Mutex::new(json).fuse())
        }
    };
    slog_async::Async::new(writer)
        .chan_size(lines)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard()
}

/// The mailboxes of the actors whose peers can move.
struct Links {
    files: Files,
    operator: OperatorConfig,
    pool: async_channel::Sender<WorkerPoolMessage>,
    index: Option<async_channel::Sender<UpstreamMessage>>,
    catalog: async_channel::Sender<RegistryMessage>,
}

impl Links {
    /// Rereads the configuration and moves the links whose addresses changed. A faulty file changes nothing, and
    /// whatever else differs waits for the next start.
    fn reread(&self, config: &mut Config, log: &Logger) {
        let (new, operator) = match self.files.read() {
            Ok(read) => read,
            Err(e) => return warn!(log, "configuration is faulty, the running one stays"; "why" => e),
        };
        // The mailboxes have no bound and close only when the program ends.
        if new.worker_pool != config.worker_pool {
            let _ = self.pool.try_send(WorkerPoolMessage::SetAddress(new.worker_pool));
        }
        if new.registry != config.registry {
            let _ = self.catalog.try_send(RegistryMessage::SetAddress(new.registry));
        }
        match (&self.index, new.upstream) {
            (Some(index), Some(to)) if Some(to) != config.upstream => {
                let _ = index.try_send(UpstreamMessage::SetAddress(to));
            }
            (Some(_), Some(_)) | (None, None) => {}
            _ => warn!(log, "configuration: `index`: comes or goes only with a restart"),
        }
        if (&new.name, new.listen) != (&config.name, config.listen) {
            warn!(log, "configuration: `name`, `listen`: change only with a restart");
        }
        if operator != self.operator {
            warn!(log, "operator file: changes only with a restart");
        }
        (config.worker_pool, config.registry) = (new.worker_pool, new.registry);
        config.upstream = config.upstream.and(new.upstream).or(config.upstream);
        info!(log, "configuration reread"; "pool" => config.worker_pool.to_string(),
            "directory" => config.registry.to_string(),
            "index" => config.upstream.map_or("none".to_owned(), |i| i.to_string()));
    }

    /// Hears signals until the notice to leave, for ever if none comes.
    async fn hear(&self, signals: &mut Signals, config: &mut Config, log: &Logger) {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => self.reread(config, log),
                Ok(_) => return,
                Err(e) => warn!(log, "a signal can't be read"; "why" => e.to_string()),
            }
        }
        futures_lite::future::pending().await
    }
}

async fn serve(
    files: Files,
    mut config: Config,
    operator: OperatorConfig,
    executor: Rc<LocalExecutor<'static>>,
    log: Logger,
) -> Result<(), String> {
    let clock = Clock::start();
    let wheel = TimerWheel::new(clock, config.settings.tick_ms);
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"))?;
    let listener = TcpListener::bind(config.listen).and_then(Async::new);
    let listener = listener.map_err(|e| format!("`listen`: {}: {e}", config.listen))?;

    let listening = listener.get_ref().local_addr().unwrap_or(config.listen);

    let (core_box, core_letters) = async_channel::bounded(config.limits.dispatcher_mailbox);
    let (pool_box, pool_letters) = async_channel::unbounded();
    let (catalog_box, catalog_letters) = async_channel::unbounded();
    let (list_box, list_letters) = async_channel::unbounded();

    let (failures, failed_tasks) = async_channel::unbounded();
    let supervise = |name, work: BoxedLocal<()>| {
        executor.spawn(supervisor::supervise(name, work, failures.clone())).detach()
    };
    let index_box = config.upstream.map(|address| {
        let (index_box, letters) = async_channel::unbounded();
        let (core, own, exe) = (core_box.clone(), index_box.clone(), executor.clone());
        let index = UpstreamClient::new(UpstreamClientSettings {
            address,
            max_connections: config.limits.upstream_connections,
            dispatcher: core,
            sender: own,
            executor: exe,
            clock,
            wheel: wheel.clone(),
            log: log.clone(),
        });
        supervise("upstream client", Box::pin(index.run(letters)));
        index_box
    });
    let (classes, wheel_for) = (config.classes.clone(), wheel.clone());
    let pool = WorkerPoolLink::new(config.worker_pool, classes, core_box.clone(), wheel_for, log.clone());
    supervise("worker pool link", Box::pin(pool.run(pool_letters)));
    let catalog = RegistryReporter {
        address: config.registry,
        name: config.name.clone(),
        clock,
        wheel: wheel.clone(),
        log: log.clone(),
    };
    supervise("registry reporter", Box::pin(catalog.run(catalog_letters)));
    let links = Links {
        files,
        operator,
        pool: pool_box.clone(),
        index: index_box.clone(),
        catalog: catalog_box.clone(),
    };
    let mailboxes = Mailboxes {
        worker_pool: pool_box,
        upstream: index_box,
        registry: catalog_box,
        listener: list_box.clone(),
    };
    let (own, exe) = (core_box.clone(), executor.clone());
    let mut core = Dispatcher::new(&config, clock, wheel.clone(), exe, own, mailboxes, log.clone());
    if let Some(settings) = &links.operator.ledger {
        let start = ledger::LedgerStart {
            ledger_config: settings,
            config: &config,
            clock,
            dispatcher: core_box.clone(),
            failures: failures.clone(),
            log: &log,
        };
        let ledger = start.open(&executor).map_err(|error| error.to_string())?;
        let tick_ms = match settings.mode {
            DurabilityMode::Strict => LEDGER_TICK_MS,
            DurabilityMode::Interval { every_ms, .. } => LEDGER_TICK_MS.min(every_ms as f64),
        };
        core.enable_billing(ledger, tick_ms);
    }
    supervise("dispatcher", Box::pin(core.run(core_letters)));
    supervise("timer wheel", Box::pin(wheel.clone().advance()));
    let (class_names, tenants) =
        (Arc::new(NameTable::new(&config.classes)), Arc::new(NameTable::new(&config.tenants)));
    let distributed = match &links.operator.config_sync {
        Some(settings) => {
            let node = ConfigSync {
                settings,
                config: &config,
                classes: class_names.clone(),
                tenants: tenants.clone(),
                core: core_box.clone(),
                wheel: wheel.clone(),
                clock,
                log: log.clone(),
            };
            let (distributed, following) = node.start().await?;
            supervise("distributed configuration", Box::pin(following.run()));
            Some(distributed)
        }
        None => None,
    };
    let context = Rc::new(FrontendContext {
        tenants,
        passes_deadline: config.settings.passes_deadline,
        classes: config.settings.classes.clone(),
        class_names,
        distributed,
        clock,
        wheel: wheel.clone(),
        dispatcher: core_box.clone(),
        log: log.clone(),
        bills_accounts: links.operator.ledger.is_some(),
        last_request_id: Cell::new(0),
        fault_log: Cell::new(LogWindow::default()),
    });
    let list = Listener {
        context,
        socket: listener,
        sender: list_box.clone(),
        executor: executor.clone(),
        max_connections: config.limits.client_connections,
    };
    let (left, (list_ends, list_over)) = (Rc::new(Cell::new(false)), async_channel::bounded(1));
    let (may_end, list_failures) = (left.clone(), failures.clone());
    let list = async move {
        match supervisor::catch_panic(list.run(list_letters)).await {
            Ok(()) if may_end.get() => drop(list_ends.send(()).await),
            how => drop(list_failures.send(TaskFailure::new("listener", how)).await),
        }
    };
    executor.spawn(list).detach();
    info!(log, "serving"; "listen" => listening.to_string(), "classes" => config.classes.len());

    // An actor that dies ends the program at once, with a code: what it owed can't be given, and whoever restarts the
    // program should see that.
    let death = async {
        match failed_tasks.recv().await {
            Ok(failure) => Err(failure.to_string()),
            Err(_) => Err("all tasks have ended".to_owned()),
        }
    };
    let leaving = async {
        links.hear(&mut signals, &mut config, &log).await;
        let (stop_ms, notice) = (config.stop_timeout.as_secs_f64() * 1000.0, clock.now());
        info!(log, "notice to leave"; "stop_ms" => stop_ms);
        let stop_at = notice + (stop_ms - ANSWER_MARGIN_MS).max(0.0);
        core_box.send(DispatcherMessage::Drain { stop_at }).await.map_err(|e| e.to_string())?;
        let leave = async {
            wheel.sleep((stop_ms - CLOSING_MS).max(0.0)).await;
            left.set(true);
            // The list's mailbox is open as long as the list runs.
            let finish_at = notice + (stop_ms - FINISH_MS).max(0.0);
            let _ = list_box.send(ListenerMessage::Shutdown { finish_at }).await;
            let _ = list_over.recv().await;
        };
        let hearing = async {
            loop {
                links.hear(&mut signals, &mut config, &log).await;
            }
        };
        or(or(leave, wheel.sleep((stop_ms - END_MARGIN_MS).max(0.0))), hearing).await;
        Ok(())
    };
    or(leaving, death).await?;
    if links.operator.ledger.is_some() {
        ledger::close(&core_box, &log).await;
    }
    info!(log, "leaving");
    Ok(())
}
