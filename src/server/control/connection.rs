//! A connection of the control endpoint: reads one call, writes its answer, and reads on until the caller closes.

use super::answer::{Answer, answer_call};
use super::call::CallParser;
use super::error::CallError;
use crate::server::serving_status::ServingStatus;
use rustix::event::PollFlags;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Time from the accept to a whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which the caller takes its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the answer in which the caller closes. Closing over unread bytes would reset the connection, and the
/// caller could lose its answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes read after the call at most.
const MAX_LINGER_BYTES: usize = 64 * 1024;
/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 2048;

/// What a connection waits for.
#[derive(Debug)]
enum Phase {
    /// A whole call.
    Receiving(CallParser),
    /// Room for the rest of its answer.
    Answering { answer: Vec<u8>, written: usize },
    /// The caller's end of the connection.
    Lingering { read_bytes: usize },
    /// Nothing: it is over.
    Closed,
}

/// A connection of a caller.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    phase: Phase,
    /// When the phase ends at the latest.
    deadline: Instant,
}

impl Connection {
    /// Returns the connection of a caller that was accepted now.
    ///
    /// # Errors
    /// If the socket can't be set up.
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

    /// Returns when the connection has to be advanced at the latest.
    pub(super) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the events that the connection waits for.
    pub(super) fn interest(&self) -> PollFlags {
        match self.phase {
            Phase::Answering { .. } => PollFlags::OUT,
            Phase::Receiving(_) | Phase::Lingering { .. } | Phase::Closed => PollFlags::IN,
        }
    }

    /// Returns whether an answer is on its way to the caller.
    pub(super) fn owes_answer(&self) -> bool {
        matches!(self.phase, Phase::Answering { .. })
    }

    /// Returns whether the connection is over.
    pub(super) fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    /// Does all that can be done without waiting.
    pub(super) fn advance(&mut self, now: Instant, status: &ServingStatus) {
        loop {
            let step = match &self.phase {
                Phase::Receiving(_) => self.receive(now, status),
                Phase::Answering { .. } => self.write_answer(now),
                Phase::Lingering { .. } => self.linger(),
                Phase::Closed => return,
            };
            match step {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock && now < self.deadline => return,
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.time_out(now),
                Err(_) => self.phase = Phase::Closed,
            }
        }
    }

    /// Ends the phase, whose time is up.
    fn time_out(&mut self, now: Instant) {
        match self.phase {
            Phase::Receiving(_) => self.answer(&Answer::to_unread(CallError::TimedOut), now),
            Phase::Answering { .. } | Phase::Lingering { .. } | Phase::Closed => self.phase = Phase::Closed,
        }
    }

    fn answer(&mut self, answer: &Answer, now: Instant) {
        self.phase = Phase::Answering { answer: answer.encode(), written: 0 };
        self.deadline = now + ANSWER_TIMEOUT;
    }

    fn receive(&mut self, now: Instant, status: &ServingStatus) -> io::Result<()> {
        let Phase::Receiving(parser) = &mut self.phase else { return Ok(()) };
        let mut buffer = [0; READ_BUFFER_BYTES];
        let length = self.stream.read(&mut buffer)?;
        if length == 0 && !parser.is_started() {
            self.phase = Phase::Closed;
            return Ok(());
        }
        let fed = if length == 0 { Err(CallError::Truncated) } else { parser.feed(&buffer[..length]) };
        match fed {
            Ok(Some(call)) => self.answer(&answer_call(&call, status), now),
            Ok(None) => {}
            Err(error) => self.answer(&Answer::to_unread(error), now),
        }
        Ok(())
    }

    fn write_answer(&mut self, now: Instant) -> io::Result<()> {
        let Phase::Answering { answer, written } = &mut self.phase else { return Ok(()) };
        *written += self.stream.write(&answer[*written..])?;
        if *written == answer.len() {
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
