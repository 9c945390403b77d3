//! One connection of the clients to a server.

use crate::clients::messages::{Answer, ServerMessage, decode};
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::TcpStream;

/// Requests open on one connection at most.
const MAX_OPEN_REQUESTS: usize = 32;
/// Bytes read at a time.
const READ_BYTES: usize = 16 * 1024;

/// A connection and its open requests.
pub(crate) struct Connection {
    outgoing: Sender<Vec<u8>>,
    open: RefCell<HashMap<u64, Sender<Answer>>>,
    answered: RefCell<HashSet<u64>>,
    last_id: Cell<u64>,
    state: Cell<ConnectionState>,
    /// The server said `shutdown`.
    shutdown_seen: Cell<bool>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Open,
    /// Takes no further request.
    Closing,
    /// Ended after the server said `shutdown`, with nothing open.
    EndedGracefully,
    /// Ended in any other way.
    Ended,
}

impl Connection {
    /// Returns an open connection, and what is to be written on it.
    pub fn new() -> (Connection, Receiver<Vec<u8>>) {
        let (outgoing, queued) = async_channel::unbounded();
        let connection = Connection {
            outgoing,
            open: RefCell::default(),
            answered: RefCell::default(),
            last_id: Cell::new(0),
            state: Cell::new(ConnectionState::Open),
            shutdown_seen: Cell::new(false),
        };
        (connection, queued)
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns whether it takes another request.
    pub fn has_capacity(&self) -> bool {
        self.state.get() == ConnectionState::Open && self.open_requests() < MAX_OPEN_REQUESTS
    }

    /// Returns whether it has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self.state.get(), ConnectionState::EndedGracefully | ConnectionState::Ended)
    }

    /// Returns whether it has ended with requests that the server may not have read.
    pub fn was_cut(&self) -> bool {
        self.state.get() == ConnectionState::Ended
    }

    /// Returns whether the server has announced its shutdown.
    pub fn shutdown_seen(&self) -> bool {
        self.shutdown_seen.get()
    }

    /// Opens a request: returns its id, and the channel of its answer, which ends if none comes.
    pub fn open_request(&self) -> (u64, Receiver<Answer>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (answer, answered) = async_channel::bounded(1);
        self.open.borrow_mut().insert(id, answer);
        (id, answered)
    }

    /// Abandons an open request.
    pub fn abandon(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Queues a message.
    pub fn send(&self, bytes: Vec<u8>) {
        let _ = self.outgoing.try_send(bytes);
    }

    /// Reads and writes until either side ends the connection; second answers are added to `duplicate_answers`.
    pub async fn serve(
        &self,
        stream: &Async<TcpStream>,
        queued: Receiver<Vec<u8>>,
        duplicate_answers: &Cell<u64>,
    ) {
        or(self.read(stream, duplicate_answers), write(stream, queued)).await;
        let graceful = self.state.get() == ConnectionState::Closing && self.open_requests() == 0;
        self.state.set(if graceful { ConnectionState::EndedGracefully } else { ConnectionState::Ended });
        // Whoever waits learns that no answer comes.
        self.open.borrow_mut().clear();
        self.outgoing.close();
    }

    async fn read(&self, mut stream: &Async<TcpStream>, duplicate_answers: &Cell<u64>) {
        let (mut buffer, mut chunk) = (Vec::new(), vec![0; READ_BYTES]);
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
                // One answer to what was abandoned does no harm.
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

async fn write(mut stream: &Async<TcpStream>, queued: Receiver<Vec<u8>>) {
    while let Ok(bytes) = queued.recv().await {
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
