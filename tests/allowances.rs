//! Compares the admission controller with a second copy of it, compiled over a simple implementation of the
//! tenants' decaying counts. The simple implementation decays all counts at each timer and sums them at each
//! arrival. Both controllers must return the same actions for each event.

use common::settings;
use dunlinspread::{
    Action, AdmissionController, Arrival, Class, Event, Gauges, Outcome, Preemption, RequestId, RetrySafety,
    Settings, Signal,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};

mod common;

/// Reference implementation, which visits all members, in place of `src/decaying_counts.rs`.
mod decaying_counts {
    #[derive(Default)]
    pub struct DecayingCounts(Vec<f64>);

    pub struct MemberCounts {
        pub own: f64,
        pub others: f64,
    }

    impl DecayingCounts {
        pub fn new(members: usize) -> Self {
            DecayingCounts(vec![0.0; members])
        }

        pub fn decay(&mut self, part: f64) {
            self.0.iter_mut().for_each(|count| *count *= part);
        }

        pub fn grow(&mut self, members: usize) {
            self.0.resize(members.max(self.0.len()), 0.0);
        }

        pub fn reset(&mut self, member: usize) {
            self.0[member] = 0.0;
        }

        pub fn add(&mut self, member: usize) -> Option<MemberCounts> {
            let count = self.0.get_mut(member)?;
            *count += 1.0;
            let own = *count;
            Some(MemberCounts { own, others: self.0.iter().sum::<f64>() - own })
        }
    }
}

#[allow(
    dead_code,
    unused_imports,
    reason = "the module is included unchanged, and only a part of it is used"
)]
#[path = "../src/admission/mod.rs"]
mod admission;

/// Builds a struct of the reference controller from all fields of the tested controller's struct.
macro_rules! copy_fields {
    ($target:ident, $source:expr, $($field:ident),+ $(,)?) => {
        admission::$target { $($field: $source.$field.clone()),+ }
    };
}

/// Converts an enum value to the variant of the same name in the reference controller.
macro_rules! same_variant {
    ($enum:ident, $value:expr, $($variant:ident),+ $(,)?) => {
        match $value { $($enum::$variant => admission::$enum::$variant),+ }
    };
}

fn reference_class(class: &Class) -> admission::Class {
    let retry_safety = same_variant!(RetrySafety, class.retry_safety, Idempotent, IdempotencyKey, AtMostOnce);
    admission::Class {
        retry_safety,
        latency_objective_ms: class.latency_objective_ms,
        objective_per_cost: class.objective_per_cost,
        client_timeout_ms: class.client_timeout_ms,
        key_window_ms: class.key_window_ms,
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        makes_upstream_calls: class.makes_upstream_calls,
        degraded_weight: class.degraded_weight,
    }
}

fn reference_settings(settings: &Settings) -> admission::Settings {
    admission::Settings {
        seed: settings.seed,
        server_count: settings.server_count,
        cores: settings.cores,
        tick_ms: settings.tick_ms,
        cold_start: settings.cold_start,
        cold_start_speed: settings.cold_start_speed,
        warm_up_ms: settings.warm_up_ms,
        response_slack_ms: settings.response_slack_ms,
        drain_grace_ms: settings.drain_grace_ms,
        survivable_runs_per_core: settings.survivable_runs_per_core,
        overload_window_ms: settings.overload_window_ms,
        memory_kb: settings.memory_kb,
        run_memory_factor: settings.run_memory_factor,
        key_memory_kb: settings.key_memory_kb,
        signal: same_variant!(Signal, settings.signal, Off, Share, Other),
        preemption: same_variant!(Preemption, settings.preemption, Off, Abort, Suspend),
        has_upstream: settings.has_upstream,
        upstream_call_share: settings.upstream_call_share,
        upstream_window_ms: settings.upstream_window_ms,
        call_linger_ms: settings.call_linger_ms,
        shared_result_ttl_ms: settings.shared_result_ttl_ms,
        retry_after: settings.retry_after,
        max_retry_after_ms: settings.max_retry_after_ms,
        passes_deadline: settings.passes_deadline,
        client_count: settings.client_count,
        client_idle_timeout_ms: settings.client_idle_timeout_ms,
        over_quota_weight: settings.over_quota_weight,
        classes: settings.classes.iter().map(reference_class).collect(),
        tenant_quotas: settings.tenant_quotas.clone(),
        class_limits: settings.class_limits.clone(),
    }
}

fn reference_outcome(outcome: Outcome) -> admission::Outcome {
    same_variant!(
        Outcome,
        outcome,
        Ok,
        Error,
        Rejected,
        TimedOut,
        Unreachable,
        ConnectionLost,
        Cancelled,
        NotStarted,
        Lost
    )
}

/// Converts an event for the reference controller.
fn reference_event(event: &Event) -> admission::Event {
    match event {
        Event::Start => admission::Event::Start,
        Event::Arrival(arrival) => admission::Event::Arrival(copy_fields!(
            Arrival,
            arrival,
            id,
            class,
            tenant,
            shareable,
            deadline,
            cost_ms,
            request_kb,
            priority,
            is_retry,
            age_ms,
            duplicate_of,
        )),
        Event::RunEnded { id, outcome, took_ms } => {
            let outcome = reference_outcome(*outcome);
            admission::Event::RunEnded { id: *id, outcome, took_ms: *took_ms }
        }
        Event::ClientGone(id) => admission::Event::ClientGone(*id),
        Event::Timer { token, gauges } => {
            let gauges = copy_fields!(Gauges, gauges, busy, run_queue, memory, connections);
            admission::Event::Timer { token: *token, gauges }
        }
        other => panic!("event is not part of the comparison: {other:?}"),
    }
}

/// Parameters of a generated sequence of events.
#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    tenants: usize,
    servers: f64,
    /// Number of timers outside of the idle time.
    timers: usize,
    /// Number of timers in the one long idle time.
    idle_timers: usize,
}

/// The tested controller and the reference controller, which receive the same events.
struct Comparison {
    scenario: Scenario,
    rng: ChaCha8Rng,
    controller: AdmissionController,
    reference: admission::AdmissionController,
    now: f64,
    next: RequestId,
    running: VecDeque<RequestId>,
    open: BTreeSet<RequestId>,
    /// Number of rejections below the priority threshold, the action that depends most on quotas.
    shed: usize,
    /// Number of arrivals admitted under the same conditions.
    admitted: usize,
}

impl Comparison {
    fn new(scenario: Scenario) -> Comparison {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let allowances = [0.0, 0.0, 0.01, 1.0, 5.0, 20.0, 400.0, 1e9];
        let usual = allowances[rng.random_range(2..allowances.len())];
        let tenants = (0..scenario.tenants).map(|_| match rng.random_range(0..3) {
            0 => allowances[rng.random_range(0..allowances.len())],
            _ => usual,
        });
        let tenants = tenants.collect();
        let settings = Settings {
            server_count: scenario.servers,
            tenant_quotas: tenants,
            memory_kb: 3000.0,
            retry_after: true,
            max_retry_after_ms: 1000.0,
            over_quota_weight: 0.05,
            ..settings()
        };
        Comparison {
            controller: AdmissionController::new(0.0, settings.clone()),
            reference: admission::AdmissionController::new(0.0, reference_settings(&settings)),
            scenario,
            rng,
            now: 0.0,
            next: 0,
            running: VecDeque::new(),
            open: BTreeSet::new(),
            shed: 0,
            admitted: 0,
        }
    }

    /// Sends an event to both controllers, asserts that both behave the same, and records the actions.
    fn dispatch_event(&mut self, event: Event) {
        let (mut actions, mut reference_actions) = (Vec::new(), Vec::new());
        let context = format!("{:?}, at {} ms: {event:?}", self.scenario, self.now);
        self.reference.on_event(self.now, reference_event(&event), &mut reference_actions);
        self.controller.on_event(self.now, event, &mut actions);
        // Numbers are formatted exactly, so that equal texts mean equal actions; NaN is excluded because its
        // text would equal itself.
        let (text, reference_text) = (format!("{actions:?}"), format!("{reference_actions:?}"));
        assert!(!text.contains("NaN"), "{context}: {text}");
        assert_eq!(text, reference_text, "{context}");
        let state = (self.controller.level(), self.controller.priority_threshold());
        let reference_state = (self.reference.level(), self.reference.priority_threshold());
        assert_eq!(state, reference_state, "{context}");
        for action in actions {
            match action {
                Action::Run(id) => self.running.push_back(id),
                Action::Reject { id, do_not_retry: last, .. } => {
                    self.shed += usize::from(last);
                    self.open.remove(&id);
                }
                Action::Fail(id) => drop(self.open.remove(&id)),
                _ => {}
            }
        }
    }

    fn arrive(&mut self, tenant: usize) {
        self.next += 1;
        let id = self.next;
        self.open.insert(id);
        let arrival = Arrival {
            id,
            class: if self.rng.random_bool(0.2) { 2 } else { 0 },
            tenant,
            request_kb: 20.0,
            // Mostly of the highest priority: a request that the threshold then rejects is over its tenant's
            // quota.
            priority: if self.rng.random_bool(0.7) { 1.0 } else { self.rng.random() },
            is_retry: self.rng.random_bool(0.05),
            ..Arrival::default()
        };
        self.dispatch_event(Event::Arrival(arrival));
        self.admitted += usize::from(self.open.contains(&id));
    }

    fn end_one(&mut self) {
        if let Some(id) = self.running.pop_front() {
            self.open.remove(&id);
            let took_ms = self.rng.random_range(20.0..90.0);
            self.dispatch_event(Event::RunEnded { id, outcome: Outcome::Ok, took_ms });
        }
    }

    fn timer(&mut self, busy: f64, run_queue: f64) {
        let gauges = Gauges { busy: Some(busy), run_queue: Some(run_queue), ..Gauges::default() };
        self.dispatch_event(Event::Timer { token: 1, gauges });
    }

    /// Returns the flooding tenant, or a random one: low numbers are drawn far more often than high ones.
    fn tenant(&mut self, flood: Option<usize>) -> usize {
        let tenants = self.scenario.tenants;
        match flood {
            Some(tenant) if self.rng.random_bool(0.9) => tenant,
            // The number after the last tenant has no quota.
            _ if self.rng.random_bool(0.01) => tenants,
            _ => (self.rng.random::<f64>().powi(6) * tenants as f64) as usize,
        }
    }

    fn run(mut self) -> Comparison {
        self.dispatch_event(Event::Start);
        let (mut flood, mut max_arrivals, mut is_loaded) = (None, 4, false);
        let idle_at = self.rng.random_range(0..self.scenario.timers);
        for at in 0..self.scenario.timers {
            if at % 100 == 0 {
                let tenant = self.rng.random_range(0..self.scenario.tenants);
                flood = self.rng.random_bool(0.5).then_some(tenant);
                max_arrivals = [1, 4, 20][self.rng.random_range(0..3)];
                is_loaded = self.rng.random_bool(0.7);
            }
            for _ in 0..self.rng.random_range(0..=max_arrivals) {
                self.now += self.rng.random_range(0.0..2.0);
                let tenant = self.tenant(flood);
                self.arrive(tenant);
                if self.rng.random_bool(0.1) {
                    self.end_one();
                }
                if self.rng.random_bool(0.02) {
                    let id = self.rng.random_range(1..=self.next);
                    self.open.remove(&id);
                    self.dispatch_event(Event::ClientGone(id));
                }
            }
            (0..2).for_each(|_| self.end_one());
            self.now += 50.0;
            let queue = if is_loaded { 30.0 } else { 1.0 };
            self.timer(if is_loaded { 1.0 } else { 0.4 }, queue);
            if at == idle_at {
                self.idle();
            }
        }
        self
    }

    /// Ends all runs, and advances through the idle time, in which nothing arrives.
    fn idle(&mut self) {
        while !self.running.is_empty() {
            self.end_one();
        }
        for _ in 0..self.scenario.idle_timers {
            self.now += 50.0;
            self.timer(0.0, 0.0);
        }
    }
}

#[test]
fn decisions_are_those_of_the_old_computation() {
    let (mut shed, mut admitted) = (0, 0);
    for tenants in [1, 2, 40, 2000] {
        for seed in 0..6 {
            let servers = [1.0, 20.0, 7100.0][seed as usize % 3];
            let idle_timers = [100, 1000, 12_000][seed as usize / 2 % 3] * 200 / tenants.max(200);
            let comparison =
                Comparison::new(Scenario { seed, tenants, servers, timers: 200, idle_timers }).run();
            (shed, admitted) = (shed + comparison.shed, admitted + comparison.admitted);
        }
    }
    println!("{shed} arrivals were below the threshold, {admitted} were admitted");
    assert!(
        shed > 1000 && admitted > 1000,
        "{shed} were below the threshold, {admitted} were admitted: too few to compare"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, rng_seed: RngSeed::Fixed(30), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decisions_are_those_of_the_old_computation_on_any_plan(
        seed in any::<u64>(),
        tenants in prop_oneof![Just(1), Just(2), 3_usize..40, Just(40), 40_usize..300],
        servers in prop_oneof![Just(1.0), 2.0..1000.0, Just(7100.0)],
        timers in 1_usize..150,
        idle_timers in prop_oneof![Just(0), 1_usize..300, 300_usize..3000],
    ) {
        Comparison::new(Scenario { seed, tenants, servers, timers, idle_timers }).run();
    }
}
