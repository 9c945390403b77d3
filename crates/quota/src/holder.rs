//! What one round server may use of a fleet-wide budget: its floor, and the extra of its newest lease while the lease
//! holds by its own clock; and to which allocator its share is lent.

use crate::{Ask, Config, Fault, Grant, Millis};

/// One member's side of a fleet-wide limit. `M` names allocators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder<M> {
    config: Config,
    members: usize,
    seq: u64,
    /// The ask in flight: its number, to whom, and when it was sent.
    pending: Option<(u64, M, Millis)>,
    extra: u64,
    until: Millis,
    /// The allocator that has this member's share, until when by this clock, and the grant that committed it.
    committed: Option<(M, Millis, u64)>,
    /// The share is lent to nobody before then: what was promised before a restart is not known.
    free_from: Millis,
}

impl<M: Clone + PartialEq> Holder<M> {
    /// A holder that knows of `members` members (itself included) and holds no lease, started at `now`. Its share
    /// may have been lent before a restart, so it lends it to nobody for two leases.
    pub fn new(config: Config, members: usize, now: Millis) -> Self {
        let free_from = now + 2 * config.lease;
        Self {
            config,
            members: members.max(1),
            seq: 0,
            pending: None,
            extra: 0,
            until: 0,
            committed: None,
            free_from,
        }
    }

    /// A holder that knows it never lent its share before (the first start of this member, as its own disk says):
    /// it may lend it at once.
    pub fn first_start(config: Config, members: usize) -> Self {
        Self { free_from: 0, ..Self::new(config, members, 0) }
    }

    /// The member count of this holder's view changed; the floor follows it.
    pub fn set_members(&mut self, members: usize) {
        self.members = members.max(1);
    }

    /// The ask to send now to allocator `to`. A newer ask makes the answer to an older one count for nothing.
    pub fn ask(&mut self, now: Millis, to: &M, wants: u64) -> Ask {
        self.seq += 1;
        self.pending = Some((self.seq, to.clone(), now));
        let ack = match &self.committed {
            Some((holder, until, seq)) if holder == to && now < *until => Some(*seq),
            _ => None,
        };
        Ask { seq: self.seq, wants, ack }
    }

    /// Takes a grant from `from`, received now. The extra holds from when its ask was sent, less the margin for
    /// drift, so that it ends here before it ends at the allocator, whose count runs from when the ask arrived. The
    /// share is committed to `from` for two leases from now, unless it is still another's or this holder started
    /// less than two leases ago; the next ask says so.
    /// Answers to other asks are ignored: returns whether this one was taken.
    pub fn on_grant(&mut self, now: Millis, from: &M, grant: Grant) -> bool {
        match &self.pending {
            Some((seq, to, sent)) if *seq == grant.seq && to == from => {
                self.extra = grant.extra;
                self.until = sent + self.config.short_lease();
                self.pending = None;
                let free = now >= self.free_from
                    && match &self.committed {
                        Some((holder, until, _)) => holder == from || *until <= now,
                        None => true,
                    };
                if free || self.config.fault.is(Fault::CommitAlways) {
                    self.committed = Some((from.clone(), now + 2 * self.config.lease, grant.seq));
                }
                true
            }
            _ => false,
        }
    }

    /// The floor in this holder's view.
    pub fn floor(&self) -> u64 {
        self.config.floor(self.members)
    }

    /// The extra of the lease, if it still holds.
    pub fn extra(&self, now: Millis) -> u64 {
        if now < self.until || self.config.fault.is(Fault::NoExpiry) { self.extra } else { 0 }
    }

    /// When the lease ends by this clock; 0 when none was ever held.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// The allocator that has this member's share now, if any.
    pub fn lent_to(&self, now: Millis) -> Option<&M> {
        self.committed.as_ref().filter(|(_, until, _)| now < *until).map(|(holder, _, _)| holder)
    }

    /// Units this member may use now.
    pub fn allowed(&self, now: Millis) -> u64 {
        self.floor() + self.extra(now)
    }
}
