//! Faults of the simulation, drawn from the seed.

use super::network::Event;
use super::topology::{Micros, Node, REGIONS, RELAYS, ZONES};
use super::world::World;
use rand::RngExt;
use rand::seq::SliceRandom;

const SECOND: Micros = 1_000_000;
/// Earliest time at which a fault begins.
const FIRST_FAULT: Micros = 5 * SECOND;
/// Latest time at which a fault begins.
const LAST_FAULT: Micros = 40 * SECOND;
/// One in this many connections becomes slow.
const SLOW_SHARE: u32 = 20;

/// A kind of fault; its details are drawn when it occurs.
#[derive(Clone, Copy, Debug)]
pub enum FaultKind {
    KillRegionRelay,
    KillZoneRelay,
    CutRegion,
    RestartZone,
    RestartPublisher,
    SlowLinks,
}

const ALL: [FaultKind; 7] = [
    FaultKind::KillRegionRelay,
    FaultKind::KillZoneRelay,
    FaultKind::KillZoneRelay,
    FaultKind::CutRegion,
    FaultKind::RestartZone,
    FaultKind::RestartPublisher,
    FaultKind::SlowLinks,
];

impl World {
    /// Schedules each entry of [`ALL`] at a random time, so that some faults overlap.
    pub fn schedule_faults(&mut self) {
        let mut kinds = ALL;
        kinds.shuffle(&mut self.net.rng);
        for kind in kinds {
            let at = self.net.rng.random_range(FIRST_FAULT..LAST_FAULT);
            self.net.schedule(at, Event::Fault(kind));
        }
    }

    pub fn fault(&mut self, kind: FaultKind) {
        let at = self.net.now / 1_000;
        let description = match kind {
            FaultKind::KillRegionRelay => self.kill_relay(0, REGIONS),
            FaultKind::KillZoneRelay => self.kill_relay(REGIONS, RELAYS),
            FaultKind::CutRegion => self.cut_region(),
            FaultKind::RestartZone => self.restart_zone(),
            FaultKind::RestartPublisher => self.restart_publisher(),
            FaultKind::SlowLinks => {
                let duration = self.random_seconds(5, 15);
                let count = self.net.slow_down(SLOW_SHARE, duration);
                format!("{count} links slow for {} ms", duration / 1_000)
            }
        };
        self.report.faults.push(format!("{at} ms: {description}"));
    }

    fn random_seconds(&mut self, min_seconds: u64, max_seconds: u64) -> Micros {
        self.net.rng.random_range(min_seconds * SECOND..max_seconds * SECOND)
    }

    fn kill_relay(&mut self, first: usize, end: usize) -> String {
        let number = self.net.rng.random_range(first..end);
        let downtime = self.random_seconds(1, 8);
        self.stop(Node::Relay(number));
        self.net.after(downtime, Event::Start(Node::Relay(number)));
        format!("relay {number} killed for {} ms", downtime / 1_000)
    }

    fn cut_region(&mut self) -> String {
        let region = self.net.rng.random_range(0..REGIONS);
        let duration = self.random_seconds(2, 15);
        self.net.cut_off(region);
        self.net.after(duration, Event::Heal(region, duration));
        format!("region {region} cut off for {} ms", duration / 1_000)
    }

    fn restart_zone(&mut self) -> String {
        let zone = self.net.rng.random_range(0..ZONES);
        let cold = self.net.rng.random_range(0..2) == 0;
        let members: Vec<usize> = (0..self.subscribers.len())
            .filter(|&number| Node::Subscriber(number).zone() == Some(zone))
            .collect();
        for &number in &members {
            self.stop(Node::Subscriber(number));
            if cold {
                self.subscribers[number].disk = None;
            }
            let downtime = self.net.rng.random_range(SECOND / 2..2 * SECOND);
            self.net.after(downtime, Event::Start(Node::Subscriber(number)));
        }
        let count = members.len();
        format!("zone {zone}: {count} restarted, {}", if cold { "without disk" } else { "from disk" })
    }

    fn restart_publisher(&mut self) -> String {
        let downtime = self.net.rng.random_range(SECOND / 2..3 * SECOND);
        self.stop(Node::Publisher);
        self.net.after(downtime, Event::Start(Node::Publisher));
        format!("publisher killed for {} ms", downtime / 1_000)
    }
}
