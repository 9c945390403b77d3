//! A fake collector of exported batches over HTTP, as `docs/formats/export.md` describes it. It can inject
//! faults: the connection closes before a batch is accepted or before it is acknowledged, and replies are
//! late, duplicated or invalid.

use crate::fake_server::FakeServer;
use crate::http::{Reply, Request, RequestReader};
use async_io::{Async, Timer};
use dunlinspread_ledger::BatchReceiver;
use dunlinspread_ledger::batch::hex;
use dunlinspread_ledger::export_protocol::{CollectorReply, OfferDecision};
use dunlinspread_store::RealDisk;
use futures_lite::AsyncWriteExt;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::error::Error;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Delay of a late reply.
const LATE_ANSWER: Duration = Duration::from_millis(300);
/// A reply with an unparsable watermark header.
const INVALID_REPLY: &[u8] = b"HTTP/1.1 200 Fine\r\nX-Watermark: many\r\nContent-Length: 0\r\n\r\n";

/// Counters of a collector.
#[derive(Debug, Default)]
pub struct CollectorCounts {
    /// Number of accepted batches.
    pub accepted: AtomicU64,
    /// Number of offers of batches that had already been accepted.
    pub duplicates: AtomicU64,
    /// Number of offers whose content differs from the accepted batch. Each is a conflict and raises an
    /// alarm.
    pub conflicts: AtomicU64,
    /// Number of exchanges with an injected fault.
    pub faults: AtomicU64,
}

/// A running fake collector.
pub struct FakeCollector {
    _server: FakeServer,
    address: SocketAddr,
    counts: Arc<CollectorCounts>,
}

/// A fault injected into one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeFault {
    /// The connection closes before the batch is accepted.
    CloseBeforeAccepting,
    /// The connection closes after the batch is accepted and before it is acknowledged.
    CloseBeforeAnswer,
    AnswerLate,
    AnswerInvalid,
    /// The reply is sent twice. A client that reads the duplicate as the reply to its next request gets a
    /// wrong result.
    AnswerTwice,
}

impl ExchangeFault {
    const ALL: [ExchangeFault; 5] = [
        ExchangeFault::CloseBeforeAccepting,
        ExchangeFault::CloseBeforeAnswer,
        ExchangeFault::AnswerLate,
        ExchangeFault::AnswerInvalid,
        ExchangeFault::AnswerTwice,
    ];
}

/// State shared by all connections of a collector.
struct State {
    receiver: BatchReceiver,
    rng: ChaCha8Rng,
    fault_rate: f64,
    counts: Arc<CollectorCounts>,
}

impl FakeCollector {
    /// Starts a collector that stores batches in `folder`. `fault_rate` is the fraction of exchanges with a
    /// fault; each fault is drawn from all kinds with equal probability.
    ///
    /// # Errors
    /// Returns an error if no port or thread is available, or the folder cannot be opened.
    pub fn start(folder: &Path, seed: u64, fault_rate: f64) -> io::Result<FakeCollector> {
        let receiver = open_receiver(folder).map_err(io::Error::other)?;
        let counts = Arc::new(CollectorCounts::default());
        let shared = counts.clone();
        let (server, address) = FakeServer::listen("collector", move |_| {
            let rng = ChaCha8Rng::seed_from_u64(seed);
            let state = Rc::new(RefCell::new(State { receiver, rng, fault_rate, counts: shared }));
            move |stream| serve(stream, state.clone())
        })?;
        Ok(FakeCollector { _server: server, address, counts })
    }

    /// Returns the address on which the collector listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the collector's counters.
    pub fn counts(&self) -> &CollectorCounts {
        &self.counts
    }
}

fn open_receiver(folder: &Path) -> Result<BatchReceiver, Box<dyn Error + Send + Sync>> {
    Ok(BatchReceiver::open(Arc::new(RealDisk::new(folder)?))?)
}

async fn serve(stream: Async<TcpStream>, state: Rc<RefCell<State>>) {
    let mut requests = RequestReader::new(&stream);
    while let Some(request) = requests.next().await {
        let fault = state.borrow_mut().draw_fault();
        if fault == Some(ExchangeFault::CloseBeforeAccepting) {
            return;
        }
        let reply = state.borrow_mut().handle(&request);
        match fault {
            Some(ExchangeFault::CloseBeforeAccepting | ExchangeFault::CloseBeforeAnswer) => return,
            Some(ExchangeFault::AnswerLate) => drop(Timer::after(LATE_ANSWER).await),
            Some(ExchangeFault::AnswerInvalid) => {
                let _ = (&stream).write_all(INVALID_REPLY).await;
                continue;
            }
            Some(ExchangeFault::AnswerTwice) => drop((&stream).write_all(&reply).await),
            None => {}
        }
        if (&stream).write_all(&reply).await.is_err() {
            return;
        }
    }
}

impl State {
    /// Draws the fault of the next exchange, if any, and counts it.
    fn draw_fault(&mut self) -> Option<ExchangeFault> {
        if self.rng.random::<f64>() >= self.fault_rate {
            return None;
        }
        self.counts.faults.fetch_add(1, Ordering::Relaxed);
        // The index is drawn as an `i32`: the same seed gives other faults with another integer type.
        let index = self.rng.random_range(0..ExchangeFault::ALL.len() as i32);
        Some(ExchangeFault::ALL[index as usize])
    }

    /// Handles a request and returns the encoded reply.
    fn handle(&mut self, request: &Request) -> Vec<u8> {
        let segments: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        match (request.method.as_str(), &segments[..]) {
            ("GET", ["batches", server, ledger_id]) => match ledger_id.parse() {
                Ok(ledger_id) => encode_reply(self.receiver.watermark(server, ledger_id)),
                Err(_) => Reply::status(400).encode(),
            },
            ("PUT", ["batches", ..]) => match self.receiver.receive(&request.body) {
                Ok((decision, reply)) => {
                    self.count(&decision);
                    encode_reply(reply)
                }
                Err(_) => Reply::status(400).encode(),
            },
            _ => Reply::status(404).encode(),
        }
    }

    fn count(&self, decision: &OfferDecision) {
        let count = match decision {
            OfferDecision::Accept => &self.counts.accepted,
            OfferDecision::Duplicate => &self.counts.duplicates,
            OfferDecision::Conflict => &self.counts.conflicts,
            OfferDecision::OutOfOrder => return,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

fn encode_reply(reply: CollectorReply) -> Vec<u8> {
    let CollectorReply { watermark, digest, conflict } = reply;
    let headers = format!("X-Watermark: {watermark}\r\nX-Digest: {}\r\n", hex(&digest));
    let status = if conflict { 409 } else { 200 };
    Reply { status, headers: &headers, body: b"" }.encode()
}
