//! A TCP proxy for one region, between its members and those whom they reach through it, which can cut the region off and
//! damage what passes.

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

/// What is read at once.
const CHUNK_BYTES: usize = 64 * 1024;
/// How often a connection that is held up looks whether it may go on.
const HELD_POLL: Duration = Duration::from_millis(10);
/// The most connections at once; further ones are refused.
const MOST_CONNECTIONS: usize = 4_000;
/// The bit that is turned over in a damaged byte.
const DAMAGED_BIT: u8 = 0x10;

/// A region's proxy. It runs as long as the executor does.
pub struct FaultProxy {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
}

struct Shared {
    region: usize,
    /// The region of each link's target; none for the publisher.
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
    /// The next bytes to the client are to be damaged.
    damage: AtomicBool,
}

impl FaultProxy {
    /// Listens once for each link.
    ///
    /// # Errors
    /// If there is no port or descriptor left.
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
            executor.spawn(serve(shared.clone(), link, listener, executor.clone())).detach();
        }
        Ok(FaultProxy { shared, addresses })
    }

    /// Where it listens, by link.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Says where the links lead.
    pub fn set_targets(&self, targets: Vec<SocketAddr>) {
        self.shared.state().targets = targets;
    }

    /// Cuts a region off, this one or another.
    pub fn cut(&self, region: usize, kind: CutKind) {
        self.shared.state().cuts.insert(region, kind);
        if kind == CutKind::Refuse {
            for connection in self.shared.connections(|link| self.shared.cut_of(link).is_some()) {
                connection.close();
            }
        }
    }

    /// Ends that.
    pub fn heal(&self, region: usize) {
        self.shared.state().cuts.remove(&region);
    }

    /// Damages a byte on its way to the client in each open connection of such links.
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

    /// How a link is cut off, if it is: a link within the region never is.
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

    /// Waits while the link is silent; false if it refuses.
    async fn passes(&self, link: usize) -> bool {
        loop {
            match self.cut_of(link) {
                None => return true,
                Some(CutKind::Refuse) => return false,
                Some(CutKind::Silent) => Timer::after(HELD_POLL).await,
            };
        }
    }

    fn register(&self, connection: &Arc<Connection>) -> Option<u64> {
        let mut state = self.state();
        if state.connections.len() >= MOST_CONNECTIONS {
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

async fn serve(
    shared: Arc<Shared>,
    link: usize,
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => executor.spawn(pass(shared.clone(), link, client)).detach(),
            Err(_) => {
                Timer::after(HELD_POLL).await;
            }
        }
    }
}

async fn pass(shared: Arc<Shared>, link: usize, client: Async<TcpStream>) {
    if !shared.passes(link).await {
        return;
    }
    let Some(target) = shared.state().targets.get(link).copied() else { return };
    let Ok(server) = Async::<TcpStream>::connect(target).await else { return };
    // Without it frames wait for acknowledgements, which would count as the system's latency.
    if client.get_ref().set_nodelay(true).is_err() || server.get_ref().set_nodelay(true).is_err() {
        return;
    }
    let connection = Arc::new(Connection { link, client, server, damage: AtomicBool::new(false) });
    let Some(number) = shared.register(&connection) else { return };
    let upward = pump(&shared, &connection, &connection.client, &connection.server, false);
    let downward = pump(&shared, &connection, &connection.server, &connection.client, true);
    future::or(upward, downward).await;
    connection.close();
    shared.state().connections.remove(&number);
}

/// Passes bytes on in one direction until either end closes.
async fn pump(
    shared: &Shared,
    connection: &Connection,
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    damages: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut chunk).await else { return };
        if !shared.passes(connection.link).await {
            return;
        }
        if damages && connection.damage.swap(false, Ordering::Relaxed) {
            chunk[count / 2] ^= DAMAGED_BIT;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
