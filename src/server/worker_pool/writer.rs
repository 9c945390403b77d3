//! The writing side of a link: commands of the dispatcher to the worker pool.

use super::codec::{encode_bind, encode_command};
use super::connect::{CONNECT_RETRY_MS, ConnectAttempt, connect_after};
use super::error::LinkError;
use super::reader::MAX_LINE_BYTES;
use crate::server::messages::WorkerPoolMessage;
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
/// Bytes encoded before they are written.
const WRITE_BUFFER_BYTES: usize = MAX_LINE_BYTES;

/// Why a link ended.
pub(super) enum LinkEnd {
    /// The connection failed.
    Failed(LinkError),
    /// The pool's address changed; the connection to its new address.
    Moved(Async<TcpStream>),
}

enum WriterEvent {
    Message(WorkerPoolMessage),
    /// The attempt to connect to the pool's new address ended.
    Reconnected(io::Result<Async<TcpStream>>),
    /// The queue of messages is closed.
    QueueClosed,
}

/// Writes one link.
pub(super) struct LinkWriter<'a> {
    /// The number of the link.
    pub(super) link: u64,
    /// The connection.
    pub(super) stream: &'a Async<TcpStream>,
    /// The names of the classes by position.
    pub(super) classes: &'a [String],
    /// Where the pool listens; follows [`WorkerPoolMessage::SetAddress`].
    pub(super) address: &'a mut SocketAddr,
    /// The timers.
    pub(super) wheel: &'a Rc<TimerWheel>,
    /// The attempt to connect to the pool's new address. The present link is used until then: notices on their way are
    /// still read, and the new link begins after the last of them. If the link ends first, the attempt goes on.
    pub(super) reconnecting: &'a mut Option<ConnectAttempt>,
}

impl LinkWriter<'_> {
    /// Begins the link after `last_sequence`, the number of the last notice read, and writes commands until it ends.
    pub(super) async fn run(mut self, last_sequence: u64, messages: &Receiver<WorkerPoolMessage>) -> LinkEnd {
        let mut buffer = String::new();
        encode_bind(last_sequence, &mut buffer);
        loop {
            if let Err(error) = self.write(&buffer).await {
                return LinkEnd::Failed(LinkError::Write(error));
            }
            buffer.clear();
            match self.next_event(messages).await {
                WriterEvent::Message(message) => self.encode_batch(message, messages, &mut buffer),
                WriterEvent::Reconnected(Ok(stream)) => {
                    *self.reconnecting = None;
                    return LinkEnd::Moved(stream);
                }
                WriterEvent::Reconnected(Err(_)) => self.reconnect_after(CONNECT_RETRY_MS),
                WriterEvent::QueueClosed => return LinkEnd::Failed(LinkError::ProcessEnds),
            }
        }
    }

    async fn write(&self, text: &str) -> io::Result<()> {
        let mut stream = self.stream;
        let timed_out = async {
            self.wheel.sleep(WRITE_TIMEOUT_MS).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        or(stream.write_all(text.as_bytes()), timed_out).await
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

    /// Encodes a message and those that wait behind it, as far as the buffer's limit.
    fn encode_batch(
        &mut self,
        first: WorkerPoolMessage,
        messages: &Receiver<WorkerPoolMessage>,
        buffer: &mut String,
    ) {
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                WorkerPoolMessage::Command(command) if command.link == self.link => {
                    encode_command(&command.command, self.classes, buffer);
                }
                // For a link that ended.
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
