//! The processes of a run: the setup, the addresses and the last reported state of each.

use super::control::{
    Command, DigestLine, Event, PositionLine, ProxySetup, PublisherSetup, RelaySetup, RunSettings,
    ServerLine, SubscribersSetup, Usage,
};
use super::daemons::{DAEMON_REGION, Daemons};
use super::process::unix_ms;
use super::supervisor::{NodeId, NodeProcess, Report};
use super::topology::{region_name, relay_name, zone_name};
use anyhow::{Context, Result, bail, ensure};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// Maximum wait for an event before the awaited condition is checked again.
const EVENT_POLL: Duration = Duration::from_millis(50);
/// Server name of the publisher.
const PUBLISHER_NAME: &str = "publisher";
/// Region of the publisher, which has no other members.
const PUBLISHER_REGION: &str = "control";

/// State of a process as the coordinator knows it.
#[derive(Default)]
pub struct NodeState {
    process: Option<NodeProcess>,
    /// Number of earlier starts of the process.
    pub incarnation: u32,
    /// Whether the output of the last started process has ended.
    ended: bool,
    /// Addresses on which the process listens.
    pub listening: Vec<SocketAddr>,
    /// Time at which the process was last started, Unix ms.
    pub started_unix_ms: u64,
    /// Time, Unix ms, and head position of the process's ready event; none until it arrives.
    pub ready: Option<(u64, PositionLine)>,
    /// Last answer to [`Command::Status`] since the process was started.
    pub status: Option<PositionLine>,
    /// Last answer to [`Command::ZoneStatus`]: number of subscribers and their lowest position.
    pub zone_status: Option<(u32, PositionLine)>,
    /// Answer to [`Command::Usage`].
    pub usage: Option<Usage>,
    /// Answer to [`Command::Verify`].
    pub verified: Option<Vec<(PositionLine, DigestLine)>>,
}

/// An event of the publisher about transactions.
#[derive(Debug)]
pub enum PublisherEvent {
    /// The publisher accepted a transaction and made it durable.
    Accepted {
        /// Sequence number of the transaction.
        sequence: u64,
        /// Position that the transaction got.
        position: PositionLine,
        /// Time of the proposal, Unix ms.
        proposed_unix_ms: u64,
    },
    /// The publisher rejected a transaction.
    Rejected {
        /// Sequence number of the transaction.
        sequence: u64,
        /// Reason for the rejection.
        reason: String,
    },
    /// Subscribers refused positions; each entry has the member and the position.
    Refusals(Vec<(String, PositionLine)>),
}

/// All processes of a run.
pub struct Cluster {
    settings: RunSettings,
    directory: PathBuf,
    nodes: BTreeMap<NodeId, NodeState>,
    reports: Receiver<Report>,
    report_sender: Sender<Report>,
}

impl Cluster {
    /// Creates a cluster without processes.
    pub fn new(settings: RunSettings, directory: &Path) -> Cluster {
        let (report_sender, reports) = channel();
        Cluster { settings, directory: directory.to_owned(), nodes: BTreeMap::new(), reports, report_sender }
    }

    /// Returns the state of a process.
    ///
    /// # Errors
    /// Returns an error if the process was never started.
    pub fn node(&self, node: NodeId) -> Result<&NodeState> {
        self.nodes.get(&node).with_context(|| format!("{node:?} was not started"))
    }

    /// Returns the number of running processes.
    pub fn processes(&self) -> usize {
        self.nodes.values().filter(|state| state.process.is_some()).count()
    }

    /// Sends a command to a running process.
    ///
    /// # Errors
    /// Returns an error if the process is down or does not read its input.
    pub fn send(&mut self, node: NodeId, command: &Command) -> Result<()> {
        let state = self.nodes.get_mut(&node).with_context(|| format!("{node:?} was not started"))?;
        let process = state.process.as_mut().with_context(|| format!("{node:?} is down"))?;
        process.send(command).with_context(|| format!("{node:?}"))
    }

    /// Sends a command to all proxies.
    ///
    /// # Errors
    /// Returns an error if a proxy is down.
    pub fn send_to_proxies(&mut self, command: &Command) -> Result<()> {
        (0..self.settings.shape().regions).try_for_each(|region| self.send(NodeId::Proxy(region), command))
    }

    /// Kills a process and waits until it has exited.
    ///
    /// # Errors
    /// Returns an error if the process is already down.
    pub fn kill(&mut self, node: NodeId) -> Result<()> {
        let state = self.nodes.get_mut(&node).with_context(|| format!("{node:?} was not started"))?;
        state.process.take().with_context(|| format!("{node:?} is down"))?.kill();
        state.ready = None;
        Ok(())
    }

    /// Suspends a process (SIGSTOP).
    ///
    /// # Errors
    /// Returns an error if the process is down.
    pub fn pause(&self, node: NodeId) -> Result<()> {
        self.node(node)?.process.as_ref().with_context(|| format!("{node:?} is down"))?.pause()
    }

    /// Resumes a suspended process (SIGCONT).
    ///
    /// # Errors
    /// Returns an error if the process is down.
    pub fn resume(&self, node: NodeId) -> Result<()> {
        self.node(node)?.process.as_ref().with_context(|| format!("{node:?} is down"))?.resume()
    }

    /// Returns whether all output of a killed process has been read.
    pub fn has_ended(&self, node: NodeId) -> bool {
        self.nodes.get(&node).is_some_and(|state| state.ended)
    }

    /// Starts the publisher; after a restart it listens on its previous address.
    ///
    /// # Errors
    /// Returns an error if the process can't be started.
    pub fn start_publisher(&mut self) -> Result<()> {
        let ip = self.settings.topology.publisher_ip();
        let setup = Command::Publisher(Box::new(PublisherSetup {
            run: self.settings.clone(),
            listen: self.listening_address(NodeId::Publisher, ip.into()),
            directory: self.directory.join("publisher"),
            log: self.directory.join("publisher.log"),
        }));
        self.start(NodeId::Publisher, &setup)
    }

    /// Starts a relay; after a restart it listens on its previous address.
    ///
    /// # Errors
    /// Returns an error if the process can't be started or the servers that it follows were not started.
    pub fn start_relay(&mut self, relay: usize) -> Result<()> {
        let node = NodeId::Relay(relay);
        let ip = self.settings.topology.relay_ip(relay);
        let setup = Command::Relay(Box::new(RelaySetup {
            run: self.settings.clone(),
            relay,
            listen: self.listening_address(node, ip.into()),
            servers: self.servers_of_relay(relay)?,
            log: self.directory.join(format!("{}.log", relay_name(relay))),
        }));
        self.start(node, &setup)
    }

    /// Starts the process of a zone's subscribers.
    ///
    /// # Errors
    /// Returns an error if the process can't be started or the relays were not started.
    pub fn start_zone(&mut self, zone: usize, base: PositionLine) -> Result<()> {
        let node = NodeId::Subscribers(zone);
        let incarnation = self.next_incarnation(node);
        let setup = Command::Subscribers(Box::new(SubscribersSetup {
            run: self.settings.clone(),
            zone,
            incarnation,
            servers: self.servers_of_zone(zone, false)?,
            exposed_servers: self.servers_of_zone(zone, true)?,
            base,
            state: self.directory.join(format!("{}-state", zone_name(zone))),
            observations: self.observations(zone, incarnation),
            log: self.directory.join(format!("{}.log", zone_name(zone))),
        }));
        self.start(node, &setup)
    }

    /// Starts the proxy of a region.
    ///
    /// # Errors
    /// Returns an error if the process can't be started.
    pub fn start_proxy(&mut self, region: usize) -> Result<()> {
        let relays = self.settings.topology.relays.iter().map(|place| Some(place.region));
        let link_regions = relays.chain([None]).collect();
        let setup = Command::Proxy(Box::new(ProxySetup { region, link_regions }));
        self.start(NodeId::Proxy(region), &setup)
    }

    /// Returns the target of each link of a proxy, in the order of [`Cluster::start_proxy`].
    ///
    /// # Errors
    /// Returns an error if a relay or the publisher does not listen yet.
    pub fn link_targets(&self) -> Result<Vec<SocketAddr>> {
        let relays = (0..self.settings.shape().relays).map(NodeId::Relay);
        relays.chain([NodeId::Publisher]).map(|node| self.address(node, 0)).collect()
    }

    /// Returns the observation file of one incarnation of a zone's process.
    pub fn observations(&self, zone: usize, incarnation: u32) -> PathBuf {
        self.directory.join(format!("{}-{incarnation}.observations", zone_name(zone)))
    }

    /// Starts real daemons, which subscribe to the relays of their region.
    ///
    /// # Errors
    /// Returns an error if a process can't be started or the relays were not started.
    pub fn start_daemons(&self, count: usize) -> Result<Daemons> {
        let topology = &self.settings.topology;
        let is_in_region = |relay: &usize| topology.relays[*relay].region == DAEMON_REGION;
        let in_region = (0..self.settings.shape().relays).filter(is_in_region);
        let servers: Vec<ServerLine> =
            in_region.map(|relay| self.relay_line(relay, DAEMON_REGION, false)).collect::<Result<_>>()?;
        Daemons::start(count, &self.settings, &servers, &self.directory)
    }

    /// Handles events of the processes until the condition holds.
    ///
    /// # Errors
    /// Returns an error if the condition does not hold within `limit` or a process failed.
    pub fn wait_until(
        &mut self,
        awaited: &str,
        limit: Duration,
        mut holds: impl FnMut(&mut Cluster) -> Result<bool>,
    ) -> Result<()> {
        let deadline = Instant::now() + limit;
        while !holds(self)? {
            ensure!(Instant::now() < deadline, "{awaited}: timed out after {} s", limit.as_secs());
            self.handle_next_event(EVENT_POLL)?;
        }
        Ok(())
    }

    /// Handles the next event of a process, if one arrives within `limit`; returns it if it is about
    /// transactions.
    ///
    /// # Errors
    /// Returns an error if a process failed or ended without having been killed.
    pub fn handle_next_event(&mut self, limit: Duration) -> Result<Option<PublisherEvent>> {
        let report = match self.reports.recv_timeout(limit) {
            Ok(report) => report,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return Ok(None),
        };
        let node = report.node;
        let state = self.nodes.entry(node).or_default();
        if report.incarnation != state.incarnation {
            return Ok(None);
        }
        let Some(event) = report.event else {
            state.ended = true;
            ensure!(state.process.is_none(), "{node:?} exited unexpectedly; see its log");
            return Ok(None);
        };
        match event {
            Event::Listening(addresses) => state.listening = addresses,
            Event::Ready { head } => state.ready = Some((unix_ms(), head)),
            Event::Status { least } => state.status = Some(least),
            Event::ZoneStatus { subscribers, least } => state.zone_status = Some((subscribers, least)),
            Event::Usage(usage) => state.usage = Some(usage),
            Event::Verified { tables } => state.verified = Some(tables),
            Event::Failed(reason) => bail!("{node:?} failed: {reason}"),
            Event::Accepted { sequence, position, proposed_unix_ms } => {
                return Ok(Some(PublisherEvent::Accepted { sequence, position, proposed_unix_ms }));
            }
            Event::Rejected { sequence, reason } => {
                return Ok(Some(PublisherEvent::Rejected { sequence, reason }));
            }
            Event::Refusals { refusals } => return Ok(Some(PublisherEvent::Refusals(refusals))),
        }
        Ok(None)
    }

    fn start(&mut self, node: NodeId, setup: &Command) -> Result<()> {
        let incarnation = self.next_incarnation(node);
        let process = NodeProcess::start(node, incarnation, setup, self.report_sender.clone())?;
        let state = self.nodes.entry(node).or_default();
        let listening = std::mem::take(&mut state.listening);
        *state = NodeState {
            process: Some(process),
            incarnation,
            listening,
            started_unix_ms: unix_ms(),
            ..NodeState::default()
        };
        Ok(())
    }

    fn next_incarnation(&self, node: NodeId) -> u32 {
        self.nodes.get(&node).map_or(0, |state| state.incarnation + 1)
    }

    /// Returns the address on which a process is to listen: its previous one, or any free port.
    fn listening_address(&self, node: NodeId, ip: IpAddr) -> SocketAddr {
        self.address(node, 0).unwrap_or_else(|_| SocketAddr::new(ip, 0))
    }

    fn address(&self, node: NodeId, index: usize) -> Result<SocketAddr> {
        let address = self.node(node)?.listening.get(index).copied();
        address.with_context(|| format!("{node:?} does not listen yet"))
    }

    /// Returns the servers of a relay: the publisher for a region's relay, and for a zone's relay the relays
    /// of its region and, as a last resort, those of other regions.
    fn servers_of_relay(&self, relay: usize) -> Result<Vec<ServerLine>> {
        let place = &self.settings.topology.relays[relay];
        if place.zone.is_none() {
            return Ok(vec![self.publisher_line(place.region)?]);
        }
        let region_relays = self.settings.topology.region_relays();
        region_relays.map(|relay| self.relay_line(relay, place.region, false)).collect()
    }

    /// Returns the servers of a zone's subscribers, which may subscribe to any relay.
    fn servers_of_zone(&self, zone: usize, exposed: bool) -> Result<Vec<ServerLine>> {
        let region = self.settings.topology.region_of(zone);
        let relays = 0..self.settings.shape().relays;
        relays.map(|relay| self.relay_line(relay, region, exposed)).collect()
    }

    fn publisher_line(&self, from_region: usize) -> Result<ServerLine> {
        Ok(ServerLine {
            name: PUBLISHER_NAME.into(),
            address: self.address(NodeId::Proxy(from_region), self.settings.shape().relays)?,
            zone: None,
            region: PUBLISHER_REGION.into(),
        })
    }

    /// Returns a relay with its address as seen from a region: that region's proxy if the relay is in another
    /// region or the client is exposed to damaged frames.
    fn relay_line(&self, relay: usize, from_region: usize, exposed: bool) -> Result<ServerLine> {
        let place = &self.settings.topology.relays[relay];
        let address = if exposed || place.region != from_region {
            self.address(NodeId::Proxy(from_region), relay)?
        } else {
            self.address(NodeId::Relay(relay), 0)?
        };
        Ok(ServerLine {
            name: relay_name(relay),
            address,
            zone: place.zone.map(zone_name),
            region: region_name(place.region),
        })
    }
}
