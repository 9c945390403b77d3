//! Compares the allocator with a reference computation that iterates over all members. Both must give the
//! same grant or refusal for each request and the same totals, after random events in any order, with any
//! demands, clocks that go back, and each fault.

mod reference;

use dunlinspread_quota::{Allocator, Config, Fault, LeaseRequest, Liveness, Millis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of events per seed.
const EVENTS: usize = 1_500;

const FAULTS: [Fault; 3] = [Fault::None, Fault::NoEarlierGrantCount, Fault::NoShareLimit];

/// The allocator and the reference computation, which receive the same events.
struct Pair {
    rng: ChaCha8Rng,
    now: Millis,
    members: u64,
    lease: Millis,
    /// The largest possible demand, which determines how many demands the pool can meet.
    max_wanted: u64,
    sequence: u64,
    optimized: Allocator<u64>,
    reference: reference::Allocator<u64>,
    granted: usize,
}

impl Pair {
    fn new(seed: u64, fault: Fault) -> Pair {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let members = [1, 3, 20, 200, 600][rng.random_range(0..5)];
        // Some leases last only a few ms, so that events often fall exactly on the ms at which a lease or
        // share ends.
        let lease = if rng.random_bool(0.5) { rng.random_range(1..8) } else { rng.random_range(100..3_000) };
        let config = Config {
            budget: rng.random_range(1..100_000),
            lease_ms: lease,
            guaranteed_share_ppm: rng.random_range(0..1_000_000),
            max_members: rng.random_range(members as usize / 2 + 1..=members as usize + 1),
            clock_drift_ppm: rng.random_range(0..=20_000),
            fault,
        };
        let me = if rng.random_bool(0.8) { 0 } else { rng.random_range(0..members) };
        Pair {
            now: rng.random_range(0..5_000),
            members,
            lease: config.lease_ms,
            max_wanted: [3, 50, 1_000, u64::MAX][rng.random_range(0..4)],
            sequence: 0,
            optimized: Allocator::new(config.clone(), me),
            reference: reference::Allocator::new(config, me),
            granted: 0,
            rng,
        }
    }

    fn any_member(&mut self) -> u64 {
        self.rng.random_range(0..self.members)
    }

    /// Advances the time, mostly by a small step and sometimes past a lease. In rare cases the time goes
    /// back.
    fn pass_time(&mut self) {
        let step = match self.rng.random_range(0..200) {
            0 => self.lease * 3,
            1 => self.lease,
            2 => {
                self.now = self.now.saturating_sub(self.rng.random_range(0..self.lease * 2));
                0
            }
            _ => self.rng.random_range(0..=self.lease / (self.members * 2).min(50)),
        };
        self.now += step;
    }

    fn step(&mut self) {
        self.pass_time();
        match self.rng.random_range(0..100) {
            0..15 => self.update_a_member(),
            15 => {
                let member = self.any_member();
                self.optimized.remove_member(self.now, &member);
                self.reference.remove_member(self.now, &member);
            }
            _ => self.request(),
        }
    }

    fn update_a_member(&mut self) {
        let member = self.any_member();
        let liveness = match self.rng.random_range(0..20) {
            0 => Liveness::Suspect,
            1 => Liveness::Down,
            _ => Liveness::Alive,
        };
        let (optimized, reference) = (
            self.optimized.update_member(self.now, member, liveness),
            self.reference.update_member(self.now, member, liveness),
        );
        assert_eq!(optimized, reference, "member {member}");
    }

    fn request(&mut self) {
        let from = self.any_member();
        // Equal demands are frequent, so that their order by name matters. Some requests have an old sequence
        // number.
        let wanted = match self.rng.random_range(0..4) {
            0 => self.max_wanted / 2,
            _ => self.rng.random_range(0..=self.max_wanted),
        };
        self.sequence += 1;
        let sequence = if self.rng.random_bool(0.02) { self.sequence / 2 } else { self.sequence };
        let newest = self.reference.newest_granted_request(&from);
        let acknowledged = self.rng.random_bool(0.9).then_some(newest);
        let request = LeaseRequest { sequence, wanted, acknowledged };
        let (optimized, reference) = (
            self.optimized.on_request(self.now, &from, request),
            self.reference.on_request(self.now, &from, request),
        );
        assert_eq!(optimized, reference, "{request:?} of {from} at {}", self.now);
        self.granted += usize::from(optimized.is_ok_and(|grant| grant.units > 0));
    }

    fn assert_same_totals(&mut self) {
        let (optimized, reference, now) = (&self.optimized, &self.reference, self.now);
        assert_eq!(optimized.member_count(), reference.member_count());
        assert_eq!(optimized.allocator(), reference.allocator());
        assert_eq!(optimized.held_shares(now), reference.held_shares(now));
        assert_eq!(optimized.grantable_pool(now), reference.grantable_pool(now));
        assert_eq!(optimized.outstanding(now), reference.outstanding(now));
        let member = self.any_member();
        assert_eq!(self.optimized.granted_to(now, &member), self.reference.granted_to(now, &member));
    }
}

/// Runs one seed, and returns the number of grants of more than 0 units.
fn run_seed(seed: u64, fault: Fault) -> usize {
    let mut pair = Pair::new(seed, fault);
    for member in 0..pair.members {
        let _ = pair.optimized.update_member(pair.now, member, Liveness::Alive);
        let _ = pair.reference.update_member(pair.now, member, Liveness::Alive);
    }
    for _ in 0..EVENTS {
        pair.step();
        pair.assert_same_totals();
    }
    pair.granted
}

#[test]
fn grants_equal_those_of_the_reference_computation() {
    let base: u64 = std::env::var("QUOTA_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let seeds = std::env::var("QUOTA_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(12);
    let mut granted = 0;
    for seed in base..base + seeds {
        for fault in FAULTS {
            println!("seed {seed}, {fault:?}");
            granted += run_seed(seed, fault);
        }
    }
    // The comparison must cover grants and not only refusals.
    println!("{granted} grants of more than 0 units");
    assert!(granted as u64 > seeds * 500, "{granted} grants on {seeds} seeds");
}
