//! What the coordinator and its processes tell each other: one JSON document a line, commands on a process's standard
//! input, events on its standard output.

use super::topology::{Shape, Topology};
use dunlinspread_config_sync::resource::{Digest, Position};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A position on the line between processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PositionLine {
    /// The history.
    pub epoch: u64,
    /// The revision in it.
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

/// A digest on the line between processes: its two halves, as JSON has no integers of 128 bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestLine {
    /// The upper half.
    pub high: u64,
    /// The lower half.
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

/// A server that may be watched, with the address at which the reader reaches it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLine {
    /// Its name.
    pub name: String,
    /// Where the reader reaches it, often through a proxy.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Option<String>,
    /// Its region.
    pub region: String,
}

/// What all processes of a run share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSettings {
    /// The places of all.
    pub topology: Topology,
    /// The seed of the table, the changes and the jitters.
    pub seed: u64,
    /// Transactions to be published.
    pub changes: u64,
    /// The key for the tags of frames.
    pub fleet_key: String,
}

impl RunSettings {
    /// The sizes.
    pub fn shape(&self) -> Shape {
        self.topology.shape
    }
}

/// The setup of a publisher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublisherSetup {
    /// Of the whole run.
    pub run: RunSettings,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its store.
    pub directory: PathBuf,
    /// Where the last position and the time of each acceptance are written.
    pub log: PathBuf,
}

/// The setup of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelaySetup {
    /// Of the whole run.
    pub run: RunSettings,
    /// Which relay.
    pub relay: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Whom it watches.
    pub servers: Vec<ServerLine>,
    /// Where its log goes.
    pub log: PathBuf,
}

/// The setup of a zone's hollow subscribers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscribersSetup {
    /// Of the whole run.
    pub run: RunSettings,
    /// Which zone.
    pub zone: usize,
    /// How often the process was started before.
    pub life: u32,
    /// Whom its subscribers watch.
    pub servers: Vec<ServerLine>,
    /// The same through the proxy's links within the region, whose frames are damaged now and then.
    pub exposed_servers: Vec<ServerLine>,
    /// The position of the first table, which the last good states of a first start have.
    pub base: PositionLine,
    /// Where the state of the one subscriber that keeps it on disk lies.
    pub state: PathBuf,
    /// The file of observations.
    pub observations: PathBuf,
    /// Where its log goes.
    pub log: PathBuf,
}

/// The setup of a region's proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxySetup {
    /// The region.
    pub region: usize,
    /// The region of each link's target; none for the publisher, which is in no region.
    pub link_regions: Vec<Option<usize>>,
}

/// How a region is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutKind {
    /// Nothing arrives any more; connections stay open and new ones are not answered.
    Silent,
    /// Connections are closed and new ones refused.
    Refuse,
}

/// Links of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkScope {
    /// Those that leave the region.
    Crossing,
    /// Those within it.
    Within,
}

/// From the coordinator to a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// The first line to a publisher.
    Publisher(Box<PublisherSetup>),
    /// The first line to a relay.
    Relay(Box<RelaySetup>),
    /// The first line to a zone's subscribers.
    Subscribers(Box<SubscribersSetup>),
    /// The first line to a proxy.
    Proxy(Box<ProxySetup>),
    /// To the publisher: propose the planned transaction.
    Propose {
        /// Which.
        sequence: u64,
    },
    /// To a proxy: where its links lead, in their order.
    Targets(Vec<SocketAddr>),
    /// To a proxy: this region is cut off.
    Cut {
        /// The region.
        region: usize,
        /// In which way.
        kind: CutKind,
    },
    /// To a proxy: it is no longer.
    Heal {
        /// The region.
        region: usize,
    },
    /// To a proxy: damage one byte of what goes from a server to its client, once in each open connection.
    Damage {
        /// Of which links.
        scope: LinkScope,
    },
    /// To relays and subscribers: say how far they are.
    Status,
    /// To the publisher: say how far the subscribers of a zone are by their acknowledgements.
    ZoneStatus {
        /// The zone's name.
        zone: String,
    },
    /// To relays and subscribers: what is used is measured from now on.
    BeginMeasuring,
    /// To relays and subscribers: say what was used.
    Usage,
    /// To subscribers: compare the whole tables.
    Verify,
}

/// What a process has used since it was told to begin measuring, or since it was ready.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// How long that is, ms.
    pub wall_ms: u64,
    /// Processor time, ms.
    pub cpu_ms: f64,
    /// Resident memory now, KB.
    pub resident_kb: u64,
    /// Resident memory that its subscribers took, KB: by their start, and since the measuring began.
    pub subscribers_kb: u64,
    /// What its connections did.
    pub traffic: Traffic,
}

/// What the connections of a process did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes received, as the application sees them.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Frames received and sent.
    pub frames: u64,
    /// Snapshots applied.
    pub snapshots: u64,
    /// Connections closed for a bad frame.
    pub bad_frames: u64,
}

/// The headers of Ethernet, IP and TCP (with its time stamps) of one segment, in bytes.
const SEGMENT_HEADERS: u64 = 14 + 20 + 32;
/// Segments that a frame costs at the most: its own and one that acknowledges it.
const SEGMENTS_PER_FRAME: u64 = 2;

impl Traffic {
    /// Bytes received and sent on the wire with headers, where each frame has a segment of its own and is acknowledged by
    /// itself: frames that share a segment, or an acknowledgement on the back of another frame, cost less.
    pub fn wire_bytes(self) -> u64 {
        self.bytes_in + self.bytes_out + self.frames * SEGMENTS_PER_FRAME * SEGMENT_HEADERS
    }

    /// What was added since.
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

/// From a process to the coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// It listens there.
    Listening(Vec<SocketAddr>),
    /// The publisher has the first table or what it had before; subscribers have their last good states and run.
    Ready {
        /// The newest position.
        head: PositionLine,
    },
    /// The publisher accepted it and made it durable.
    Accepted {
        /// Which.
        sequence: u64,
        /// Where it stands.
        position: PositionLine,
        /// When it was proposed, Unix ms.
        proposed_unix_ms: u64,
    },
    /// The publisher refused it.
    Rejected {
        /// Which.
        sequence: u64,
        /// Why.
        reason: String,
    },
    /// How far a relay or the subscribers of a zone are.
    Status {
        /// The least position in force; of a relay, the one that it serves.
        least: PositionLine,
    },
    /// How far the subscribers of the zone are that the publisher was asked for.
    ZoneStatus {
        /// Subscribers connected.
        subscribers: u32,
        /// The least position that they acknowledged.
        least: PositionLine,
    },
    /// Refusals that reached the publisher.
    Refusals {
        /// The member and position of each.
        refusals: Vec<(String, PositionLine)>,
    },
    /// What was used.
    Usage(Usage),
    /// The digest of each subscriber's whole table, computed anew.
    Verified {
        /// Digest and position by subscriber, in the order of the zone.
        tables: Vec<(PositionLine, DigestLine)>,
    },
    /// It can't go on.
    Failed(String),
}
