//! The load: which requests are sent, when, and in which way, drawn from a seed.

use dunlinspread_fakes::PlatformSettings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;

/// The parts of the attempts that are made in each special way; the others share connections.
const FRESH_CONNECTION_PART: f64 = 0.08;
const PIECES_PART: f64 = 0.05;
const AFTER_IDLE_PART: f64 = 0.05;
/// The part of the attempts that clients withdraw.
const WITHDRAWN_PART: f64 = 0.03;
/// The part of the keyed requests that are tried more than once.
const RETRIED_PART: f64 = 0.5;
/// Further attempts of such a request at most.
const MAX_RETRIES: u32 = 3;
/// The longest time from the first attempt to a further one, ms.
const MAX_RETRY_DELAY_MS: u64 = 1800;
/// The longest wait before a withdrawal, ms.
const MAX_WITHDRAWAL_DELAY_MS: u64 = 60;
/// The longest pause between the pieces of a request, and their largest number.
const MAX_PIECE_PAUSE_MS: u64 = 60;
const MAX_PIECES: usize = 5;
/// The longest time for which a connection stays idle before its request, ms.
const MAX_IDLE_MS: u64 = 2000;
/// The longest body, bytes.
const MAX_BODY_BYTES: usize = 2048;

/// What is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// Where chance comes from.
    pub seed: u64,
    /// Requests a second, in the mean, without further attempts.
    pub rate: f64,
    /// Connections that requests share.
    pub shared_connections: usize,
    /// Whether clients withdraw some requests.
    pub withdrawals: bool,
}

/// One request, the same in all its attempts.
#[derive(Debug, PartialEq)]
pub struct PlannedRequest {
    /// Its class.
    pub class: &'static str,
    /// Its idempotency key.
    pub key: Option<String>,
    /// How long its key must not run again, ms.
    pub key_window_ms: Option<f64>,
    /// Its body.
    pub body: Vec<u8>,
    /// Its priority, 0 to 1.
    pub priority: f64,
    /// The memory of its run, kB.
    pub memory_kb: f64,
}

/// The connection of an attempt.
#[derive(Clone, Debug)]
pub enum Way {
    /// One of those that are shared.
    Shared,
    /// A new one.
    Fresh,
    /// One that was opened before and has been idle for this time.
    AfterIdle(Duration),
    /// A new one, with the bytes in so many pieces and this pause between them.
    Pieces { pieces: usize, pause: Duration },
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct PlannedAttempt {
    /// The id of the attempt.
    pub call: u64,
    /// Time from the request's beginning to the attempt's.
    pub delay: Duration,
    /// How it is sent.
    pub way: Way,
    /// When its client withdraws it, counted from the writing.
    pub withdrawal: Option<Duration>,
}

/// Draws requests one after the other.
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
        let way = self.draw_way();
        let withdrawn = self.settings.withdrawals && self.rng.random::<f64>() < WITHDRAWN_PART;
        let withdrawal_ms = self.rng.random_range(0..=MAX_WITHDRAWAL_DELAY_MS);
        let withdrawal = withdrawn.then(|| Duration::from_millis(withdrawal_ms));
        PlannedAttempt { call, delay: Duration::from_millis(delay_ms), way, withdrawal }
    }

    fn draw_way(&mut self) -> Way {
        let mut left = self.rng.random::<f64>();
        let mut is_drawn = |part: f64| {
            left -= part;
            left < 0.0
        };
        if is_drawn(FRESH_CONNECTION_PART) {
            return Way::Fresh;
        }
        if is_drawn(PIECES_PART) {
            let pieces = self.rng.random_range(2..=MAX_PIECES);
            let pause = Duration::from_millis(self.rng.random_range(0..=MAX_PIECE_PAUSE_MS));
            return Way::Pieces { pieces, pause };
        }
        if is_drawn(AFTER_IDLE_PART) {
            return Way::AfterIdle(Duration::from_millis(self.rng.random_range(0..=MAX_IDLE_MS)));
        }
        Way::Shared
    }
}
