//! Validation and aggregation of the clients' progress reports.

use super::interface::{CloseReason, FanoutAction, ProtocolFault, SessionId};
use super::state::Fanout;
use crate::message::{MAX_REPORTED_REFUSALS, MAX_REPORTED_ZONES, Member, Refusal, Role, ZoneProgress};
use crate::resource::Position;
use std::collections::BTreeSet;

impl Fanout {
    /// Counts a subscriber from its `Watch` on, at the default position until its first report. Returns false
    /// if that closed the session.
    pub(super) fn count_subscriber(
        &mut self,
        id: SessionId,
        member: &Member,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        if member.role == Role::Relay {
            return true;
        }
        let least = Position::default();
        let entry = ZoneProgress { zone: member.zone.clone(), subscribers: 1, least, refusing: 0 };
        self.set_reported(id, vec![entry], actions)
    }

    pub(super) fn on_progress(
        &mut self,
        id: SessionId,
        mut zones: Vec<ZoneProgress>,
        refusals: Vec<Refusal>,
        actions: &mut Vec<FanoutAction>,
    ) {
        let Some(member) = self.sessions.get(&id).and_then(|session| session.member.as_ref()) else { return };
        if let Err(fault) = check_report(member, &zones, &refusals) {
            return self.close(id, fault.into(), actions);
        }
        zones.retain(|entry| entry.subscribers > 0);
        if self.set_reported(id, zones, actions) {
            self.progress.keep_refusals(refusals);
        }
    }

    /// Replaces a session's contribution. Closes the session and returns false if that would exceed the limit
    /// of zones.
    fn set_reported(
        &mut self,
        id: SessionId,
        reported: Vec<ZoneProgress>,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        if !self.progress.has_room_for(&reported) {
            self.close(id, CloseReason::TooManyZones, actions);
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
