//! Measures fleet limits: the cost of a lease request at the allocator, its size on the wire, and the memory
//! of an allocator.

use crate::child_process;
use crate::fit::Quantity;
use crate::probes::sample::{nanoseconds, points};
use crate::probes::{Probe, ProbeOptions};
use crate::resident_growth::Growth;
use crate::slope::{Point, Slope};
use anyhow::{Result, anyhow};
use dunlinspread_membership::{MemberId, TAG_BYTES};
use dunlinspread_quota::{Allocator, Config, Fault, Grant, LeaseRequest, Liveness, MILLION, Millis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Number of members in the target fleet.
const TARGET_MEMBERS: u64 = 7_100;

/// Number of budgets in the target fleet if each class has one.
const TARGET_BUDGETS: u64 = 64_000;

const MEMBER_SIZES: &[u64] = &[10, 100, 1_000, TARGET_MEMBERS];
const QUICK_MEMBER_SIZES: &[u64] = &[10, 100];

/// Numbers of budgets, each with one allocator of [`BUDGET_MEMBERS`] members.
const BUDGET_SIZES: &[u64] = &[1, 10, 100, MAX_BUDGETS];
const MAX_BUDGETS: u64 = 1_000;
const QUICK_BUDGET_SIZES: &[u64] = &[1, 10];
const BUDGET_MEMBERS: u64 = 1_000;

/// Numbers of budgets of a member whose requests go to one allocator, for the size of the traffic.
const WIRE_SIZES: &[u64] = &[1, 10, 100, 1_000, 10_000, TARGET_BUDGETS];

/// Duration of a lease, ms. This is an assumption: no budget of the fleet is configured yet.
const LEASE_MS: Millis = 2_000;

/// Number of lease requests of a holder during one lease.
const REQUESTS_PER_LEASE: u64 = 4;

/// Number of lease requests per run, and number of runs at a size.
const REQUESTS_PER_RUN: u64 = 1_000;
const RUNS: usize = 5;

/// Maximum payload of a datagram, bytes, tag included, as in `crates/membership`.
const DATAGRAM_BYTES: u64 = 1_400;

/// Milliseconds per day.
const DAY_MS: Millis = 86_400_000;

/// Bytes of the IP and UDP headers of a datagram over IPv4.
const UDP_HEADERS: u64 = 28;

/// Names of the loads whose memory is measured.
pub const MEMBERS_LOAD: &str = "quota-members";
pub const BUDGETS_LOAD: &str = "quota-budgets";

/// Total number of members in the allocators whose memory is measured together.
const MEASURED_MEMBERS: u64 = 200_000;

/// Probe of `crates/quota`.
pub struct QuotaProbe;

impl Probe for QuotaProbe {
    fn prefix(&self) -> &'static str {
        "quota"
    }

    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let member_sizes = options.sizes(MEMBER_SIZES, QUICK_MEMBER_SIZES);
        let budget_sizes = options.sizes(BUDGET_SIZES, QUICK_BUDGET_SIZES);
        let seeds = options.seeds();
        let of_members = points(member_sizes, seeds, |size, seed| request_ns(options, size, 1, seed))?;
        let of_budgets =
            points(budget_sizes, seeds, |size, seed| request_ns(options, BUDGET_MEMBERS, size, seed))?;
        let memory = |load, sizes| {
            points(sizes, seeds, |size, seed| Ok(vec![child_process::measure(load, size, seed)?]))
        };
        Ok(vec![
            REQUEST_NS.slope(of_members.clone()),
            REQUESTS_PER_SECOND.slope(of_members.iter().map(reciprocal).collect()),
            REQUESTS_NEEDED.slope(exact(seeds, member_sizes, requests_needed)),
            REQUEST_NS_BUDGETS.slope(of_budgets),
            MEMORY.slope(memory(MEMBERS_LOAD, member_sizes)?),
            MEMORY_BUDGETS.slope(memory(BUDGETS_LOAD, budget_sizes)?),
            ROUND_BYTES.slope(exact(seeds, WIRE_SIZES, |budgets| round_traffic(budgets).bytes as f64)),
            ROUND_DATAGRAMS
                .slope(exact(seeds, WIRE_SIZES, |budgets| round_traffic(budgets).datagrams as f64)),
            MEMBER_BYTES.slope(exact(seeds, WIRE_SIZES, |budgets| {
                round_traffic(budgets).bytes as f64 * REQUESTS_PER_LEASE as f64 * 1000.0 / LEASE_MS as f64
            })),
        ])
    }
}

const REQUEST_NS: Quantity = Quantity {
    id: "quota.ask_ns.members",
    quantity: "the allocator answers an ask",
    unit: "ns",
    against: "members",
    fixed: &[("budgets", 1.0), ("lease_ms", LEASE_MS as f64)],
    target_size: TARGET_MEMBERS as f64,
};

const REQUESTS_PER_SECOND: Quantity = Quantity {
    id: "quota.asks_per_second.members",
    quantity: "asks that an allocator bears on one core, its sockets not counted",
    unit: "asks/s",
    ..REQUEST_NS
};

const REQUESTS_NEEDED: Quantity = Quantity {
    id: "quota.asks_needed_per_second.members",
    quantity: "asks of all members for one budget, four a lease",
    unit: "asks/s",
    ..REQUEST_NS
};

const MEMORY: Quantity = Quantity {
    id: "quota.allocator_bytes.members",
    quantity: "resident memory of an allocator",
    unit: "bytes",
    fixed: &[("budgets", 1.0)],
    ..REQUEST_NS
};

const REQUEST_NS_BUDGETS: Quantity = Quantity {
    id: "quota.ask_ns.budgets",
    quantity: "the allocators answer an ask, each in its turn",
    unit: "ns",
    against: "budgets",
    fixed: &[("members", BUDGET_MEMBERS as f64), ("lease_ms", LEASE_MS as f64)],
    target_size: MAX_BUDGETS as f64,
};

const MEMORY_BUDGETS: Quantity = Quantity {
    id: "quota.allocator_bytes.budgets",
    quantity: "resident memory of the allocators of all budgets",
    unit: "bytes",
    target_size: TARGET_BUDGETS as f64,
    ..REQUEST_NS_BUDGETS
};

const ROUND_BYTES: Quantity = Quantity {
    id: "quota.round_bytes.budgets",
    quantity: "asks of a member for all budgets and their grants, as prost would encode them, packed into datagrams",
    unit: "bytes",
    against: "budgets",
    fixed: &[("tag_bytes", TAG_BYTES as f64), ("headers_bytes", UDP_HEADERS as f64)],
    target_size: TARGET_BUDGETS as f64,
};

const ROUND_DATAGRAMS: Quantity = Quantity {
    id: "quota.round_datagrams.budgets",
    quantity: "datagrams of those asks and grants",
    unit: "datagrams",
    ..ROUND_BYTES
};

const MEMBER_BYTES: Quantity = Quantity {
    id: "quota.member_bytes_per_second.budgets",
    quantity: "those asks and grants at four rounds a lease",
    unit: "bytes/s",
    fixed: &[
        ("tag_bytes", TAG_BYTES as f64),
        ("headers_bytes", UDP_HEADERS as f64),
        ("lease_ms", LEASE_MS as f64),
    ],
    ..ROUND_BYTES
};

/// Returns the points of a figure that depends on the size alone and is the same for each seed.
fn exact(seeds: &[u64], sizes: &[u64], figure: impl Fn(u64) -> f64) -> Vec<Point> {
    let point = |size: &u64, seed: &u64| Point::of(*size as f64, *seed, &[figure(*size)]);
    sizes
        .iter()
        .flat_map(|size| seeds.iter().map(move |seed| (size, seed)))
        .map(|(size, seed)| point(size, seed))
        .collect()
}

/// Converts a point of ns per operation to operations per second.
fn reciprocal(point: &Point) -> Point {
    let per_second = |ns: f64| if ns > 0.0 { 1e9 / ns } else { 0.0 };
    // The smallest rate belongs to the slowest run, whose time is not stored, so the median is used instead.
    let median = per_second(point.median);
    Point { runs: point.runs, ..Point::of(point.size, point.seed, &[median]) }
}

fn requests_needed(members: u64) -> f64 {
    members as f64 * REQUESTS_PER_LEASE as f64 * 1000.0 / LEASE_MS as f64
}

/// Returns the id of a member.
fn member_id(member: u64) -> MemberId {
    let address = SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + member as u32), 1);
    MemberId { address, start: 1, incarnation: 0 }
}

/// An allocator with the clock and the request sequence number of its members.
struct AllocatorLoad {
    allocator: Allocator<MemberId>,
    rng: ChaCha8Rng,
    now: Millis,
    members: u64,
    sequence: u64,
}

impl AllocatorLoad {
    /// Creates an allocator to which all members have lent their shares, and from which all hold leases.
    fn new(members: u64, seed: u64) -> Result<AllocatorLoad> {
        let config = Config {
            budget: members * 1_000,
            lease_ms: LEASE_MS,
            guaranteed_share_ppm: MILLION / 2,
            max_members: 100_000,
            clock_drift_ppm: 1_000,
            fault: Fault::None,
        };
        let mut allocator = Allocator::new(config, member_id(0));
        for member in 1..members {
            let known = allocator.update_member(0, member_id(member), Liveness::Alive);
            known.map_err(|refusal| anyhow!("member {member}: {refusal}"))?;
        }
        let mut load =
            AllocatorLoad { allocator, rng: ChaCha8Rng::seed_from_u64(seed), now: 0, members, sequence: 0 };
        load.round(None)?;
        load.round(Some(1))?;
        Ok(load)
    }

    /// Makes every member request a lease once within a quarter of a lease.
    fn round(&mut self, acknowledged: Option<u64>) -> Result<()> {
        self.sequence += 1;
        let began = self.now;
        for member in 0..self.members {
            self.now = began + LEASE_MS / REQUESTS_PER_LEASE * member / self.members;
            self.request(member, acknowledged)?;
        }
        self.now = began + LEASE_MS / REQUESTS_PER_LEASE;
        Ok(())
    }

    /// Makes one member request a lease. The members want about twice the budget in total, so that shares are
    /// reduced.
    fn request(&mut self, member: u64, acknowledged: Option<u64>) -> Result<Grant> {
        let wanted = self.rng.random_range(0..2_000);
        let request = LeaseRequest { sequence: self.sequence, wanted, acknowledged };
        let granted = self.allocator.on_request(self.now, &member_id(member), request);
        granted.map_err(|refusal| anyhow!("member {member}: {refusal}"))
    }

    /// Makes the next member in turn request a lease. As in a fleet, each member does so four times per
    /// lease.
    fn next_request(&mut self, turn: u64) -> Result<Grant> {
        let member = turn % self.members;
        if member == 0 {
            self.sequence += 1;
        }
        self.now += u64::from(turn % self.members.div_ceil(LEASE_MS / REQUESTS_PER_LEASE).max(1) == 0);
        self.request(member, Some(self.sequence - 1))
    }
}

/// Returns the nanoseconds per lease request with `members` members, sent to `budgets` allocators in turn.
fn request_ns(options: &ProbeOptions, members: u64, budgets: u64, seed: u64) -> Result<Vec<f64>> {
    let first = AllocatorLoad::new(members, seed)?;
    let mut loads: Vec<AllocatorLoad> = (0..budgets)
        .map(|budget| AllocatorLoad {
            allocator: first.allocator.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed + budget),
            ..first
        })
        .collect();
    let mut turn = 0;
    let mut failed = None;
    let times = nanoseconds(options.runs(RUNS), REQUESTS_PER_RUN, || {
        for _ in 0..REQUESTS_PER_RUN {
            let load = &mut loads[(turn % budgets) as usize];
            match load.next_request(turn / budgets) {
                Ok(grant) => drop(black_box(grant)),
                Err(error) => failed = Some(error),
            }
            turn += 1;
        }
    });
    failed.map_or(Ok(times), Err)
}

/// Returns the resident memory of an allocator with `members` members, bytes.
///
/// # Errors
/// Returns an error if a lease request is refused.
pub fn members_load(members: u64, seed: u64) -> Result<f64> {
    let count = (MEASURED_MEMBERS / members).max(1);
    Ok(clones_bytes(members, count, seed)? / count as f64)
}

/// Returns the resident memory of `budgets` allocators with [`BUDGET_MEMBERS`] members each, bytes.
///
/// # Errors
/// Returns an error if a lease request is refused.
pub fn budgets_load(budgets: u64, seed: u64) -> Result<f64> {
    clones_bytes(BUDGET_MEMBERS, budgets, seed)
}

/// Returns the resident memory of `count` identical allocators with `members` members each, bytes.
fn clones_bytes(members: u64, count: u64, seed: u64) -> Result<f64> {
    let load = AllocatorLoad::new(members, seed)?;
    let growth = Growth::begin();
    let clones: Vec<Allocator<MemberId>> = (0..count).map(|_| load.allocator.clone()).collect();
    let bytes = growth.bytes();
    drop(black_box(clones));
    Ok(bytes)
}

/// Returns the bytes of a varint field of a prost message, including its key.
fn encoded(value: u64) -> u64 {
    let varint = (64 - u64::from((value | 1).leading_zeros())).div_ceil(7);
    1 + varint
}

/// Returns the traffic of one round of a member's lease requests and of its grants. A message identifies its
/// budget by a number and is preceded by its length. The sequence numbers are those of a member that has
/// requested leases for a day.
fn round_traffic(budgets: u64) -> Traffic {
    let sequence = DAY_MS / (LEASE_MS / REQUESTS_PER_LEASE);
    let request = |budget| 1 + encoded(budget) + encoded(sequence) + encoded(1_000) + encoded(sequence - 1);
    let grant = |budget| 1 + encoded(budget) + encoded(sequence) + encoded(500);
    let requests = packed((0..budgets).map(request));
    let grants = packed((0..budgets).map(grant));
    Traffic { datagrams: requests.datagrams + grants.datagrams, bytes: requests.bytes + grants.bytes }
}

/// Number of datagrams and their bytes, tags and headers included.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    datagrams: u64,
    bytes: u64,
}

/// Returns the traffic of messages with the given lengths, packed into datagrams in this order.
fn packed(lengths: impl Iterator<Item = u64>) -> Traffic {
    let capacity = DATAGRAM_BYTES - TAG_BYTES as u64;
    let (mut datagrams, mut bytes, mut free) = (0, 0, 0);
    for length in lengths {
        if length > free {
            datagrams += 1;
            bytes += UDP_HEADERS + TAG_BYTES as u64;
            free = capacity;
        }
        free -= length;
        bytes += length;
    }
    Traffic { datagrams, bytes }
}
