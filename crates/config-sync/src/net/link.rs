//! The client side of a connection: connects, sends and receives as the state machine requests.

use super::socket::{ConnectionError, try_read, try_write};
use crate::codec::{decode_to_client, encode_to_server};
use crate::frame::{FrameDecoder, FrameKey};
use crate::message::{ToClient, ToServer};
use crate::server::Server;
use async_io::Async;
use futures_lite::future::{or, pending};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;

/// Unsent bytes above which the connection is closed. Requests are few and small, so the server has stopped
/// reading.
const MAX_UNSENT_BYTES: usize = 512 * 1024;

/// An event on a link.
#[derive(Debug)]
pub(super) enum LinkEvent {
    /// The connection is established.
    Connected,
    /// The connection could not be established.
    ConnectFailed(io::Error),
    /// A message was received.
    Received(ToClient),
    /// The connection ended.
    Disconnected(ConnectionError),
}

type Connecting = Pin<Box<dyn Future<Output = io::Result<Async<TcpStream>>> + Send>>;

enum State {
    Closed,
    Connecting(Connecting),
    Open(Box<OpenLink>),
}

/// A client's link to a server, connected or not.
pub(super) struct Link {
    key: FrameKey,
    state: State,
    traffic: Traffic,
}

/// Traffic counters over all connections of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Traffic {
    pub(super) bytes_in: u64,
    pub(super) bytes_out: u64,
    /// Number of frames received and sent.
    pub(super) frames: u64,
}

impl Link {
    /// Creates a link without a connection.
    pub(super) fn new(key: FrameKey) -> Link {
        Link { key, state: State::Closed, traffic: Traffic::default() }
    }

    /// Starts to connect to a server; closes the current connection, if any.
    pub(super) fn connect(&mut self, server: &Server) {
        let address = server.address;
        self.state = State::Connecting(Box::pin(Async::<TcpStream>::connect(address)));
    }

    /// Closes the connection.
    pub(super) fn disconnect(&mut self) {
        self.state = State::Closed;
    }

    /// Queues a message for sending. Drops it if there is no connection.
    pub(super) fn send(&mut self, message: &ToServer) {
        let State::Open(open) = &mut self.state else { return };
        match self.key.seal(|out| encode_to_server(message, out)) {
            Ok(frame) => open.queue(frame),
            Err(too_long) => open.failure = Some(io::Error::other(too_long).into()),
        }
    }

    /// Returns the traffic so far.
    pub(super) fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Waits for the next event. The future may be dropped at any time and the method called again without
    /// losing anything. It doesn't yield while received messages are available: the caller has to yield to
    /// other tasks.
    pub(super) async fn next(&mut self) -> LinkEvent {
        match &mut self.state {
            State::Closed => pending().await,
            State::Connecting(connecting) => match connecting.await {
                Ok(stream) => {
                    // A failure is ignored: without TCP_NODELAY small messages are only delayed.
                    let _ = stream.get_ref().set_nodelay(true);
                    self.state = State::Open(Box::new(OpenLink::new(stream, self.key.clone())));
                    LinkEvent::Connected
                }
                Err(error) => {
                    self.state = State::Closed;
                    LinkEvent::ConnectFailed(error)
                }
            },
            State::Open(open) => match open.next(&mut self.traffic).await {
                Ok(message) => LinkEvent::Received(message),
                Err(error) => {
                    self.state = State::Closed;
                    LinkEvent::Disconnected(error)
                }
            },
        }
    }
}

struct OpenLink {
    stream: Async<TcpStream>,
    decoder: FrameDecoder,
    unsent: VecDeque<Arc<[u8]>>,
    /// Number of bytes of the first unsent frame that were already sent.
    sent: usize,
    unsent_bytes: usize,
    failure: Option<ConnectionError>,
}

impl OpenLink {
    fn new(stream: Async<TcpStream>, key: FrameKey) -> OpenLink {
        OpenLink {
            stream,
            decoder: FrameDecoder::new(key),
            unsent: VecDeque::new(),
            sent: 0,
            unsent_bytes: 0,
            failure: None,
        }
    }

    fn queue(&mut self, frame: Arc<[u8]>) {
        self.unsent_bytes += frame.len();
        self.unsent.push_back(frame);
        if self.unsent_bytes > MAX_UNSENT_BYTES {
            self.failure = Some(ConnectionError::Unread(self.unsent_bytes));
        }
    }

    async fn next(&mut self, traffic: &mut Traffic) -> Result<ToClient, ConnectionError> {
        loop {
            if let Some(failure) = self.failure.take() {
                return Err(failure);
            }
            let flushed = self.flush(traffic);
            if let Some(payload) = self.decoder.next_payload()? {
                traffic.frames += 1;
                return Ok(decode_to_client(payload)?);
            }
            // Read before reporting a failed write: messages that the server sent before it closed still
            // count, even if it no longer reads.
            if let Some(count) = try_read(&self.stream, &mut self.decoder)? {
                traffic.bytes_in += count as u64;
                continue;
            }
            flushed?;
            if self.unsent.is_empty() {
                self.stream.readable().await?;
            } else {
                or(self.stream.readable(), self.stream.writable()).await?;
            }
        }
    }

    fn flush(&mut self, traffic: &mut Traffic) -> Result<(), ConnectionError> {
        while let Some(frame) = self.unsent.front() {
            let Some(count) = try_write(&self.stream, &frame[self.sent..])? else { return Ok(()) };
            traffic.bytes_out += count as u64;
            self.sent += count;
            self.unsent_bytes -= count;
            if self.sent == frame.len() {
                traffic.frames += 1;
                self.unsent.pop_front();
                self.sent = 0;
            }
        }
        Ok(())
    }
}
