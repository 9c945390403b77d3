//! The load, drawn from a seed: requests, their times and their connections.

use dunlinspread_fakes::PlatformSettings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;

/// Fractions of the attempts on each special kind of connection; the others use shared connections.
const FRESH_CONNECTION_PART: f64 = 0.08;
const PIECES_PART: f64 = 0.05;
const AFTER_IDLE_PART: f64 = 0.05;
/// Fraction of the attempts that clients withdraw.
const WITHDRAWN_PART: f64 = 0.03;
/// Fraction of the keyed requests that have more than one attempt.
const RETRIED_PART: f64 = 0.5;
/// Maximum number of further attempts of a request that is retried.
const MAX_RETRIES: u32 = 3;
/// Maximum time from the first attempt to a further one, ms.
const MAX_RETRY_DELAY_MS: u64 = 1800;
/// Maximum time before a withdrawal, ms.
const MAX_WITHDRAWAL_DELAY_MS: u64 = 60;
/// Maximum pause between two pieces of a request, ms.
const MAX_PIECE_PAUSE_MS: u64 = 60;
/// Maximum number of pieces of a request.
const MAX_PIECES: usize = 5;
/// Maximum time for which a connection is idle before its request, ms.
const MAX_IDLE_MS: u64 = 2000;
/// Maximum length of a body, bytes.
const MAX_BODY_BYTES: usize = 2048;

/// The settings of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Mean number of requests a second, not counting further attempts.
    pub rate: f64,
    /// Number of connections that requests share.
    pub shared_connections: usize,
    /// Whether clients withdraw some requests.
    pub withdrawals: bool,
}

/// The content of a request, which is the same in all its attempts.
#[derive(Debug, PartialEq)]
pub struct PlannedRequest {
    /// The class of the request.
    pub class: &'static str,
    /// The idempotency key of the request.
    pub key: Option<String>,
    /// Time for which the key must not run again, ms.
    pub key_window_ms: Option<f64>,
    /// The body of the request.
    pub body: Vec<u8>,
    /// The priority of the request, 0 to 1.
    pub priority: f64,
    /// The memory that the run needs, kB.
    pub memory_kb: f64,
}

/// The kind of connection that an attempt uses.
#[derive(Clone, Debug)]
pub enum ConnectionKind {
    /// One of the shared connections.
    Shared,
    /// A new connection.
    Fresh,
    /// A connection that was opened for the attempt and has been idle for this time.
    AfterIdle(Duration),
    /// A new connection on which the request is written in this number of pieces, with this pause between
    /// them.
    Pieces { pieces: usize, pause: Duration },
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct PlannedAttempt {
    /// The id of the attempt.
    pub call: u64,
    /// Time from the start of the request to the start of the attempt.
    pub delay: Duration,
    /// The kind of connection that the attempt uses.
    pub connection_kind: ConnectionKind,
    /// Time from the writing to the withdrawal by the client.
    pub withdrawal: Option<Duration>,
}

/// Draws the requests of a load one after the other.
pub struct LoadPlan {
    platform: PlatformSettings,
    settings: LoadSettings,
    rng: ChaCha8Rng,
    drawn: u64,
}

impl LoadPlan {
    /// Returns the plan of a load.
    pub fn new(platform: PlatformSettings, settings: LoadSettings) -> LoadPlan {
        LoadPlan { platform, settings, rng: ChaCha8Rng::seed_from_u64(settings.seed), drawn: 0 }
    }

    /// Returns the time to the next request.
    pub fn draw_interval(&mut self) -> Duration {
        let part = -(1.0 - self.rng.random::<f64>()).ln();
        Duration::from_secs_f64(part / self.settings.rate)
    }

    /// Returns the next request and its attempts.
    pub fn draw_request(&mut self) -> (Arc<PlannedRequest>, Vec<PlannedAttempt>) {
        let request = Arc::new(self.draw_content());
        let retries = match request.key {
            Some(_) if self.rng.random::<f64>() < RETRIED_PART => self.rng.random_range(1..=MAX_RETRIES),
            _ => 0,
        };
        let mut attempts = vec![self.draw_attempt(0)];
        for _ in 0..retries {
            let delay_ms = self.rng.random_range(0..=MAX_RETRY_DELAY_MS);
            attempts.push(self.draw_attempt(delay_ms));
        }
        (request, attempts)
    }

    fn draw_content(&mut self) -> PlannedRequest {
        self.drawn += 1;
        let mut left = self.rng.random::<f64>();
        let class = self.platform.classes.iter().find(|class| {
            left -= class.share;
            left < 0.0
        });
        let class = class.unwrap_or(&self.platform.classes[0]);
        let (name, key_window_ms) = (class.name, class.idempotency_window_ms);
        let key = key_window_ms.map(|_| format!("{:032x}", self.rng.random::<u128>()));
        let mut body = format!("{name}/{}/", self.drawn).into_bytes();
        let length = self.rng.random_range(body.len()..MAX_BODY_BYTES);
        body.extend((body.len()..length).map(|_| self.rng.random::<u8>()));
        let priority = self.rng.random_range(0.0..0.9999);
        let memory_kb = self.rng.random_range(18.0..60.0);
        PlannedRequest { class: name, key, key_window_ms, body, priority, memory_kb }
    }

    fn draw_attempt(&mut self, delay_ms: u64) -> PlannedAttempt {
        let call = self.rng.random();
        let connection_kind = self.draw_connection_kind();
        let withdrawn = self.settings.withdrawals && self.rng.random::<f64>() < WITHDRAWN_PART;
        let withdrawal_ms = self.rng.random_range(0..=MAX_WITHDRAWAL_DELAY_MS);
        let withdrawal = withdrawn.then(|| Duration::from_millis(withdrawal_ms));
        PlannedAttempt { call, delay: Duration::from_millis(delay_ms), connection_kind, withdrawal }
    }

    fn draw_connection_kind(&mut self) -> ConnectionKind {
        let mut left = self.rng.random::<f64>();
        let mut is_drawn = |part: f64| {
            left -= part;
            left < 0.0
        };
        if is_drawn(FRESH_CONNECTION_PART) {
            return ConnectionKind::Fresh;
        }
        if is_drawn(PIECES_PART) {
            let pieces = self.rng.random_range(2..=MAX_PIECES);
            let pause = Duration::from_millis(self.rng.random_range(0..=MAX_PIECE_PAUSE_MS));
            return ConnectionKind::Pieces { pieces, pause };
        }
        if is_drawn(AFTER_IDLE_PART) {
            return ConnectionKind::AfterIdle(Duration::from_millis(self.rng.random_range(0..=MAX_IDLE_MS)));
        }
        ConnectionKind::Shared
    }
}
