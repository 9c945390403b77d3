//! The total number of connections that all clients of a server have.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

/// Maximum number of connections that the clients of a server may have open or be opening: half of its
/// descriptor limit.
const MAX_CONNECTIONS: usize = 512;

/// The number of connections that the clients of one server have open or are opening.
#[derive(Clone, Default)]
pub struct OpenConnections(Arc<AtomicUsize>);

impl OpenConnections {
    /// Returns the counter for the server at an address.
    pub fn of(server: SocketAddr) -> OpenConnections {
        static SERVERS: OnceLock<Mutex<HashMap<SocketAddr, OpenConnections>>> = OnceLock::new();
        let mut servers = SERVERS.get_or_init(Mutex::default).lock().unwrap_or_else(PoisonError::into_inner);
        servers.entry(server).or_default().clone()
    }

    /// Returns whether the maximum number of connections is reached.
    pub fn is_full(&self) -> bool {
        self.0.load(Ordering::Relaxed) >= MAX_CONNECTIONS
    }

    /// Counts a further connection until the returned value is dropped; returns `None` at the maximum.
    pub fn begin(&self) -> Option<OpenConnection> {
        let add = |open: usize| (open < MAX_CONNECTIONS).then_some(open + 1);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        Some(OpenConnection(self.0.clone()))
    }
}

/// A counted connection, which is no longer counted after the drop.
pub struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
