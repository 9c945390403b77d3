//! The part of a run in which changes flow and faults happen.

use super::changes::PlannedTransaction;
use super::cluster::{Cluster, PublisherEvent};
use super::control::{Command, CutKind, PositionLine};
use super::faults::{Step, TimedStep};
use super::garbage::send_garbage;
use super::history::Replay;
use super::outage::{Cause, Outage};
use super::process::unix_ms;
use super::supervisor::NodeId;
use super::topology::Topology;
use anyhow::{Context, Result, ensure};
use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// The longest wait for a process before the time is looked at again.
const LONGEST_WAIT: Duration = Duration::from_millis(20);
/// How long the output of a killed process may take to end.
const OUTPUT_LIMIT: Duration = Duration::from_secs(5);

/// A proposal that has no answer yet.
struct Proposed {
    sequence: u64,
    at_unix_ms: u64,
}

/// The state of the flow.
pub struct Flow<'run> {
    topology: &'run Topology,
    planned: &'run [PlannedTransaction],
    base: PositionLine,
    replay: Replay,
    unanswered: VecDeque<Proposed>,
    /// The sequence number of the next proposal.
    next: u64,
    /// Whether the publisher was killed and has not said yet where it goes on.
    publisher_down: bool,
    outages: Vec<Outage>,
    /// Zones whose process was started again and is not ready.
    starting_zones: BTreeSet<usize>,
    refused_positions: BTreeSet<PositionLine>,
    rejected: Vec<String>,
    publisher_restart_ms: u64,
}

/// What a flow leaves behind.
pub struct FlowRecord {
    /// What was accepted, with its digests.
    pub replay: Replay,
    /// When whom could not be reached.
    pub outages: Vec<Outage>,
    /// The positions that the publisher heard subscribers refuse.
    pub refused_positions: BTreeSet<PositionLine>,
    /// What the publisher itself refused, and why.
    pub rejected: Vec<String>,
    /// From the start of the publisher's process until it went on from its store, ms.
    pub publisher_restart_ms: u64,
}

impl<'run> Flow<'run> {
    /// Begins at the first table, which `replay` holds.
    pub fn new(
        topology: &'run Topology,
        planned: &'run [PlannedTransaction],
        base: PositionLine,
        replay: Replay,
    ) -> Flow<'run> {
        Flow {
            topology,
            planned,
            base,
            replay,
            unanswered: VecDeque::new(),
            next: 1,
            publisher_down: false,
            outages: Vec::new(),
            starting_zones: BTreeSet::new(),
            refused_positions: BTreeSet::new(),
            rejected: Vec::new(),
            publisher_restart_ms: 0,
        }
    }

    /// Proposes each transaction at its time and carries out each step at its own, until all are done and answered.
    ///
    /// # Errors
    /// If a process fails by itself, or the publisher gives no answers within `limit` of the last step.
    pub fn run(
        &mut self,
        cluster: &mut Cluster,
        times_ms: &[u64],
        steps: &[TimedStep],
        limit: Duration,
    ) -> Result<()> {
        let begin = Instant::now();
        let last_ms = times_ms.iter().chain(steps.iter().map(|step| &step.at_ms)).max().copied().unwrap_or(0);
        let deadline = begin + Duration::from_millis(last_ms) + limit;
        let mut steps: VecDeque<TimedStep> = steps.iter().copied().collect();
        loop {
            let elapsed_ms = u64::try_from(begin.elapsed().as_millis())?;
            self.take_steps(cluster, &mut steps, elapsed_ms)?;
            self.propose_due(cluster, times_ms, elapsed_ms)?;
            if steps.is_empty() && self.is_done(times_ms) {
                return Ok(());
            }
            ensure!(Instant::now() < deadline, "{} proposals have no answer", self.unanswered.len());
            let event = cluster.pump(LONGEST_WAIT)?;
            self.take_event(event)?;
            self.look_at_restarts(cluster)?;
        }
    }

    /// Waits until the condition holds, taking what the publisher says meanwhile.
    ///
    /// # Errors
    /// If a process fails by itself. A condition that does not hold in time is no error: `false` is returned.
    pub fn settle(
        &mut self,
        cluster: &mut Cluster,
        limit: Duration,
        mut holds: impl FnMut(&mut Cluster) -> Result<bool>,
    ) -> Result<bool> {
        let deadline = Instant::now() + limit;
        while !holds(cluster)? {
            if Instant::now() >= deadline {
                return Ok(false);
            }
            let event = cluster.pump(LONGEST_WAIT)?;
            self.take_event(event)?;
        }
        Ok(true)
    }

    /// The newest accepted position.
    pub fn head(&self) -> PositionLine {
        self.replay.history().head().into()
    }

    /// What is left of it.
    pub fn into_record(self) -> FlowRecord {
        FlowRecord {
            replay: self.replay,
            outages: self.outages,
            refused_positions: self.refused_positions,
            rejected: self.rejected,
            publisher_restart_ms: self.publisher_restart_ms,
        }
    }

    fn is_done(&self, times_ms: &[u64]) -> bool {
        self.next > times_ms.len() as u64
            && self.unanswered.is_empty()
            && self.starting_zones.is_empty()
            && !self.publisher_down
    }

    fn propose_due(&mut self, cluster: &mut Cluster, times_ms: &[u64], elapsed_ms: u64) -> Result<()> {
        while !self.publisher_down {
            let Some(&due_ms) = times_ms.get(usize::try_from(self.next)? - 1) else { break };
            if due_ms > elapsed_ms {
                break;
            }
            self.propose(cluster, self.next)?;
            self.next += 1;
        }
        Ok(())
    }

    fn propose(&mut self, cluster: &mut Cluster, sequence: u64) -> Result<()> {
        self.unanswered.push_back(Proposed { sequence, at_unix_ms: unix_ms() });
        cluster.send(NodeId::Publisher, &Command::Propose { sequence })
    }

    fn take_event(&mut self, event: Option<PublisherEvent>) -> Result<()> {
        match event {
            None => {}
            Some(PublisherEvent::Accepted { sequence, position, proposed_unix_ms }) => {
                let proposed = self.answered(sequence)?;
                // The publisher's own time is the later one, and so the better; both are before the acceptance.
                self.accept(sequence, position, proposed_unix_ms.max(proposed.at_unix_ms))?;
            }
            Some(PublisherEvent::Rejected { sequence, reason }) => {
                self.answered(sequence)?;
                self.rejected.push(format!("transaction {sequence}: {reason}"));
            }
            Some(PublisherEvent::Refusals(refusals)) => {
                self.refused_positions.extend(refusals.into_iter().map(|(_, position)| position));
            }
        }
        Ok(())
    }

    fn answered(&mut self, sequence: u64) -> Result<Proposed> {
        let oldest = self.unanswered.pop_front().context("an answer to no proposal")?;
        ensure!(oldest.sequence == sequence, "transaction {} answered by {sequence}", oldest.sequence);
        Ok(oldest)
    }

    fn accept(&mut self, sequence: u64, position: PositionLine, at_unix_ms: u64) -> Result<()> {
        let head = self.replay.history().head();
        ensure!(head.next() == position.into(), "accepted at {position:?}, which does not follow {head:?}");
        let planned = &self.planned[usize::try_from(sequence)? - 1];
        self.replay.accept(position.into(), at_unix_ms, planned);
        Ok(())
    }

    fn take_steps(
        &mut self,
        cluster: &mut Cluster,
        steps: &mut VecDeque<TimedStep>,
        elapsed_ms: u64,
    ) -> Result<()> {
        while steps.front().is_some_and(|step| step.at_ms <= elapsed_ms) {
            let Some(due) = steps.pop_front() else { break };
            self.take_step(cluster, due.step).with_context(|| format!("{:?}", due.step))?;
        }
        Ok(())
    }

    fn take_step(&mut self, cluster: &mut Cluster, step: Step) -> Result<()> {
        match step {
            Step::KillRelay(relay) => cluster.kill(NodeId::Relay(relay)),
            Step::StartRelay(relay) => cluster.start_relay(relay),
            Step::PauseRelay(relay) => cluster.pause(NodeId::Relay(relay)),
            Step::ResumeRelay(relay) => cluster.resume(NodeId::Relay(relay)),
            Step::CutRegion(region, kind) => self.cut_region(cluster, region, kind),
            Step::HealRegion(region) => self.heal_region(cluster, region),
            Step::KillZone(zone) => self.kill_zone(cluster, zone),
            Step::StartZone(zone) => {
                self.starting_zones.insert(zone);
                cluster.start_zone(zone, self.base)
            }
            Step::KillPublisher => self.kill_publisher(cluster),
            Step::StartPublisher => cluster.start_publisher(),
            Step::SendGarbage(relay) => send_garbage(&cluster.node(NodeId::Relay(relay))?.listening),
            Step::DamageLinks(region, scope) => {
                cluster.send(NodeId::Proxy(region), &Command::Damage { scope })
            }
        }
    }

    fn cut_region(&mut self, cluster: &mut Cluster, region: usize, kind: CutKind) -> Result<()> {
        self.outages.push(Outage {
            zones: self.topology.zones_of(region),
            cause: Cause::RegionCut,
            from_unix_ms: unix_ms(),
            until_unix_ms: None,
        });
        cluster.send_to_proxies(&Command::Cut { region, kind })
    }

    fn heal_region(&mut self, cluster: &mut Cluster, region: usize) -> Result<()> {
        cluster.send_to_proxies(&Command::Heal { region })?;
        let zones = self.topology.zones_of(region);
        self.end_outage(|outage| outage.cause == Cause::RegionCut && outage.zones == zones, unix_ms());
        Ok(())
    }

    fn kill_zone(&mut self, cluster: &mut Cluster, zone: usize) -> Result<()> {
        self.outages.push(Outage {
            zones: vec![zone],
            cause: Cause::ProcessDown { started_unix_ms: 0 },
            from_unix_ms: unix_ms(),
            until_unix_ms: None,
        });
        cluster.kill(NodeId::Subscribers(zone))
    }

    fn kill_publisher(&mut self, cluster: &mut Cluster) -> Result<()> {
        self.publisher_down = true;
        cluster.kill(NodeId::Publisher)?;
        // What it accepted before it was killed is in its output still, and counts.
        let ended = self.settle(cluster, OUTPUT_LIMIT, |cluster| Ok(cluster.has_ended(NodeId::Publisher)))?;
        ensure!(ended, "the output of the killed publisher does not end");
        Ok(())
    }

    fn end_outage(&mut self, is_it: impl Fn(&Outage) -> bool, until_unix_ms: u64) {
        let open = self.outages.iter_mut().find(|outage| outage.until_unix_ms.is_none() && is_it(outage));
        if let Some(outage) = open {
            outage.until_unix_ms = Some(until_unix_ms);
        }
    }

    /// Takes up what became ready again.
    fn look_at_restarts(&mut self, cluster: &mut Cluster) -> Result<()> {
        for zone in self.starting_zones.clone() {
            let node = cluster.node(NodeId::Subscribers(zone))?;
            let Some((ready_unix_ms, _)) = node.ready else { continue };
            let started_unix_ms = node.started_unix_ms;
            self.starting_zones.remove(&zone);
            self.end_zone_outage(zone, started_unix_ms, ready_unix_ms);
        }
        if self.publisher_down {
            let node = cluster.node(NodeId::Publisher)?;
            if let Some((ready_unix_ms, head)) = node.ready {
                self.publisher_down = false;
                self.publisher_restart_ms = ready_unix_ms.saturating_sub(node.started_unix_ms);
                self.take_publisher_head(cluster, head)?;
            }
        }
        Ok(())
    }

    fn end_zone_outage(&mut self, zone: usize, started_unix_ms: u64, ready_unix_ms: u64) {
        for outage in &mut self.outages {
            let is_open = outage.until_unix_ms.is_none() && outage.zones == [zone];
            if is_open && matches!(outage.cause, Cause::ProcessDown { .. }) {
                outage.cause = Cause::ProcessDown { started_unix_ms };
                outage.until_unix_ms = Some(ready_unix_ms);
            }
        }
    }

    /// The publisher goes on at `head`: what it had made durable without an answer is accepted, the rest is proposed again.
    fn take_publisher_head(&mut self, cluster: &mut Cluster, head: PositionLine) -> Result<()> {
        let known: PositionLine = self.head();
        ensure!(head >= known, "the publisher came back at {head:?}, before {known:?} which it accepted");
        while self.head() < head {
            let proposed = self.unanswered.pop_front().context("the publisher has more than was proposed")?;
            let position = self.replay.history().head().next();
            self.accept(proposed.sequence, position.into(), proposed.at_unix_ms)?;
        }
        for proposed in std::mem::take(&mut self.unanswered) {
            self.propose(cluster, proposed.sequence)?;
        }
        Ok(())
    }
}
