//! A collector of exported batches over HTTP, as `docs/formats/export.md` describes it, with faults: it dies before taking
//! a batch, or between taking and acknowledging it, answers late, twice, or with nonsense.

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

/// How late a late answer is.
const LATE_ANSWER: Duration = Duration::from_millis(300);
/// An answer that no collector gives.
const NONSENSE: &[u8] = b"HTTP/1.1 200 Fine\r\nX-Watermark: many\r\nContent-Length: 0\r\n\r\n";

/// What a collector counted.
#[derive(Debug, Default)]
pub struct CollectorCounts {
    /// Batches accepted.
    pub accepted: AtomicU64,
    /// Offers of batches that were accepted before.
    pub duplicates: AtomicU64,
    /// Offers with another content than that of the accepted batch: alarms.
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

/// How an exchange goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeFault {
    /// The connection ends before the batch is taken.
    CloseBeforeTaking,
    /// The connection ends between taking and acknowledging.
    CloseBeforeAnswer,
    AnswerLate,
    AnswerNonsense,
    /// Whoever takes the second answer for that to what follows is led astray.
    AnswerTwice,
}

impl ExchangeFault {
    const ALL: [ExchangeFault; 5] = [
        ExchangeFault::CloseBeforeTaking,
        ExchangeFault::CloseBeforeAnswer,
        ExchangeFault::AnswerLate,
        ExchangeFault::AnswerNonsense,
        ExchangeFault::AnswerTwice,
    ];
}

/// What all connections of a collector share.
struct State {
    receiver: BatchReceiver,
    rng: ChaCha8Rng,
    fault_rate: f64,
    counts: Arc<CollectorCounts>,
}

impl FakeCollector {
    /// Starts one that keeps batches in `folder`; `fault_rate` is the part of exchanges that go wrong, in any of the ways.
    ///
    /// # Errors
    /// If there is no port or thread, or the folder can't be opened.
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

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what it counted.
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
        if fault == Some(ExchangeFault::CloseBeforeTaking) {
            return;
        }
        let reply = state.borrow_mut().handle(&request);
        match fault {
            Some(ExchangeFault::CloseBeforeTaking | ExchangeFault::CloseBeforeAnswer) => return,
            Some(ExchangeFault::AnswerLate) => drop(Timer::after(LATE_ANSWER).await),
            Some(ExchangeFault::AnswerNonsense) => {
                let _ = (&stream).write_all(NONSENSE).await;
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
    /// Draws whether and how an exchange goes wrong, and counts it.
    fn draw_fault(&mut self) -> Option<ExchangeFault> {
        if self.rng.random::<f64>() >= self.fault_rate {
            return None;
        }
        self.counts.faults.fetch_add(1, Ordering::Relaxed);
        // Drawn as an `i32`: another type draws other faults from the same seed.
        let index = self.rng.random_range(0..ExchangeFault::ALL.len() as i32);
        Some(ExchangeFault::ALL[index as usize])
    }

    /// Handles a request and returns the bytes of its reply.
    fn handle(&mut self, request: &Request) -> Vec<u8> {
        let parts: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        match (request.method.as_str(), &parts[..]) {
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
