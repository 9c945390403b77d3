//! A connection from the clients to a server.

use crate::clients::messages::{Answer, ServerMessage, decode};
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::TcpStream;

/// Maximum number of open requests on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Size of the read buffer, bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A connection and its open requests.
pub(crate) struct Connection {
    outgoing: Sender<Vec<u8>>,
    open: RefCell<HashMap<u64, Sender<Answer>>>,
    answered: RefCell<HashSet<u64>>,
    last_id: Cell<u64>,
    state: Cell<ConnectionState>,
    /// Whether the server has sent its `shutdown` notification.
    shutdown_seen: Cell<bool>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Open,
    /// The server has announced its shutdown; no further request is sent.
    Closing,
    /// Ended after the server's `shutdown` notification, without open requests.
    EndedGracefully,
    /// Ended in any other way.
    Ended,
}

impl Connection {
    /// Returns an open connection and the receiver of the messages that are to be written to it.
    pub fn new() -> (Connection, Receiver<Vec<u8>>) {
        let (outgoing, queued_messages) = async_channel::unbounded();
        let connection = Connection {
            outgoing,
            open: RefCell::default(),
            answered: RefCell::default(),
            last_id: Cell::new(0),
            state: Cell::new(ConnectionState::Open),
            shutdown_seen: Cell::new(false),
        };
        (connection, queued_messages)
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns whether another request can be sent on the connection.
    pub fn has_capacity(&self) -> bool {
        self.state.get() == ConnectionState::Open && self.open_requests() < MAX_OPEN_REQUESTS
    }

    /// Returns whether the connection has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self.state.get(), ConnectionState::EndedGracefully | ConnectionState::Ended)
    }

    /// Returns whether the connection ended other than by a graceful close, so that the server may not have
    /// read the last messages.
    pub fn was_cut(&self) -> bool {
        self.state.get() == ConnectionState::Ended
    }

    /// Returns whether the server has announced its shutdown.
    pub fn shutdown_seen(&self) -> bool {
        self.shutdown_seen.get()
    }

    /// Opens a request and returns its id and the receiver of its answer, which is closed if the connection
    /// ends first.
    pub fn open_request(&self) -> (u64, Receiver<Answer>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (answer_sender, answer_receiver) = async_channel::bounded(1);
        self.open.borrow_mut().insert(id, answer_sender);
        (id, answer_receiver)
    }

    /// Abandons an open request: its answer is ignored.
    pub fn abandon(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Queues an encoded message for writing.
    pub fn send(&self, bytes: Vec<u8>) {
        let _ = self.outgoing.try_send(bytes);
    }

    /// Reads and writes until either side closes the connection. Answers to requests that were already
    /// answered are added to `duplicate_answers`.
    pub async fn serve(
        &self,
        stream: &Async<TcpStream>,
        queued_messages: Receiver<Vec<u8>>,
        duplicate_answers: &Cell<u64>,
    ) {
        or(self.read(stream, duplicate_answers), write(stream, queued_messages)).await;
        let graceful = self.state.get() == ConnectionState::Closing && self.open_requests() == 0;
        self.state.set(if graceful { ConnectionState::EndedGracefully } else { ConnectionState::Ended });
        // Dropping the senders closes the channels of the requests that still wait for an answer.
        self.open.borrow_mut().clear();
        self.outgoing.close();
    }

    async fn read(&self, mut stream: &Async<TcpStream>, duplicate_answers: &Cell<u64>) {
        let (mut buffer, mut chunk) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
        loop {
            match stream.read(&mut chunk).await {
                Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
                _ => return,
            }
            while let Some((message, length)) = decode(&buffer) {
                buffer.drain(..length);
                self.handle_message(message, duplicate_answers);
            }
            if self.state.get() == ConnectionState::Closing && self.open_requests() == 0 {
                return;
            }
        }
    }

    fn handle_message(&self, message: ServerMessage, duplicate_answers: &Cell<u64>) {
        match message {
            ServerMessage::Answer(id, answer) => {
                if !self.answered.borrow_mut().insert(id) {
                    duplicate_answers.set(duplicate_answers.get() + 1);
                }
                // An answer to an abandoned request is valid and ignored.
                if let Some(waiting) = self.open.borrow_mut().remove(&id) {
                    let _ = waiting.try_send(answer);
                }
            }
            ServerMessage::Shutdown => {
                self.shutdown_seen.set(true);
                self.state.set(ConnectionState::Closing);
            }
            ServerMessage::Other => {}
        }
    }
}

async fn write(mut stream: &Async<TcpStream>, queued_messages: Receiver<Vec<u8>>) {
    while let Ok(bytes) = queued_messages.recv().await {
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
