//! Signals, and the shutdown that they request.

use super::error::DaemonError;
use super::reload::ConfigReloader;
use super::wiring::RunningServer;
use crate::server::messages::{DispatcherMessage, ListenerMessage};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::{or, pending};
use slog::{Logger, info, warn};
use std::time::Duration;

/// The admission controller's time ends so long before the kill, ms: its last responses still have to be written.
const RESPONSE_MARGIN_MS: f64 = 100.0;
/// Connections begin to close so long before the kill, ms, so that no request is read too late for its response.
const CLOSE_MARGIN_MS: f64 = 600.0;
/// Connections finish so long before the kill, ms, once the last responses are written: clients then read an end, where
/// the end of the process could reset connections over unread bytes and lose responses.
const FINISH_MARGIN_MS: f64 = 70.0;
/// The process ends so long before the kill at the latest, ms.
const EXIT_MARGIN_MS: f64 = 40.0;

/// The steps of a shutdown, in ms from its request.
struct ShutdownSchedule {
    /// The process is killed.
    stop_ms: f64,
}

impl ShutdownSchedule {
    fn new(stop_timeout: Duration) -> ShutdownSchedule {
        ShutdownSchedule { stop_ms: stop_timeout.as_secs_f64() * 1000.0 }
    }

    fn before_stop(&self, margin_ms: f64) -> f64 {
        (self.stop_ms - margin_ms).max(0.0)
    }
}

/// The signals of the process.
pub(super) struct ProcessSignals {
    signals: Signals,
    log: Logger,
}

impl ProcessSignals {
    /// Handles SIGTERM, SIGINT and SIGHUP from now on.
    ///
    /// # Errors
    /// If the system does not allow it.
    pub(super) fn new(log: Logger) -> Result<ProcessSignals, DaemonError> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(DaemonError::Signals)?;
        Ok(ProcessSignals { signals, log })
    }

    /// Waits for the request of a shutdown, and reloads the configuration at each SIGHUP before it.
    async fn shutdown_requested(&mut self, reloader: &mut ConfigReloader) {
        while let Some(signal) = self.signals.next().await {
            match signal {
                Ok(Signal::Hup) => reloader.reload(),
                Ok(_) => return,
                Err(error) => {
                    warn!(self.log, "a signal can't be read"; "error" => error.to_string());
                }
            }
        }
        pending().await
    }

    /// Reloads the configuration at each SIGHUP; further requests of a shutdown have no effect.
    async fn handle_after_shutdown_request(&mut self, reloader: &mut ConfigReloader) {
        loop {
            self.shutdown_requested(reloader).await;
        }
    }
}

/// Serves until a shutdown is requested and complete.
///
/// # Errors
/// If a task fails: what it owed can't be delivered, and whoever restarts the process has to see that.
pub(super) async fn run_until_shutdown(
    server: &RunningServer,
    signals: &mut ProcessSignals,
    reloader: &mut ConfigReloader,
    log: &Logger,
) -> Result<(), DaemonError> {
    let task_failed = async {
        match server.failures.recv().await {
            Ok(failure) => Err(DaemonError::Task(failure)),
            Err(_) => Err(DaemonError::AllTasksEnded),
        }
    };
    let shutdown = async {
        signals.shutdown_requested(reloader).await;
        shut_down(server, signals, reloader, log).await
    };
    or(shutdown, task_failed).await
}

/// Drains the dispatcher, closes the connections, and returns once they are closed or the time is up.
async fn shut_down(
    server: &RunningServer,
    signals: &mut ProcessSignals,
    reloader: &mut ConfigReloader,
    log: &Logger,
) -> Result<(), DaemonError> {
    let schedule = ShutdownSchedule::new(reloader.platform().stop_timeout);
    let requested_at = server.clock.now();
    info!(log, "shutdown requested"; "stop_ms" => schedule.stop_ms);
    let stop_at = requested_at + schedule.before_stop(RESPONSE_MARGIN_MS);
    let drain = DispatcherMessage::Drain { stop_at };
    server.dispatcher.send(drain).await.map_err(|_| DaemonError::DispatcherGone)?;
    let connections_closed = async {
        // A process that has handed over is no longer sent to: it ends as soon as nothing is owed.
        if !server.status.is_handed_over() {
            server.wheel.sleep(schedule.before_stop(CLOSE_MARGIN_MS)).await;
        }
        let finish_at = requested_at + schedule.before_stop(FINISH_MARGIN_MS);
        close_connections(server, finish_at).await;
        if server.status.is_handed_over() {
            wait_until_idle(server).await;
        }
    };
    let time_up = server.wheel.sleep(schedule.before_stop(EXIT_MARGIN_MS));
    let handle_signals = signals.handle_after_shutdown_request(reloader);
    or(or(connections_closed, time_up), handle_signals).await;
    Ok(())
}

/// Closes the connections, which finish at `finish_at`, Unix ms, and waits for their end.
async fn close_connections(server: &RunningServer, finish_at: f64) {
    server.listener.may_end.set(true);
    // The listener's mailbox is open as long as the listener runs.
    let _ = server.listener.sender.send(ListenerMessage::Shutdown { finish_at }).await;
    let _ = server.listener.ended.recv().await;
}

/// Waits until no request is left: the successor waits for the ends of runs that were begun here.
async fn wait_until_idle(server: &RunningServer) {
    let (idle, is_idle) = async_channel::bounded(1);
    if server.dispatcher.send(DispatcherMessage::NotifyIdle(idle)).await.is_ok() {
        let _ = is_idle.recv().await;
    }
}
