//! Connection of the control endpoint: reads one call, writes its response, and discards further bytes until
//! the caller closes the connection.

use super::answer::{Response, respond};
use super::call::CallParser;
use super::error::CallError;
use crate::server::serving_status::ServingStatus;
use rustix::event::PollFlags;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Timeout from accepting the connection to a complete call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for writing the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the response in which the caller is expected to close the connection. Closing a socket with
/// unread bytes would reset the connection, and the caller could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of bytes that are read after the call.
const MAX_LINGER_BYTES: usize = 64 * 1024;
/// Size of the read buffer, bytes.
const READ_BUFFER_BYTES: usize = 2048;

/// Phase of a connection.
#[derive(Debug)]
enum Phase {
    /// The call is being read.
    Receiving(CallParser),
    /// The response is being written.
    Responding { response: Vec<u8>, written: usize },
    /// Further bytes are discarded until the caller closes the connection.
    Lingering { read_bytes: usize },
    /// The connection has ended.
    Closed,
}

/// Connection of a caller.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    phase: Phase,
    /// Deadline of the current phase.
    deadline: Instant,
}

impl Connection {
    /// Returns a connection that was accepted at `now`.
    ///
    /// # Errors
    /// Returns the [`io::Error`] if the options of the socket can't be set.
    pub(super) fn new(stream: TcpStream, now: Instant) -> io::Result<Connection> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let phase = Phase::Receiving(CallParser::default());
        Ok(Connection { stream, phase, deadline: now + CALL_TIMEOUT })
    }

    /// Returns the socket.
    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the time by which the connection has to be advanced.
    pub(super) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the poll events that the connection waits for.
    pub(super) fn interest(&self) -> PollFlags {
        match self.phase {
            Phase::Responding { .. } => PollFlags::OUT,
            Phase::Receiving(_) | Phase::Lingering { .. } | Phase::Closed => PollFlags::IN,
        }
    }

    /// Returns whether the response is being written.
    pub(super) fn is_responding(&self) -> bool {
        matches!(self.phase, Phase::Responding { .. })
    }

    /// Returns whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    /// Makes all progress that is possible without blocking.
    pub(super) fn advance(&mut self, now: Instant, status: &ServingStatus) {
        loop {
            let result = match &self.phase {
                Phase::Receiving(_) => self.receive(now, status),
                Phase::Responding { .. } => self.write_response(now),
                Phase::Lingering { .. } => self.linger(),
                Phase::Closed => return,
            };
            match result {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock && now < self.deadline => return,
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.time_out(now),
                Err(_) => self.phase = Phase::Closed,
            }
        }
    }

    /// Ends the current phase after its deadline.
    fn time_out(&mut self, now: Instant) {
        match self.phase {
            Phase::Receiving(_) => self.start_response(&Response::for_call_error(CallError::TimedOut), now),
            Phase::Responding { .. } | Phase::Lingering { .. } | Phase::Closed => self.phase = Phase::Closed,
        }
    }

    fn start_response(&mut self, response: &Response, now: Instant) {
        self.phase = Phase::Responding { response: response.encode(), written: 0 };
        self.deadline = now + RESPONSE_TIMEOUT;
    }

    fn receive(&mut self, now: Instant, status: &ServingStatus) -> io::Result<()> {
        let Phase::Receiving(parser) = &mut self.phase else { return Ok(()) };
        let mut buffer = [0; READ_BUFFER_BYTES];
        let length = self.stream.read(&mut buffer)?;
        if length == 0 && !parser.is_started() {
            self.phase = Phase::Closed;
            return Ok(());
        }
        let parsed = if length == 0 { Err(CallError::Truncated) } else { parser.feed(&buffer[..length]) };
        match parsed {
            Ok(Some(call)) => self.start_response(&respond(&call, status), now),
            Ok(None) => {}
            Err(error) => self.start_response(&Response::for_call_error(error), now),
        }
        Ok(())
    }

    fn write_response(&mut self, now: Instant) -> io::Result<()> {
        let Phase::Responding { response, written } = &mut self.phase else { return Ok(()) };
        *written += self.stream.write(&response[*written..])?;
        if *written == response.len() {
            self.stream.shutdown(Shutdown::Write)?;
            self.phase = Phase::Lingering { read_bytes: 0 };
            self.deadline = now + LINGER_TIMEOUT;
        }
        Ok(())
    }

    fn linger(&mut self) -> io::Result<()> {
        let Phase::Lingering { read_bytes } = &mut self.phase else { return Ok(()) };
        let mut buffer = [0; READ_BUFFER_BYTES];
        let length = self.stream.read(&mut buffer)?;
        *read_bytes += length;
        if length == 0 || *read_bytes > MAX_LINGER_BYTES {
            self.phase = Phase::Closed;
        }
        Ok(())
    }
}
