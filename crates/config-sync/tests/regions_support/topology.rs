//! Who stands where, and how far apart. Six regions, 16 zones; the publisher in region 0; a relay for each
//! region, which watches the publisher, and 37 relays in the zones, which watch a region's relay.

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
/// One way between regions, ms.
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
    /// The first are those of the regions.
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

    /// The node of a server as its clients know it.
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

/// The least time that a message takes.
pub fn one_way(from: Node, to: Node) -> Micros {
    let (here, there) = (from.region(), to.region());
    if here != there {
        ONE_WAY_MS[here][there] * 1_000
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

/// A region's relay watches the publisher, a zone's one any region's, and the publisher when none is left.
pub fn relay_settings(number: usize, seed: u64) -> RelaySettings {
    let mut above = vec![Node::Publisher.server()];
    if number >= REGIONS {
        above.extend((0..REGIONS).map(|region| Node::Relay(region).server()));
    }
    let member = Node::Relay(number).member(Role::Relay);
    RelaySettings::new(FollowerSettings::new(member, above, seed), fanout_settings(seed))
}

/// A subscriber watches its zone's relays, its region's, or any.
pub fn subscriber_settings(number: usize, seed: u64) -> SubscriberSettings {
    let servers = (0..RELAYS).map(|relay| Node::Relay(relay).server()).collect();
    let member = Node::Subscriber(number).member(Role::Subscriber);
    SubscriberSettings::new(FollowerSettings::new(member, servers, seed))
}
