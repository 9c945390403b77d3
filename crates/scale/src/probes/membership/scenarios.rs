//! The scenarios, which run one after the other in one simulated network: steady state, a member joins, a
//! member fails, datagrams are lost, members are restarted continuously, a rack fails, a zone fails, and the
//! zone joins again.

use super::dissemination::{DisseminationWatch, Wanted};
use super::network::{Network, Traffic};
use anyhow::{Result, bail};
use dunlinspread_membership::{MemberId, Millis, Settings};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Number of members in the target fleet.
pub const TARGET_MEMBERS: u64 = 7_100;

/// Number of members in a rack.
const RACK: u64 = 40;

/// Number of members in a zone of the target fleet.
const ZONE: u64 = 444;

/// Divisor of the fleet's size that limits the size of a rack in a small fleet.
const MIN_RACKS: u64 = 10;

/// Restarts per day in the target fleet. The rate is the same at every size, since each restart reaches each
/// member.
pub const RESTARTS_PER_DAY: u64 = 44_000;

/// Milliseconds per day.
const DAY: Millis = 86_400_000;

/// Fraction of datagrams that is lost in the scenario with packet loss.
pub const LOSS: f64 = 0.01;

/// Maximum time for a change to reach all members, ms.
const SPREAD_LIMIT: Millis = 120_000;

/// Pause between two scenarios, ms: a member forwards an update for about two seconds.
const REST: Millis = 6_000;

/// Pause after a zone has joined, ms; no scenario follows.
const ZONE_REST: Millis = 2_000;

/// Duration of the measurement of a steady state, ms: one period of the members' periodic announcements.
const STEADY: Millis = 30_000;

/// Duration of the measurement with restarts, ms.
const CHURN: Millis = 20_000;

/// Interval between checks of the watched condition, ms.
const STEP: Millis = 100;

/// Returns the settings of the failure detector that the target fleet would use.
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

/// Cost of a period of time, per second and member.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Cost {
    /// Bytes sent, headers included.
    pub bytes: f64,
    /// Datagrams sent.
    pub datagrams: f64,
    /// Processor time of the members and of the simulated network, ns.
    pub processor_ns: f64,
}

/// Time that a change took to spread, in seconds, over all pairs of an observer and a changed member.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Dissemination {
    /// Time until 99 of 100 pairs were complete.
    pub p99: f64,
    /// Time until all pairs were complete.
    pub all: f64,
    /// Cost until all pairs were complete.
    pub cost: Cost,
}

/// Results of the scenarios in which at most one member joins or fails.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SingleResults {
    /// Cost of the steady state.
    pub steady: Cost,
    /// Dissemination of a member that joins.
    pub join: Dissemination,
    /// Fraction of all members that the joined member knows [`REST`] after its join has spread.
    pub joiner_knows: f64,
    /// Dissemination of a member that fails.
    pub failure: Dissemination,
}

/// Results of all scenarios.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Results {
    /// Results of the scenarios in which at most one member joins or fails.
    pub single: SingleResults,
    /// Cost of the steady state with packet loss.
    pub lossy: Cost,
    /// Number of times that a member declared another one down, or learned of it, during the packet loss.
    pub lossy_downs: f64,
    /// Dissemination of a rack that fails.
    pub rack: Dissemination,
    /// Dissemination of a zone that fails.
    pub zone: Dissemination,
    /// Dissemination of the zone that joins again without state.
    pub zone_join: Dissemination,
    /// Smallest fraction of all members that a member of the zone knows [`ZONE_REST`] after the join has
    /// spread.
    pub zone_knows: f64,
    /// Cost while members are restarted at the target's rate.
    pub churn: Cost,
}

/// Runs the scenarios of the large run at one size.
///
/// # Errors
/// Returns the errors of [`run_all`].
pub fn run_single(size: u64, seed: u64) -> Result<SingleResults> {
    Simulation::new(size as usize, seed)?.run_single()
}

/// Runs all scenarios at one size.
///
/// # Errors
/// Returns an error if the fleet is too small, the SWIM protocol returns an error, or a change does not reach
/// all members within the limit.
pub fn run_all(size: u64, seed: u64) -> Result<Results> {
    Simulation::new(size as usize, seed)?.run_all()
}

struct Simulation {
    network: Network,
    size: usize,
}

impl Simulation {
    /// Creates a network with one more node than the fleet has members.
    fn new(size: usize, seed: u64) -> Result<Simulation> {
        if size < 20 {
            bail!("a fleet of {size} members is too small to lose a zone: at least 20 are needed");
        }
        Ok(Simulation { network: Network::new(seed, size + 1, settings()), size })
    }

    /// Runs the scenarios in which at most one member joins or fails, which the large run has too.
    fn run_single(&mut self) -> Result<SingleResults> {
        self.network.start_acquainted(0..self.size)?;
        self.rest(REST);
        let steady = self.watch_cost(STEADY, |_| Ok(()))?;
        let newcomer = [self.size];
        let join = self.join(&newcomer, REST)?;
        let joiner_knows = self.min_known_fraction(&newcomer);
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
        let rack = (RACK as usize).min(self.size / MIN_RACKS as usize);
        let zone = (self.size as u64 * ZONE).div_ceil(TARGET_MEMBERS) as usize;
        let rack_nodes: Vec<usize> = (0..rack).collect();
        let zone_nodes: Vec<usize> = (rack..rack + zone).collect();
        let rack = self.fail(&rack_nodes)?;
        let zone = self.fail(&zone_nodes)?;
        let zone_join = self.join(&zone_nodes, ZONE_REST)?;
        let zone_knows = self.min_known_fraction(&zone_nodes);
        Ok(Results { single, lossy, lossy_downs, rack, zone, zone_join, zone_knows, churn })
    }

    fn rest(&mut self, time: Millis) {
        self.network.run_until(self.network.now() + time);
    }

    /// Returns the cost of a period of time, in which `each_step` is called every [`STEP`].
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

    /// Starts new members at the same time at these nodes, where no member is running.
    fn join(&mut self, nodes: &[usize], rest: Millis) -> Result<Dissemination> {
        for node in nodes {
            self.network.start(*node)?;
        }
        let ids: Vec<MemberId> =
            nodes.iter().filter_map(|node| self.network.member(*node)).map(|m| *m.id()).collect();
        self.spread(Wanted::Up, &ids, rest)
    }

    /// Stops the members at these nodes without notice to the others.
    fn fail(&mut self, nodes: &[usize]) -> Result<Dissemination> {
        let ids: Vec<MemberId> = nodes.iter().filter_map(|node| self.network.kill(*node)).collect();
        self.spread(Wanted::Down, &ids, REST)
    }

    /// Measures how the change of these members spreads, and then pauses for `rest`.
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
        let Some(mut watch) = self.network.take_watch() else { bail!("the network has no watch") };
        match (watch.seconds(0.99), watch.seconds(1.0)) {
            (Some(p99), Some(all)) => Ok(Dissemination { p99, all, cost }),
            _ => bail!(
                "the change of {} members had not reached all members after {SPREAD_LIMIT} ms",
                ids.len()
            ),
        }
    }

    /// Returns the smallest fraction of the other members that one of these members knows.
    fn min_known_fraction(&self, nodes: &[usize]) -> f64 {
        let others = self.network.running().count().saturating_sub(1).max(1);
        let known = |node: &usize| self.network.member(*node).map(|member| member.up_count());
        nodes.iter().filter_map(known).min().unwrap_or(0) as f64 / others as f64
    }

    /// Restarts members one by one at the target's rate, and returns the cost.
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

/// Measures the cost of a period of time.
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
        let member_seconds = seconds * members as f64;
        let Traffic { datagrams, bytes } = network.traffic().since(self.traffic);
        Cost {
            bytes: bytes as f64 / member_seconds,
            datagrams: datagrams as f64 / member_seconds,
            processor_ns: (processor_ns() - self.processor_ns) / member_seconds,
        }
    }
}

/// Returns the processor time of this process, ns.
fn processor_ns() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}
