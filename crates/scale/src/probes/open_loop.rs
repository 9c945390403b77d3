//! An open-loop load generator on real sockets: the due time of each request is drawn in advance and does not
//! depend on responses, and latency is measured from the due time. One thread sends, and one thread per
//! connection receives. The same code drives both sides of a comparison, which differ only in their wire
//! format.

use anyhow::{Context, Result};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time before the due time of a request at which the sender stops sleeping and polls the clock, since a
/// sleep ends late.
const SPIN_TIME: Duration = Duration::from_micros(150);
/// Maximum time to wait for responses after the last request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks whether all responses have arrived.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of bytes per read.
const CHUNK: usize = 16 * 1024;

/// Wire format of one side of a comparison.
pub trait Wire: Clone + Send + 'static {
    /// Returns the bytes of the request with this number. The response contains the same number.
    fn encode(&self, number: u64) -> Vec<u8>;

    /// Removes the next complete response from `received` and returns its number and whether the request was
    /// served, or `None` if the response is incomplete.
    ///
    /// # Errors
    /// Returns an error if the received bytes are not a valid message.
    fn next_answer(&self, received: &mut Vec<u8>) -> Result<Option<(u64, bool)>>;
}

/// Description of a load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Mean number of requests per second.
    pub rate: f64,
    /// Total number of requests.
    pub requests: usize,
    /// Seed of the random due times.
    pub seed: u64,
}

/// Result of a load.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Latencies of the served requests, ms, sorted.
    pub latency_ms: Vec<f64>,
    /// Delays between the due time and the sending of each request, ms, sorted.
    pub late_ms: Vec<f64>,
}

impl Outcome {
    /// Adds the result of another load.
    pub fn merge(&mut self, other: &Outcome) {
        self.latency_ms.extend(&other.latency_ms);
        self.late_ms.extend(&other.late_ms);
        self.latency_ms.sort_by(f64::total_cmp);
        self.late_ms.sort_by(f64::total_cmp);
    }
}

/// Returns the smallest value that at least `fraction` of the sorted values do not exceed, or 0 if there are
/// none.
pub fn percentile(sorted: &[f64], fraction: f64) -> f64 {
    let rank = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Returns the due time of each request relative to the start of the load.
fn schedule(load: Load) -> Vec<Duration> {
    let mut random = ChaCha8Rng::seed_from_u64(load.seed);
    let mut due_seconds = 0.0;
    let mut next_due = || {
        due_seconds += -(1.0 - random.random::<f64>()).ln() / load.rate;
        Duration::from_secs_f64(due_seconds)
    };
    (0..load.requests).map(|_| next_due()).collect()
}

/// Sends a load over the given connections in turn, and waits for the responses.
///
/// # Errors
/// Returns an error if a connection breaks or delivers bytes that are not a valid response.
pub fn run<W: Wire>(wire: &W, connections: &[TcpStream], load: Load) -> Result<Outcome> {
    let due = Arc::new(schedule(load));
    let answered = Arc::new(AtomicUsize::new(0));
    let start = Instant::now() + Duration::from_millis(5);
    let receivers = connections
        .iter()
        .map(|stream| {
            let receiver = Receiver {
                wire: wire.clone(),
                stream: stream.try_clone().context("duplicating the handle of a connection")?,
                due: due.clone(),
                start,
                answered: answered.clone(),
            };
            Ok(std::thread::spawn(move || receiver.run()))
        })
        .collect::<Result<Vec<JoinHandle<Result<Received>>>>>()?;
    let sent = send(wire, connections, &due, start);
    let last = Instant::now();
    while sent.is_ok()
        && answered.load(Ordering::Relaxed) < load.requests
        && last.elapsed() < RESPONSE_TIMEOUT
    {
        std::thread::sleep(POLL_INTERVAL);
    }
    for stream in connections {
        // Stops the receiver. Shutting down a connection that is already closed fails, but then its receiver
        // has stopped too.
        let _ = stream.shutdown(Shutdown::Both);
    }
    let mut outcome = Outcome { late_ms: sent?, ..Outcome::default() };
    for receiver in receivers {
        let Ok(received) = receiver.join() else { anyhow::bail!("a receiving thread panicked") };
        outcome.latency_ms.extend(received?.latency_ms);
    }
    outcome.latency_ms.sort_by(f64::total_cmp);
    outcome.late_ms.sort_by(f64::total_cmp);
    Ok(outcome)
}

/// Sends each request at its due time, and returns the delay of each one, ms.
fn send(wire: &impl Wire, connections: &[TcpStream], due: &[Duration], start: Instant) -> Result<Vec<f64>> {
    let mut late_ms = Vec::with_capacity(due.len());
    for (number, due) in due.iter().enumerate() {
        let at = start + *due;
        let bytes = wire.encode(number as u64 + 1);
        std::thread::sleep(at.saturating_duration_since(Instant::now()).saturating_sub(SPIN_TIME));
        while Instant::now() < at {
            std::hint::spin_loop();
        }
        late_ms.push(at.elapsed().as_secs_f64() * 1000.0);
        (&connections[number % connections.len()]).write_all(&bytes).context("sending a request")?;
    }
    Ok(late_ms)
}

/// Receiving side of one connection.
struct Receiver<W> {
    wire: W,
    stream: TcpStream,
    due: Arc<Vec<Duration>>,
    start: Instant,
    answered: Arc<AtomicUsize>,
}

/// Result of receiving on one connection.
struct Received {
    latency_ms: Vec<f64>,
}

impl<W: Wire> Receiver<W> {
    /// Receives responses until the connection ends, and returns their latencies.
    fn run(mut self) -> Result<Received> {
        let (mut bytes, mut chunk, mut latency_ms) = (Vec::new(), vec![0; CHUNK], Vec::new());
        loop {
            let read = self.stream.read(&mut chunk).context("receiving responses")?;
            let now = Instant::now();
            if read == 0 {
                return Ok(Received { latency_ms });
            }
            bytes.extend_from_slice(&chunk[..read]);
            while let Some((number, served)) = self.wire.next_answer(&mut bytes)? {
                let due = (number as usize).checked_sub(1).and_then(|index| self.due.get(index));
                if let Some(due) = due.filter(|_| served) {
                    let latency = now.saturating_duration_since(self.start + *due);
                    latency_ms.push(latency.as_secs_f64() * 1000.0);
                }
                self.answered.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
