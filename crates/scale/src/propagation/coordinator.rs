//! A run from its start to its verdict.

use super::Options;
use super::changes::{PlannedTransaction, planned_transactions, refusing_zone};
use super::cluster::Cluster;
use super::control::{Command, PositionLine, RunSettings};
use super::daemons::Daemons;
use super::dataset::base_transactions;
use super::faults::{TimedStep, fault_count, schedule};
use super::flow::{Flow, FlowRecord};
use super::history::Replay;
use super::judge::{Judge, Verdict};
use super::pace::proposal_times_ms;
use super::process::unix_ms;
use super::readiness::{START_LIMIT, all_nodes, daemons_are_at, is_at, wait_at, wait_listening, wait_ready};
use super::record::{Observation, read_observations};
use super::report::{Measured, PropagationReport, UsageSummary};
use super::supervisor::NodeId;
use super::topology::{Shape, Topology};
use anyhow::{Result, ensure};
use dunlinspread_config_sync::table::Table;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How long subscribers may take to have everything once all faults are over.
const SETTLE_LIMIT: Duration = Duration::from_secs(40);
/// How long a process may take to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);
/// The least time for each fault, ms.
const SHORTEST_TURN_MS: u64 = 2_500;
/// Loopback networks from which runs at the same time take theirs.
const LOOPBACK_OCTETS: std::ops::Range<u32> = 8..240;

/// Runs and prints the report.
///
/// # Errors
/// If the run could not be carried out; a run that shows a fault is an error as well, after its report was printed.
pub fn run(options: &Options) -> Result<()> {
    let temporary = tempfile::tempdir()?;
    let directory = options.keep.clone().unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&directory)?;
    let report = Coordinator::new(options, directory)?.run()?;
    let text =
        if options.json { serde_json::to_string(&report)? } else { serde_json::to_string_pretty(&report)? };
    println!("{text}");
    ensure!(report.ok, "not all that must hold held: {}", report.failures.join("; "));
    Ok(())
}

/// What is to happen in a run.
struct Plan {
    topology: Topology,
    transactions: Vec<PlannedTransaction>,
    /// When each transaction is proposed, ms after the beginning.
    times_ms: Vec<u64>,
    steps: Vec<TimedStep>,
}

/// Transactions that one zone refuses.
struct Refusals {
    /// Those that it had to refuse.
    expected: usize,
    /// Those of them that the publisher was told of.
    reported: usize,
}

impl Refusals {
    fn count(record: &FlowRecord) -> Refusals {
        let accepted = &record.replay.history().accepted;
        let positions: Vec<PositionLine> = accepted
            .iter()
            .filter(|accepted| accepted.refused)
            .map(|accepted| accepted.position.into())
            .collect();
        let reported =
            positions.iter().filter(|position| record.refused_positions.contains(position)).count();
        Refusals { expected: positions.len(), reported }
    }
}

struct Coordinator<'run> {
    options: &'run Options,
    settings: RunSettings,
    cluster: Cluster,
}

impl<'run> Coordinator<'run> {
    fn new(options: &'run Options, directory: PathBuf) -> Result<Coordinator<'run>> {
        let shape = Shape {
            subscribers: options.subscribers,
            relays: options.relays,
            tenants: options.tenants,
            routes: options.routes,
            classes: options.classes,
            regions: options.regions,
            zones: options.zones,
        };
        ensure!(options.rate > 0.0 && options.changes > 0, "changes and their rate must be above 0");
        ensure!(shape.tenants >= 2 && shape.classes >= 2, "two tenants and two classes at least");
        let settings = RunSettings {
            topology: Topology::new(shape, loopback_octet())?,
            seed: options.seed,
            changes: options.changes,
            fleet_key: format!("key of propagation run {}", options.seed),
        };
        let cluster = Cluster::new(settings.clone(), &directory);
        Ok(Coordinator { options, settings, cluster })
    }

    fn run(mut self) -> Result<PropagationReport> {
        let began = Instant::now();
        let base = self.start_servers()?;
        self.start_subscribers(base)?;
        let mut daemons = self.start_daemons(base)?;
        let plan = self.plan();
        self.begin_measuring()?;
        let start_seconds = began.elapsed().as_secs_f64();
        let mut flow = Flow::new(&plan.topology, &plan.transactions, base, self.replay(base));
        let (flow_began, began_unix_ms) = (Instant::now(), unix_ms());
        flow.run(&mut self.cluster, &plan.times_ms, &plan.steps, START_LIMIT)?;
        let flow_seconds = flow_began.elapsed().as_secs_f64();
        let mut failures = self.settle_all(&mut flow, &mut daemons)?;
        let ended_unix_ms = unix_ms();
        let record = flow.into_record();
        failures.extend(record.rejected.iter().map(|reason| format!("the publisher refused {reason}")));
        let (subscribers, relays) = self.usage()?;
        let verdict = self.verdict(&record, ended_unix_ms)?;
        let refusals = Refusals::count(&record);
        let measured = Measured {
            seed: self.settings.seed,
            shape: plan.topology.shape,
            daemons: daemons.len(),
            daemon_kb_max: daemons.largest_kb(),
            changes: record.replay.history().accepted.len(),
            refused: refusals.reported,
            refused_expected: refusals.expected,
            faults: fault_count(&plan.topology) + refusals.expected,
            steps: plan.steps,
            subscribers,
            relays,
            began_unix_ms,
            flow_seconds,
            publisher_restart_ms: record.publisher_restart_ms,
            start_seconds,
            processes: self.cluster.processes() + daemons.len() + 1,
            in_force_limit_ms: self.options.in_force_limit_ms,
            failures,
        };
        Ok(PropagationReport::new(measured, verdict))
    }

    /// Returns what is to happen, and when, by the seed.
    fn plan(&self) -> Plan {
        let (topology, seed) = (self.settings.topology.clone(), self.settings.seed);
        let transactions = planned_transactions(topology.shape, seed, self.settings.changes);
        let shortest_ms = fault_count(&topology) as u64 * SHORTEST_TURN_MS;
        let times_ms = proposal_times_ms(self.settings.changes, self.options.rate, shortest_ms);
        let duration_ms = times_ms.last().copied().unwrap_or_default();
        let steps = schedule(&topology, seed, duration_ms);
        Plan { topology, transactions, times_ms, steps }
    }

    /// Waits until all are at the head. Returns what did not come to pass.
    fn settle_all(&mut self, flow: &mut Flow<'_>, daemons: &mut Daemons) -> Result<Vec<String>> {
        let mut failures = Vec::new();
        let head = flow.head();
        if !self.settle(flow, head)? {
            failures.push(format!("not all are at {head:?} after {} s", SETTLE_LIMIT.as_secs()));
        }
        if !self.settle_daemons(flow, daemons.len(), head)? {
            failures.push(format!("not all daemons acknowledged {head:?}"));
        }
        let daemons_ended = daemons.ended()?;
        if daemons_ended > 0 {
            failures.push(format!("{daemons_ended} daemons ended by themselves"));
        }
        Ok(failures)
    }

    /// Starts the publisher, the proxies and the relays, each level once those above it listen; gives the position of
    /// the first table, which all relays have then.
    fn start_servers(&mut self) -> Result<PositionLine> {
        let cluster = &mut self.cluster;
        let shape = self.settings.shape();
        cluster.start_publisher()?;
        let proxies: Vec<NodeId> = (0..shape.regions).map(NodeId::Proxy).collect();
        (0..shape.regions).try_for_each(|region| cluster.start_proxy(region))?;
        wait_listening(cluster, "proxies", &proxies)?;
        let (of_regions, of_zones): (Vec<usize>, Vec<usize>) =
            (0..shape.relays).partition(|&relay| self.settings.topology.relays[relay].zone.is_none());
        for level in [of_regions, of_zones] {
            level.iter().try_for_each(|&relay| cluster.start_relay(relay))?;
            let nodes: Vec<NodeId> = level.into_iter().map(NodeId::Relay).collect();
            wait_listening(cluster, "relays", &nodes)?;
        }
        wait_listening(cluster, "the publisher", &[NodeId::Publisher])?;
        let targets = cluster.link_targets()?;
        cluster.send_to_proxies(&Command::Targets(targets))?;
        wait_ready(cluster, "the publisher with the first table", &[NodeId::Publisher])?;
        let base = cluster.node(NodeId::Publisher)?.ready.map(|(_, head)| head).unwrap_or_default();
        let relays: Vec<NodeId> = (0..shape.relays).map(NodeId::Relay).collect();
        wait_at(cluster, "relays with the first table", &relays, base)?;
        Ok(base)
    }

    fn start_subscribers(&mut self, base: PositionLine) -> Result<()> {
        let cluster = &mut self.cluster;
        let zones = self.settings.shape().zones;
        (0..zones).try_for_each(|zone| cluster.start_zone(zone, base))?;
        let nodes: Vec<NodeId> = (0..zones).map(NodeId::Subscribers).collect();
        wait_ready(cluster, "subscribers", &nodes)?;
        wait_at(cluster, "subscribers with the first table", &nodes, base)
    }

    fn start_daemons(&mut self, base: PositionLine) -> Result<Daemons> {
        let daemons = self.cluster.start_daemons(self.options.daemons)?;
        let (count, mut asked) = (daemons.len(), None);
        self.cluster.wait_until("daemons with the first table", START_LIMIT, |cluster| {
            daemons_are_at(cluster, count, base, &mut asked)
        })?;
        Ok(daemons)
    }

    /// Waits until all daemons acknowledged the head.
    fn settle_daemons(&mut self, flow: &mut Flow<'_>, count: usize, head: PositionLine) -> Result<bool> {
        let mut asked = None;
        flow.settle(&mut self.cluster, SETTLE_LIMIT, |cluster| {
            daemons_are_at(cluster, count, head, &mut asked)
        })
    }

    fn replay(&self, base: PositionLine) -> Replay {
        let (shape, seed) = (self.settings.shape(), self.settings.seed);
        let mut table = Table::new();
        for changes in base_transactions(shape, seed) {
            table.apply(&changes);
        }
        Replay::new(base.into(), table, refusing_zone(shape, seed))
    }

    /// Waits until all subscribers are at the head.
    fn settle(&mut self, flow: &mut Flow<'_>, head: PositionLine) -> Result<bool> {
        let nodes: Vec<NodeId> = (0..self.settings.shape().zones).map(NodeId::Subscribers).collect();
        let mut asked = None;
        flow.settle(&mut self.cluster, SETTLE_LIMIT, |cluster| is_at(cluster, &nodes, head, &mut asked))
    }

    fn begin_measuring(&mut self) -> Result<()> {
        let shape = self.settings.shape();
        let zones = (0..shape.zones).map(NodeId::Subscribers);
        let mut nodes = zones.chain((0..shape.relays).map(NodeId::Relay));
        nodes.try_for_each(|node| self.cluster.send(node, &Command::BeginMeasuring))
    }

    fn usage(&mut self) -> Result<(UsageSummary, UsageSummary)> {
        let topology = &self.settings.topology;
        let zones: Vec<NodeId> = (0..topology.shape.zones).map(NodeId::Subscribers).collect();
        let relays: Vec<NodeId> = (0..topology.shape.relays).map(NodeId::Relay).collect();
        for &node in zones.iter().chain(&relays) {
            self.cluster.send(node, &Command::Usage)?;
        }
        let all: Vec<NodeId> = zones.iter().chain(&relays).copied().collect();
        self.cluster.wait_until("answers to usage", ANSWER_LIMIT, |cluster| {
            all_nodes(&all, |node| Ok(cluster.node(node)?.usage.is_some()))
        })?;
        let mut of_subscribers = UsageSummary::default();
        for (zone, &node) in zones.iter().enumerate() {
            let state = self.cluster.node(node)?;
            let usage = state.usage.unwrap_or_default();
            of_subscribers.add(&usage, topology.zone_subscribers[zone], state.life > 0);
        }
        let mut of_relays = UsageSummary::default();
        for &node in &relays {
            let state = self.cluster.node(node)?;
            of_relays.add(&state.usage.unwrap_or_default(), 1, state.life > 0);
        }
        Ok((of_subscribers, of_relays))
    }

    fn verdict(&mut self, record: &FlowRecord, ended_unix_ms: u64) -> Result<Verdict> {
        let zones = self.settings.shape().zones;
        let nodes: Vec<NodeId> = (0..zones).map(NodeId::Subscribers).collect();
        nodes.iter().try_for_each(|&node| self.cluster.send(node, &Command::Verify))?;
        self.cluster.wait_until("whole tables", ANSWER_LIMIT, |cluster| {
            all_nodes(&nodes, |node| Ok(cluster.node(node)?.verified.is_some()))
        })?;
        let mut judge = Judge::new(record.replay.history(), &record.outages, ended_unix_ms);
        (0..zones).try_for_each(|zone| self.judge_zone(&mut judge, zone))?;
        Ok(judge.into_verdict())
    }

    fn judge_zone(&self, judge: &mut Judge<'_>, zone: usize) -> Result<()> {
        let topology = &self.settings.topology;
        let node = self.cluster.node(NodeId::Subscribers(zone))?;
        let lives = (0..=node.life)
            .map(|life| read_observations(&self.cluster.observations(zone, life)))
            .collect::<Result<Vec<_>>>()?;
        let first = topology.first_subscriber(zone);
        let mut by_subscriber = split(&lives, first, topology.zone_subscribers[zone]);
        for (index, lives) in by_subscriber.drain(..).enumerate() {
            judge.subscriber(first + index, zone, &lives);
            match node.verified.as_ref().and_then(|tables| tables.get(index)) {
                Some(&(position, digest)) => {
                    judge.final_table(first + index, zone, position.into(), digest.into());
                }
                None => judge.no_final_table(first + index),
            }
        }
        Ok(())
    }
}

/// The observations of each subscriber of a zone, by life.
fn split(lives: &[Vec<Observation>], first: usize, subscribers: usize) -> Vec<Vec<Vec<Observation>>> {
    let mut by_subscriber = vec![vec![Vec::new(); lives.len()]; subscribers];
    for (life, observations) in lives.iter().enumerate() {
        for observation in observations {
            let index = (observation.subscriber as usize).checked_sub(first);
            if let Some(own) = index.and_then(|index| by_subscriber.get_mut(index)) {
                own[life].push(*observation);
            }
        }
    }
    by_subscriber
}

/// Runs at the same time are different processes.
fn loopback_octet() -> u8 {
    let octets = LOOPBACK_OCTETS.end - LOOPBACK_OCTETS.start;
    u8::try_from(LOOPBACK_OCTETS.start + std::process::id() % octets).unwrap_or(u8::MAX)
}
