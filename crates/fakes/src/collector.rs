//! A collector of exported batches over HTTP, as `docs/formats/export.md` describes it, with faults: it dies before, between
//! and after taking and acknowledging, answers late, twice, or with nonsense.

use crate::fake_server::FakeServer;
use crate::http;
use async_io::Timer;
use dunlinspread_ledger::BatchReceiver;
use dunlinspread_ledger::batch::hex;
use dunlinspread_ledger::export_protocol::{CollectorReply, OfferDecision};
use dunlinspread_store::RealDisk;
use futures_lite::AsyncWriteExt;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// What a collector counted.
#[derive(Debug, Default)]
pub struct CollectorCounts {
    /// Batches taken.
    pub taken: AtomicU64,
    /// Offers of batches that were there already.
    pub again: AtomicU64,
    /// Offers with another content than the one that is there: alarms.
    pub conflicts: AtomicU64,
    /// Exchanges that were made to go wrong.
    pub faults: AtomicU64,
}

/// A running collector.
pub struct FakeCollector {
    _server: FakeServer,
    address: SocketAddr,
    counts: Arc<CollectorCounts>,
}

impl FakeCollector {
    /// Starts one that keeps batches in `folder`; `faulty` is the part of exchanges that go wrong, in any of the ways.
    ///
    /// # Errors
    /// If there is no port or thread, or the folder can't be opened.
    pub fn start(folder: &Path, seed: u64, faulty: f64) -> io::Result<FakeCollector> {
        let open = || -> Result<BatchReceiver, Box<dyn std::error::Error + Send + Sync>> {
            Ok(BatchReceiver::open(Arc::new(RealDisk::new(folder)?))?)
        };
        let inbox = open().map_err(io::Error::other)?;
        let counts = Arc::new(CollectorCounts::default());
        let shared = counts.clone();
        let (party, address) = FakeServer::listen("collector", move |_| {
            let state = Rc::new(RefCell::new((inbox, ChaCha8Rng::seed_from_u64(seed))));
            move |stream| {
                let (state, counts) = (state.clone(), shared.clone());
                async move {
                    let mut kept = Vec::new();
                    while let Some(request) = http::read(&stream, &mut kept).await {
                        let fault = {
                            let rng = &mut state.borrow_mut().1;
                            (rng.random::<f64>() < faulty).then(|| rng.random_range(0..5))
                        };
                        counts.faults.fetch_add(u64::from(fault.is_some()), Ordering::Relaxed);
                        if fault == Some(0) {
                            // Dies before it takes.
                            return;
                        }
                        let reply = judge(&mut state.borrow_mut().0, &request, &counts);
                        match fault {
                            // Dies between taking and acknowledging.
                            Some(1) => return,
                            Some(2) => drop(Timer::after(Duration::from_millis(300)).await),
                            Some(3) => {
                                let nonsense =
                                    b"HTTP/1.1 200 Fine\r\nX-Watermark: many\r\nContent-Length: 0\r\n\r\n";
                                let _ = (&stream).write_all(nonsense).await;
                                continue;
                            }
                            // Answers twice: whoever takes the second for the answer to what follows is led astray.
                            Some(_) => drop((&stream).write_all(&reply).await),
                            None => {}
                        }
                        if (&stream).write_all(&reply).await.is_err() {
                            return;
                        }
                    }
                }
            }
        })?;
        Ok(FakeCollector { _server: party, address, counts })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it counted.
    pub fn counts(&self) -> &CollectorCounts {
        &self.counts
    }
}

fn judge(inbox: &mut BatchReceiver, request: &http::Request, counts: &CollectorCounts) -> Vec<u8> {
    let parts: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
    let reply = match (request.method.as_str(), &parts[..]) {
        ("GET", ["batches", server, born]) => match born.parse() {
            Ok(born) => inbox.watermark(server, born),
            Err(_) => return http::reply(400, "", b""),
        },
        ("PUT", ["batches", ..]) => match inbox.receive(&request.body) {
            Ok((verdict, reply)) => {
                let count = match verdict {
                    OfferDecision::Accept => Some(&counts.taken),
                    OfferDecision::Duplicate => Some(&counts.again),
                    OfferDecision::Conflict => Some(&counts.conflicts),
                    OfferDecision::OutOfOrder => None,
                };
                if let Some(count) = count {
                    count.fetch_add(1, Ordering::Relaxed);
                }
                reply
            }
            Err(_) => return http::reply(400, "", b""),
        },
        _ => return http::reply(404, "", b""),
    };
    let CollectorReply { watermark, digest, conflict } = reply;
    let headers = format!("X-Watermark: {watermark}\r\nX-Digest: {}\r\n", hex(&digest));
    http::reply(if conflict { 409 } else { 200 }, &headers, b"")
}
