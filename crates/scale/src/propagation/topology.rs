//! Who takes part: regions, zones, relays in two levels, and the subscribers of each zone.

use anyhow::{Result, ensure};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Relays of a zone that are wanted before a region gets a second one.
const WANTED_ZONE_RELAYS: usize = 2;
/// The most relays of one region's own level.
const MOST_REGION_RELAYS: usize = 2;

/// Sizes of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Hollow subscribers.
    pub subscribers: usize,
    /// Relays of both levels.
    pub relays: usize,
    /// Tenants in the table.
    pub tenants: usize,
    /// Routes in the table.
    pub routes: usize,
    /// Classes that have a limit in the table.
    pub classes: usize,
    /// Regions.
    pub regions: usize,
    /// Zones, spread evenly over the regions.
    pub zones: usize,
}

/// A relay's place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPlace {
    /// Its region.
    pub region: usize,
    /// Its zone; none for a region's relay.
    pub zone: Option<usize>,
}

/// The places of all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Topology {
    /// The sizes it was made for.
    pub shape: Shape,
    /// The relays: those of the regions first.
    pub relays: Vec<RelayPlace>,
    /// Subscribers in each zone.
    pub zone_subscribers: Vec<usize>,
    /// The second octet of the relays' loopback addresses, which differs between runs at the same time.
    pub loopback_octet: u8,
}

impl Topology {
    /// Places relays and subscribers. Every zone gets one relay at least, then a second one where there are enough,
    /// then every region a second one; what is left goes to the zones.
    ///
    /// # Errors
    /// If there are fewer relays than regions and zones, or fewer zones than regions.
    pub fn new(shape: Shape, loopback_octet: u8) -> Result<Topology> {
        let Shape { regions, zones, relays, subscribers, .. } = shape;
        ensure!(regions >= 1 && zones >= regions, "{zones} zones can't fill {regions} regions");
        ensure!(subscribers >= zones, "{subscribers} subscribers can't fill {zones} zones");
        ensure!(
            relays >= regions + zones,
            "{relays} relays: each of {regions} regions and {zones} zones needs one"
        );
        let region_relays =
            relays.saturating_sub(WANTED_ZONE_RELAYS * zones).clamp(regions, MOST_REGION_RELAYS * regions);
        let of_regions = (0..region_relays).map(|index| RelayPlace { region: index % regions, zone: None });
        let of_zones = (0..relays - region_relays).map(|index| {
            let zone = index % zones;
            RelayPlace { region: zone % regions, zone: Some(zone) }
        });
        Ok(Topology {
            shape,
            relays: of_regions.chain(of_zones).collect(),
            zone_subscribers: (0..zones).map(|zone| share(subscribers, zones, zone)).collect(),
            loopback_octet,
        })
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: usize) -> usize {
        zone % self.shape.regions
    }

    /// The zones of a region.
    pub fn zones_of(&self, region: usize) -> Vec<usize> {
        (0..self.shape.zones).filter(|&zone| self.region_of(zone) == region).collect()
    }

    /// The number, over all zones, of a zone's first subscriber.
    pub fn first_subscriber(&self, zone: usize) -> usize {
        self.zone_subscribers[..zone].iter().sum()
    }

    /// The zone of a subscriber by its number over all zones.
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

    /// The relays of the regions' level, by index.
    pub fn region_relays(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.relays.len()).filter(|&relay| self.relays[relay].zone.is_none())
    }

    /// The relays of the zones' level, by index.
    pub fn zone_relays(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.relays.len()).filter(|&relay| self.relays[relay].zone.is_some())
    }

    /// A relay's own loopback address, so that its port stays free for it while it is down.
    pub fn relay_ip(&self, relay: usize) -> Ipv4Addr {
        const HOSTS: usize = 250;
        let third = u8::try_from(1 + relay / HOSTS).unwrap_or(u8::MAX);
        let fourth = u8::try_from(1 + relay % HOSTS).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.loopback_octet, third, fourth)
    }

    /// The publisher's own loopback address.
    pub fn publisher_ip(&self) -> Ipv4Addr {
        Ipv4Addr::new(127, self.loopback_octet, 0, 1)
    }
}

/// The part of `total` that one of `parts` gets when it is spread evenly.
fn share(total: usize, parts: usize, index: usize) -> usize {
    total / parts + usize::from(index < total % parts)
}

/// A region's name.
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

/// A zone's name.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone:02}")
}

/// A relay's name.
pub fn relay_name(relay: usize) -> String {
    format!("relay-{relay:02}")
}

/// A subscriber's name.
pub fn subscriber_name(subscriber: usize) -> String {
    format!("server-{subscriber:05}")
}
