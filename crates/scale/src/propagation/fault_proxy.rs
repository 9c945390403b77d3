//! A TCP proxy for the links of one region's members to their servers. It can cut regions off and damage the
//! data that passes through it.

use super::control::{CutKind, LinkScope};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Size of the read buffer.
const CHUNK_BYTES: usize = 64 * 1024;
/// Interval at which a blocked connection checks whether it may continue.
const BLOCKED_POLL: Duration = Duration::from_millis(10);
/// Maximum number of concurrent connections; further ones are refused.
const MAX_CONNECTIONS: usize = 4_000;
/// Bit that is flipped in a damaged byte.
const DAMAGED_BIT: u8 = 0x10;

/// The proxy of a region. It runs as long as the executor.
pub struct FaultProxy {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
}

struct Shared {
    region: usize,
    /// Region of each link's target; none for the publisher.
    link_regions: Vec<Option<usize>>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    targets: Vec<SocketAddr>,
    cuts: HashMap<usize, CutKind>,
    connections: HashMap<u64, Arc<Connection>>,
    next_connection: u64,
}

struct Connection {
    link: usize,
    client: Async<TcpStream>,
    server: Async<TcpStream>,
    /// Whether the next chunk to the client is to be damaged.
    damage: AtomicBool,
}

impl FaultProxy {
    /// Opens one listener per link.
    ///
    /// # Errors
    /// Returns an error if no port or descriptor is left.
    pub fn start(
        region: usize,
        link_regions: Vec<Option<usize>>,
        executor: &Arc<Executor<'static>>,
    ) -> io::Result<FaultProxy> {
        let listeners: Vec<Async<TcpListener>> = link_regions
            .iter()
            .map(|_| Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)))
            .collect::<io::Result<_>>()?;
        let addresses =
            listeners.iter().map(|listener| listener.get_ref().local_addr()).collect::<io::Result<_>>()?;
        let shared = Arc::new(Shared { region, link_regions, state: Mutex::default() });
        for (link, listener) in listeners.into_iter().enumerate() {
            executor.spawn(accept_connections(shared.clone(), link, listener, executor.clone())).detach();
        }
        Ok(FaultProxy { shared, addresses })
    }

    /// Returns the listening address of each link.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sets the target address of each link.
    pub fn set_targets(&self, targets: Vec<SocketAddr>) {
        self.shared.state().targets = targets;
    }

    /// Cuts off a region, the proxy's own or another.
    pub fn cut(&self, region: usize, kind: CutKind) {
        self.shared.state().cuts.insert(region, kind);
        if kind == CutKind::Refuse {
            for connection in self.shared.connections(|link| self.shared.cut_of(link).is_some()) {
                connection.close();
            }
        }
    }

    /// Reconnects a region that was cut off.
    pub fn heal(&self, region: usize) {
        self.shared.state().cuts.remove(&region);
    }

    /// Damages one byte on its way to the client in each open connection of the links in `scope`.
    pub fn damage(&self, scope: LinkScope) {
        for connection in self.shared.connections(|link| self.shared.scope_of(link) == scope) {
            connection.damage.store(true, Ordering::Relaxed);
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn scope_of(&self, link: usize) -> LinkScope {
        if self.link_regions[link] == Some(self.region) { LinkScope::Within } else { LinkScope::Crossing }
    }

    /// Returns how a link is cut off, or none if it is not. A link within the region is never cut off.
    fn cut_of(&self, link: usize) -> Option<CutKind> {
        if self.scope_of(link) == LinkScope::Within {
            return None;
        }
        let state = self.state();
        let target_cut = self.link_regions[link].and_then(|region| state.cuts.get(&region));
        state.cuts.get(&self.region).or(target_cut).copied()
    }

    fn connections(&self, wanted: impl Fn(usize) -> bool) -> Vec<Arc<Connection>> {
        let all: Vec<_> = self.state().connections.values().cloned().collect();
        all.into_iter().filter(|connection| wanted(connection.link)).collect()
    }

    /// Waits while the link is cut off silently; returns false if it refuses connections.
    async fn wait_until_open(&self, link: usize) -> bool {
        loop {
            match self.cut_of(link) {
                None => return true,
                Some(CutKind::Refuse) => return false,
                Some(CutKind::Silent) => Timer::after(BLOCKED_POLL).await,
            };
        }
    }

    fn register(&self, connection: &Arc<Connection>) -> Option<u64> {
        let mut state = self.state();
        if state.connections.len() >= MAX_CONNECTIONS {
            return None;
        }
        let number = state.next_connection;
        state.next_connection += 1;
        state.connections.insert(number, connection.clone());
        Some(number)
    }
}

impl Connection {
    fn close(&self) {
        // Either end may be closed already.
        let _ = self.client.get_ref().shutdown(Shutdown::Both);
        let _ = self.server.get_ref().shutdown(Shutdown::Both);
    }
}

async fn accept_connections(
    shared: Arc<Shared>,
    link: usize,
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => executor.spawn(forward_connection(shared.clone(), link, client)).detach(),
            Err(_) => {
                Timer::after(BLOCKED_POLL).await;
            }
        }
    }
}

async fn forward_connection(shared: Arc<Shared>, link: usize, client: Async<TcpStream>) {
    if !shared.wait_until_open(link).await {
        return;
    }
    let Some(target) = shared.state().targets.get(link).copied() else { return };
    let Ok(server) = Async::<TcpStream>::connect(target).await else { return };
    // With Nagle's algorithm, frames would wait for acknowledgements and add to the measured latency.
    if client.get_ref().set_nodelay(true).is_err() || server.get_ref().set_nodelay(true).is_err() {
        return;
    }
    let connection = Arc::new(Connection { link, client, server, damage: AtomicBool::new(false) });
    let Some(number) = shared.register(&connection) else { return };
    let to_server = forward(&shared, &connection, &connection.client, &connection.server, false);
    let to_client = forward(&shared, &connection, &connection.server, &connection.client, true);
    future::or(to_server, to_client).await;
    connection.close();
    shared.state().connections.remove(&number);
}

/// Forwards bytes in one direction until either end closes.
async fn forward(
    shared: &Shared,
    connection: &Connection,
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    may_damage: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut chunk).await else { return };
        if !shared.wait_until_open(connection.link).await {
            return;
        }
        if may_damage && connection.damage.swap(false, Ordering::Relaxed) {
            chunk[count / 2] ^= DAMAGED_BIT;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
