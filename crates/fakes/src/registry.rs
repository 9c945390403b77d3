//! The registry: takes load reports and remembers which server was listed when.

use crate::clock::unix_ms;
use crate::fake_server::FakeServer;
use crate::http::{Reply, Request, RequestReader};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

/// An entry expires this long after its last report, ms.
const ENTRY_LIFETIME_MS: u64 = 3000;
/// What the body of a report contains if the server takes work.
const PASSING: &[u8] = b"\"passing\"";

/// For each server the spans of Unix ms in which it was listed as taking work.
type ListedSpans = BTreeMap<String, Vec<(u64, u64)>>;

/// A running registry.
pub struct FakeRegistry {
    _server: FakeServer,
    address: SocketAddr,
    listed: Arc<Mutex<ListedSpans>>,
}

impl FakeRegistry {
    /// Starts one on a free port.
    ///
    /// # Errors
    /// If there is no port or thread.
    pub fn start() -> io::Result<FakeRegistry> {
        let listed = Arc::new(Mutex::new(ListedSpans::new()));
        let shared = listed.clone();
        let (server, address) =
            FakeServer::listen("registry", move |_| move |stream| serve(stream, shared.clone()))?;
        Ok(FakeRegistry { _server: server, address, listed })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the spans in which each server was listed, Unix ms.
    pub fn listed_spans(&self) -> BTreeMap<String, Vec<(u64, u64)>> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether that server is listed now.
    pub fn is_listed(&self, name: &str) -> bool {
        let now = unix_ms();
        let listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let last = listed.get(name).and_then(|spans| spans.last());
        last.is_some_and(|(_, to)| now <= to + ENTRY_LIFETIME_MS)
    }
}

async fn serve(stream: Async<TcpStream>, listed: Arc<Mutex<ListedSpans>>) {
    let mut requests = RequestReader::new(&stream);
    while let Some(request) = requests.next().await {
        let reply = Reply::status(handle_report(&request, &listed));
        if (&stream).write_all(&reply.encode()).await.is_err() {
            return;
        }
    }
}

/// Records a report and returns the status of its reply.
fn handle_report(request: &Request, listed: &Mutex<ListedSpans>) -> u16 {
    let name = request.path.strip_prefix("/catalog/register/").unwrap_or("");
    if request.method != "PUT" || name.is_empty() {
        return 404;
    }
    let passing = request.body.windows(PASSING.len()).any(|window| window == PASSING);
    let mut listed = listed.lock().unwrap_or_else(PoisonError::into_inner);
    let spans = listed.entry(name.to_owned()).or_default();
    if passing {
        extend_last_span(spans, unix_ms());
    }
    204
}

/// Extends the last span to now, or begins another if the entry has expired.
fn extend_last_span(spans: &mut Vec<(u64, u64)>, now: u64) {
    match spans.last_mut() {
        Some((_, to)) if now <= *to + ENTRY_LIFETIME_MS => *to = now,
        _ => spans.push((now, now)),
    }
}
