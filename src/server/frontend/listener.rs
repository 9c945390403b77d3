//! The task that accepts client connections, closes idle ones, and closes all of them on shutdown.

use super::connection_state::ConnectionPolicy;
use super::connection_table::{ConnectionTable, Eviction};
use super::context::FrontendContext;
use crate::server::messages::ListenerMessage;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::StreamExt;
use futures_lite::future::{or, pending, yield_now};
use slog::{info, warn};
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;

/// Interval between two sweeps over the connections, ms.
const SWEEP_INTERVAL_MS: f64 = 25.0;
/// Delay of a sweep from which the event loop counts as stalled, ms.
const STALL_THRESHOLD_MS: f64 = 500.0;
/// Number of events handled before the listener yields to other tasks.
const EVENTS_PER_TURN: u64 = 16;
/// Pause of accepting when descriptors run out and after a stall, ms.
const ACCEPT_PAUSE_MS: f64 = 50.0;

/// The listener with the settings and dependencies of its task.
pub struct Listener {
    /// State and settings shared by all connections.
    pub context: Rc<FrontendContext>,
    /// The listening socket.
    pub socket: Async<TcpListener>,
    /// Sender to the listener's own queue, for the connection tasks.
    pub sender: Sender<ListenerMessage>,
    /// Executor of the connection tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Initial idle timeout, until the admission controller sets another one, ms.
    pub idle_timeout_ms: f64,
    /// Whether connections are accepted from the start.
    pub accepts: bool,
}

enum ListenerEvent {
    Accepted(std::io::Result<TcpStream>),
    Message(Option<ListenerMessage>),
    SweepDue,
}

/// The state of the listener's task.
struct ListenerTask {
    context: Rc<FrontendContext>,
    /// The listening socket; `None` once the server shuts down.
    socket: Option<Async<TcpListener>>,
    /// Whether this process accepts connections from the socket, which another process may share.
    accepts: bool,
    /// Whether another process took over, so that all clients of this one are notified.
    handed_over: bool,
    connections: ConnectionTable,
    idle_timeout_ms: f64,
    /// Whether the server shuts down, so that the task ends once its last connection is closed.
    is_shutting_down: bool,
    /// Whether the process is ending, so that all connections finish.
    finish_all: bool,
    accept_paused_until: f64,
    last_sweep_at: f64,
}

impl Listener {
    /// Accepts and manages connections until the server shuts down and all of them are closed.
    pub async fn run(self, receiver: Receiver<ListenerMessage>) {
        let wheel = self.context.wheel.clone();
        let clock = self.context.clock;
        let mut receiver = pin!(receiver);
        let mut sweep_timer = wheel.sleep(SWEEP_INTERVAL_MS);
        let mut task = ListenerTask::new(self);
        let mut handled = 0_u64;
        loop {
            let message = async { ListenerEvent::Message(receiver.next().await) };
            let sweep_due = async {
                (&mut sweep_timer).await;
                ListenerEvent::SweepDue
            };
            let event = or(message, or(sweep_due, task.accept())).await;
            let now = clock.now();
            task.exclude_stall(now);
            match event {
                ListenerEvent::Accepted(accepted) => task.handle_accepted(now, accepted),
                ListenerEvent::Message(Some(message)) => task.handle_message(now, message),
                ListenerEvent::Message(None) => return,
                ListenerEvent::SweepDue => {
                    sweep_timer = wheel.sleep(SWEEP_INTERVAL_MS);
                    task.sweep(now);
                }
            }
            if task.is_finished() {
                return task.context.client_log.log_all_repetitions();
            }
            handled += 1;
            if handled % EVENTS_PER_TURN == 0 {
                yield_now().await;
            }
        }
    }
}

impl ListenerTask {
    fn new(listener: Listener) -> ListenerTask {
        let Listener { context, socket, sender, executor, max_connections, idle_timeout_ms, accepts } =
            listener;
        ListenerTask {
            connections: ConnectionTable::new(context.clone(), sender, executor, max_connections),
            socket: Some(socket),
            accepts,
            handed_over: false,
            idle_timeout_ms,
            is_shutting_down: false,
            finish_all: false,
            accept_paused_until: 0.0,
            last_sweep_at: context.clock.now(),
            context,
        }
    }

    fn is_finished(&self) -> bool {
        self.is_shutting_down && self.connections.is_empty()
    }

    /// Accepts a connection. Without capacity, new connections wait in the system's accept queue.
    async fn accept(&self) -> ListenerEvent {
        let may_accept =
            self.connections.has_capacity() && self.context.clock.now() >= self.accept_paused_until;
        match &self.socket {
            Some(socket) if may_accept && self.accepts => {
                let accepted = socket.accept().await;
                ListenerEvent::Accepted(accepted.and_then(|(stream, _)| stream.into_inner()))
            }
            _ => pending().await,
        }
    }

    /// Excludes a stall of the event loop from the connections' times before the next event is handled. What
    /// clients sent meanwhile is thus read before connections are closed and new ones accepted.
    fn exclude_stall(&mut self, now: f64) {
        let stalled_ms = now - self.last_sweep_at - SWEEP_INTERVAL_MS;
        if stalled_ms <= STALL_THRESHOLD_MS {
            return;
        }
        let times = self.context.task_times.take_report();
        warn!(self.context.log, "event loop stalled"; "tasks" => %times, "component" => "frontend",
            "ms" => stalled_ms.round());
        self.connections.exclude_stall(stalled_ms);
        self.last_sweep_at = now;
        self.accept_paused_until = now + ACCEPT_PAUSE_MS;
    }

    fn handle_accepted(&mut self, now: f64, accepted: std::io::Result<TcpStream>) {
        match accepted {
            Ok(stream) => {
                let is_paused = now < self.accept_paused_until;
                let eviction = if is_paused { Eviction::Deferred } else { Eviction::Allowed };
                self.connections.add(now, stream, eviction);
            }
            Err(error) => {
                // The descriptors ran out, or the connection was reset before it was accepted.
                self.accept_paused_until = now + ACCEPT_PAUSE_MS;
                self.context.client_log.accepting_paused(now, &error, self.connections.len());
            }
        }
    }

    fn handle_message(&mut self, now: f64, message: ListenerMessage) {
        match message {
            ListenerMessage::SetIdleTimeout(ms) => self.idle_timeout_ms = ms,
            ListenerMessage::ConnectionClosed(number) => self.connections.remove(number),
            ListenerMessage::StartAccepting => (self.accepts, self.handed_over) = (true, false),
            ListenerMessage::HandOver => (self.accepts, self.handed_over) = (false, true),
            ListenerMessage::Shutdown => self.shut_down(now),
            ListenerMessage::Finish => {
                self.finish_all = true;
                self.sweep(now);
            }
        }
    }

    /// Closes the listening socket. Connections in the system's accept queue are accepted first: their
    /// clients see them as open and may have sent a request, which a close would lose. After a handover the
    /// other process accepts them.
    fn shut_down(&mut self, now: f64) {
        self.is_shutting_down = true;
        if let Some(socket) = self.socket.take().filter(|_| self.accepts) {
            while let Ok((stream, _)) = socket.get_ref().accept() {
                self.connections.add(now, stream, Eviction::Deferred);
            }
        }
        info!(self.context.log, "closing connections";
            "component" => "frontend", "open" => self.connections.len());
    }

    fn sweep(&mut self, now: f64) {
        self.last_sweep_at = now;
        self.context.task_times.reset();
        self.context.client_log.log_repetitions(now);
        let policy = ConnectionPolicy {
            idle_timeout_ms: self.idle_timeout_ms,
            notify_all: self.handed_over || self.is_shutting_down,
            finish_all: self.finish_all,
        };
        self.connections.sweep(now, policy);
    }
}
