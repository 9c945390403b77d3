//! A server as its clients know it.

use std::net::SocketAddr;
use std::sync::Arc;

/// A relay or publisher that can be watched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Server {
    /// Its name, by which clients rank it.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone; a region's relay serves the whole region and has none.
    pub zone: Option<Arc<str>>,
    /// Its region.
    pub region: Arc<str>,
}
