//! The event loop of the control endpoint: waits for its sockets alone.

use super::connection::Connection;
use super::connection_table::ConnectionTable;
use super::error::EventLoopError;
use crate::server::serving_status::ServingStatus;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use slog::{Logger, warn};
use std::io::ErrorKind;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Connections accepted in a row, before those that are open are looked at again.
const ACCEPT_BATCH: usize = 16;
/// Time without accepting after the system refused it.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the event loop waited for.
struct Events {
    stop_requested: bool,
    has_caller: bool,
    /// Whether an event came for each connection, in the order of the table.
    connections: Vec<bool>,
}

/// Accepts callers and answers them until it is stopped.
pub(super) struct EventLoop {
    listener: TcpListener,
    /// Reads an end once the loop has to stop.
    stop: UnixStream,
    connections: ConnectionTable,
    status: Arc<ServingStatus>,
    accept_paused_until: Option<Instant>,
    /// Whether the last accept failed.
    accept_failed: bool,
    log: Logger,
}

impl EventLoop {
    /// Returns the loop of a listener that does not block. It stops once the peer of `stop` is closed.
    pub(super) fn new(
        listener: TcpListener,
        stop: UnixStream,
        max_connections: usize,
        status: Arc<ServingStatus>,
        log: Logger,
    ) -> EventLoop {
        let connections = ConnectionTable::new(max_connections);
        EventLoop {
            listener,
            stop,
            connections,
            status,
            accept_paused_until: None,
            accept_failed: false,
            log,
        }
    }

    /// Runs until it is stopped.
    ///
    /// # Errors
    /// If the system does not wait for events.
    pub(super) fn run(mut self) -> Result<(), EventLoopError> {
        loop {
            let events = self.wait()?;
            if events.stop_requested {
                return Ok(());
            }
            self.connections.advance(&events.connections, Instant::now(), &self.status);
            if events.has_caller {
                self.accept_batch();
            }
        }
    }

    /// Waits for an event or a time limit.
    fn wait(&mut self) -> Result<Events, EventLoopError> {
        let now = Instant::now();
        self.accept_paused_until = self.accept_paused_until.filter(|until| *until > now);
        let listens = self.accept_paused_until.is_none() && self.connections.can_take();
        let timeout =
            self.next_deadline().map(|deadline| to_timespec(deadline.saturating_duration_since(now)));
        let listener_interest = if listens { PollFlags::IN } else { PollFlags::empty() };
        let mut descriptors =
            vec![PollFd::new(&self.stop, PollFlags::IN), PollFd::new(&self.listener, listener_interest)];
        let connections = self.connections.connections().iter();
        descriptors.extend(connections.map(|open| PollFd::new(open.stream(), open.interest())));
        match poll(&mut descriptors, timeout.as_ref()) {
            // A signal came: without events, all that is due is done and the wait begins anew.
            Ok(_) | Err(Errno::INTR) => {}
            Err(error) => return Err(EventLoopError::Wait(error.into())),
        }
        let mut has_event = descriptors.iter().map(|descriptor| !descriptor.revents().is_empty());
        let stop_requested = has_event.next().unwrap_or(false);
        let has_caller = has_event.next().unwrap_or(false) && listens;
        Ok(Events { stop_requested, has_caller, connections: has_event.collect() })
    }

    fn next_deadline(&self) -> Option<Instant> {
        let deadlines = self.connections.connections().iter().map(Connection::deadline);
        deadlines.chain(self.accept_paused_until).min()
    }

    fn accept_batch(&mut self) {
        for _ in 0..ACCEPT_BATCH {
            if !self.connections.can_take() {
                return;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    self.accept_failed = false;
                    let now = Instant::now();
                    // A socket that can't be set up is lost already.
                    let Ok(connection) = Connection::new(stream, now) else { continue };
                    self.connections.take(connection, now, &self.status);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if is_of_one_caller(error.kind()) => {}
                Err(error) => return self.pause_accepting(&error),
            }
        }
    }

    fn pause_accepting(&mut self, error: &std::io::Error) {
        self.accept_paused_until = Some(Instant::now() + ACCEPT_PAUSE);
        if !std::mem::replace(&mut self.accept_failed, true) {
            warn!(self.log, "accepting paused"; "error" => error.to_string());
        }
    }
}

/// Returns whether an error of accepting concerns that caller alone.
fn is_of_one_caller(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted)
}

fn to_timespec(duration: Duration) -> Timespec {
    // Rounded up, so that what is due then is due when the wait ends.
    let duration = duration + Duration::from_millis(1);
    Timespec { tv_sec: duration.as_secs() as i64, tv_nsec: i64::from(duration.subsec_nanos()) }
}
