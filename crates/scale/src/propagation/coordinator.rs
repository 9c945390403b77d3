//! Coordinates a run from its start to its verdict.

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

/// Maximum time for subscribers to reach the head after the last fault has ended.
const SETTLE_LIMIT: Duration = Duration::from_secs(40);
/// Maximum time for a process to answer a command.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);
/// Minimum time slot of each fault, ms.
const MIN_FAULT_SLOT_MS: u64 = 2_500;
/// Second octets of the loopback networks from which concurrent runs choose.
const LOOPBACK_OCTETS: std::ops::Range<u32> = 8..240;

/// Runs the experiment and prints the report.
///
/// # Errors
/// Returns an error if the run could not be carried out, and, after the report was printed, if a requirement
/// was not met.
pub fn run(options: &Options) -> Result<()> {
    let temporary = tempfile::tempdir()?;
    let directory = options.keep.clone().unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&directory)?;
    let report = Coordinator::new(options, directory)?.run()?;
    let text =
        if options.json { serde_json::to_string(&report)? } else { serde_json::to_string_pretty(&report)? };
    println!("{text}");
    ensure!(report.ok, "requirements not met: {}", report.failures.join("; "));
    Ok(())
}

/// Transactions and faults of a run, with their times.
struct Plan {
    topology: Topology,
    transactions: Vec<PlannedTransaction>,
    /// Proposal time of each transaction, ms after the start of the flow.
    times_ms: Vec<u64>,
    steps: Vec<TimedStep>,
}

/// Counts of the transactions that one zone refuses.
struct Refusals {
    /// Number of accepted transactions that the zone had to refuse.
    expected: usize,
    /// Number of those whose refusal reached the publisher.
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
        let started = Instant::now();
        let base = self.start_servers()?;
        self.start_subscribers(base)?;
        let mut daemons = self.start_daemons(base)?;
        let plan = self.plan();
        self.begin_measuring()?;
        let start_seconds = started.elapsed().as_secs_f64();
        let mut flow = Flow::new(&plan.topology, &plan.transactions, base, self.replay(base));
        let (flow_started, began_unix_ms) = (Instant::now(), unix_ms());
        flow.run(&mut self.cluster, &plan.times_ms, &plan.steps, START_LIMIT)?;
        let flow_seconds = flow_started.elapsed().as_secs_f64();
        let mut failures = self.settle_all(&mut flow, &mut daemons)?;
        let ended_unix_ms = unix_ms();
        let record = flow.into_record();
        failures.extend(record.rejected.iter().map(|reason| format!("the publisher rejected {reason}")));
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

    /// Returns the transactions and faults of the run with their times, derived from the seed.
    fn plan(&self) -> Plan {
        let (topology, seed) = (self.settings.topology.clone(), self.settings.seed);
        let transactions = planned_transactions(topology.shape, seed, self.settings.changes);
        let min_duration_ms = fault_count(&topology) as u64 * MIN_FAULT_SLOT_MS;
        let times_ms = proposal_times_ms(self.settings.changes, self.options.rate, min_duration_ms);
        let duration_ms = times_ms.last().copied().unwrap_or_default();
        let steps = schedule(&topology, seed, duration_ms);
        Plan { topology, transactions, times_ms, steps }
    }

    /// Waits until all subscribers and daemons are at the head. Returns the conditions that did not hold.
    fn settle_all(&mut self, flow: &mut Flow<'_>, daemons: &mut Daemons) -> Result<Vec<String>> {
        let mut failures = Vec::new();
        let head = flow.head();
        if !self.settle(flow, head)? {
            failures
                .push(format!("not all subscribers reached {head:?} within {} s", SETTLE_LIMIT.as_secs()));
        }
        if !self.settle_daemons(flow, daemons.len(), head)? {
            failures.push(format!("not all daemons acknowledged {head:?}"));
        }
        let daemons_ended = daemons.ended()?;
        if daemons_ended > 0 {
            failures.push(format!("{daemons_ended} daemons exited unexpectedly"));
        }
        Ok(failures)
    }

    /// Starts the publisher, the proxies and the relays, each level once the level above it listens. Returns
    /// the position of the initial table, which all relays then have.
    fn start_servers(&mut self) -> Result<PositionLine> {
        let cluster = &mut self.cluster;
        let shape = self.settings.shape();
        cluster.start_publisher()?;
        let proxies: Vec<NodeId> = (0..shape.regions).map(NodeId::Proxy).collect();
        (0..shape.regions).try_for_each(|region| cluster.start_proxy(region))?;
        wait_listening(cluster, "proxies", &proxies)?;
        let (region_relays, zone_relays): (Vec<usize>, Vec<usize>) =
            (0..shape.relays).partition(|&relay| self.settings.topology.relays[relay].zone.is_none());
        for level in [region_relays, zone_relays] {
            level.iter().try_for_each(|&relay| cluster.start_relay(relay))?;
            let nodes: Vec<NodeId> = level.into_iter().map(NodeId::Relay).collect();
            wait_listening(cluster, "relays", &nodes)?;
        }
        wait_listening(cluster, "the publisher", &[NodeId::Publisher])?;
        let targets = cluster.link_targets()?;
        cluster.send_to_proxies(&Command::Targets(targets))?;
        wait_ready(cluster, "the publisher with the initial table", &[NodeId::Publisher])?;
        let base = cluster.node(NodeId::Publisher)?.ready.map(|(_, head)| head).unwrap_or_default();
        let relays: Vec<NodeId> = (0..shape.relays).map(NodeId::Relay).collect();
        wait_at(cluster, "relays with the initial table", &relays, base)?;
        Ok(base)
    }

    fn start_subscribers(&mut self, base: PositionLine) -> Result<()> {
        let cluster = &mut self.cluster;
        let zones = self.settings.shape().zones;
        (0..zones).try_for_each(|zone| cluster.start_zone(zone, base))?;
        let nodes: Vec<NodeId> = (0..zones).map(NodeId::Subscribers).collect();
        wait_ready(cluster, "subscribers", &nodes)?;
        wait_at(cluster, "subscribers with the initial table", &nodes, base)
    }

    fn start_daemons(&mut self, base: PositionLine) -> Result<Daemons> {
        let daemons = self.cluster.start_daemons(self.options.daemons)?;
        let (count, mut requested) = (daemons.len(), None);
        self.cluster.wait_until("daemons with the initial table", START_LIMIT, |cluster| {
            daemons_are_at(cluster, count, base, &mut requested)
        })?;
        Ok(daemons)
    }

    /// Waits until all daemons have acknowledged the head; returns whether they did.
    fn settle_daemons(&mut self, flow: &mut Flow<'_>, count: usize, head: PositionLine) -> Result<bool> {
        let mut requested = None;
        flow.settle(&mut self.cluster, SETTLE_LIMIT, |cluster| {
            daemons_are_at(cluster, count, head, &mut requested)
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

    /// Waits until all subscribers are at the head; returns whether they are.
    fn settle(&mut self, flow: &mut Flow<'_>, head: PositionLine) -> Result<bool> {
        let nodes: Vec<NodeId> = (0..self.settings.shape().zones).map(NodeId::Subscribers).collect();
        let mut requested = None;
        flow.settle(&mut self.cluster, SETTLE_LIMIT, |cluster| is_at(cluster, &nodes, head, &mut requested))
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
        let mut subscriber_usage = UsageSummary::default();
        for (zone, &node) in zones.iter().enumerate() {
            let state = self.cluster.node(node)?;
            let usage = state.usage.unwrap_or_default();
            subscriber_usage.add(&usage, topology.zone_subscribers[zone], state.incarnation > 0);
        }
        let mut relay_usage = UsageSummary::default();
        for &node in &relays {
            let state = self.cluster.node(node)?;
            relay_usage.add(&state.usage.unwrap_or_default(), 1, state.incarnation > 0);
        }
        Ok((subscriber_usage, relay_usage))
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
        let incarnations = (0..=node.incarnation)
            .map(|incarnation| read_observations(&self.cluster.observations(zone, incarnation)))
            .collect::<Result<Vec<_>>>()?;
        let first = topology.first_subscriber(zone);
        let mut by_subscriber = group_by_subscriber(&incarnations, first, topology.zone_subscribers[zone]);
        for (index, incarnations) in by_subscriber.drain(..).enumerate() {
            judge.subscriber(first + index, zone, &incarnations);
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

/// Groups the observations of a zone by subscriber, and for each subscriber by process start.
fn group_by_subscriber(
    incarnations: &[Vec<Observation>],
    first: usize,
    subscribers: usize,
) -> Vec<Vec<Vec<Observation>>> {
    let mut by_subscriber = vec![vec![Vec::new(); incarnations.len()]; subscribers];
    for (incarnation, observations) in incarnations.iter().enumerate() {
        for observation in observations {
            let index = (observation.subscriber as usize).checked_sub(first);
            if let Some(own) = index.and_then(|index| by_subscriber.get_mut(index)) {
                own[incarnation].push(*observation);
            }
        }
    }
    by_subscriber
}

/// Returns the octet of this run's loopback network, derived from the process id because concurrent runs are
/// different processes.
fn loopback_octet() -> u8 {
    let octets = LOOPBACK_OCTETS.end - LOOPBACK_OCTETS.start;
    u8::try_from(LOOPBACK_OCTETS.start + std::process::id() % octets).unwrap_or(u8::MAX)
}
