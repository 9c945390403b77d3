//! Tenants' counters that fade one by one decide as those did that were all faded with each timer and summed with each
//! arrival: the module, compiled here a second time over that old computation, does the same, event by event.

use dunlinspread::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};

mod common;

mod interface {
    pub use dunlinspread::*;
}

/// The old computation, which walks through all members, in place of `src/decaying_counts.rs`.
mod decaying_counts {
    #[derive(Default)]
    pub struct DecayingCounts(Vec<f64>);

    pub struct Added {
        pub own: f64,
        pub others: f64,
    }

    impl DecayingCounts {
        pub fn new(members: usize) -> Self {
            DecayingCounts(vec![0.0; members])
        }

        pub fn fade(&mut self, part: f64) {
            self.0.iter_mut().for_each(|count| *count *= part);
        }

        pub fn grow(&mut self, members: usize) {
            self.0.resize(members.max(self.0.len()), 0.0);
        }

        pub fn forget(&mut self, member: usize) {
            self.0[member] = 0.0;
        }

        pub fn add(&mut self, member: usize) -> Option<Added> {
            let count = self.0.get_mut(member)?;
            *count += 1.0;
            let own = *count;
            Some(Added { own, others: self.0.iter().sum::<f64>() - own })
        }
    }
}

#[allow(dead_code, unused_imports, reason = "the module as it stands, of which a part is used here")]
#[path = "../src/admission/mod.rs"]
mod admission;

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
    /// Refusals under the cut, the most telling action here.
    cut_off: usize,
    /// Arrivals let through under the same conditions.
    taken: usize,
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
        let set = Settings {
            server_count: plan.servers,
            tenant_quotas: tenants,
            memory_kb: 3000.0,
            retry_after: true,
            max_retry_after_ms: 1000.0,
            over_quota_weight: 0.05,
            ..common::settings()
        };
        Play {
            new: AdmissionController::new(0.0, set.clone()),
            old: admission::AdmissionController::new(0.0, set),
            plan,
            rng,
            now: 0.0,
            next: 0,
            running: VecDeque::new(),
            open: BTreeSet::new(),
            cut_off: 0,
            taken: 0,
        }
    }

    /// Tells both, which have to do the same, and notes what was done.
    fn tell(&mut self, event: Event) {
        let (mut new, mut old) = (Vec::new(), Vec::new());
        self.new.on_event(self.now, event.clone(), &mut new);
        self.old.on_event(self.now, event.clone(), &mut old);
        assert_eq!(new, old, "{:?}, at {} ms: {event:?}", self.plan, self.now);
        let (new_state, old_state) = ((self.new.level(), self.new.cut()), (self.old.level(), self.old.cut()));
        assert_eq!(new_state, old_state, "{:?}, at {} ms: {event:?}", self.plan, self.now);
        for action in new {
            match action {
                Action::Run(id) => self.running.push_back(id),
                Action::Reject { id, do_not_retry: last, .. } => {
                    self.cut_off += usize::from(last);
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
            // Mostly first in rank: what the cut then refuses is over its allowance.
            priority: if self.rng.random_bool(0.7) { 1.0 } else { self.rng.random() },
            is_retry: self.rng.random_bool(0.05),
            ..Arrival::default()
        };
        self.tell(Event::Arrival(arrival));
        self.taken += usize::from(self.open.contains(&id));
    }

    fn end_one(&mut self) {
        if let Some(id) = self.running.pop_front() {
            self.open.remove(&id);
            let took_ms = self.rng.random_range(20.0..90.0);
            self.tell(Event::RunEnded { id, outcome: Outcome::Ok, took_ms });
        }
    }

    fn timer(&mut self, busy: f64, run_queue: f64) {
        let gauges = Gauges { busy: Some(busy), run_queue: Some(run_queue), ..Gauges::default() };
        self.tell(Event::Timer { token: 1, gauges });
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
        self.tell(Event::Start);
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
                    self.tell(Event::ClientGone(id));
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
    let (mut cut_off, mut taken) = (0, 0);
    for tenants in [1, 2, 40, 2000] {
        for seed in 0..6 {
            let servers = [1.0, 20.0, 7100.0][seed as usize % 3];
            let idle_timers = [100, 1000, 12_000][seed as usize / 2 % 3] * 200 / tenants.max(200);
            let play = Play::new(Plan { seed, tenants, servers, timers: 200, idle_timers }).play();
            (cut_off, taken) = (cut_off + play.cut_off, taken + play.taken);
        }
    }
    println!("{cut_off} arrivals fell under the cut, {taken} were taken");
    assert!(
        cut_off > 1000 && taken > 1000,
        "{cut_off} fell under the cut, {taken} were taken: too few to tell"
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
