//! [`Member`]: an allocator's state for one member.

use crate::config::{Config, Millis};
use crate::contribution::Contribution;
use crate::fault::Fault;
use crate::messages::Liveness;

/// Number of grants to one member that are remembered to match its acknowledgements.
const REMEMBERED_GRANTS: usize = 4;

/// Units granted to one member, and the time until which they are counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct CountedGrant {
    units: u64,
    until: Millis,
}

impl CountedGrant {
    fn units_at(&self, now: Millis) -> u64 {
        if now < self.until { self.units } else { 0 }
    }
}

/// A grant that was sent: the sequence number of the request it answers, and the send time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct SentGrant {
    sequence: u64,
    sent_at: Millis,
}

/// An allocator's state for one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    pub liveness: Liveness,
    /// Whether the member has left the view. A removed member's grants are still counted until they end, but
    /// it is not counted as a member.
    pub removed: bool,
    wanted: u64,
    newest_grant: CountedGrant,
    /// The largest earlier grant that may still be in effect, because the reply that replaced it was lost. It
    /// ensures that no fewer units are counted than the holder may use.
    earlier_grant: CountedGrant,
    /// The newest grants sent. An acknowledgement may name an earlier grant when the newest was delayed;
    /// remembering several keeps one late message from dropping the member's share.
    sent_grants: [SentGrant; REMEMBERED_GRANTS],
    /// The time until which the member's share is in this pool.
    pub share_until: Millis,
    /// Arrival time of the member's newest request.
    requested_at: Millis,
    /// Sequence number of the member's newest request.
    pub last_sequence: u64,
    /// The member's current contribution to the totals.
    pub contribution: Contribution,
}

impl Member {
    /// Returns a member that is alive and has no grants.
    pub fn alive() -> Self {
        Self {
            liveness: Liveness::Alive,
            removed: false,
            wanted: 0,
            newest_grant: CountedGrant::default(),
            earlier_grant: CountedGrant::default(),
            sent_grants: [SentGrant::default(); REMEMBERED_GRANTS],
            share_until: 0,
            requested_at: 0,
            last_sequence: 0,
            contribution: Contribution::default(),
        }
    }

    /// Returns whether the member is in the view and alive.
    pub fn is_alive(&self) -> bool {
        !self.removed && self.liveness == Liveness::Alive
    }

    /// Returns whether the member's share stays in this pool for at least a whole lease from `now`.
    pub fn has_share_for_a_lease(&self, now: Millis, config: &Config) -> bool {
        !self.removed && self.share_until >= now + config.lease_ms
    }

    /// Returns the units that the member may hold at `now`: its newest grant, or a larger earlier one.
    pub fn granted(&self, now: Millis) -> u64 {
        self.newest_grant.units_at(now).max(self.earlier_grant.units_at(now))
    }

    /// Returns when the grant for request `sequence` was sent, if it is still remembered.
    pub fn grant_sent_at(&self, sequence: u64) -> Option<Millis> {
        let sent = self.sent_grants.iter().find(|sent| sent.sequence == sequence && sequence != 0);
        sent.map(|sent| sent.sent_at)
    }

    /// Records a request that arrived at `now`.
    pub fn record_request(&mut self, now: Millis, sequence: u64, wanted: u64) {
        self.last_sequence = sequence;
        self.wanted = wanted;
        self.requested_at = now;
    }

    /// Records a new grant, which is counted until `until`.
    ///
    /// A previous grant that is larger and may still be held is kept as the earlier grant, with its own end.
    /// A later end would make the earlier grant outlive every grant that it represents.
    pub fn record_grant(&mut self, now: Millis, sequence: u64, units: u64, until: Millis) {
        let mut earlier = CountedGrant::default();
        for grant in [self.newest_grant, self.earlier_grant] {
            if grant.units_at(now) > units {
                earlier.units = earlier.units.max(grant.units);
                earlier.until = earlier.until.max(grant.until);
            }
        }
        self.earlier_grant = earlier;
        self.newest_grant = CountedGrant { units, until };
        self.sent_grants.rotate_right(1);
        self.sent_grants[0] = SentGrant { sequence, sent_at: now };
    }

    /// Returns the member's contribution to the totals at `now`.
    pub fn contribution_at(&self, now: Millis, config: &Config) -> Contribution {
        let lease = config.lease_ms;
        let has_share = self.has_share_for_a_lease(now, config);
        let takes_part = self.is_alive() && self.requested_at + lease > now;
        let grant_ends = [self.newest_grant, self.earlier_grant]
            .into_iter()
            .filter(|grant| grant.units_at(now) > 0)
            .map(|grant| grant.until);
        let share_ends = has_share.then(|| self.share_until - lease + 1);
        let request_ends = takes_part.then(|| self.requested_at + lease);
        Contribution {
            granted: self.granted_under(now, config.fault),
            has_share,
            demand: takes_part.then_some(self.wanted),
            due: grant_ends.chain(share_ends).chain(request_ends).min(),
        }
    }

    fn granted_under(&self, now: Millis, fault: Fault) -> u64 {
        if fault.is(Fault::NoEarlierGrantCount) { self.newest_grant.units_at(now) } else { self.granted(now) }
    }
}
