//! The scenarios, one after the other in one simulated network: nothing happens, a member joins, a member fails,
//! datagrams are lost, members are restarted all the time, a rack fails, a zone fails, and the zone joins again.

use super::dissemination::{DisseminationWatch, Wanted};
use super::network::{Network, Traffic};
use anyhow::{Result, bail};
use dunlinspread_membership::{MemberId, Millis, Settings};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Members of the target fleet.
pub const TARGET_MEMBERS: u64 = 7_100;

/// Members of a rack.
const RACK: u64 = 40;

/// Members of a zone of the target fleet.
const ZONE: u64 = 444;

/// At most so large a part of a small fleet is a rack.
const LARGEST_RACK_PART: u64 = 10;

/// Restarts a day in the target fleet; the rate is the same at every size, since each restart reaches each member.
pub const RESTARTS_PER_DAY: u64 = 44_000;

/// Milliseconds of a day.
const DAY: Millis = 86_400_000;

/// The part of datagrams lost where some are.
pub const LOSS: f64 = 0.01;

/// Most time for word to reach everyone, ms.
const SPREAD_LIMIT: Millis = 120_000;

/// How long the fleet is left alone between two scenarios, ms: a member passes an update on for some two seconds.
const REST: Millis = 6_000;

/// How long it is left alone after a zone joined, ms; nothing comes after that.
const ZONE_REST: Millis = 2_000;

/// How long a steady state is watched, ms: one period of the announcements that members make now and then.
const STEADY: Millis = 30_000;

/// How long members that are restarted are watched, ms.
const CHURN: Millis = 20_000;

/// How often it is looked whether something has come to pass, ms.
const STEP: Millis = 100;

/// Settings of the failure detector, as the target fleet would have them.
pub fn settings() -> Settings {
    Settings {
        probe_period: 1_000,
        probe_rtt: 200,
        indirect_probes: 3,
        suspect_to_down: 4_000,
        remove_down_after: 600_000,
        max_members: 10_000,
        max_datagram: 1_400,
        key: b"a key of the fleet, for probes only".to_vec(),
    }
}

/// What a stretch of time cost, a second and member.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Cost {
    /// Bytes sent, headers included.
    pub bytes: f64,
    /// Datagrams sent.
    pub datagrams: f64,
    /// Processor time of the members and of the simulated network, ns.
    pub processor_ns: f64,
}

/// How long word took to spread, in seconds, over all pairs of an observer and a member told of.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Dissemination {
    /// To 99 of 100 pairs.
    pub p99: f64,
    /// To all of them.
    pub all: f64,
    /// What it cost until then.
    pub cost: Cost,
}

/// What was seen while at most one member came or went.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SingleResults {
    /// Nothing happens.
    pub steady: Cost,
    /// One joins.
    pub join: Dissemination,
    /// The part of all members that the one that joined knows once word of it has spread and [`REST`] has passed.
    pub joiner_knows: f64,
    /// One fails.
    pub failure: Dissemination,
}

/// All that was seen.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Results {
    /// With at most one that came or went.
    pub single: SingleResults,
    /// Nothing happens but datagrams lost.
    pub lossy: Cost,
    /// Members declared down meanwhile, by those who declared or heard of it.
    pub lossy_downs: f64,
    /// A rack fails.
    pub rack: Dissemination,
    /// A zone fails.
    pub zone: Dissemination,
    /// The zone joins again, cold.
    pub zone_join: Dissemination,
    /// The part of all members that the least knowing one of the zone knows [`ZONE_REST`] after word of them has spread.
    pub zone_knows: f64,
    /// Members are restarted at the target's rate.
    pub churn: Cost,
}

/// Runs the part that the large run has, at one size.
///
/// # Errors
/// As [`run_all`].
pub fn run_single(size: u64, seed: u64) -> Result<SingleResults> {
    Simulation::new(size as usize, seed)?.run_single()
}

/// Runs all of it at one size.
///
/// # Errors
/// If SWIM fails, or word does not reach everyone within the limit.
pub fn run_all(size: u64, seed: u64) -> Result<Results> {
    Simulation::new(size as usize, seed)?.run_all()
}

struct Simulation {
    network: Network,
    size: usize,
}

impl Simulation {
    /// A network with a node more than the fleet has members.
    fn new(size: usize, seed: u64) -> Result<Simulation> {
        if size < 20 {
            bail!("a fleet of {size} has no zone to lose: 20 members at least");
        }
        Ok(Simulation { network: Network::new(seed, size + 1, settings()), size })
    }

    /// The scenarios that each member sees alone, which the large run has too.
    fn run_single(&mut self) -> Result<SingleResults> {
        self.network.start_acquainted(0..self.size)?;
        self.rest(REST);
        let steady = self.watch_cost(STEADY, |_| Ok(()))?;
        let newcomer = [self.size];
        let join = self.join(&newcomer, REST)?;
        let joiner_knows = self.least_known(&newcomer);
        let failure = self.fail(&newcomer)?;
        Ok(SingleResults { steady, join, joiner_knows, failure })
    }

    fn run_all(mut self) -> Result<Results> {
        let single = self.run_single()?;
        let downs = self.network.downs();
        self.network.set_loss(LOSS);
        let lossy = self.watch_cost(STEADY, |_| Ok(()))?;
        self.network.set_loss(0.0);
        let lossy_downs = (self.network.downs() - downs) as f64;
        let churn = self.churn()?;
        self.rest(REST);
        let rack = (RACK as usize).min(self.size / LARGEST_RACK_PART as usize);
        let zone = (self.size as u64 * ZONE).div_ceil(TARGET_MEMBERS) as usize;
        let rack_nodes: Vec<usize> = (0..rack).collect();
        let zone_nodes: Vec<usize> = (rack..rack + zone).collect();
        let rack = self.fail(&rack_nodes)?;
        let zone = self.fail(&zone_nodes)?;
        let zone_join = self.join(&zone_nodes, ZONE_REST)?;
        let zone_knows = self.least_known(&zone_nodes);
        Ok(Results { single, lossy, lossy_downs, rack, zone, zone_join, zone_knows, churn })
    }

    fn rest(&mut self, time: Millis) {
        self.network.run_until(self.network.now() + time);
    }

    /// The cost of so long a time, in which `each_step` is called.
    fn watch_cost(
        &mut self,
        time: Millis,
        mut each_step: impl FnMut(&mut Network) -> Result<()>,
    ) -> Result<Cost> {
        let meter = Meter::begin(&self.network);
        let end = self.network.now() + time;
        while self.network.now() < end {
            self.network.run_until((self.network.now() + STEP).min(end));
            each_step(&mut self.network)?;
        }
        Ok(meter.cost(&self.network, self.size))
    }

    /// New members start at once at these nodes, where nobody runs.
    fn join(&mut self, nodes: &[usize], rest: Millis) -> Result<Dissemination> {
        for node in nodes {
            self.network.start(*node)?;
        }
        let ids: Vec<MemberId> =
            nodes.iter().filter_map(|node| self.network.member(*node)).map(|m| *m.id()).collect();
        self.spread(Wanted::Up, &ids, rest)
    }

    /// The members at these nodes end without a word.
    fn fail(&mut self, nodes: &[usize]) -> Result<Dissemination> {
        let ids: Vec<MemberId> = nodes.iter().filter_map(|node| self.network.kill(*node)).collect();
        self.spread(Wanted::Down, &ids, REST)
    }

    /// How word of these members spreads; then the fleet rests.
    fn spread(&mut self, wanted: Wanted, ids: &[MemberId], rest: Millis) -> Result<Dissemination> {
        let watch =
            DisseminationWatch::begin(self.network.now(), self.size + 1, self.network.running(), wanted, ids);
        self.network.set_watch(watch);
        let meter = Meter::begin(&self.network);
        let end = self.network.now() + SPREAD_LIMIT;
        while !self.network.is_watch_complete() && self.network.now() < end {
            self.network.run_until(self.network.now() + STEP);
        }
        let cost = meter.cost(&self.network, self.size);
        self.rest(rest);
        let Some(mut watch) = self.network.take_watch() else { bail!("no watch") };
        match (watch.seconds(0.99), watch.seconds(1.0)) {
            (Some(p99), Some(all)) => Ok(Dissemination { p99, all, cost }),
            _ => bail!("word of {} members had not reached all after {SPREAD_LIMIT} ms", ids.len()),
        }
    }

    /// The least part of the others that one of these members knows.
    fn least_known(&self, nodes: &[usize]) -> f64 {
        let others = self.network.running().count().saturating_sub(1).max(1);
        let known = |node: &usize| self.network.member(*node).map(|member| member.up_count());
        nodes.iter().filter_map(known).min().unwrap_or(0) as f64 / others as f64
    }

    /// Members are restarted one by one at the target's rate.
    fn churn(&mut self) -> Result<Cost> {
        let interval = DAY / RESTARTS_PER_DAY;
        let mut next = self.network.now();
        self.watch_cost(CHURN, |network| {
            while next <= network.now() {
                next += interval;
                let node = network.any_running();
                network.kill(node);
                network.start(node)?;
            }
            Ok(())
        })
    }
}

/// Measures what a stretch of time costs.
struct Meter {
    traffic: Traffic,
    since: Millis,
    processor_ns: f64,
}

impl Meter {
    fn begin(network: &Network) -> Meter {
        Meter { traffic: network.traffic(), since: network.now(), processor_ns: processor_ns() }
    }

    fn cost(&self, network: &Network, members: usize) -> Cost {
        let seconds = (network.now() - self.since).max(1) as f64 / 1000.0;
        let shares = seconds * members as f64;
        let Traffic { datagrams, bytes } = network.traffic().since(self.traffic);
        Cost {
            bytes: bytes as f64 / shares,
            datagrams: datagrams as f64 / shares,
            processor_ns: (processor_ns() - self.processor_ns) / shares,
        }
    }
}

/// The processor time of this process, ns.
fn processor_ns() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}
