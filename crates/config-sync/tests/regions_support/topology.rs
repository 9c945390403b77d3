//! Placement of the processes and latencies between them. There are six regions and 16 zones. The publisher
//! is in region 0, each region has a relay that watches the publisher, and 37 relays in the zones watch a
//! region's relay.

use dunlinspread_config_sync::client::Server;
use dunlinspread_config_sync::fanout::FanoutSettings;
use dunlinspread_config_sync::follower::FollowerSettings;
use dunlinspread_config_sync::message::{Member, Role};
use dunlinspread_config_sync::publisher::PublisherSettings;
use dunlinspread_config_sync::relay::RelaySettings;
use dunlinspread_config_sync::subscriber::SubscriberSettings;
use std::sync::Arc;

/// Virtual time, in microseconds.
pub type Micros = u64;

pub const REGIONS: usize = 6;
pub const ZONES: usize = 16;
pub const RELAYS: usize = REGIONS + ZONE_RELAYS;
const ZONE_RELAYS: usize = 37;
/// One-way latencies between regions, in milliseconds.
const ONE_WAY_MS: [[u64; REGIONS]; REGIONS] = [
    [1, 20, 40, 75, 110, 150],
    [20, 1, 35, 90, 125, 165],
    [40, 35, 1, 70, 95, 120],
    [75, 90, 70, 1, 45, 90],
    [110, 125, 95, 45, 1, 250],
    [150, 165, 120, 90, 250, 1],
];
const SAME_ZONE: Micros = 300;
const SAME_REGION: Micros = 1_000;

/// A process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    Publisher,
    /// A relay; the first [`REGIONS`] are those of the regions.
    Relay(usize),
    Subscriber(usize),
}

impl Node {
    pub fn zone(self) -> Option<usize> {
        match self {
            Node::Publisher => None,
            Node::Relay(number) if number < REGIONS => None,
            Node::Relay(number) => Some((number - REGIONS) % ZONES),
            Node::Subscriber(number) => Some(number % ZONES),
        }
    }

    pub fn region(self) -> usize {
        match (self, self.zone()) {
            (_, Some(zone)) => zone % REGIONS,
            (Node::Relay(number), None) => number,
            (_, None) => 0,
        }
    }

    fn name(self) -> String {
        match self {
            Node::Publisher => "publisher".to_owned(),
            Node::Relay(number) => format!("relay-{number}"),
            Node::Subscriber(number) => format!("server-{number}"),
        }
    }

    fn member(self, role: Role) -> Member {
        let zone = self.zone().map_or_else(|| format!("region-{}", self.region()), zone_name);
        Member { name: self.name().into(), zone: zone.into(), region: region_name(self), role }
    }

    fn server(self) -> Server {
        let zone = self.zone().map(|zone| zone_name(zone).into());
        let address = ([127, 0, 0, 1], 1).into();
        Server { name: self.name().into(), address, zone, region: region_name(self) }
    }

    /// Returns the node of a server's description.
    pub fn of(server: &Server) -> Node {
        let number = server.name.strip_prefix("relay-").and_then(|number| number.parse().ok());
        number.map_or(Node::Publisher, Node::Relay)
    }
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

fn region_name(node: Node) -> Arc<str> {
    format!("region-{}", node.region()).into()
}

/// Returns the minimum latency of a message.
pub fn one_way(from: Node, to: Node) -> Micros {
    let (from_region, to_region) = (from.region(), to.region());
    if from_region != to_region {
        ONE_WAY_MS[from_region][to_region] * 1_000
    } else if from.zone().is_some() && from.zone() == to.zone() {
        SAME_ZONE
    } else {
        SAME_REGION
    }
}

fn fanout_settings(seed: u64) -> FanoutSettings {
    FanoutSettings { seed, ..FanoutSettings::default() }
}

pub fn publisher_settings() -> PublisherSettings {
    PublisherSettings { fanout: fanout_settings(0), ..PublisherSettings::default() }
}

/// Returns a relay's settings. A region's relay watches the publisher. A zone's relay watches any region's
/// relay, or the publisher if none is left.
pub fn relay_settings(number: usize, seed: u64) -> RelaySettings {
    let mut upstream = vec![Node::Publisher.server()];
    if number >= REGIONS {
        upstream.extend((0..REGIONS).map(|region| Node::Relay(region).server()));
    }
    let member = Node::Relay(number).member(Role::Relay);
    RelaySettings::new(FollowerSettings::new(member, upstream, seed), fanout_settings(seed))
}

/// Returns a subscriber's settings. It may watch every relay: its zone's, its region's, or any other.
pub fn subscriber_settings(number: usize, seed: u64) -> SubscriberSettings {
    let servers = (0..RELAYS).map(|relay| Node::Relay(relay).server()).collect();
    let member = Node::Subscriber(number).member(Role::Subscriber);
    SubscriberSettings::new(FollowerSettings::new(member, servers, seed))
}
