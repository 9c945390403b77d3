//! Messages between the coordinator and its processes: one JSON document per line, commands on a process's
//! standard input, events on its standard output.

use super::topology::{Shape, Topology};
use dunlinspread_config_sync::resource::{Digest, Position};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A position in a message between processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PositionLine {
    /// Epoch of the publisher's history.
    pub epoch: u64,
    /// Revision within the epoch.
    pub revision: u64,
}

impl From<Position> for PositionLine {
    fn from(position: Position) -> Self {
        PositionLine { epoch: position.epoch, revision: position.revision }
    }
}

impl From<PositionLine> for Position {
    fn from(line: PositionLine) -> Self {
        Position { epoch: line.epoch, revision: line.revision }
    }
}

/// A digest in a message between processes, as two halves because JSON has no 128-bit integers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestLine {
    /// Upper 64 bits.
    pub high: u64,
    /// Lower 64 bits.
    pub low: u64,
}

impl From<Digest> for DigestLine {
    fn from(digest: Digest) -> Self {
        DigestLine { high: (digest.0 >> 64) as u64, low: digest.0 as u64 }
    }
}

impl From<DigestLine> for Digest {
    fn from(line: DigestLine) -> Self {
        Digest(u128::from(line.high) << 64 | u128::from(line.low))
    }
}

/// A server to which a client may subscribe, with the address at which the client reaches it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLine {
    /// Name of the server.
    pub name: String,
    /// Address at which the client reaches the server, often that of a proxy.
    pub address: SocketAddr,
    /// Zone of the server; none for the publisher and a region's relay.
    pub zone: Option<String>,
    /// Region of the server.
    pub region: String,
}

/// Settings that all processes of a run share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSettings {
    /// Placement of relays and subscribers.
    pub topology: Topology,
    /// Seed of the table, the changes and the jitter.
    pub seed: u64,
    /// Number of transactions to publish.
    pub changes: u64,
    /// Key of the authentication tags of frames.
    pub fleet_key: String,
}

impl RunSettings {
    /// Returns the sizes of the run.
    pub fn shape(&self) -> Shape {
        self.topology.shape
    }
}

/// The setup of a publisher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublisherSetup {
    /// Settings of the run.
    pub run: RunSettings,
    /// Address on which the publisher listens.
    pub listen: SocketAddr,
    /// Directory of the publisher's store.
    pub directory: PathBuf,
    /// Log file, which has the last position and the time of each acceptance.
    pub log: PathBuf,
}

/// The setup of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelaySetup {
    /// Settings of the run.
    pub run: RunSettings,
    /// Index of the relay.
    pub relay: usize,
    /// Address on which the relay listens.
    pub listen: SocketAddr,
    /// Servers to which the relay may subscribe.
    pub servers: Vec<ServerLine>,
    /// Log file.
    pub log: PathBuf,
}

/// The setup of a zone's client-only subscribers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscribersSetup {
    /// Settings of the run.
    pub run: RunSettings,
    /// Index of the zone.
    pub zone: usize,
    /// Number of earlier starts of the process.
    #[serde(rename = "life")]
    pub incarnation: u32,
    /// Servers to which the subscribers may subscribe.
    pub servers: Vec<ServerLine>,
    /// The same servers through the proxy's links within the region, on which frames are occasionally
    /// damaged.
    pub exposed_servers: Vec<ServerLine>,
    /// Position of the initial table, which is that of the last good states at a first start.
    pub base: PositionLine,
    /// State directory of the one subscriber that keeps its state on disk.
    pub state: PathBuf,
    /// Observation file.
    pub observations: PathBuf,
    /// Log file.
    pub log: PathBuf,
}

/// The setup of a region's proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxySetup {
    /// Index of the region.
    pub region: usize,
    /// Region of each link's target; none for the publisher, which is outside all regions.
    pub link_regions: Vec<Option<usize>>,
}

/// How a region is partitioned from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutKind {
    /// No data passes; open connections stay open and new ones are not answered.
    Silent,
    /// Open connections are closed and new ones refused.
    Refuse,
}

/// A selection of a proxy's links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkScope {
    /// Links that cross the region's border.
    Crossing,
    /// Links within the region.
    Within,
}

/// A command from the coordinator to a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Sets up a publisher; its first line of input.
    Publisher(Box<PublisherSetup>),
    /// Sets up a relay; its first line of input.
    Relay(Box<RelaySetup>),
    /// Sets up a zone's subscribers; their first line of input.
    Subscribers(Box<SubscribersSetup>),
    /// Sets up a proxy; its first line of input.
    Proxy(Box<ProxySetup>),
    /// To the publisher: propose a planned transaction.
    Propose {
        /// Sequence number of the transaction.
        sequence: u64,
    },
    /// To a proxy: the targets of its links, in the order of the links.
    Targets(Vec<SocketAddr>),
    /// To a proxy: cut a region off.
    Cut {
        /// Index of the region.
        region: usize,
        /// How the region is cut off.
        kind: CutKind,
    },
    /// To a proxy: reconnect a region.
    Heal {
        /// Index of the region.
        region: usize,
    },
    /// To a proxy: damage one byte on its way from a server to its client, once in each open connection.
    Damage {
        /// Links whose connections are damaged.
        scope: LinkScope,
    },
    /// To relays and subscribers: report the position in force.
    Status,
    /// To the publisher: report the lowest position that the subscribers of a zone acknowledged.
    ZoneStatus {
        /// Name of the zone.
        zone: String,
    },
    /// To relays and subscribers: start measuring resource usage.
    BeginMeasuring,
    /// To relays and subscribers: report the measured usage.
    Usage,
    /// To subscribers: compute the digests of the whole tables anew.
    Verify,
}

/// Resource usage of a process since [`Command::BeginMeasuring`], or since it was ready.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Length of the measurement, ms.
    pub wall_ms: u64,
    /// CPU time, ms.
    pub cpu_ms: f64,
    /// Current resident memory, KB.
    pub resident_kb: u64,
    /// Resident memory of the process's subscribers, KB: growth at their start plus growth since the
    /// measurement began.
    pub subscribers_kb: u64,
    /// Traffic of the process's connections.
    pub traffic: Traffic,
}

/// Traffic of the connections of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes received by the application.
    pub bytes_in: u64,
    /// Bytes sent by the application.
    pub bytes_out: u64,
    /// Frames received and sent.
    pub frames: u64,
    /// Snapshots applied.
    pub snapshots: u64,
    /// Connections closed because of a bad frame.
    pub bad_frames: u64,
}

/// Size of the Ethernet, IP and TCP headers (with TCP timestamps) of one segment, bytes.
const SEGMENT_HEADERS: u64 = 14 + 20 + 32;
/// Maximum number of segments per frame: its own and one that acknowledges it.
const SEGMENTS_PER_FRAME: u64 = 2;

impl Traffic {
    /// Returns the bytes received and sent on the wire with headers, assuming that each frame has its own
    /// segment and its own acknowledgement; frames that share a segment, or an acknowledgement piggybacked on
    /// another frame, cost less.
    pub fn wire_bytes(self) -> u64 {
        self.bytes_in + self.bytes_out + self.frames * SEGMENTS_PER_FRAME * SEGMENT_HEADERS
    }

    /// Returns the traffic since an earlier reading.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            bytes_in: self.bytes_in.saturating_sub(earlier.bytes_in),
            bytes_out: self.bytes_out.saturating_sub(earlier.bytes_out),
            frames: self.frames.saturating_sub(earlier.frames),
            snapshots: self.snapshots.saturating_sub(earlier.snapshots),
            bad_frames: self.bad_frames.saturating_sub(earlier.bad_frames),
        }
    }
}

/// An event from a process to the coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The process listens on these addresses.
    Listening(Vec<SocketAddr>),
    /// The publisher has published the initial table or recovered its store; subscribers have their last good
    /// states and run.
    Ready {
        /// Newest position of the process.
        head: PositionLine,
    },
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
    /// Position of a relay or of the subscribers of a zone.
    Status {
        /// Lowest position in force; for a relay, the position that it serves.
        least: PositionLine,
    },
    /// Acknowledged position of the zone that [`Command::ZoneStatus`] names.
    ZoneStatus {
        /// Number of connected subscribers.
        subscribers: u32,
        /// Lowest position that the subscribers acknowledged.
        least: PositionLine,
    },
    /// Refusals of subscribers that reached the publisher.
    Refusals {
        /// Member and position of each refusal.
        refusals: Vec<(String, PositionLine)>,
    },
    /// Measured resource usage.
    Usage(Usage),
    /// Digest of each subscriber's whole table, computed anew.
    Verified {
        /// Position and digest of each subscriber, in the order of the zone.
        tables: Vec<(PositionLine, DigestLine)>,
    },
    /// The process failed and can't continue.
    Failed(String),
}
