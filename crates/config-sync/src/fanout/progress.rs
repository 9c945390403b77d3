//! Progress by zone, aggregated over sessions. The cost of a report is logarithmic in the number of zones and
//! of distinct positions, and does not depend on the number of sessions. Bounded by the number of zones,
//! sessions and refusals.

use crate::message::{MAX_REPORTED_REFUSALS, Refusal, ZoneProgress};
use crate::resource::Position;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Progress of one zone: sums over sessions, and the number of sessions that report each lowest position.
#[derive(Debug, Default)]
struct Zone {
    subscribers: u64,
    refusing: u64,
    lowest_positions: BTreeMap<Position, u32>,
}

/// Zones and refusals reported by the clients.
#[derive(Debug)]
pub(super) struct Progress {
    zones: BTreeMap<Arc<str>, Zone>,
    max_zones: usize,
    refusals: VecDeque<Refusal>,
    max_refusals: usize,
    refusals_dropped: u64,
}

impl Progress {
    pub(super) fn new(max_zones: usize, max_refusals: usize) -> Progress {
        Progress {
            zones: BTreeMap::new(),
            max_zones,
            refusals: VecDeque::new(),
            max_refusals,
            refusals_dropped: 0,
        }
    }

    /// Returns whether all reported zones can be tracked in addition to the present ones.
    pub(super) fn has_room_for(&self, reported: &[ZoneProgress]) -> bool {
        let new = reported.iter().filter(|entry| !self.zones.contains_key(&entry.zone)).count();
        self.zones.len() + new <= self.max_zones
    }

    pub(super) fn add(&mut self, entry: &ZoneProgress) {
        let zone = self.zones.entry(entry.zone.clone()).or_default();
        zone.subscribers += u64::from(entry.subscribers);
        zone.refusing += u64::from(entry.refusing);
        *zone.lowest_positions.entry(entry.least).or_default() += 1;
    }

    fn remove(&mut self, entry: &ZoneProgress) {
        let Some(zone) = self.zones.get_mut(&entry.zone) else { return };
        zone.subscribers -= u64::from(entry.subscribers);
        zone.refusing -= u64::from(entry.refusing);
        if let Some(count) = zone.lowest_positions.get_mut(&entry.least) {
            *count -= 1;
            if *count == 0 {
                zone.lowest_positions.remove(&entry.least);
            }
        }
        if zone.lowest_positions.is_empty() {
            self.zones.remove(&entry.zone);
        }
    }

    /// Removes the contribution of a session.
    pub(super) fn withdraw(&mut self, reported: &[ZoneProgress]) {
        for entry in reported {
            self.remove(entry);
        }
    }

    pub(super) fn zones(&self) -> Vec<ZoneProgress> {
        let entry = |(name, zone): (&Arc<str>, &Zone)| ZoneProgress {
            zone: name.clone(),
            subscribers: u32::try_from(zone.subscribers).unwrap_or(u32::MAX),
            least: zone.lowest_positions.keys().next().copied().unwrap_or_default(),
            refusing: u32::try_from(zone.refusing).unwrap_or(u32::MAX),
        };
        self.zones.iter().map(entry).collect()
    }

    pub(super) fn take_refusals(&mut self) -> Vec<Refusal> {
        let count = self.refusals.len().min(MAX_REPORTED_REFUSALS);
        self.refusals.drain(..count).collect()
    }

    pub(super) fn refusals_dropped(&self) -> u64 {
        self.refusals_dropped
    }

    pub(super) fn keep_refusals(&mut self, refusals: Vec<Refusal>) {
        for refusal in refusals {
            if self.refusals.len() < self.max_refusals {
                self.refusals.push_back(refusal);
            } else {
                self.refusals_dropped += 1;
            }
        }
    }
}
