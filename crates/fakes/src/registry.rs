//! The catalog: takes reports and remembers who was alive when.

use crate::fake_server::FakeServer;
use crate::http;
use crate::unix_ms;
use futures_lite::AsyncWriteExt;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// After so long without a report an entry lapses, ms.
const LAPSE_MS: u64 = 3000;

/// What was reported of one round server: spans of Unix ms in which it was listed as taking work.
type Record = BTreeMap<String, Vec<(u64, u64)>>;

/// A running catalog.
pub struct FakeRegistry {
    _server: FakeServer,
    address: SocketAddr,
    record: Arc<Mutex<Record>>,
}

impl FakeRegistry {
    /// Starts one on a free port.
    ///
    /// # Errors
    /// If there is no port or thread.
    pub fn start() -> io::Result<FakeRegistry> {
        let record = Arc::new(Mutex::new(Record::new()));
        let shared = record.clone();
        let (party, address) = FakeServer::listen("catalog", move |_| {
            move |stream| {
                let shared = shared.clone();
                async move {
                    let mut kept = Vec::new();
                    while let Some(request) = http::read(&stream, &mut kept).await {
                        let name = request.path.strip_prefix("/catalog/register/").unwrap_or("");
                        let status = if request.method != "PUT" || name.is_empty() {
                            404
                        } else {
                            let passing = request.body.windows(9).any(|w| w == b"\"passing\"");
                            note(&mut shared.lock().unwrap_or_else(PoisonError::into_inner), name, passing);
                            204
                        };
                        if (&stream).write_all(&http::reply(status, "", b"")).await.is_err() {
                            return;
                        }
                    }
                }
            }
        })?;
        Ok(FakeRegistry { _server: party, address, record })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The spans in which each round server was listed, Unix ms.
    pub fn record(&self) -> BTreeMap<String, Vec<(u64, u64)>> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether that round server is listed now.
    pub fn lists(&self, name: &str) -> bool {
        let now = unix_ms();
        let record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        record.get(name).and_then(|spans| spans.last()).is_some_and(|(_, to)| now <= to + LAPSE_MS)
    }
}

fn note(record: &mut Record, name: &str, passing: bool) {
    let now = unix_ms();
    let spans = record.entry(name.to_owned()).or_default();
    match spans.last_mut() {
        Some((_, to)) if passing && now <= *to + LAPSE_MS => *to = now,
        _ if passing => spans.push((now, now)),
        _ => {}
    }
}
