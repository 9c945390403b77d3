//! The processes of a run: how each is set up, where it is reached, and what it said last.

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

/// How long is waited for a process at a time before conditions are looked at again.
const PUMP: Duration = Duration::from_millis(50);
/// The publisher's name.
const PUBLISHER_NAME: &str = "publisher";
/// The region of the publisher, in which nobody else is.
const PUBLISHER_REGION: &str = "control";

/// What is known of a process.
#[derive(Default)]
pub struct NodeState {
    process: Option<NodeProcess>,
    /// How often it was started before.
    pub life: u32,
    /// Whether the output of its last life has ended.
    ended: bool,
    /// Where it listens.
    pub listening: Vec<SocketAddr>,
    /// When it was started, Unix ms.
    pub started_unix_ms: u64,
    /// When it said that it was ready and with which head; none while it has not.
    pub ready: Option<(u64, PositionLine)>,
    /// The last answer to [`Command::Status`] of this life.
    pub status: Option<PositionLine>,
    /// The last answer to [`Command::ZoneStatus`]: subscribers and their least position.
    pub zone_status: Option<(u32, PositionLine)>,
    /// The answer to [`Command::Usage`].
    pub usage: Option<Usage>,
    /// The answer to [`Command::Verify`].
    pub verified: Option<Vec<(PositionLine, DigestLine)>>,
}

/// What the publisher says of transactions.
#[derive(Debug)]
pub enum PublisherEvent {
    /// Accepted and durable.
    Accepted {
        /// Which.
        sequence: u64,
        /// Where it stands.
        position: PositionLine,
        /// When it was proposed, Unix ms.
        proposed_unix_ms: u64,
    },
    /// Refused by the publisher itself.
    Rejected {
        /// Which.
        sequence: u64,
        /// Why.
        reason: String,
    },
    /// Refused by subscribers: member and position.
    Refusals(Vec<(String, PositionLine)>),
}

/// All processes of a run.
pub struct Cluster {
    settings: RunSettings,
    directory: PathBuf,
    nodes: BTreeMap<NodeId, NodeState>,
    reports: Receiver<Report>,
    reporter: Sender<Report>,
}

impl Cluster {
    /// None yet.
    pub fn new(settings: RunSettings, directory: &Path) -> Cluster {
        let (reporter, reports) = channel();
        Cluster { settings, directory: directory.to_owned(), nodes: BTreeMap::new(), reports, reporter }
    }

    /// What is known of a process.
    ///
    /// # Errors
    /// If it was never started.
    pub fn node(&self, node: NodeId) -> Result<&NodeState> {
        self.nodes.get(&node).with_context(|| format!("{node:?} was not started"))
    }

    /// Processes that are up.
    pub fn processes(&self) -> usize {
        self.nodes.values().filter(|state| state.process.is_some()).count()
    }

    /// Sends a command to a process that is up.
    ///
    /// # Errors
    /// If it is down or does not read.
    pub fn send(&mut self, node: NodeId, command: &Command) -> Result<()> {
        let state = self.nodes.get_mut(&node).with_context(|| format!("{node:?} was not started"))?;
        let process = state.process.as_mut().with_context(|| format!("{node:?} is down"))?;
        process.send(command).with_context(|| format!("{node:?}"))
    }

    /// Sends a command to all proxies.
    ///
    /// # Errors
    /// If one is down.
    pub fn send_to_proxies(&mut self, command: &Command) -> Result<()> {
        (0..self.settings.shape().regions).try_for_each(|region| self.send(NodeId::Proxy(region), command))
    }

    /// Kills a process and waits until it is gone.
    ///
    /// # Errors
    /// If it is down already.
    pub fn kill(&mut self, node: NodeId) -> Result<()> {
        let state = self.nodes.get_mut(&node).with_context(|| format!("{node:?} was not started"))?;
        state.process.take().with_context(|| format!("{node:?} is down"))?.kill();
        state.ready = None;
        Ok(())
    }

    /// Stops a process where it is.
    ///
    /// # Errors
    /// If it is down.
    pub fn pause(&self, node: NodeId) -> Result<()> {
        self.node(node)?.process.as_ref().with_context(|| format!("{node:?} is down"))?.pause()
    }

    /// Lets it go on.
    ///
    /// # Errors
    /// If it is down.
    pub fn resume(&self, node: NodeId) -> Result<()> {
        self.node(node)?.process.as_ref().with_context(|| format!("{node:?} is down"))?.resume()
    }

    /// Whether all that the last life of a killed process said has been taken.
    pub fn has_ended(&self, node: NodeId) -> bool {
        self.nodes.get(&node).is_some_and(|state| state.ended)
    }

    /// Starts the publisher, where it listened before if it did.
    ///
    /// # Errors
    /// If there can be no such process.
    pub fn start_publisher(&mut self) -> Result<()> {
        let ip = self.settings.topology.publisher_ip();
        let setup = Command::Publisher(Box::new(PublisherSetup {
            run: self.settings.clone(),
            listen: self.listen(NodeId::Publisher, ip.into()),
            directory: self.directory.join("publisher"),
            log: self.directory.join("publisher.log"),
        }));
        self.start(NodeId::Publisher, &setup)
    }

    /// Starts a relay, where it listened before if it did.
    ///
    /// # Errors
    /// If there can be no such process, or those above it were not started.
    pub fn start_relay(&mut self, relay: usize) -> Result<()> {
        let node = NodeId::Relay(relay);
        let ip = self.settings.topology.relay_ip(relay);
        let setup = Command::Relay(Box::new(RelaySetup {
            run: self.settings.clone(),
            relay,
            listen: self.listen(node, ip.into()),
            servers: self.servers_of_relay(relay)?,
            log: self.directory.join(format!("{}.log", relay_name(relay))),
        }));
        self.start(node, &setup)
    }

    /// Starts the subscribers of a zone.
    ///
    /// # Errors
    /// If there can be no such process, or the relays were not started.
    pub fn start_zone(&mut self, zone: usize, base: PositionLine) -> Result<()> {
        let node = NodeId::Subscribers(zone);
        let life = self.next_life(node);
        let setup = Command::Subscribers(Box::new(SubscribersSetup {
            run: self.settings.clone(),
            zone,
            life,
            servers: self.servers_of_zone(zone, false)?,
            exposed_servers: self.servers_of_zone(zone, true)?,
            base,
            state: self.directory.join(format!("{}-state", zone_name(zone))),
            observations: self.observations(zone, life),
            log: self.directory.join(format!("{}.log", zone_name(zone))),
        }));
        self.start(node, &setup)
    }

    /// Starts the proxy of a region.
    ///
    /// # Errors
    /// If there can be no such process.
    pub fn start_proxy(&mut self, region: usize) -> Result<()> {
        let relays = self.settings.topology.relays.iter().map(|place| Some(place.region));
        let link_regions = relays.chain([None]).collect();
        let setup = Command::Proxy(Box::new(ProxySetup { region, link_regions }));
        self.start(NodeId::Proxy(region), &setup)
    }

    /// Where the links of a proxy lead, in the order of [`Cluster::start_proxy`].
    ///
    /// # Errors
    /// If someone does not listen yet.
    pub fn link_targets(&self) -> Result<Vec<SocketAddr>> {
        let relays = (0..self.settings.shape().relays).map(NodeId::Relay);
        relays.chain([NodeId::Publisher]).map(|node| self.address(node, 0)).collect()
    }

    /// The file of observations of a life of a zone's process.
    pub fn observations(&self, zone: usize, life: u32) -> PathBuf {
        self.directory.join(format!("{}-{life}.observations", zone_name(zone)))
    }

    /// Starts real daemons, which watch the relays of their region.
    ///
    /// # Errors
    /// If there can be no such processes, or the relays were not started.
    pub fn start_daemons(&self, count: usize) -> Result<Daemons> {
        let topology = &self.settings.topology;
        let is_near = |relay: &usize| topology.relays[*relay].region == DAEMON_REGION;
        let near = (0..self.settings.shape().relays).filter(is_near);
        let servers: Vec<ServerLine> =
            near.map(|relay| self.relay_line(relay, DAEMON_REGION, false)).collect::<Result<_>>()?;
        Daemons::start(count, &self.settings, &servers, &self.directory)
    }

    /// Takes what processes said until the condition holds.
    ///
    /// # Errors
    /// If it does not hold in time, or a process failed.
    pub fn wait_until(
        &mut self,
        what: &str,
        limit: Duration,
        mut holds: impl FnMut(&mut Cluster) -> Result<bool>,
    ) -> Result<()> {
        let deadline = Instant::now() + limit;
        while !holds(self)? {
            ensure!(Instant::now() < deadline, "{what}: not within {} s", limit.as_secs());
            self.pump(PUMP)?;
        }
        Ok(())
    }

    /// Takes the next thing that a process said, if one says something in that time.
    ///
    /// # Errors
    /// If a process failed, or ended without having been killed.
    pub fn pump(&mut self, limit: Duration) -> Result<Option<PublisherEvent>> {
        let report = match self.reports.recv_timeout(limit) {
            Ok(report) => report,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return Ok(None),
        };
        let node = report.node;
        let state = self.nodes.entry(node).or_default();
        if report.life != state.life {
            return Ok(None);
        }
        let Some(event) = report.event else {
            state.ended = true;
            ensure!(state.process.is_none(), "{node:?} ended by itself; its log says why");
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
        let life = self.next_life(node);
        let process = NodeProcess::start(node, life, setup, self.reporter.clone())?;
        let state = self.nodes.entry(node).or_default();
        let listening = std::mem::take(&mut state.listening);
        *state = NodeState {
            process: Some(process),
            life,
            listening,
            started_unix_ms: unix_ms(),
            ..NodeState::default()
        };
        Ok(())
    }

    fn next_life(&self, node: NodeId) -> u32 {
        self.nodes.get(&node).map_or(0, |state| state.life + 1)
    }

    /// Where a process is to listen: where it did before, or on any port.
    fn listen(&self, node: NodeId, ip: IpAddr) -> SocketAddr {
        self.address(node, 0).unwrap_or_else(|_| SocketAddr::new(ip, 0))
    }

    fn address(&self, node: NodeId, index: usize) -> Result<SocketAddr> {
        let address = self.node(node)?.listening.get(index).copied();
        address.with_context(|| format!("{node:?} does not listen yet"))
    }

    /// A region's relay watches the publisher, a zone's the relays of its region and, as a last resort, those of others.
    fn servers_of_relay(&self, relay: usize) -> Result<Vec<ServerLine>> {
        let place = &self.settings.topology.relays[relay];
        if place.zone.is_none() {
            return Ok(vec![self.publisher_line(place.region)?]);
        }
        let above = self.settings.topology.region_relays();
        above.map(|above| self.relay_line(above, place.region, false)).collect()
    }

    /// A subscriber may watch any relay.
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

    /// A relay as it is reached from a region: through that region's proxy if it is in another one, or if the reader is
    /// exposed to damaged frames.
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
