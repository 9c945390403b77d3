//! Description of a server for its clients.

use std::net::SocketAddr;
use std::sync::Arc;

/// A relay or publisher that can be watched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Server {
    /// Name of the server, by which clients rank it.
    pub name: Arc<str>,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Zone of the server; `None` for a relay of a region, which serves the whole region.
    pub zone: Option<Arc<str>>,
    /// Region of the server.
    pub region: Arc<str>,
}
