//! The load: which requests are sent, and when.

use crate::platform::PlatformSettings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::{Duration, Instant};

/// The memory of a request's run, kB.
const RUN_MEMORY_KB: Range<f64> = 18.0..60.0;

/// What is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Requests a second, in the mean.
    pub rate: f64,
    /// Requests in all.
    pub requests: u64,
    /// The tenants that send, evenly; `None` for requests that name none.
    pub tenants: Vec<Option<String>>,
    /// Where chance comes from.
    pub seed: u64,
}

/// How the clients behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientBehavior {
    /// Connections to one server at most.
    pub max_connections: usize,
    /// Retries after an attempt that was rejected, failed or cut.
    pub max_retries: u32,
    /// Time before each retry.
    pub retry_delay: Duration,
}

impl Default for ClientBehavior {
    fn default() -> Self {
        ClientBehavior { max_connections: 32, max_retries: 0, retry_delay: Duration::from_millis(50) }
    }
}

/// One request, the same in all its attempts.
pub(crate) struct PlannedRequest {
    /// The index of its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
    /// Its priority, 0 to 1.
    pub priority: f64,
    /// The memory of its run, kB.
    pub memory_kb: f64,
    /// When it is to be sent.
    pub due: Instant,
    /// The ids of its attempts, one for each that the behavior allows.
    pub attempt_ids: Vec<u64>,
}

/// Draws the requests of a load one after the other.
pub(crate) struct RequestPlan<'a> {
    platform: &'a PlatformSettings,
    load: &'a Load,
    max_retries: u32,
    rng: ChaCha8Rng,
    began_at: Instant,
    /// When the next request is due, seconds from the beginning.
    due_seconds: f64,
    drawn: u64,
}

impl<'a> RequestPlan<'a> {
    /// Returns the plan of a load that begins now.
    pub fn new(platform: &'a PlatformSettings, load: &'a Load, max_retries: u32) -> RequestPlan<'a> {
        RequestPlan {
            platform,
            load,
            max_retries,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            began_at: Instant::now(),
            due_seconds: 0.0,
            drawn: 0,
        }
    }

    /// Draws a class by the classes' shares.
    fn draw_class(&mut self) -> usize {
        let mut left = self.rng.random::<f64>();
        let class = self.platform.classes.iter().position(|class| {
            left -= class.share;
            left < 0.0
        });
        class.unwrap_or(0)
    }

    fn draw_tenant(&mut self) -> Option<String> {
        match self.load.tenants.len() {
            0 => None,
            count => self.load.tenants[self.rng.random_range(0..count)].clone(),
        }
    }
}

impl Iterator for RequestPlan<'_> {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        if self.drawn >= self.load.requests {
            return None;
        }
        // The order of the draws is part of what a seed means.
        self.due_seconds += -(1.0 - self.rng.random::<f64>()).ln() / self.load.rate;
        let due = self.began_at + Duration::from_secs_f64(self.due_seconds);
        let class = self.draw_class();
        let settings = &self.platform.classes[class];
        let has_key = settings.idempotency_window_ms.is_some();
        let idempotency_key =
            has_key.then(|| format!("{:016x}{:016x}", self.load.seed, self.rng.random::<u64>()));
        let tenant = self.draw_tenant();
        let key = idempotency_key.as_deref().unwrap_or("-");
        let body = format!("{}/{}/{key}", settings.name, self.drawn).into_bytes();
        let priority = self.rng.random::<f64>();
        let memory_kb = self.rng.random_range(RUN_MEMORY_KB);
        let attempt_ids = (0..=self.max_retries).map(|_| self.rng.random()).collect();
        self.drawn += 1;
        Some(PlannedRequest { class, tenant, idempotency_key, body, priority, memory_kb, due, attempt_ids })
    }
}
