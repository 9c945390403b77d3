//! The allocator answers each ask as the plain computation does that walks over all members: the same grant or refusal,
//! and the same sums, after any events in any order, with any wants, times that go back, and each fault.

mod reference;

use dunlinspread_quota::{Allocator, Ask, Config, Fault, Millis, Reach};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Events on one seed.
const EVENTS: usize = 1_500;

const FAULTS: [Fault; 3] = [Fault::None, Fault::NoShadow, Fault::WholePool];

/// Both allocators on the same events.
struct Pair {
    rng: ChaCha8Rng,
    now: Millis,
    members: u64,
    lease: Millis,
    /// The largest want, which says how far the pool reaches.
    most: u64,
    seq: u64,
    new: Allocator<u64>,
    old: reference::Allocator<u64>,
    granted: usize,
}

impl Pair {
    fn new(seed: u64, fault: Fault) -> Pair {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let members = [1, 3, 20, 200, 600][rng.random_range(0..5)];
        // Of a few ms as well, so that events often fall on the very ms at which something ends.
        let lease = if rng.random_bool(0.5) { rng.random_range(1..8) } else { rng.random_range(100..3_000) };
        let config = Config {
            budget: rng.random_range(1..100_000),
            lease,
            floor_share: rng.random_range(0..1_000_000),
            max_members: rng.random_range(members as usize / 2 + 1..=members as usize + 1),
            drift: rng.random_range(0..=20_000),
            fault,
        };
        let me = if rng.random_bool(0.8) { 0 } else { rng.random_range(0..members) };
        Pair {
            now: rng.random_range(0..5_000),
            members,
            lease: config.lease,
            most: [3, 50, 1_000, u64::MAX][rng.random_range(0..4)],
            seq: 0,
            new: Allocator::new(config.clone(), me),
            old: reference::Allocator::new(config, me),
            granted: 0,
            rng,
        }
    }

    fn any_member(&mut self) -> u64 {
        self.rng.random_range(0..self.members)
    }

    /// Time passes, mostly little, now and then past a lease; and seldom it goes back.
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
            0..15 => self.tell_of_a_member(),
            15 => {
                let member = self.any_member();
                self.new.forget(self.now, &member);
                self.old.forget(self.now, &member);
            }
            _ => self.ask(),
        }
    }

    fn tell_of_a_member(&mut self) {
        let member = self.any_member();
        let reach = match self.rng.random_range(0..20) {
            0 => Reach::Suspect,
            1 => Reach::Gone,
            _ => Reach::Alive,
        };
        let (new, old) =
            (self.new.on_member(self.now, member, reach), self.old.on_member(self.now, member, reach));
        assert_eq!(new, old, "member {member}");
    }

    fn ask(&mut self) {
        let from = self.any_member();
        // Equal wants are frequent, so that their order by name counts; some asks are late.
        let wants = match self.rng.random_range(0..4) {
            0 => self.most / 2,
            _ => self.rng.random_range(0..=self.most),
        };
        self.seq += 1;
        let seq = if self.rng.random_bool(0.02) { self.seq / 2 } else { self.seq };
        let newest = self.old.newest_grant(&from);
        let ack = self.rng.random_bool(0.9).then_some(newest);
        let ask = Ask { seq, wants, ack };
        let (new, old) = (self.new.on_ask(self.now, &from, ask), self.old.on_ask(self.now, &from, ask));
        assert_eq!(new, old, "{ask:?} of {from} at {}", self.now);
        self.granted += usize::from(new.is_ok_and(|grant| grant.extra > 0));
    }

    fn assert_alike(&mut self) {
        let (new, old, now) = (&self.new, &self.old, self.now);
        assert_eq!(new.members(), old.members());
        assert_eq!(new.allocator(), old.allocator());
        assert_eq!(new.shares(now), old.shares(now));
        assert_eq!(new.pool_here(now), old.pool_here(now));
        assert_eq!(new.outstanding(now), old.outstanding(now));
        let member = self.any_member();
        assert_eq!(self.new.lent(now, &member), self.old.lent(now, &member));
    }
}

/// Plays one seed; how many grants of more than nothing there were.
fn play(seed: u64, fault: Fault) -> usize {
    let mut pair = Pair::new(seed, fault);
    for member in 0..pair.members {
        let _ = pair.new.on_member(pair.now, member, Reach::Alive);
        let _ = pair.old.on_member(pair.now, member, Reach::Alive);
    }
    for _ in 0..EVENTS {
        pair.step();
        pair.assert_alike();
    }
    pair.granted
}

#[test]
fn grants_are_those_of_the_plain_computation() {
    let base: u64 = std::env::var("QUOTA_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let seeds = std::env::var("QUOTA_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(12);
    let mut granted = 0;
    for seed in base..base + seeds {
        for fault in FAULTS {
            println!("seed {seed}, {fault:?}");
            granted += play(seed, fault);
        }
    }
    // The comparison is one of grants, not of refusals alone.
    println!("{granted} grants of more than nothing");
    assert!(granted as u64 > seeds * 500, "{granted} grants on {seeds} seeds");
}
