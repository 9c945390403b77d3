//! The writing side of a link: sends commands of the dispatcher to the worker pool.

use super::codec::{encode_bind, encode_command, encode_drain_query};
use super::connect::{CONNECT_RETRY_MS, ConnectAttempt, connect_after};
use super::error::LinkError;
use super::reader::MAX_LINE_BYTES;
use crate::server::messages::{
    CommandNumber, DispatcherMessage, DispatcherSender, LinkCommand, PoolCommand, PoolEvent,
    WorkerPoolMessage,
};
use crate::server::timer_wheel::TimerWheel;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use futures_lite::future::{or, pending};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Time limit of a write, ms: longer than any pause of the machine.
const WRITE_TIMEOUT_MS: f64 = 10_000.0;
/// Shortest wait of commands that is reported to the dispatcher, ms: a lag of this process beyond the usual
/// length of an event loop turn.
const MIN_REPORTED_WAIT_MS: f64 = 5.0;
/// Longest wait for the pool to carry out the commands of a link whose address changed, ms: less than the time
/// for which it serves the old address.
const DRAIN_TIMEOUT_MS: f64 = 1000.0;
/// Number of encoded bytes from which a batch is written.
const WRITE_BUFFER_BYTES: usize = MAX_LINE_BYTES;

/// Reason why a link ended.
pub(super) enum LinkEnd {
    /// The connection failed.
    Failed(LinkError),
    /// The pool's address changed, and there is a connection to the new one.
    Moved {
        /// Whether the pool has carried out all commands that were written to the link.
        is_drained: bool,
    },
}

enum WriterEvent {
    Message(WorkerPoolMessage),
    /// The attempt to connect to the pool's new address ended.
    Reconnected(io::Result<Async<TcpStream>>),
    /// The queue of messages is closed.
    QueueClosed,
}

/// The writing side of one link.
pub(super) struct LinkWriter<'a> {
    /// Number of the link.
    pub(super) link_number: u64,
    /// The connection.
    pub(super) stream: &'a Async<TcpStream>,
    /// Class names by position.
    pub(super) classes: &'a [String],
    /// Address of the pool, updated by [`WorkerPoolMessage::SetAddress`].
    pub(super) address: &'a mut SocketAddr,
    /// The timers.
    pub(super) wheel: &'a Rc<TimerWheel>,
    /// Sender to the dispatcher.
    pub(super) dispatcher: &'a DispatcherSender,
    /// Time at which the dispatcher issued the oldest command that is encoded but not written and that a run
    /// needs to proceed, Unix ms.
    pub(super) oldest_queued_at: Option<f64>,
    /// Time of the last write with a command that a run needs to proceed, Unix ms.
    pub(super) last_written_at: f64,
    /// Number of the last command that was encoded for a write, which may be written in whole, in part or not
    /// at all when the link ends.
    pub(super) last_written: &'a mut Option<CommandNumber>,
    /// Attempt to connect to the pool's new address. The current link is used until it succeeds: notices in
    /// transit are still read, and the new link starts after the last of them. If the link ends first, the
    /// attempt continues.
    pub(super) reconnecting: &'a mut Option<ConnectAttempt>,
    /// Connection to the pool's new address. It is used even if the current link ends first.
    pub(super) new_stream: &'a mut Option<Async<TcpStream>>,
    /// Notified once the pool has carried out all commands before the drain query.
    pub(super) drained: Receiver<()>,
}

impl LinkWriter<'_> {
    /// Starts the link after `last_sequence`, the sequence number of the last notice read, and writes
    /// commands until the link ends.
    pub(super) async fn run(mut self, last_sequence: u64, messages: &Receiver<WorkerPoolMessage>) -> LinkEnd {
        let mut buffer = String::new();
        encode_bind(last_sequence, &mut buffer);
        loop {
            if let Err(error) = self.write(&buffer).await {
                return LinkEnd::Failed(LinkError::Write(error));
            }
            buffer.clear();
            self.report_delay();
            match self.next_event(messages).await {
                WriterEvent::Message(message) => self.encode_batch(message, messages, &mut buffer),
                WriterEvent::Reconnected(Ok(stream)) => {
                    *self.reconnecting = None;
                    *self.new_stream = Some(stream);
                    return self.drain().await;
                }
                WriterEvent::Reconnected(Err(_)) => self.reconnect_after(CONNECT_RETRY_MS),
                WriterEvent::QueueClosed => return LinkEnd::Failed(LinkError::ProcessEnds),
            }
        }
    }

    /// Waits until the pool has carried out all commands that were written to the link, so that none is in doubt
    /// after the move to the new address. Later commands wait for the new link.
    async fn drain(&mut self) -> LinkEnd {
        if self.last_written.is_none() {
            return LinkEnd::Moved { is_drained: true };
        }
        let mut query = String::new();
        encode_drain_query(&mut query);
        if let Err(error) = self.write(&query).await {
            return LinkEnd::Failed(LinkError::Write(error));
        }
        let drained = async { self.drained.recv().await.is_ok() };
        let timed_out = async {
            self.wheel.sleep(DRAIN_TIMEOUT_MS).await;
            false
        };
        LinkEnd::Moved { is_drained: or(drained, timed_out).await }
    }

    async fn write(&self, text: &str) -> io::Result<()> {
        let mut stream = self.stream;
        let timed_out = async {
            self.wheel.sleep(WRITE_TIMEOUT_MS).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        or(stream.write_all(text.as_bytes()), timed_out).await
    }

    /// Reports to the dispatcher if the commands just written had waited for [`MIN_REPORTED_WAIT_MS`] or
    /// longer.
    fn report_delay(&mut self) {
        let Some(queued_at) = self.oldest_queued_at else { return };
        let now = self.wheel.clock().now();
        // The waits of successive batches overlap; the part before the last write was counted with an earlier
        // batch.
        let waited_ms = now - queued_at.max(self.last_written_at);
        if waited_ms >= MIN_REPORTED_WAIT_MS {
            let event = DispatcherMessage::Pool(PoolEvent::CommandsDelayed { waited_ms });
            if self.dispatcher.try_send(event).is_err() {
                // Commands never wait for room in the dispatcher's mailbox: the next report covers this wait
                // as well.
                return;
            }
        }
        self.oldest_queued_at = None;
        self.last_written_at = now;
    }

    fn reconnect_after(&mut self, delay_ms: f64) {
        *self.reconnecting = Some(connect_after(delay_ms, *self.address, self.wheel.clone()));
    }

    async fn next_event(&mut self, messages: &Receiver<WorkerPoolMessage>) -> WriterEvent {
        let reconnecting = &mut self.reconnecting;
        let reconnected = async {
            match reconnecting {
                Some(attempt) => WriterEvent::Reconnected(attempt.await),
                None => pending().await,
            }
        };
        let message = async {
            match messages.recv().await {
                Ok(message) => WriterEvent::Message(message),
                Err(_) => WriterEvent::QueueClosed,
            }
        };
        or(reconnected, message).await
    }

    /// Records when a command that a run needs to proceed was issued. The first one of a batch is the oldest.
    fn record_queued_at(&mut self, command: &LinkCommand) {
        match command.command {
            PoolCommand::Run { .. }
            | PoolCommand::Resume { .. }
            | PoolCommand::UpstreamReply { .. }
            | PoolCommand::SkipUpstreamCall { .. } => {
                self.oldest_queued_at.get_or_insert(command.given_at);
            }
            PoolCommand::Suspend { .. } | PoolCommand::ReadGauges { .. } => {}
        }
    }

    /// Encodes a message and those queued behind it, up to the buffer's limit.
    fn encode_batch(
        &mut self,
        first: WorkerPoolMessage,
        messages: &Receiver<WorkerPoolMessage>,
        buffer: &mut String,
    ) {
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                WorkerPoolMessage::Command(command) if command.link == self.link_number => {
                    self.record_queued_at(&command);
                    *self.last_written = Some(command.number);
                    encode_command(&command.command, self.classes, buffer);
                }
                // The command belongs to a link that ended.
                WorkerPoolMessage::Command(_) => {}
                WorkerPoolMessage::SetAddress(address) => {
                    *self.address = address;
                    self.reconnect_after(0.0);
                }
            }
            next = if buffer.len() < WRITE_BUFFER_BYTES { messages.try_recv().ok() } else { None };
        }
    }
}
