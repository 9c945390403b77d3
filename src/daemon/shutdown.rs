//! Shutdown of the server on request of a signal.

use super::error::DaemonError;
use super::reload::ConfigReloader;
use super::shutdown_schedule::ShutdownSchedule;
use super::signals::{ProcessSignal, ProcessSignals};
use super::wiring::RunningServer;
use crate::server::messages::{DispatcherMessage, ListenerMessage};
use futures_lite::future::{or, pending};
use slog::{Logger, error, info};
use std::time::{Duration, Instant};

/// Minimum time for sending the last responses if the shutdown is behind schedule, ms, even if the kill is
/// due: a few turns of the event loop.
const MIN_RESPONSE_TIME_MS: f64 = 15.0;

/// Time at which the process is killed if it has not exited by then.
#[derive(Clone, Copy, Debug)]
pub(super) struct KillTime(pub(super) Instant);

fn in_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Waits for a shutdown request, and reloads the configuration at each SIGHUP before it. Returns the time at
/// which the request was received; `None` if signals can't be received any more.
async fn shutdown_requested(signals: &mut ProcessSignals, reloader: &mut ConfigReloader) -> Option<Instant> {
    while let Some(signal) = signals.next().await {
        match signal {
            ProcessSignal::Reload => reloader.reload(),
            ProcessSignal::Shutdown { received_at } => return Some(received_at),
        }
    }
    None
}

/// Reloads the configuration at each SIGHUP; ignores further shutdown requests.
async fn handle_after_shutdown_request(signals: &mut ProcessSignals, reloader: &mut ConfigReloader) {
    while shutdown_requested(signals, reloader).await.is_some() {}
    pending().await
}

/// Serves until a requested shutdown is complete. Returns the time at which the process is killed.
///
/// # Errors
/// - [`DaemonError::Task`] if a task fails: its outstanding work can't be completed, and whatever restarts
///   the process must see the failure.
/// - [`DaemonError::AllTasksEnded`] if no task is left that could report a failure.
/// - [`DaemonError::DispatcherGone`] if the drain can't be requested from the dispatcher.
pub(super) async fn run_until_shutdown(
    server: &RunningServer,
    signals: &mut ProcessSignals,
    reloader: &mut ConfigReloader,
    log: &Logger,
) -> Result<KillTime, DaemonError> {
    let task_failed = async {
        match server.failures.recv().await {
            Ok(failure) => Err(DaemonError::Task(failure)),
            Err(_) => Err(DaemonError::AllTasksEnded),
        }
    };
    let shutdown = async {
        let received_at = shutdown_requested(signals, reloader).await.unwrap_or_else(|| {
            error!(log, "signals can't be received any more, shutting down");
            Instant::now()
        });
        shut_down(server, received_at, signals, reloader, log).await
    };
    or(shutdown, task_failed).await
}

/// Drains the dispatcher, closes the connections, and returns once they are closed or the time is up. The
/// time counts from the receipt of the signal, however late the event loop handles it. Returns the time at
/// which the process is killed.
async fn shut_down(
    server: &RunningServer,
    received_at: Instant,
    signals: &mut ProcessSignals,
    reloader: &mut ConfigReloader,
    log: &Logger,
) -> Result<KillTime, DaemonError> {
    let handling_delay_ms = in_ms(received_at.elapsed());
    let stop_timeout = reloader.platform().stop_timeout;
    let requested_at = server.clock.now() - handling_delay_ms;
    let schedule = ShutdownSchedule::new(requested_at, stop_timeout, server.wheel.greatest_lag_ms());
    info!(log, "shutdown requested"; "heard_after_ms" => handling_delay_ms.round(),
        "stop_ms" => in_ms(stop_timeout), "lead_ms" => schedule.lead_ms().round());
    let drain = DispatcherMessage::Drain { stop_at: schedule.respond_by() };
    server.dispatcher.send(drain).await.map_err(|_| DaemonError::DispatcherGone)?;
    let connections_closed = async {
        // A process that has handed over receives no new connections: it exits as soon as all requests are
        // answered.
        if !server.status.is_handed_over() {
            sleep_until(server, schedule.close_at()).await;
        }
        close_connections(server).await;
        if server.status.is_handed_over() {
            wait_until_idle(server).await;
        }
    };
    let time_up = async {
        sleep_until(server, schedule.finish_at()).await;
        finish_connections(server, schedule.exit_at()).await;
        sleep_until(server, schedule.exit_at()).await;
        info!(log, "shutdown out of time"; "late_ms" => (server.clock.now() - schedule.exit_at()).round());
    };
    let handle_signals = handle_after_shutdown_request(signals, reloader);
    or(or(connections_closed, time_up), handle_signals).await;
    Ok(KillTime(received_at + stop_timeout))
}

/// Sleeps until `time`, Unix ms.
async fn sleep_until(server: &RunningServer, time: f64) {
    server.wheel.sleep(time - server.clock.now()).await;
}

/// Asks the clients to close their connections, and waits until the last connection is closed.
async fn close_connections(server: &RunningServer) {
    server.listener.may_end.set(true);
    // The listener's mailbox stays open as long as the listener runs.
    let _ = server.listener.sender.send(ListenerMessage::Shutdown).await;
    let _ = server.listener.ended.recv().await;
}

/// Finishes the open connections once all requests are answered. An event loop that reaches this step late
/// also sends the last responses late, and a connection that finishes before its response loses it. The
/// connections are finished by `exit_at`, Unix ms, even if responses are missing, but not before the event
/// loop has had a few more turns.
async fn finish_connections(server: &RunningServer, exit_at: f64) {
    let time_left_ms = exit_at - server.clock.now();
    let out_of_time = server.wheel.sleep(time_left_ms.max(MIN_RESPONSE_TIME_MS));
    or(wait_until_idle(server), out_of_time).await;
    // If the listener has ended, all connections are closed already.
    let _ = server.listener.sender.send(ListenerMessage::Finish).await;
}

/// Waits until no request is left. After a handover this includes the runs that this process started, whose
/// ends the successor waits for.
async fn wait_until_idle(server: &RunningServer) {
    let (idle, is_idle) = async_channel::bounded(1);
    if server.dispatcher.send(DispatcherMessage::NotifyIdle(idle)).await.is_ok() {
        let _ = is_idle.recv().await;
    }
}
