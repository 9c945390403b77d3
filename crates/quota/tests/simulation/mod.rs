//! A simulated fleet of holders and allocators, with messages in flight, partitions, restarts and clock
//! drift.

use std::collections::{BTreeMap, VecDeque};

use dunlinspread_quota::{Allocator, Config, Grant, Holder, LeaseRequest, Liveness, Millis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A member's name for one start: its slot and its number of restarts.
pub type Name = (usize, u32);

/// A message in flight: sender, receiver and content.
enum Message {
    Request(Name, Name, LeaseRequest),
    Grant(Name, Name, Grant),
}

/// One member, with its own clock.
pub struct Member {
    name: Name,
    /// Whether the member is running.
    pub up: bool,
    /// Rate by which the member's clock runs fast, in parts per million (negative: slow).
    skew_ppm: i64,
    /// Units that the member wants above its guaranteed minimum.
    pub wanted: u64,
    holder: Holder<Name>,
    allocator: Allocator<Name>,
    next_request_at: Millis,
}

impl Member {
    /// Returns the time that the member's clock shows at the real time `real`.
    fn clock(&self, real: Millis) -> Millis {
        (real as i64 + real as i64 * self.skew_ppm / 1_000_000) as Millis
    }
}

/// A fleet, and the network between its members.
pub struct Fleet {
    rng: ChaCha8Rng,
    config: Config,
    /// The members, by slot.
    pub members: Vec<Member>,
    /// Messages in flight, by arrival time in real ms.
    flight: BTreeMap<Millis, VecDeque<Message>>,
    /// The partition group of each slot.
    pub group: Vec<usize>,
    /// Whether the groups are partitioned, so that messages between them are lost.
    pub cut: bool,
    /// Whether a partition lets messages from a lower to a higher group pass.
    pub one_way: bool,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delayed by one to three leases.
    pub late: f64,
    max_delay: Millis,
}

impl Fleet {
    /// Returns a fleet of `slots` members that are all up and know each other.
    pub fn new(seed: u64, slots: usize, config: Config) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let half_drift = config.clock_drift_ppm as i64 / 2;
        let members = (0..slots)
            .map(|slot| {
                let name = (slot, 0);
                Member {
                    name,
                    up: true,
                    skew_ppm: rng.random_range(-half_drift..=half_drift),
                    wanted: 0,
                    holder: Holder::first_start(config.clone(), slots),
                    allocator: Allocator::new(config.clone(), name),
                    next_request_at: rng.random_range(0..config.lease_ms / 4),
                }
            })
            .collect();
        let mut fleet = Self {
            rng,
            config,
            members,
            flight: BTreeMap::new(),
            group: vec![0; slots],
            cut: false,
            one_way: false,
            loss: 0.0,
            late: 0.02,
            max_delay: 5,
        };
        for slot in 0..slots {
            fleet.update_views(0, slot);
        }
        fleet
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        if !self.cut || self.group[from] == self.group[to] {
            return true;
        }
        self.one_way && self.group[from] < self.group[to]
    }

    /// Updates the view of `slot` as an immediate failure detector would: a member is alive if it is up and
    /// reachable.
    pub fn update_views(&mut self, real: Millis, slot: usize) {
        let names: Vec<(Name, bool)> =
            (0..self.members.len()).map(|other| (self.members[other].name, self.members[other].up)).collect();
        let reachable: Vec<bool> =
            (0..names.len()).map(|other| self.passes(other, slot) && self.passes(slot, other)).collect();
        let member = &mut self.members[slot];
        let now = member.clock(real);
        for (other, (name, up)) in names.into_iter().enumerate() {
            let liveness = if up && reachable[other] { Liveness::Alive } else { Liveness::Suspect };
            member.allocator.update_member(now, name, liveness).expect("the view has room");
        }
    }

    fn send(&mut self, real: Millis, from: usize, to: usize, message: Message) {
        if !self.passes(from, to) || self.rng.random_bool(self.loss) {
            return;
        }
        // One message in fifty is delayed by up to three leases, because late answers must have no effect.
        let delay = if self.rng.random_bool(self.late) {
            self.rng.random_range(self.config.lease_ms..self.config.lease_ms * 3)
        } else {
            self.rng.random_range(0..=self.max_delay)
        };
        self.flight.entry(real + delay).or_default().push_back(message);
    }

    /// Delivers the messages that arrive by the real time `real`, and sends the requests that are due.
    pub fn step(&mut self, real: Millis) {
        while let Some(entry) = self.flight.first_entry() {
            if *entry.key() > real {
                break;
            }
            let messages = entry.remove();
            for message in messages {
                self.deliver(real, message);
            }
        }
        for slot in 0..self.members.len() {
            let member = &mut self.members[slot];
            let now = member.clock(real);
            if !member.up || now < member.next_request_at {
                continue;
            }
            member.next_request_at = now + self.config.lease_ms / 4;
            let to = *member.allocator.allocator();
            let wanted = member.wanted;
            let request = member.holder.request(now, &to, wanted);
            let from = member.name;
            if to == from {
                if let Ok(grant) = member.allocator.on_request(now, &from, request) {
                    member.holder.on_grant(now, &from, grant);
                }
            } else if let Some(target) = self.members.iter().position(|m| m.name == to) {
                self.send(real, slot, target, Message::Request(from, to, request));
            }
        }
    }

    fn deliver(&mut self, real: Millis, message: Message) {
        match message {
            Message::Request(from, to, request) => {
                let Some(slot) = self.members.iter().position(|m| m.name == to && m.up) else { return };
                let member = &mut self.members[slot];
                let now = member.clock(real);
                if let Ok(grant) = member.allocator.on_request(now, &from, request)
                    && let Some(back) = self.members.iter().position(|m| m.name == from)
                {
                    self.send(real, slot, back, Message::Grant(to, from, grant));
                }
            }
            Message::Grant(from, to, grant) => {
                let Some(slot) = self.members.iter().position(|m| m.name == to && m.up) else { return };
                let member = &mut self.members[slot];
                let now = member.clock(real);
                member.holder.on_grant(now, &from, grant);
            }
        }
    }

    /// Returns the units that the members use: the allowed units, limited to the units that they can use.
    pub fn in_use(&self, real: Millis) -> u64 {
        self.members
            .iter()
            .filter(|m| m.up)
            .map(|m| m.holder.allowed(m.clock(real)).min(m.useful_units()))
            .sum()
    }

    /// Returns the units that the members want, including guaranteed minimums, limited to the budget.
    pub fn wanted(&self) -> u64 {
        self.members.iter().map(|m| m.useful_units()).sum::<u64>().min(self.config.budget)
    }

    /// Returns the units that the members may use.
    pub fn allowed(&self, real: Millis) -> u64 {
        self.members.iter().filter(|m| m.up).map(|m| m.holder.allowed(m.clock(real))).sum()
    }

    /// Restarts `slot` under a new name. Every view replaces the old name immediately.
    pub fn restart(&mut self, real: Millis, slot: usize) {
        let old = self.members[slot].name;
        let name = (slot, old.1 + 1);
        let slots = self.members.len();
        let member = &mut self.members[slot];
        member.name = name;
        member.up = true;
        member.holder = Holder::new(self.config.clone(), slots, member.clock(real));
        member.allocator = Allocator::new(self.config.clone(), name);
        for other in &mut self.members {
            let now = other.clock(real);
            other.allocator.remove_member(now, &old);
        }
        for slot in 0..slots {
            self.update_views(real, slot);
        }
    }
}

impl Member {
    /// Returns the units that the member can use.
    pub fn useful_units(&self) -> u64 {
        self.holder.guaranteed_minimum() + self.wanted
    }
}
