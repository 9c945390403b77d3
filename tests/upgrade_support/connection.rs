//! A client connection to the server.

use crate::upgrade_support::connection_ends::ConnectionEnd;
use crate::upgrade_support::messages::{Response, ServerMessage, decode};
use crate::upgrade_support::records::{ClientEnd, Closing};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use dunlinspread_fakes::unix_ms;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of open requests on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 * 1024;

/// A message that waits to be written.
pub struct Outgoing {
    /// The bytes of the message, in the pieces in which they are written.
    pub pieces: Vec<Vec<u8>>,
    /// Time between two pieces.
    pub pause: Duration,
    /// Set to the time at which the last byte was written, Unix ms.
    pub written_ms: Rc<Cell<Option<u64>>>,
}

/// A connection and its open requests.
pub struct Connection {
    /// Time at which the connection was opened, Unix ms.
    pub connected_ms: u64,
    stream: Async<TcpStream>,
    outgoing: Sender<Outgoing>,
    queued: Receiver<Outgoing>,
    open: RefCell<HashMap<u64, Sender<Response>>>,
    answered: RefCell<HashSet<u64>>,
    duplicate_responses: Cell<u64>,
    last_id: Cell<u64>,
    retired: Cell<bool>,
    shutdown_seen: Cell<bool>,
    /// The end of the connection by the server, as the operating system reports it.
    server_end: ConnectionEnd,
    /// Time at which the client observed the end, Unix ms.
    ended_ms: Cell<Option<u64>>,
    /// The way in which the connection ended.
    closing: Cell<Option<Closing>>,
}

impl Connection {
    /// Connects to the server; [`Connection::serve`] has to run until the connection's end.
    ///
    /// # Errors
    /// Returns the operating system's error if the connection can't be established or watched.
    pub async fn open(address: SocketAddr) -> io::Result<Rc<Connection>> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        let server_end = ConnectionEnd::watch(stream.get_ref())?;
        let (outgoing, queued) = async_channel::unbounded();
        Ok(Rc::new(Connection {
            connected_ms: unix_ms(),
            stream,
            outgoing,
            queued,
            open: RefCell::default(),
            answered: RefCell::default(),
            duplicate_responses: Cell::new(0),
            last_id: Cell::new(0),
            retired: Cell::new(false),
            shutdown_seen: Cell::new(false),
            server_end,
            ended_ms: Cell::new(None),
            closing: Cell::new(None),
        }))
    }

    /// Returns whether a new request may be sent on the connection.
    pub fn takes_requests(&self) -> bool {
        let usable = !self.retired.get() && !self.shutdown_seen.get() && self.ended_ms.get().is_none();
        usable && self.open.borrow().len() < MAX_OPEN_REQUESTS
    }

    /// Returns the time at which the connection's end arrived, Unix ms, which a client that lags observes
    /// later; `None` while the connection is open.
    pub fn ended_ms(&self) -> Option<u64> {
        let seen_ms = self.ended_ms.get()?;
        Some(self.server_end.ended_at_ms().map_or(seen_ms, |arrived_ms| arrived_ms.min(seen_ms)))
    }

    /// Returns the current state of the connection at the client.
    pub fn client_end(&self) -> ClientEnd {
        let stream = self.stream.get_ref();
        ClientEnd {
            port: stream.local_addr().map_or(0, |address| address.port()),
            // Nothing can be read from a broken connection.
            unread_bytes: rustix::io::ioctl_fionread(stream).unwrap_or(0),
            closing: self.closing.get(),
        }
    }

    /// Returns the number of second responses that were received.
    pub fn duplicate_responses(&self) -> u64 {
        self.duplicate_responses.get()
    }

    /// Sends no further request, and closes the connection once no request is open.
    pub fn retire(&self) {
        self.retired.set(true);
        if self.open.borrow().is_empty() {
            self.outgoing.close();
        }
    }

    /// Opens a request, and returns its id and the channel of its response, which is closed if none arrives.
    pub fn open_request(&self) -> (u64, Receiver<Response>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (response, responded) = async_channel::bounded(1);
        self.open.borrow_mut().insert(id, response);
        (id, responded)
    }

    /// Stops waiting for the response to a request.
    pub fn abandon(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
        self.close_if_done();
    }

    /// Queues a message.
    pub fn send(&self, message: Outgoing) {
        // The queue is closed if the connection has ended; its requests notice that by their closed channels.
        let _ = self.outgoing.try_send(message);
    }

    /// Queues a message in one piece, without reporting the time of its writing.
    pub fn send_bytes(&self, bytes: Vec<u8>) {
        self.send(Outgoing { pieces: vec![bytes], pause: Duration::ZERO, written_ms: Rc::default() });
    }

    /// Reads and writes until either side ends the connection.
    pub async fn serve(&self) {
        let closing = or(self.read(), self.write()).await;
        self.closing.set(Some(closing));
        self.ended_ms.set(Some(unix_ms()));
        self.outgoing.close();
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Both);
        // Closes the channels of the open requests, because no response can arrive.
        self.open.borrow_mut().clear();
    }

    /// Closes the connection if it takes no new requests and none is open.
    fn close_if_done(&self) {
        let is_closing = self.retired.get() || self.shutdown_seen.get();
        if is_closing && self.open.borrow().is_empty() {
            self.outgoing.close();
        }
    }

    async fn read(&self) -> Closing {
        let (mut buffer, mut chunk) = (Vec::new(), vec![0; READ_BYTES]);
        loop {
            match (&self.stream).read(&mut chunk).await {
                Ok(0) => return Closing::ByServer,
                Ok(count) => buffer.extend_from_slice(&chunk[..count]),
                Err(error) => return Closing::Broken(error.kind()),
            }
            while let Some((message, length)) = decode(&buffer) {
                buffer.drain(..length);
                self.handle_message(message);
            }
        }
    }

    fn handle_message(&self, message: ServerMessage) {
        match message {
            ServerMessage::Response(id, response) => {
                if !self.answered.borrow_mut().insert(id) {
                    self.duplicate_responses.set(self.duplicate_responses.get() + 1);
                }
                // One response to an abandoned request is allowed.
                let waiting = self.open.borrow_mut().remove(&id);
                if let Some(waiting) = waiting {
                    let _ = waiting.try_send(response);
                }
            }
            ServerMessage::Shutdown => self.shutdown_seen.set(true),
            ServerMessage::Other => {}
        }
        self.close_if_done();
    }

    /// Writes until the queue is closed and empty.
    async fn write(&self) -> Closing {
        while let Ok(message) = self.queued.recv().await {
            for (index, piece) in message.pieces.iter().enumerate() {
                if index > 0 {
                    Timer::after(message.pause).await;
                }
                if let Err(error) = (&self.stream).write_all(piece).await {
                    return Closing::Broken(error.kind());
                }
            }
            message.written_ms.set(Some(unix_ms()));
        }
        Closing::ByClient
    }
}
