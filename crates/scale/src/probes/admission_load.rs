//! Brings an admission controller into a given state and keeps it there while events are timed.

use dunlinspread::{
    Action, AdmissionController, Arrival, Class, Event, Gauges, Outcome, RequestId, RetrySafety, Settings,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Step of the virtual clock between two events, ms: so small that nothing becomes due and no run counts as
/// stalled.
const STEP_MS: f64 = 0.001;
/// Latency objective of every class, ms: so long that no request is late.
const LATENCY_OBJECTIVE_MS: f64 = 1e7;
/// Reported duration of a run, ms.
const RUN_MS: f64 = 10.0;
/// Number of running requests per core that the machine survives. The value only has to be well above the run
/// limit.
const SURVIVABLE_PER_CORE: f64 = 8.0;
/// Number of runs that the controller allows per core.
const RUNS_PER_CORE: f64 = 1.25;
/// Minimum number of requests that are run and ended before the measurement, so that run times are known.
const WARM_UP: usize = 64;
/// Number of pairs of clock readings from which the cost of a reading is determined.
const CLOCK_READINGS: usize = 1001;

/// Size of the controller's state.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of tenants with an allowance.
    pub tenants: usize,
    /// Number of classes of requests.
    pub classes: usize,
    /// Number of queued requests.
    pub queued: usize,
    /// Number of running requests.
    pub running: usize,
}

/// Mean cost of each event in one run of the load, ns.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Costs {
    /// Cost of an arrival, which is run at once if no request is queued, and otherwise queued.
    pub arrival: f64,
    /// Cost of the end of a run, after which the best queued request is run, if there is one.
    pub ending: f64,
    /// Cost of the periodic timer.
    pub timer: f64,
}

/// Limits of one run of the load.
#[derive(Clone, Copy, Debug)]
pub struct Length {
    /// Maximum number of rounds; a round consists of one event of each kind.
    pub rounds: usize,
    /// Time after which no new round begins.
    pub time: Duration,
}

/// An admission controller in a given state.
pub struct Load {
    shape: Shape,
    controller: AdmissionController,
    now: f64,
    last_id: RequestId,
    timer: u64,
    running: VecDeque<RequestId>,
    actions: Vec<Action>,
    random: ChaCha8Rng,
    clock_cost: Duration,
}

impl Load {
    /// Creates a controller and brings it into the given state.
    pub fn new(shape: Shape, seed: u64) -> Load {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let settings = settings(shape, &mut random);
        let mut load = Load {
            shape,
            controller: AdmissionController::new(0.0, settings),
            now: 0.0,
            last_id: 0,
            timer: 0,
            running: VecDeque::new(),
            actions: Vec::new(),
            random,
            clock_cost: clock_cost(),
        };
        load.event(Event::Start);
        // Each tenant sends one request, so that its memory is allocated and the first access to it is not
        // measured.
        for tenant in 0..shape.tenants.max(WARM_UP) {
            load.arrival_of(tenant % shape.tenants.max(1));
            load.ending();
        }
        for _ in 0..shape.running + shape.queued {
            load.arrival();
        }
        load
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Makes one run: rounds of an arrival, the end of a run and a timer, which together leave the state
    /// unchanged.
    pub fn run(&mut self, length: Length) -> Costs {
        let mut sums = [Duration::ZERO; 3];
        let (start, mut rounds) = (Instant::now(), 0);
        while rounds == 0 || rounds < length.rounds && start.elapsed() < length.time {
            sums[0] += self.arrival();
            sums[1] += self.ending();
            sums[2] += self.timer();
            rounds += 1;
        }
        let mean = |sum: Duration| sum.as_nanos() as f64 / rounds as f64;
        Costs { arrival: mean(sums[0]), ending: mean(sums[1]), timer: mean(sums[2]) }
    }

    fn arrival(&mut self) -> Duration {
        let tenant = self.random.random_range(0..self.shape.tenants.max(1));
        self.arrival_of(tenant)
    }

    fn arrival_of(&mut self, tenant: usize) -> Duration {
        self.last_id += 1;
        let arrival = Arrival {
            id: self.last_id,
            class: self.random.random_range(0..self.shape.classes),
            tenant,
            request_kb: 20.0,
            priority: self.random.random::<f64>(),
            ..Arrival::default()
        };
        self.event(Event::Arrival(arrival))
    }

    fn ending(&mut self) -> Duration {
        let Some(id) = self.running.pop_front() else { return Duration::ZERO };
        self.event(Event::RunEnded { id, outcome: Outcome::Ok, took_ms: RUN_MS })
    }

    fn timer(&mut self) -> Duration {
        let gauges = Gauges {
            busy: Some(1.0),
            run_queue: Some(self.running.len() as f64),
            memory: Some(0.1),
            connections: Some(100.0),
        };
        self.event(Event::Timer { token: self.timer, gauges })
    }

    /// Passes an event to the controller, processes the resulting actions, and returns how long the
    /// controller took.
    fn event(&mut self, event: Event) -> Duration {
        self.now += STEP_MS;
        self.actions.clear();
        let start = Instant::now();
        self.controller.on_event(self.now, event, &mut self.actions);
        let elapsed = start.elapsed().saturating_sub(self.clock_cost);
        for action in &self.actions {
            match action {
                Action::Run(id) => self.running.push_back(*id),
                Action::SetTimer { token, .. } => self.timer = *token,
                _ => {}
            }
        }
        elapsed
    }
}

/// Returns settings with which exactly the wanted number of requests runs and the others are queued.
fn settings(shape: Shape, random: &mut ChaCha8Rng) -> Settings {
    let class = Class {
        retry_safety: RetrySafety::Idempotent,
        latency_objective_ms: LATENCY_OBJECTIVE_MS,
        objective_per_cost: 0.0,
        client_timeout_ms: 2.0 * LATENCY_OBJECTIVE_MS,
        key_window_ms: 0.0,
        priority_weight: 1.0,
        late_weight: 0.1,
        makes_upstream_calls: false,
        degraded_weight: 0.0,
    };
    // If no request is queued, one more may run: the one that arrives.
    let limit = shape.running + usize::from(shape.queued == 0);
    Settings {
        server_count: 7100.0,
        cores: (limit as f64 + 0.5) / RUNS_PER_CORE,
        survivable_runs_per_core: SURVIVABLE_PER_CORE,
        client_count: 100.0,
        client_idle_timeout_ms: 10_000.0,
        classes: vec![class; shape.classes],
        tenant_quotas: (0..shape.tenants).map(|_| random.random_range(1.0..10.0)).collect(),
        ..Settings::default()
    }
}

/// Returns the median time between two consecutive readings of the clock.
fn clock_cost() -> Duration {
    let mut readings: Vec<Duration> = (0..CLOCK_READINGS).map(|_| Instant::now().elapsed()).collect();
    readings.sort_unstable();
    readings[CLOCK_READINGS / 2]
}
