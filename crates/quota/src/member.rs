//! What an allocator knows of one member.

use crate::config::{Config, Millis};
use crate::contribution::Contribution;
use crate::fault::Fault;
use crate::messages::Liveness;

/// How many grants sent to one member are remembered for its acknowledgements.
const REMEMBERED_GRANTS: usize = 4;

/// Units granted to one member, and until when they are counted.
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

/// A grant that was sent: the request it answers, and when it left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct SentGrant {
    sequence: u64,
    sent_at: Millis,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    pub liveness: Liveness,
    /// Whether it has left the view: it is counted for what it may still hold, and not among the members.
    pub removed: bool,
    wanted: u64,
    newest_grant: CountedGrant,
    /// The largest earlier grant that may still be in force: a reply that was lost leaves the holder with it.
    /// Guards against counting less than the holder may use.
    earlier_grant: CountedGrant,
    /// The newest grants sent: an acknowledgement may name one before the newest when the newest was delayed.
    /// Guards against a share dropping out for one late message.
    sent_grants: [SentGrant; REMEMBERED_GRANTS],
    /// Until when the member's share is in this pool.
    pub share_until: Millis,
    /// When its newest request arrived.
    requested_at: Millis,
    /// The number of its newest request.
    pub last_sequence: u64,
    /// What it adds to the totals.
    pub contribution: Contribution,
}

impl Member {
    /// Returns a member that is alive and was granted nothing.
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

    /// Returns whether the member's share stays in this pool for a whole lease from now.
    pub fn shares_for_a_lease(&self, now: Millis, config: &Config) -> bool {
        !self.removed && self.share_until >= now + config.lease_ms
    }

    /// Returns the units that the member may hold: its newest grant, or a larger earlier one.
    pub fn granted(&self, now: Millis) -> u64 {
        self.newest_grant.units_at(now).max(self.earlier_grant.units_at(now))
    }

    /// Returns when the grant of that request was sent, if it is still remembered.
    pub fn grant_sent_at(&self, sequence: u64) -> Option<Millis> {
        let sent = self.sent_grants.iter().find(|sent| sent.sequence == sequence && sequence != 0);
        sent.map(|sent| sent.sent_at)
    }

    /// Records a request that arrived now.
    pub fn record_request(&mut self, now: Millis, sequence: u64, wanted: u64) {
        self.last_sequence = sequence;
        self.wanted = wanted;
        self.requested_at = now;
    }

    /// Records a new grant, which is counted until `until`.
    ///
    /// Of the grants before it, one that is larger and may still be held is kept as the earlier grant, with its own end.
    /// A later end would have the earlier grant outlive every grant that it stands for.
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

    /// Returns what the member adds to the totals at `now`.
    pub fn contribution_at(&self, now: Millis, config: &Config) -> Contribution {
        let lease = config.lease_ms;
        let shares = self.shares_for_a_lease(now, config);
        let takes_part = self.is_alive() && self.requested_at + lease > now;
        let grant_ends = [self.newest_grant, self.earlier_grant]
            .into_iter()
            .filter(|grant| grant.units_at(now) > 0)
            .map(|grant| grant.until);
        let share_ends = shares.then(|| self.share_until - lease + 1);
        let request_ends = takes_part.then(|| self.requested_at + lease);
        Contribution {
            granted: self.granted_under(now, config.fault),
            shares,
            demand: takes_part.then_some(self.wanted),
            due: grant_ends.chain(share_ends).chain(request_ends).min(),
        }
    }

    fn granted_under(&self, now: Millis, fault: Fault) -> u64 {
        if fault.is(Fault::NoEarlierGrantCount) { self.newest_grant.units_at(now) } else { self.granted(now) }
    }
}
