//! Progress by zone, aggregated over sessions. A report costs the logarithm of the number of zones and of different
//! positions, whatever the number of sessions. Bounded by the number of zones, of sessions and of refusals.

use super::{CloseReason, Fanout, FanoutAction, ProtocolFault, SessionId};
use crate::message::{MAX_REPORTED_REFUSALS, MAX_REPORTED_ZONES, Member, Refusal, Role, ZoneProgress};
use crate::resource::Position;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// One zone: sums, and how many sessions report each least position.
#[derive(Debug, Default)]
struct Zone {
    subscribers: u64,
    refusing: u64,
    least: BTreeMap<Position, u32>,
}

/// The zones and the refusals below.
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

    /// Whether the zones named can all be kept beside those that there are.
    fn has_place(&self, reported: &[ZoneProgress]) -> bool {
        let new = reported.iter().filter(|entry| !self.zones.contains_key(&entry.zone)).count();
        self.zones.len() + new <= self.max_zones
    }

    fn add(&mut self, entry: &ZoneProgress) {
        let zone = self.zones.entry(entry.zone.clone()).or_default();
        zone.subscribers += u64::from(entry.subscribers);
        zone.refusing += u64::from(entry.refusing);
        *zone.least.entry(entry.least).or_default() += 1;
    }

    fn remove(&mut self, entry: &ZoneProgress) {
        let Some(zone) = self.zones.get_mut(&entry.zone) else { return };
        zone.subscribers -= u64::from(entry.subscribers);
        zone.refusing -= u64::from(entry.refusing);
        if let Some(count) = zone.least.get_mut(&entry.least) {
            *count -= 1;
            if *count == 0 {
                zone.least.remove(&entry.least);
            }
        }
        if zone.least.is_empty() {
            self.zones.remove(&entry.zone);
        }
    }

    /// Takes back what a session contributed.
    pub(super) fn withdraw(&mut self, reported: &[ZoneProgress]) {
        for entry in reported {
            self.remove(entry);
        }
    }

    pub(super) fn zones(&self) -> Vec<ZoneProgress> {
        let entry = |(name, zone): (&Arc<str>, &Zone)| ZoneProgress {
            zone: name.clone(),
            subscribers: u32::try_from(zone.subscribers).unwrap_or(u32::MAX),
            least: zone.least.keys().next().copied().unwrap_or_default(),
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

    fn keep_refusals(&mut self, refusals: Vec<Refusal>) {
        for refusal in refusals {
            if self.refusals.len() < self.max_refusals {
                self.refusals.push_back(refusal);
            } else {
                self.refusals_dropped += 1;
            }
        }
    }
}

impl Fanout {
    /// Counts a subscriber from its `Watch` on; until it reports, nothing is known to be in force in it.
    pub(super) fn count_in(&mut self, id: SessionId, member: &Member, out: &mut Vec<FanoutAction>) -> bool {
        if member.role == Role::Relay {
            return true;
        }
        let least = Position::default();
        let entry = ZoneProgress { zone: member.zone.clone(), subscribers: 1, least, refusing: 0 };
        self.set_reported(id, vec![entry], out)
    }

    pub(super) fn on_progress(
        &mut self,
        id: SessionId,
        mut zones: Vec<ZoneProgress>,
        refusals: Vec<Refusal>,
        out: &mut Vec<FanoutAction>,
    ) {
        let Some(member) = self.sessions.get(&id).and_then(|session| session.member.as_ref()) else { return };
        if let Err(fault) = check_report(member, &zones, &refusals) {
            return self.close(id, fault.into(), out);
        }
        zones.retain(|entry| entry.subscribers > 0);
        if self.set_reported(id, zones, out) {
            self.progress.keep_refusals(refusals);
        }
    }

    /// Replaces what a session contributes; closes it, and says so, if that needs too many zones.
    fn set_reported(
        &mut self,
        id: SessionId,
        reported: Vec<ZoneProgress>,
        out: &mut Vec<FanoutAction>,
    ) -> bool {
        if !self.progress.has_place(&reported) {
            self.close(id, CloseReason::TooManyZones, out);
            return false;
        }
        let Some(session) = self.sessions.get_mut(&id) else { return false };
        for entry in &reported {
            self.progress.add(entry);
        }
        let before = std::mem::replace(&mut session.reported, reported);
        self.progress.withdraw(&before);
        true
    }
}

fn check_report(member: &Member, zones: &[ZoneProgress], refusals: &[Refusal]) -> Result<(), ProtocolFault> {
    if zones.len() > MAX_REPORTED_ZONES {
        return Err(ProtocolFault::ReportedZones(zones.len()));
    }
    if refusals.len() > MAX_REPORTED_REFUSALS {
        return Err(ProtocolFault::ReportedRefusals(refusals.len()));
    }
    let mut names = BTreeSet::new();
    for &ZoneProgress { ref zone, subscribers, refusing, .. } in zones {
        if refusing > subscribers {
            return Err(ProtocolFault::Refusing { refusing, subscribers });
        }
        if !names.insert(zone) {
            return Err(ProtocolFault::RepeatedZone);
        }
    }
    if member.role == Role::Subscriber { check_own(member, zones, refusals) } else { Ok(()) }
}

fn check_own(member: &Member, zones: &[ZoneProgress], refusals: &[Refusal]) -> Result<(), ProtocolFault> {
    let [entry] = zones else { return Err(ProtocolFault::NotItsOwn) };
    let own_zone = entry.zone == member.zone && entry.subscribers == 1;
    let own_refusals = refusals.iter().all(|refusal| refusal.member == member.name);
    if own_zone && own_refusals { Ok(()) } else { Err(ProtocolFault::NotItsOwn) }
}
