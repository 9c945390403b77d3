//! A slowed server whose runs the test starts and ends, and clients that read one message at a time.

use super::{COSTS, SLOW_AT};
use crate::fleet::FakeWorkerPool;
use crate::play::alone::{Alone, Client};
use crate::play::config;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Class without idempotency keys.
pub const UNKEYED: &str = "route-sheet";
/// Class with idempotency keys.
pub const KEYED: &str = "pour-entry";
/// Client timeout of these tests, equal to the platform's.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(5000);

/// Configuration changes that set the client timeout to [`CLIENT_TIMEOUT`] and the latency objective to half
/// of it.
const CLIENT_TIMES: [(&str, &str); 2] =
    [(r#""give_up_ms":90000"#, r#""give_up_ms":5000"#), (r#""target_ms":80000"#, r#""target_ms":2500"#)];
/// Withdrawal of a request that is not open.
const WITHDRAWAL: &[u8] = b"\x93\x02\xa6forget\x91\x00";

/// Number of the last attempt; numbers are unique in the test program.
static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(0);

/// The server and its worker pool.
pub struct HeldSite {
    pub pool: FakeWorkerPool,
    pub server: Alone,
}

impl HeldSite {
    /// Starts a slowed server.
    pub fn slowed() -> HeldSite {
        HeldSite::start(&[], SLOW_AT, COSTS)
    }

    /// Starts a server with the environment variable `name` set to `value`. Each change replaces its first
    /// text in the configuration by its second one.
    pub fn start(changes: &[(&str, &str)], name: &str, value: &str) -> HeldSite {
        let pool = FakeWorkerPool::new();
        let changes = CLIENT_TIMES.iter().chain(changes);
        let changes: Vec<_> = changes.map(|(from, to)| ((*from).to_owned(), (*to).to_owned())).collect();
        let config = config(&pool.address().to_string(), "127.0.0.1:1", "127.0.0.1:1", &changes);
        HeldSite { pool, server: Alone::with_variable(&config, name, value) }
    }

    /// Returns the address at which clients connect.
    pub fn listen(&self) -> SocketAddr {
        self.server.address.parse().expect("an address")
    }

    /// Connects a client.
    pub fn client(&self) -> TimedClient {
        TimedClient { client: Client::new(&self.server.address), asked_at: Instant::now() }
    }

    /// Connects clients and returns them after a first request of each was completed.
    pub fn answered_clients(&self, count: usize) -> Vec<TimedClient> {
        let mut clients: Vec<TimedClient> = (0..count).map(|_| self.client()).collect();
        for client in &mut clients {
            client.ask(1, UNKEYED, CLIENT_TIMEOUT);
            assert!(client.answer_to(1).is_completed, "a first request is not completed");
        }
        clients
    }
}

/// An answer and its time of arrival.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Whether the answer is the response to the client's request.
    pub is_response: bool,
    /// Whether the answer is the result of the run.
    pub is_completed: bool,
    /// Time from the write of the request to the answer.
    pub took: Duration,
    /// Bytes of the answer, escaped.
    #[allow(dead_code, reason = "it is printed")]
    pub text: String,
}

impl Answer {
    /// Returns whether the request was answered within the limit.
    pub fn is_in_time(&self, limit: Duration) -> bool {
        self.is_response && self.took <= limit
    }
}

/// A client that records the time of its last request.
pub struct TimedClient {
    pub client: Client,
    pub asked_at: Instant,
}

impl TimedClient {
    /// Writes a request with this time limit.
    pub fn ask(&mut self, id: u64, class: &str, timeout: Duration) {
        self.ask_behind(0, id, class, timeout);
    }

    /// Writes withdrawals of requests that are not open, and a request behind them, in one write.
    pub fn ask_behind(&mut self, withdrawals: usize, id: u64, class: &str, timeout: Duration) {
        let attempt = LAST_ATTEMPT.fetch_add(1, Ordering::Relaxed) + 1;
        let key = if class == KEYED { format!(" dedupe={attempt:032x}") } else { String::new() };
        let timeout_ms = timeout.as_millis();
        let request = format!("{class} call={attempt:016x} ttl={timeout_ms}{key}");
        self.asked_at = Instant::now();
        self.client.ask_behind(&WITHDRAWAL.repeat(withdrawals), id, &request);
    }

    /// Reads the next response, which is expected to answer this request.
    pub fn answer_to(&mut self, id: u64) -> Answer {
        let text = self.client.response();
        Answer {
            is_response: text.starts_with(&format!(r"\x94\x01\x{id:02x}")),
            is_completed: text.starts_with(&format!(r"\x94\x01\x{id:02x}\xc0")),
            took: self.asked_at.elapsed(),
            text,
        }
    }
}

/// Reads each client's response to request `id`, asserts that all arrived in time, and returns the number of
/// responses that are results.
pub fn assert_answered_in(
    seed: u64,
    context: &str,
    id: u64,
    limit: Duration,
    clients: &mut [TimedClient],
) -> usize {
    let answers: Vec<Answer> = clients.iter_mut().map(|client| client.answer_to(id)).collect();
    let late: Vec<&Answer> = answers.iter().filter(|answer| !answer.is_in_time(limit)).collect();
    let slowest = answers.iter().map(|answer| answer.took).max();
    let completed = answers.iter().filter(|answer| answer.is_completed).count();
    println!(
        "seed {seed}, {context}: {} requests, {completed} completed, {} late or lost, slowest {slowest:?}",
        answers.len(),
        late.len()
    );
    late.iter().for_each(|answer| println!("  {answer:?}"));
    assert!(late.is_empty(), "seed {seed}, {context}: {} not answered within {limit:?}", late.len());
    completed
}
