//! The process from its command line to its exit code.

use super::command_line::{Command, CommandLine, ConfigFiles, LoadedConfig};
use super::error::DaemonError;
use super::reload::ConfigReloader;
use super::shutdown::run_until_shutdown;
use super::signals::ProcessSignals;
use super::{ledger, log_writer, logging, wiring};
use crate::operator::LogSettings;
use async_executor::LocalExecutor;
use clap::Parser;
use slog::{Logger, info};
use std::ffi::OsString;
use std::process::ExitCode;
use std::rc::Rc;

/// Runs the program with the arguments of a command line, the program's own name first.
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
    let served = async_io::block_on(executor.run(serve(
        command_line.files,
        loaded,
        executor.clone(),
        log.logger.clone(),
    )));
    log.flush();
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log_writer::report(&error.to_string());
            ExitCode::FAILURE
        }
    }
}

/// Serves until the shutdown is complete.
async fn serve(
    files: ConfigFiles,
    loaded: LoadedConfig,
    executor: Rc<LocalExecutor<'static>>,
    log: Logger,
) -> Result<(), DaemonError> {
    let mut signals = ProcessSignals::new(log.clone())?;
    let server = wiring::start_server(&loaded, &executor, &log).await?;
    info!(log, "serving"; "listen" => server.listen.to_string(), "classes" => loaded.platform.classes.len());
    let has_ledger = loaded.operator.ledger.is_some();
    let mut reloader = ConfigReloader::new(files, loaded, server.mailboxes.clone(), log.clone());
    run_until_shutdown(&server, &mut signals, &mut reloader, &log).await?;
    if has_ledger {
        ledger::close(&server.dispatcher, &log).await;
        // The store's writer works until here.
        if let Ok(failure) = server.failures.try_recv() {
            return Err(failure.into());
        }
    }
    info!(log, "shutdown complete");
    Ok(())
}
