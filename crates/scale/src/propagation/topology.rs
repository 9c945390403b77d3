//! The topology of a run: regions, zones, relays in two levels, and the subscribers of each zone.

use anyhow::{Result, ensure};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Number of relays that each zone gets before a region gets a second one.
const PREFERRED_ZONE_RELAYS: usize = 2;
/// Maximum number of relays in the own level of a region.
const MAX_REGION_RELAYS: usize = 2;

/// Sizes of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Number of client-only subscribers.
    pub subscribers: usize,
    /// Number of relays of both levels.
    pub relays: usize,
    /// Number of tenants in the table.
    pub tenants: usize,
    /// Number of routes in the table.
    pub routes: usize,
    /// Number of classes that have a limit in the table.
    pub classes: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones, which are spread evenly over the regions.
    pub zones: usize,
}

/// The placement of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPlace {
    /// Region of the relay.
    pub region: usize,
    /// Zone of the relay; none for a region's relay.
    pub zone: Option<usize>,
}

/// The placement of relays and subscribers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Topology {
    /// Sizes for which the topology was made.
    pub shape: Shape,
    /// Relays, with those of the regions first.
    pub relays: Vec<RelayPlace>,
    /// Number of subscribers in each zone.
    pub zone_subscribers: Vec<usize>,
    /// Second octet of the loopback addresses of the publisher and the relays, which differs between
    /// concurrent runs.
    pub loopback_octet: u8,
}

impl Topology {
    /// Places relays and subscribers. Every region and every zone gets at least one relay, then every zone a
    /// second one if there are enough, then every region a second one; the remaining relays go to the zones.
    ///
    /// # Errors
    /// Returns an error if there are fewer relays than regions and zones together, fewer zones than regions,
    /// fewer subscribers than zones, or no region.
    pub fn new(shape: Shape, loopback_octet: u8) -> Result<Topology> {
        let Shape { regions, zones, relays, subscribers, .. } = shape;
        ensure!(regions >= 1 && zones >= regions, "{zones} zones can't cover {regions} regions");
        ensure!(subscribers >= zones, "{subscribers} subscribers can't cover {zones} zones");
        ensure!(
            relays >= regions + zones,
            "{relays} relays are too few: each of {regions} regions and {zones} zones needs one"
        );
        let region_relays =
            relays.saturating_sub(PREFERRED_ZONE_RELAYS * zones).clamp(regions, MAX_REGION_RELAYS * regions);
        let region_places =
            (0..region_relays).map(|index| RelayPlace { region: index % regions, zone: None });
        let zone_places = (0..relays - region_relays).map(|index| {
            let zone = index % zones;
            RelayPlace { region: zone % regions, zone: Some(zone) }
        });
        Ok(Topology {
            shape,
            relays: region_places.chain(zone_places).collect(),
            zone_subscribers: (0..zones).map(|zone| even_share(subscribers, zones, zone)).collect(),
            loopback_octet,
        })
    }

    /// Returns the region of a zone.
    pub fn region_of(&self, zone: usize) -> usize {
        zone % self.shape.regions
    }

    /// Returns the zones of a region.
    pub fn zones_of(&self, region: usize) -> Vec<usize> {
        (0..self.shape.zones).filter(|&zone| self.region_of(zone) == region).collect()
    }

    /// Returns the number, over all zones, of a zone's first subscriber.
    pub fn first_subscriber(&self, zone: usize) -> usize {
        self.zone_subscribers[..zone].iter().sum()
    }

    /// Returns the zone of a subscriber, given its number over all zones; the number of zones if there is no
    /// such subscriber.
    pub fn zone_of(&self, subscriber: usize) -> usize {
        let mut first = 0;
        for (zone, count) in self.zone_subscribers.iter().enumerate() {
            first += count;
            if subscriber < first {
                return zone;
            }
        }
        self.shape.zones
    }

    /// Returns the indexes of the relays of the regions' level.
    pub fn region_relays(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.relays.len()).filter(|&relay| self.relays[relay].zone.is_none())
    }

    /// Returns the indexes of the relays of the zones' level.
    pub fn zone_relays(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.relays.len()).filter(|&relay| self.relays[relay].zone.is_some())
    }

    /// Returns the loopback address of a relay, which no other process uses so that its port stays free while
    /// it is down.
    pub fn relay_ip(&self, relay: usize) -> Ipv4Addr {
        const HOSTS: usize = 250;
        let third = u8::try_from(1 + relay / HOSTS).unwrap_or(u8::MAX);
        let fourth = u8::try_from(1 + relay % HOSTS).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.loopback_octet, third, fourth)
    }

    /// Returns the loopback address of the publisher, which no other process uses.
    pub fn publisher_ip(&self) -> Ipv4Addr {
        Ipv4Addr::new(127, self.loopback_octet, 0, 1)
    }
}

/// Returns the share of one of `parts` when `total` is spread evenly.
fn even_share(total: usize, parts: usize, index: usize) -> usize {
    total / parts + usize::from(index < total % parts)
}

/// Returns the name of a region.
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

/// Returns the name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone:02}")
}

/// Returns the name of a relay.
pub fn relay_name(relay: usize) -> String {
    format!("relay-{relay:02}")
}

/// Returns the name of a subscriber.
pub fn subscriber_name(subscriber: usize) -> String {
    format!("server-{subscriber:05}")
}
