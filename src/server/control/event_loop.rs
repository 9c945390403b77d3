//! Event loop of the control endpoint, which polls only the sockets of the endpoint.

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

/// Largest number of connections accepted in a row before the open ones are polled again.
const ACCEPT_BATCH: usize = 16;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Result of [`EventLoop::wait`].
struct Events {
    stop_requested: bool,
    has_new_connection: bool,
    /// Whether each connection has an event, in the order of the table.
    connections: Vec<bool>,
}

/// Event loop that accepts connections and serves their calls until it is stopped.
pub(super) struct EventLoop {
    listener: TcpListener,
    /// Socket whose peer is closed to stop the loop.
    stop: UnixStream,
    connections: ConnectionTable,
    status: Arc<ServingStatus>,
    accept_paused_until: Option<Instant>,
    /// Whether the last accept failed.
    accept_failed: bool,
    log: Logger,
}

impl EventLoop {
    /// Returns the event loop of a non-blocking listener. It stops when the peer of `stop` is closed.
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

    /// Runs the loop until it is stopped.
    ///
    /// # Errors
    /// Returns [`EventLoopError::Wait`] if waiting for events fails.
    pub(super) fn run(mut self) -> Result<(), EventLoopError> {
        loop {
            let events = self.wait()?;
            if events.stop_requested {
                return Ok(());
            }
            self.connections.advance(&events.connections, Instant::now(), &self.status);
            if events.has_new_connection {
                self.accept_batch();
            }
        }
    }

    /// Waits for an event or for the next deadline.
    fn wait(&mut self) -> Result<Events, EventLoopError> {
        let now = Instant::now();
        self.accept_paused_until = self.accept_paused_until.filter(|until| *until > now);
        let is_accepting = self.accept_paused_until.is_none() && self.connections.can_accept();
        let timeout =
            self.next_deadline().map(|deadline| to_timespec(deadline.saturating_duration_since(now)));
        let listener_interest = if is_accepting { PollFlags::IN } else { PollFlags::empty() };
        let mut descriptors =
            vec![PollFd::new(&self.stop, PollFlags::IN), PollFd::new(&self.listener, listener_interest)];
        let connections = self.connections.connections().iter();
        descriptors.extend(connections.map(|open| PollFd::new(open.stream(), open.interest())));
        match poll(&mut descriptors, timeout.as_ref()) {
            // After a signal there are no events: the loop handles expired deadlines and waits again.
            Ok(_) | Err(Errno::INTR) => {}
            Err(error) => return Err(EventLoopError::Wait(error.into())),
        }
        let mut has_event = descriptors.iter().map(|descriptor| !descriptor.revents().is_empty());
        let stop_requested = has_event.next().unwrap_or(false);
        let has_new_connection = has_event.next().unwrap_or(false) && is_accepting;
        Ok(Events { stop_requested, has_new_connection, connections: has_event.collect() })
    }

    fn next_deadline(&self) -> Option<Instant> {
        let deadlines = self.connections.connections().iter().map(Connection::deadline);
        deadlines.chain(self.accept_paused_until).min()
    }

    fn accept_batch(&mut self) {
        for _ in 0..ACCEPT_BATCH {
            if !self.connections.can_accept() {
                return;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    self.accept_failed = false;
                    let now = Instant::now();
                    // Setting the options of a socket fails only if its connection is already lost.
                    let Ok(connection) = Connection::new(stream, now) else { continue };
                    self.connections.insert(connection, now, &self.status);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if affects_one_connection(error.kind()) => {}
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

/// Returns whether an accept error affects only the connection that was about to be accepted.
fn affects_one_connection(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted)
}

fn to_timespec(duration: Duration) -> Timespec {
    // Rounded up, so that the deadline has passed when the wait ends.
    let duration = duration + Duration::from_millis(1);
    Timespec { tv_sec: duration.as_secs() as i64, tv_nsec: i64::from(duration.subsec_nanos()) }
}
