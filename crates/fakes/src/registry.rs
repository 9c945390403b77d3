//! The fake registry: accepts health reports and records the times at which each server was listed.

use crate::clock::unix_ms;
use crate::fake_server::FakeServer;
use crate::http::{Reply, Request, RequestReader};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

/// Time from the last passing report of a server to the expiry of its entry, ms.
const ENTRY_LIFETIME_MS: u64 = 3000;
/// Text in the body of a report from a server that accepts requests.
const PASSING: &[u8] = b"\"passing\"";

/// The time spans in which each server was listed as accepting requests, by server name, Unix ms.
type ListedSpans = BTreeMap<String, Vec<(u64, u64)>>;

/// Maximum number of reports that are kept; the oldest are dropped first.
const MAX_REPORTS: usize = 10_000;

/// A health report from a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryReport {
    /// Name of the server.
    pub server: String,
    /// Whether the server accepts requests.
    pub passing: bool,
    /// Time at which the report was received, Unix ms.
    pub received_ms: u64,
}

/// State shared by all connections of a registry.
#[derive(Clone, Default)]
struct Entries {
    listed: Arc<Mutex<ListedSpans>>,
    reports: Arc<Mutex<VecDeque<RegistryReport>>>,
}

/// A running fake registry.
pub struct FakeRegistry {
    _server: FakeServer,
    address: SocketAddr,
    entries: Entries,
}

impl FakeRegistry {
    /// Starts a registry on a free port.
    ///
    /// # Errors
    /// Returns an error if no port or thread is available.
    pub fn start() -> io::Result<FakeRegistry> {
        FakeRegistry::start_on(TcpListener::bind("127.0.0.1:0")?)
    }

    /// Starts a registry that accepts connections from `listener`.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start_on(listener: TcpListener) -> io::Result<FakeRegistry> {
        let entries = Entries::default();
        let shared = entries.clone();
        let (server, address) = FakeServer::listen_on("registry", listener, move |_| {
            move |stream| serve(stream, shared.clone())
        })?;
        Ok(FakeRegistry { _server: server, address, entries })
    }

    /// Returns the address on which the registry listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time spans in which each server was listed, by server name, Unix ms.
    pub fn listed_spans(&self) -> BTreeMap<String, Vec<(u64, u64)>> {
        self.entries.listed.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the most recent reports, in the order in which they were received.
    pub fn reports(&self) -> Vec<RegistryReport> {
        self.entries.reports.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    /// Returns whether the server called `name` is currently listed.
    pub fn is_listed(&self, name: &str) -> bool {
        let now = unix_ms();
        let listed = self.entries.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let last = listed.get(name).and_then(|spans| spans.last());
        last.is_some_and(|(_, to)| now <= to + ENTRY_LIFETIME_MS)
    }
}

async fn serve(stream: Async<TcpStream>, entries: Entries) {
    let mut requests = RequestReader::new(&stream);
    while let Some(request) = requests.next().await {
        let reply = Reply::status(handle_report(&request, &entries));
        if (&stream).write_all(&reply.encode()).await.is_err() {
            return;
        }
    }
}

/// Records a report and returns the HTTP status of the reply.
fn handle_report(request: &Request, entries: &Entries) -> u16 {
    let name = request.path.strip_prefix("/catalog/register/").unwrap_or("");
    if request.method != "PUT" || name.is_empty() {
        return 404;
    }
    let passing = request.body.windows(PASSING.len()).any(|window| window == PASSING);
    entries.record_report(name, passing);
    let mut listed = entries.listed.lock().unwrap_or_else(PoisonError::into_inner);
    let spans = listed.entry(name.to_owned()).or_default();
    if passing {
        extend_last_span(spans, unix_ms());
    }
    204
}

impl Entries {
    fn record_report(&self, server: &str, passing: bool) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        if reports.len() == MAX_REPORTS {
            reports.pop_front();
        }
        reports.push_back(RegistryReport { server: server.to_owned(), passing, received_ms: unix_ms() });
    }
}

/// Extends the last span to `now`, or adds a new span if the entry has expired.
fn extend_last_span(spans: &mut Vec<(u64, u64)>, now: u64) {
    match spans.last_mut() {
        Some((_, to)) if now <= *to + ENTRY_LIFETIME_MS => *to = now,
        _ => spans.push((now, now)),
    }
}
