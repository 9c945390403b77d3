//! The pool of the clients' connections to one server.

use crate::clients::connection::Connection;
use crate::fake_server::Tasks;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Number of connections that are opened before requests share one.
const MIN_CONNECTIONS: usize = 4;

/// The open connections to one server.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    max_connections: usize,
    connections: RefCell<Vec<Rc<Connection>>>,
    /// Number of duplicate answers on all connections of all pools.
    duplicate_answers: Rc<Cell<u64>>,
    tasks: Tasks,
}

impl ConnectionPool {
    /// Returns a pool without connections.
    pub fn new(
        address: SocketAddr,
        max_connections: usize,
        duplicate_answers: Rc<Cell<u64>>,
        tasks: Tasks,
    ) -> ConnectionPool {
        ConnectionPool { address, max_connections, connections: RefCell::default(), duplicate_answers, tasks }
    }

    /// Returns a connection with capacity, or opens one; `None` if all are full or connecting fails.
    pub async fn acquire(&self) -> Option<Rc<Connection>> {
        match self.choose_connection() {
            ConnectionChoice::Shared(connection) => Some(connection),
            ConnectionChoice::Full => None,
            ConnectionChoice::OpenAnother => self.connect().await,
        }
    }

    fn choose_connection(&self) -> ConnectionChoice {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.has_ended());
        let usable = connections.iter().filter(|connection| connection.has_capacity());
        // The connection with the fewest open requests is used, so that a slow connection delays as few as
        // possible.
        let least_loaded = usable.min_by_key(|connection| connection.open_requests());
        if connections.len() < self.max_connections.min(MIN_CONNECTIONS) {
            return ConnectionChoice::OpenAnother;
        }
        match least_loaded {
            Some(connection) => ConnectionChoice::Shared(connection.clone()),
            None if connections.len() >= self.max_connections => ConnectionChoice::Full,
            None => ConnectionChoice::OpenAnother,
        }
    }

    async fn connect(&self) -> Option<Rc<Connection>> {
        let stream = Async::<TcpStream>::connect(self.address).await.ok()?;
        let _ = stream.get_ref().set_nodelay(true);
        let (connection, queued_messages) = Connection::new();
        let connection = Rc::new(connection);
        self.connections.borrow_mut().push(connection.clone());
        let (served, duplicate_answers) = (connection.clone(), self.duplicate_answers.clone());
        self.tasks.spawn(async move { served.serve(&stream, queued_messages, &duplicate_answers).await });
        Some(connection)
    }
}

/// The connection on which a request is sent.
enum ConnectionChoice {
    Shared(Rc<Connection>),
    /// All connections are full and no further one may be opened.
    Full,
    OpenAnother,
}
