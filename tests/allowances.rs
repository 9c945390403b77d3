//! Tenants' counters that decay one by one decide as those did that were all decayed with each timer and summed with
//! each arrival: the controller, compiled here a second time over that old computation, does the same, event by event.

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

/// The old computation, which walks through all members, in place of `src/decaying_counts.rs`.
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

#[allow(dead_code, unused_imports, reason = "the module as it stands, of which a part is used here")]
#[path = "../src/admission/mod.rs"]
mod admission;

/// Builds a struct of the second controller from the fields, all of them, of the first one's.
macro_rules! copy_fields {
    ($target:ident, $source:expr, $($field:ident),+ $(,)?) => {
        admission::$target { $($field: $source.$field.clone()),+ }
    };
}

/// The variant of the second controller's enum that has the same name.
macro_rules! same_variant {
    ($enum:ident, $value:expr, $($variant:ident),+ $(,)?) => {
        match $value { $($enum::$variant => admission::$enum::$variant),+ }
    };
}

fn second_class(class: &Class) -> admission::Class {
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

fn second_settings(settings: &Settings) -> admission::Settings {
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
        classes: settings.classes.iter().map(second_class).collect(),
        tenant_quotas: settings.tenant_quotas.clone(),
        class_limits: settings.class_limits.clone(),
    }
}

fn second_outcome(outcome: Outcome) -> admission::Outcome {
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

/// The same event for the second controller.
fn second_event(event: &Event) -> admission::Event {
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
            let outcome = second_outcome(*outcome);
            admission::Event::RunEnded { id: *id, outcome, took_ms: *took_ms }
        }
        Event::ClientGone(id) => admission::Event::ClientGone(*id),
        Event::Timer { token, gauges } => {
            let gauges = copy_fields!(Gauges, gauges, busy, run_queue, memory, connections);
            admission::Event::Timer { token: *token, gauges }
        }
        other => panic!("no play has this event: {other:?}"),
    }
}

/// What a play is made of.
#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    tenants: usize,
    servers: f64,
    /// Timers in all, beside those of long idle times.
    timers: usize,
    /// Timers of the one long idle time.
    idle_timers: usize,
}

/// Both modules, told the same.
struct Play {
    plan: Plan,
    rng: ChaCha8Rng,
    new: AdmissionController,
    old: admission::AdmissionController,
    now: f64,
    next: RequestId,
    running: VecDeque<RequestId>,
    open: BTreeSet<RequestId>,
    /// Rejections under the threshold, the action that depends most on quotas.
    shed: usize,
    /// Arrivals admitted under the same conditions.
    admitted: usize,
}

impl Play {
    fn new(plan: Plan) -> Play {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let allowances = [0.0, 0.0, 0.01, 1.0, 5.0, 20.0, 400.0, 1e9];
        let usual = allowances[rng.random_range(2..allowances.len())];
        let tenants = (0..plan.tenants).map(|_| match rng.random_range(0..3) {
            0 => allowances[rng.random_range(0..allowances.len())],
            _ => usual,
        });
        let tenants = tenants.collect();
        let settings = Settings {
            server_count: plan.servers,
            tenant_quotas: tenants,
            memory_kb: 3000.0,
            retry_after: true,
            max_retry_after_ms: 1000.0,
            over_quota_weight: 0.05,
            ..settings()
        };
        Play {
            new: AdmissionController::new(0.0, settings.clone()),
            old: admission::AdmissionController::new(0.0, second_settings(&settings)),
            plan,
            rng,
            now: 0.0,
            next: 0,
            running: VecDeque::new(),
            open: BTreeSet::new(),
            shed: 0,
            admitted: 0,
        }
    }

    /// Tells both, which have to do the same, and notes what was done.
    fn dispatch_event(&mut self, event: Event) {
        let (mut new, mut old) = (Vec::new(), Vec::new());
        let context = format!("{:?}, at {} ms: {event:?}", self.plan, self.now);
        self.old.on_event(self.now, second_event(&event), &mut old);
        self.new.on_event(self.now, event, &mut new);
        // The text of a number gives it to the last digit; NaN alone would equal itself here.
        let (new_text, old_text) = (format!("{new:?}"), format!("{old:?}"));
        assert!(!new_text.contains("NaN"), "{context}: {new_text}");
        assert_eq!(new_text, old_text, "{context}");
        let new_state = (self.new.level(), self.new.priority_threshold());
        let old_state = (self.old.level(), self.old.priority_threshold());
        assert_eq!(new_state, old_state, "{context}");
        for action in new {
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
            // Mostly of the highest priority: what the threshold then rejects is over its quota.
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

    /// A tenant: the flooding one, or one of few by an uneven chance, or any.
    fn tenant(&mut self, flood: Option<usize>) -> usize {
        let tenants = self.plan.tenants;
        match flood {
            Some(tenant) if self.rng.random_bool(0.9) => tenant,
            // One past the list has no allowance.
            _ if self.rng.random_bool(0.01) => tenants,
            _ => (self.rng.random::<f64>().powi(6) * tenants as f64) as usize,
        }
    }

    fn play(mut self) -> Play {
        self.dispatch_event(Event::Start);
        let (mut flood, mut most, mut loaded) = (None, 4, false);
        let idle_at = self.rng.random_range(0..self.plan.timers);
        for at in 0..self.plan.timers {
            if at % 100 == 0 {
                let tenant = self.rng.random_range(0..self.plan.tenants);
                flood = self.rng.random_bool(0.5).then_some(tenant);
                most = [1, 4, 20][self.rng.random_range(0..3)];
                loaded = self.rng.random_bool(0.7);
            }
            for _ in 0..self.rng.random_range(0..=most) {
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
            let queue = if loaded { 30.0 } else { 1.0 };
            self.timer(if loaded { 1.0 } else { 0.4 }, queue);
            if at == idle_at {
                self.rest();
            }
        }
        self
    }

    /// Nothing arrives for long.
    fn rest(&mut self) {
        while !self.running.is_empty() {
            self.end_one();
        }
        for _ in 0..self.plan.idle_timers {
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
            let play = Play::new(Plan { seed, tenants, servers, timers: 200, idle_timers }).play();
            (shed, admitted) = (shed + play.shed, admitted + play.admitted);
        }
    }
    println!("{shed} arrivals fell under the threshold, {admitted} were admitted");
    assert!(
        shed > 1000 && admitted > 1000,
        "{shed} fell under the threshold, {admitted} were admitted: too few to tell"
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
        Play::new(Plan { seed, tenants, servers, timers, idle_timers }).play();
    }
}
