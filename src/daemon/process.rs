//! The life of the process, from the command line to the exit code.

use super::command_line::{Command, CommandLine, ConfigFiles, LoadedConfig};
use super::error::DaemonError;
use super::logging::Log;
use super::reload::ConfigReloader;
use super::shutdown::{KillTime, run_until_shutdown};
use super::signals::ProcessSignals;
use super::{ledger, log_writer, logging, wiring};
use crate::operator::LogSettings;
use crate::server::event_loop;
use crate::server::read_turns::ReadTurns;
use async_executor::LocalExecutor;
use clap::Parser;
use slog::{Logger, info};
use std::ffi::OsString;
use std::mem::ManuallyDrop;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Divisor of the time left until the kill; the quotient is the time limit for writing the rest of the log.
const LOG_TIME_DIVISOR: u32 = 2;
/// Time limit for writing the rest of the log if no kill is due, because a task or the start failed.
const LOG_TIME_AFTER_FAILURE: Duration = Duration::from_secs(1);
/// Minimum time limit for writing the rest of the log, even if the kill is imminent.
const MIN_LOG_TIME: Duration = Duration::from_millis(5);
/// Exit codes of a process that started serving.
const EXIT_SUCCESS: i32 = 0;
const EXIT_FAILURE: i32 = 1;

/// Runs the program with the given command-line arguments, which start with the program's name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command_line = CommandLine::parse_from(arguments);
    let loaded = match command_line.files.load() {
        Ok(loaded) => loaded,
        Err(error) => {
            log_writer::report(&format!("configuration: {error}"));
            return ExitCode::FAILURE;
        }
    };
    if let Some(Command::Check) = command_line.command {
        print!("{}\n{}", loaded.platform, loaded.operator);
        return ExitCode::SUCCESS;
    }
    let log_settings = LogSettings {
        format: command_line.log_format.unwrap_or(loaded.operator.log.format),
        level: loaded.operator.log.level,
    };
    let log = logging::start(&log_settings, &loaded.platform.name, loaded.platform.limits.log_lines);
    let executor = Rc::new(LocalExecutor::new());
    let read_turns = Rc::new(ReadTurns::default());
    let serving = serve(command_line.files, loaded, executor.clone(), read_turns.clone(), log.logger.clone());
    let served = async_io::block_on(event_loop::run(&executor, &read_turns, serving));
    exit(log, served)
}

/// Writes the rest of the log and exits the process. Nothing else delays the exit once all responses are
/// sent: tasks, connections and threads are not ended one by one, since the system reclaims their resources.
fn exit(log: Log, served: Result<KillTime, DaemonError>) -> ! {
    let (code, error, log_time) = match served {
        Ok(kill_time) => {
            let time_left = kill_time.0.saturating_duration_since(Instant::now());
            (EXIT_SUCCESS, None, time_left / LOG_TIME_DIVISOR)
        }
        Err(error) => (EXIT_FAILURE, Some(error.to_string()), LOG_TIME_AFTER_FAILURE),
    };
    log.end(error, log_time.max(MIN_LOG_TIME));
    std::process::exit(code)
}

/// Serves until the shutdown is complete.
async fn serve(
    files: ConfigFiles,
    loaded: LoadedConfig,
    executor: Rc<LocalExecutor<'static>>,
    read_turns: Rc<ReadTurns>,
    log: Logger,
) -> Result<KillTime, DaemonError> {
    let mut signals = ProcessSignals::new(log.clone())?;
    // Not dropped: the process exits right after this function, and ending the server's threads and mailboxes
    // first would only delay the exit.
    let server = ManuallyDrop::new(wiring::start_server(&loaded, &executor, &read_turns, &log).await?);
    info!(log, "serving"; "listen" => server.listen.to_string(), "classes" => loaded.platform.classes.len());
    let has_ledger = loaded.operator.ledger.is_some();
    let mut reloader = ConfigReloader::new(files, loaded, server.mailboxes.clone(), log.clone());
    let kill_time = run_until_shutdown(&server, &mut signals, &mut reloader, &log).await?;
    if has_ledger {
        ledger::close(&server.dispatcher, &log).await;
        // The store's writer runs, and can fail, until the ledger is closed.
        if let Ok(failure) = server.failures.try_recv() {
            return Err(failure.into());
        }
    }
    info!(log, "shutdown complete");
    Ok(kill_time)
}
