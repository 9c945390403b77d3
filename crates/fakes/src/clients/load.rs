//! The load: the requests that are sent and their due times.

use crate::platform::PlatformSettings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Range of the memory of a run, kB.
const RUN_MEMORY_KB: Range<f64> = 18.0..60.0;

/// Settings of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Mean number of requests per second.
    pub rate: f64,
    /// Total number of requests.
    pub requests: u64,
    /// Tenants of the requests, drawn with equal probability; `None` stands for requests without a tenant.
    pub tenants: Vec<Option<String>>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Behavior of the clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientBehavior {
    /// Maximum number of connections to one server.
    pub max_connections: usize,
    /// Maximum number of retries after attempts that were rejected, failed, cut or not sent.
    pub max_retries: u32,
    /// Delay before each retry.
    pub retry_delay: Duration,
}

impl Default for ClientBehavior {
    fn default() -> Self {
        ClientBehavior { max_connections: 32, max_retries: 0, retry_delay: Duration::from_millis(50) }
    }
}

/// A request of a load. All its attempts have the same content.
pub(crate) struct PlannedRequest {
    /// Index of the request class.
    pub class: usize,
    /// Tenant, if any.
    pub tenant: Option<String>,
    /// Idempotency key, if the class has keys.
    pub idempotency_key: Option<String>,
    /// Request body.
    pub body: Vec<u8>,
    /// Priority, 0 to 1.
    pub priority: f64,
    /// Memory of the run, kB.
    pub memory_kb: f64,
    /// Due time at which the request is sent.
    pub due: Instant,
    /// Ids of the attempts, one for each that the client behavior allows.
    pub attempt_ids: Vec<u64>,
}

/// Iterator that draws the requests of a load.
pub(crate) struct RequestPlan<'a> {
    platform: &'a PlatformSettings,
    load: &'a Load,
    max_retries: u32,
    rng: ChaCha8Rng,
    started_at: Instant,
    /// Due time of the last drawn request, seconds from the start of the load.
    due_seconds: f64,
    drawn: u64,
}

impl<'a> RequestPlan<'a> {
    /// Returns the plan of a load that starts now.
    pub fn new(platform: &'a PlatformSettings, load: &'a Load, max_retries: u32) -> RequestPlan<'a> {
        RequestPlan {
            platform,
            load,
            max_retries,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            started_at: Instant::now(),
            due_seconds: 0.0,
            drawn: 0,
        }
    }

    /// Draws a class index; the classes' shares are the probabilities.
    fn draw_class(&mut self) -> usize {
        let mut remaining = self.rng.random::<f64>();
        let class = self.platform.classes.iter().position(|class| {
            remaining -= class.share;
            remaining < 0.0
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
        // A seed determines the load only if the order of the draws stays the same.
        self.due_seconds += -(1.0 - self.rng.random::<f64>()).ln() / self.load.rate;
        let due = self.started_at + Duration::from_secs_f64(self.due_seconds);
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
