//! The phase of a run in which changes are published and faults are injected.

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

/// Maximum wait for an event before due proposals and steps are checked again.
const MAX_EVENT_WAIT: Duration = Duration::from_millis(20);
/// Maximum time until the output of a killed process ends.
const OUTPUT_END_LIMIT: Duration = Duration::from_secs(5);

/// A proposal that the publisher has not answered yet.
struct Proposed {
    sequence: u64,
    at_unix_ms: u64,
}

/// The state of the phase in which changes are published.
pub struct Flow<'run> {
    topology: &'run Topology,
    planned: &'run [PlannedTransaction],
    base: PositionLine,
    replay: Replay,
    unanswered: VecDeque<Proposed>,
    /// Sequence number of the next proposal.
    next_sequence: u64,
    /// Whether the publisher was killed and has not yet reported the head from which it continues.
    publisher_down: bool,
    outages: Vec<Outage>,
    /// Zones whose process was started again and is not ready yet.
    starting_zones: BTreeSet<usize>,
    refused_positions: BTreeSet<PositionLine>,
    rejected: Vec<String>,
    publisher_restart_ms: u64,
}

/// The result of a [`Flow`].
pub struct FlowRecord {
    /// Accepted transactions with the digests that follow from them.
    pub replay: Replay,
    /// Times in which zones were unreachable.
    pub outages: Vec<Outage>,
    /// Positions whose refusal by subscribers reached the publisher.
    pub refused_positions: BTreeSet<PositionLine>,
    /// Transactions that the publisher rejected, with the reasons.
    pub rejected: Vec<String>,
    /// Time from the start of the publisher's process until it continued from its store, ms.
    pub publisher_restart_ms: u64,
}

impl<'run> Flow<'run> {
    /// Creates a flow that begins with the initial table, which `replay` holds.
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
            next_sequence: 1,
            publisher_down: false,
            outages: Vec::new(),
            starting_zones: BTreeSet::new(),
            refused_positions: BTreeSet::new(),
            rejected: Vec::new(),
            publisher_restart_ms: 0,
        }
    }

    /// Proposes each transaction and carries out each step at its time, until all steps are done and all
    /// proposals answered.
    ///
    /// # Errors
    /// Returns an error if a process fails unexpectedly, or the publisher does not answer within `limit` of
    /// the last step.
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
            self.run_due_steps(cluster, &mut steps, elapsed_ms)?;
            self.propose_due(cluster, times_ms, elapsed_ms)?;
            if steps.is_empty() && self.is_done(times_ms) {
                return Ok(());
            }
            ensure!(Instant::now() < deadline, "{} proposals have no answer", self.unanswered.len());
            let event = cluster.handle_next_event(MAX_EVENT_WAIT)?;
            self.handle_event(event)?;
            self.check_restarts(cluster)?;
        }
    }

    /// Waits until the condition holds and handles the publisher's events meanwhile. Returns `false` if it
    /// does not hold within `limit`.
    ///
    /// # Errors
    /// Returns an error if a process fails unexpectedly.
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
            let event = cluster.handle_next_event(MAX_EVENT_WAIT)?;
            self.handle_event(event)?;
        }
        Ok(true)
    }

    /// Returns the newest accepted position.
    pub fn head(&self) -> PositionLine {
        self.replay.history().head().into()
    }

    /// Returns the result.
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
        self.next_sequence > times_ms.len() as u64
            && self.unanswered.is_empty()
            && self.starting_zones.is_empty()
            && !self.publisher_down
    }

    fn propose_due(&mut self, cluster: &mut Cluster, times_ms: &[u64], elapsed_ms: u64) -> Result<()> {
        while !self.publisher_down {
            let Some(&due_ms) = times_ms.get(usize::try_from(self.next_sequence)? - 1) else { break };
            if due_ms > elapsed_ms {
                break;
            }
            self.propose(cluster, self.next_sequence)?;
            self.next_sequence += 1;
        }
        Ok(())
    }

    fn propose(&mut self, cluster: &mut Cluster, sequence: u64) -> Result<()> {
        self.unanswered.push_back(Proposed { sequence, at_unix_ms: unix_ms() });
        cluster.send(NodeId::Publisher, &Command::Propose { sequence })
    }

    fn handle_event(&mut self, event: Option<PublisherEvent>) -> Result<()> {
        match event {
            None => {}
            Some(PublisherEvent::Accepted { sequence, position, proposed_unix_ms }) => {
                let proposed = self.take_proposal(sequence)?;
                // Both times precede the acceptance; the publisher's own is later and so closer to it.
                self.accept(sequence, position, proposed_unix_ms.max(proposed.at_unix_ms))?;
            }
            Some(PublisherEvent::Rejected { sequence, reason }) => {
                self.take_proposal(sequence)?;
                self.rejected.push(format!("transaction {sequence}: {reason}"));
            }
            Some(PublisherEvent::Refusals(refusals)) => {
                self.refused_positions.extend(refusals.into_iter().map(|(_, position)| position));
            }
        }
        Ok(())
    }

    fn take_proposal(&mut self, sequence: u64) -> Result<Proposed> {
        let oldest = self.unanswered.pop_front().context("an answer without a proposal")?;
        ensure!(
            oldest.sequence == sequence,
            "expected the answer to transaction {}, got {sequence}",
            oldest.sequence
        );
        Ok(oldest)
    }

    fn accept(&mut self, sequence: u64, position: PositionLine, at_unix_ms: u64) -> Result<()> {
        let head = self.replay.history().head();
        ensure!(head.next() == position.into(), "accepted at {position:?}, which does not follow {head:?}");
        let planned = &self.planned[usize::try_from(sequence)? - 1];
        self.replay.accept(position.into(), at_unix_ms, planned);
        Ok(())
    }

    fn run_due_steps(
        &mut self,
        cluster: &mut Cluster,
        steps: &mut VecDeque<TimedStep>,
        elapsed_ms: u64,
    ) -> Result<()> {
        while steps.front().is_some_and(|step| step.at_ms <= elapsed_ms) {
            let Some(due) = steps.pop_front() else { break };
            self.run_step(cluster, due.step).with_context(|| format!("{:?}", due.step))?;
        }
        Ok(())
    }

    fn run_step(&mut self, cluster: &mut Cluster, step: Step) -> Result<()> {
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
        // Its remaining output has the transactions that it accepted before it was killed; they count.
        let ended =
            self.settle(cluster, OUTPUT_END_LIMIT, |cluster| Ok(cluster.has_ended(NodeId::Publisher)))?;
        ensure!(ended, "the output of the killed publisher did not end");
        Ok(())
    }

    fn end_outage(&mut self, is_match: impl Fn(&Outage) -> bool, until_unix_ms: u64) {
        let open = self.outages.iter_mut().find(|outage| outage.until_unix_ms.is_none() && is_match(outage));
        if let Some(outage) = open {
            outage.until_unix_ms = Some(until_unix_ms);
        }
    }

    /// Handles restarted processes that have become ready.
    fn check_restarts(&mut self, cluster: &mut Cluster) -> Result<()> {
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
                self.resume_publisher(cluster, head)?;
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

    /// Continues with the restarted publisher at `head`: transactions that it had made durable without an
    /// answer are accepted, the others are proposed again.
    fn resume_publisher(&mut self, cluster: &mut Cluster, head: PositionLine) -> Result<()> {
        let known: PositionLine = self.head();
        ensure!(
            head >= known,
            "the publisher restarted at {head:?}, before {known:?}, which it had accepted"
        );
        while self.head() < head {
            let proposed = self
                .unanswered
                .pop_front()
                .context("the publisher has more transactions than were proposed")?;
            let position = self.replay.history().head().next();
            self.accept(proposed.sequence, position.into(), proposed.at_unix_ms)?;
        }
        for proposed in std::mem::take(&mut self.unanswered) {
            self.propose(cluster, proposed.sequence)?;
        }
        Ok(())
    }
}
