//! The clients' connections to one server.

use crate::clients::connection::Connection;
use crate::fake_server::Tasks;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Connections that are opened before any is shared by requests.
const MIN_CONNECTIONS: usize = 4;

/// The connections to one server.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    max_connections: usize,
    connections: RefCell<Vec<Rc<Connection>>>,
    /// Second answers, on all connections of all pools.
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

    /// Returns a connection that has capacity, or a new one; `None` if there is none to be had.
    pub async fn acquire(&self) -> Option<Rc<Connection>> {
        match self.reuse() {
            Reuse::Shared(connection) => Some(connection),
            Reuse::Full => None,
            Reuse::OpenAnother => self.connect().await,
        }
    }

    fn reuse(&self) -> Reuse {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.has_ended());
        let usable = connections.iter().filter(|connection| connection.has_capacity());
        // The emptiest first: one slow connection holds up the fewest.
        let emptiest = usable.min_by_key(|connection| connection.open_requests());
        if connections.len() < self.max_connections.min(MIN_CONNECTIONS) {
            return Reuse::OpenAnother;
        }
        match emptiest {
            Some(connection) => Reuse::Shared(connection.clone()),
            None if connections.len() >= self.max_connections => Reuse::Full,
            None => Reuse::OpenAnother,
        }
    }

    async fn connect(&self) -> Option<Rc<Connection>> {
        let stream = Async::<TcpStream>::connect(self.address).await.ok()?;
        let _ = stream.get_ref().set_nodelay(true);
        let (connection, queued) = Connection::new();
        let connection = Rc::new(connection);
        self.connections.borrow_mut().push(connection.clone());
        let (served, duplicate_answers) = (connection.clone(), self.duplicate_answers.clone());
        self.tasks.spawn(async move { served.serve(&stream, queued, &duplicate_answers).await });
        Some(connection)
    }
}

/// What a request is sent on.
enum Reuse {
    Shared(Rc<Connection>),
    /// All connections are in use, and there may be no more.
    Full,
    OpenAnother,
}
