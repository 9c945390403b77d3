//! The shutdown that a signal requests.

use super::error::DaemonError;
use super::reload::ConfigReloader;
use super::shutdown_schedule::ShutdownSchedule;
use super::signals::{ProcessSignal, ProcessSignals};
use super::wiring::RunningServer;
use crate::server::messages::{DispatcherMessage, ListenerMessage};
use futures_lite::future::{or, pending};
use slog::{Logger, error, info};
use std::time::{Duration, Instant};

/// Shortest time for the last answers of a process that comes late to its end, ms, also where the kill is due: some turns of
/// the event loop.
const MIN_ANSWER_TIME_MS: f64 = 15.0;

/// When the process is killed if it has not ended by itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct KillTime(pub(super) Instant);

fn in_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Waits for the request of a shutdown, and reloads the configuration at each SIGHUP before it. Returns when it came;
/// `None` if no signal can be received any more.
async fn shutdown_requested(signals: &mut ProcessSignals, reloader: &mut ConfigReloader) -> Option<Instant> {
    while let Some(signal) = signals.next().await {
        match signal {
            ProcessSignal::Reload => reloader.reload(),
            ProcessSignal::Shutdown { received_at } => return Some(received_at),
        }
    }
    None
}

/// Reloads the configuration at each SIGHUP; further requests of a shutdown have no effect.
async fn handle_after_shutdown_request(signals: &mut ProcessSignals, reloader: &mut ConfigReloader) {
    while shutdown_requested(signals, reloader).await.is_some() {}
    pending().await
}

/// Serves until a shutdown is requested and complete. Returns when the process is killed.
///
/// # Errors
/// If a task fails: what it owed can't be delivered, and whoever restarts the process has to see that.
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

/// Drains the dispatcher, closes the connections, and returns once they are closed or the time is up. The time counts from
/// when the request came, however late it is heard. Returns when the process is killed.
async fn shut_down(
    server: &RunningServer,
    received_at: Instant,
    signals: &mut ProcessSignals,
    reloader: &mut ConfigReloader,
    log: &Logger,
) -> Result<KillTime, DaemonError> {
    let heard_after_ms = in_ms(received_at.elapsed());
    let stop_timeout = reloader.platform().stop_timeout;
    let requested_at = server.clock.now() - heard_after_ms;
    let schedule = ShutdownSchedule::new(requested_at, stop_timeout, server.wheel.greatest_lag_ms());
    info!(log, "shutdown requested"; "heard_after_ms" => heard_after_ms.round(), "stop_ms" => in_ms(stop_timeout),
        "lead_ms" => schedule.lead_ms().round());
    let drain = DispatcherMessage::Drain { stop_at: schedule.respond_by() };
    server.dispatcher.send(drain).await.map_err(|_| DaemonError::DispatcherGone)?;
    let connections_closed = async {
        // A process that has handed over is no longer sent to: it ends as soon as nothing is owed.
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

/// Sleeps until that time, Unix ms.
async fn sleep_until(server: &RunningServer, time: f64) {
    server.wheel.sleep(time - server.clock.now()).await;
}

/// Tells the clients to close their connections, and waits for the end of the last one.
async fn close_connections(server: &RunningServer) {
    server.listener.may_end.set(true);
    // The listener's mailbox is open as long as the listener runs.
    let _ = server.listener.sender.send(ListenerMessage::Shutdown).await;
    let _ = server.listener.ended.recv().await;
}

/// Has the open connections finish, once all requests are answered: an event loop that comes late to this comes late to the
/// last responses as well, and a connection that finishes before one loses it. At `exit_at`, Unix ms, it is done whatever is
/// owed, but not without a few turns of the event loop.
async fn finish_connections(server: &RunningServer, exit_at: f64) {
    let time_left_ms = exit_at - server.clock.now();
    let out_of_time = server.wheel.sleep(time_left_ms.max(MIN_ANSWER_TIME_MS));
    or(wait_until_idle(server), out_of_time).await;
    // Without a listener all connections are closed.
    let _ = server.listener.sender.send(ListenerMessage::Finish).await;
}

/// Waits until no request is left: the successor waits for the ends of runs that were begun here.
async fn wait_until_idle(server: &RunningServer) {
    let (idle, is_idle) = async_channel::bounded(1);
    if server.dispatcher.send(DispatcherMessage::NotifyIdle(idle)).await.is_ok() {
        let _ = is_idle.recv().await;
    }
}
