//! The registry: takes load reports and remembers which server was listed when.

use crate::clock::unix_ms;
use crate::fake_server::FakeServer;
use crate::http::{Reply, Request, RequestReader};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

/// An entry expires this long after its last report, ms.
const ENTRY_LIFETIME_MS: u64 = 3000;
/// What the body of a report contains if the server takes work.
const PASSING: &[u8] = b"\"passing\"";

/// For each server the spans of Unix ms in which it was listed as taking work.
type ListedSpans = BTreeMap<String, Vec<(u64, u64)>>;

/// The last reports that are kept.
const MAX_KEPT_REPORTS: usize = 10_000;

/// A report of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryReport {
    /// The name of the server.
    pub server: String,
    /// Whether it takes work.
    pub passing: bool,
    /// When the report came, Unix ms.
    pub received_ms: u64,
}

/// What the connections of a registry share.
#[derive(Clone, Default)]
struct Entries {
    listed: Arc<Mutex<ListedSpans>>,
    reports: Arc<Mutex<VecDeque<RegistryReport>>>,
}

/// A running registry.
pub struct FakeRegistry {
    _server: FakeServer,
    address: SocketAddr,
    entries: Entries,
}

impl FakeRegistry {
    /// Starts one on a free port.
    ///
    /// # Errors
    /// If there is no port or thread.
    pub fn start() -> io::Result<FakeRegistry> {
        FakeRegistry::start_on(TcpListener::bind("127.0.0.1:0")?)
    }

    /// Starts one that listens on this socket.
    ///
    /// # Errors
    /// If there is no thread.
    pub fn start_on(listener: TcpListener) -> io::Result<FakeRegistry> {
        let entries = Entries::default();
        let shared = entries.clone();
        let (server, address) = FakeServer::listen_on("registry", listener, move |_| {
            move |stream| serve(stream, shared.clone())
        })?;
        Ok(FakeRegistry { _server: server, address, entries })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the spans in which each server was listed, Unix ms.
    pub fn listed_spans(&self) -> BTreeMap<String, Vec<(u64, u64)>> {
        self.entries.listed.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the last reports, in the order in which they came.
    pub fn reports(&self) -> Vec<RegistryReport> {
        self.entries.reports.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    /// Returns whether that server is listed now.
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

/// Records a report and returns the status of its reply.
fn handle_report(request: &Request, entries: &Entries) -> u16 {
    let name = request.path.strip_prefix("/catalog/register/").unwrap_or("");
    if request.method != "PUT" || name.is_empty() {
        return 404;
    }
    let passing = request.body.windows(PASSING.len()).any(|window| window == PASSING);
    entries.keep_report(name, passing);
    let mut listed = entries.listed.lock().unwrap_or_else(PoisonError::into_inner);
    let spans = listed.entry(name.to_owned()).or_default();
    if passing {
        extend_last_span(spans, unix_ms());
    }
    204
}

impl Entries {
    fn keep_report(&self, server: &str, passing: bool) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        if reports.len() == MAX_KEPT_REPORTS {
            reports.pop_front();
        }
        reports.push_back(RegistryReport { server: server.to_owned(), passing, received_ms: unix_ms() });
    }
}

/// Extends the last span to now, or begins another if the entry has expired.
fn extend_last_span(spans: &mut Vec<(u64, u64)>, now: u64) {
    match spans.last_mut() {
        Some((_, to)) if now <= *to + ENTRY_LIFETIME_MS => *to = now,
        _ => spans.push((now, now)),
    }
}
