//! An open-loop load on real sockets: when each request is to be sent is drawn ahead and waits for no answer, and
//! latency counts from that time. One thread sends, one for each connection receives; both ends of a comparison are
//! driven by the same code and differ only in their wire format.

use anyhow::{Context, Result};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Before a request is due, the sender sleeps up to this long before and then watches the clock: a sleep ends late.
const WATCHED: Duration = Duration::from_micros(150);
/// How long answers are waited for after the last request.
const PATIENCE: Duration = Duration::from_secs(5);
/// How often it is looked whether all answers are there.
const LOOK: Duration = Duration::from_millis(2);
/// Bytes read at once.
const CHUNK: usize = 16 * 1024;

/// The wire format of one end.
pub trait Wire: Clone + Send + 'static {
    /// The bytes of a request with this number, which is part of its answer.
    fn encode(&self, number: u64) -> Vec<u8>;

    /// Takes the next whole answer from what was received: its number, and whether it was served.
    ///
    /// # Errors
    /// On what is no message.
    fn next_answer(&self, received: &mut Vec<u8>) -> Result<Option<(u64, bool)>>;
}

/// What is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests a second, in the mean.
    pub rate: f64,
    /// Requests in all.
    pub requests: usize,
    /// Where chance comes from.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The latency of each request that was served, ms, sorted.
    pub latency_ms: Vec<f64>,
    /// How late each request was sent, ms, sorted.
    pub late_ms: Vec<f64>,
}

impl Outcome {
    /// Adds what came of another load.
    pub fn merge(&mut self, other: &Outcome) {
        self.latency_ms.extend(&other.latency_ms);
        self.late_ms.extend(&other.late_ms);
        self.latency_ms.sort_by(f64::total_cmp);
        self.late_ms.sort_by(f64::total_cmp);
    }
}

/// The value that this part of the sorted values does not exceed; 0 of none.
pub fn percentile(sorted: &[f64], part: f64) -> f64 {
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// When each request is due, from the beginning.
fn schedule(load: Load) -> Vec<Duration> {
    let mut random = ChaCha8Rng::seed_from_u64(load.seed);
    let mut at = 0.0;
    let mut due = || {
        at += -(1.0 - random.random::<f64>()).ln() / load.rate;
        Duration::from_secs_f64(at)
    };
    (0..load.requests).map(|_| due()).collect()
}

/// Sends a load over these connections in turn, and waits for its answers.
///
/// # Errors
/// If a connection breaks or carries what is no answer.
pub fn run<W: Wire>(wire: &W, connections: &[TcpStream], load: Load) -> Result<Outcome> {
    let due = Arc::new(schedule(load));
    let answered = Arc::new(AtomicUsize::new(0));
    let began = Instant::now() + Duration::from_millis(5);
    let receivers = connections
        .iter()
        .map(|stream| {
            let receiver = Receiver {
                wire: wire.clone(),
                stream: stream.try_clone().context("sharing a connection")?,
                due: due.clone(),
                began,
                answered: answered.clone(),
            };
            Ok(std::thread::spawn(move || receiver.run()))
        })
        .collect::<Result<Vec<JoinHandle<Result<Received>>>>>()?;
    let sent = send(wire, connections, &due, began);
    let last = Instant::now();
    while sent.is_ok() && answered.load(Ordering::Relaxed) < load.requests && last.elapsed() < PATIENCE {
        std::thread::sleep(LOOK);
    }
    for stream in connections {
        // One that is closed already has no receiver left to end.
        let _ = stream.shutdown(Shutdown::Both);
    }
    let mut outcome = Outcome { late_ms: sent?, ..Outcome::default() };
    for receiver in receivers {
        let Ok(received) = receiver.join() else { anyhow::bail!("a receiver of answers panicked") };
        outcome.latency_ms.extend(received?.latency_ms);
    }
    outcome.latency_ms.sort_by(f64::total_cmp);
    outcome.late_ms.sort_by(f64::total_cmp);
    Ok(outcome)
}

/// Sends each request when it is due; how late each one was, ms.
fn send(wire: &impl Wire, connections: &[TcpStream], due: &[Duration], began: Instant) -> Result<Vec<f64>> {
    let mut late_ms = Vec::with_capacity(due.len());
    for (number, due) in due.iter().enumerate() {
        let at = began + *due;
        let bytes = wire.encode(number as u64 + 1);
        std::thread::sleep(at.saturating_duration_since(Instant::now()).saturating_sub(WATCHED));
        while Instant::now() < at {
            std::hint::spin_loop();
        }
        late_ms.push(at.elapsed().as_secs_f64() * 1000.0);
        (&connections[number % connections.len()]).write_all(&bytes).context("sending a request")?;
    }
    Ok(late_ms)
}

/// The receiving side of one connection.
struct Receiver<W> {
    wire: W,
    stream: TcpStream,
    due: Arc<Vec<Duration>>,
    began: Instant,
    answered: Arc<AtomicUsize>,
}

/// What one connection received.
struct Received {
    latency_ms: Vec<f64>,
}

impl<W: Wire> Receiver<W> {
    /// Receives until the connection ends.
    fn run(mut self) -> Result<Received> {
        let (mut bytes, mut chunk, mut latency_ms) = (Vec::new(), vec![0; CHUNK], Vec::new());
        loop {
            let read = self.stream.read(&mut chunk).context("receiving answers")?;
            let now = Instant::now();
            if read == 0 {
                return Ok(Received { latency_ms });
            }
            bytes.extend_from_slice(&chunk[..read]);
            while let Some((number, served)) = self.wire.next_answer(&mut bytes)? {
                let at = (number as usize).checked_sub(1).and_then(|at| self.due.get(at));
                if let Some(due) = at.filter(|_| served) {
                    let latency = now.saturating_duration_since(self.began + *due);
                    latency_ms.push(latency.as_secs_f64() * 1000.0);
                }
                self.answered.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
