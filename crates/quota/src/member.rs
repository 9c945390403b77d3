//! What an allocator knows of one member: what it was lent, what it asked for, and until when its share is lent.

use crate::allocator::Reach;
use crate::sums::Contribution;
use crate::{Fault, Millis};

/// How many grants sent to one member are remembered for its acknowledgements.
const SENT: usize = 4;

/// Units lent to one member and counted until `until`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Lent {
    pub(crate) units: u64,
    pub(crate) until: Millis,
}

impl Lent {
    pub(crate) fn at(&self, now: Millis) -> u64 {
        if now < self.until { self.units } else { 0 }
    }
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    pub(crate) reach: Reach,
    /// Left the view; counted for what it may still hold, not among the members.
    pub(crate) forgotten: bool,
    pub(crate) wants: u64,
    /// The newest grant.
    pub(crate) current: Lent,
    /// The largest earlier grant that may still be in force: a reply lost on the way leaves the holder with it.
    /// Guards against counting less than the holder may use.
    pub(crate) shadow: Lent,
    /// The newest grants sent, by ask, and when they left: an acknowledgement may name one before the newest when
    /// the newest was held up on the way. Guards against a share dropping out for one late message.
    pub(crate) sent: [(u64, Millis); SENT],
    /// The member's share is in this pool until then.
    pub(crate) share_until: Millis,
    /// Its newest ask arrived then.
    pub(crate) asked: Millis,
    /// The number of its newest ask.
    pub(crate) seq: u64,
    /// What it adds to the sums.
    pub(crate) contribution: Contribution,
}

impl Member {
    pub(crate) fn alive() -> Self {
        Self {
            reach: Reach::Alive,
            forgotten: false,
            wants: 0,
            current: Lent::default(),
            shadow: Lent::default(),
            sent: [(0, 0); SENT],
            share_until: 0,
            asked: 0,
            seq: 0,
            contribution: Contribution::default(),
        }
    }

    pub(crate) fn counted(&self, now: Millis) -> u64 {
        self.current.at(now).max(self.shadow.at(now))
    }

    pub(crate) fn counted_with(&self, now: Millis, fault: Fault) -> u64 {
        if fault.is(Fault::NoShadow) { self.current.at(now) } else { self.counted(now) }
    }

    /// Records a new grant. Of the grants before it, one that is larger and may still be held is kept as the
    /// shadow, with its own end: never a later one, or a shadow would outlive every grant it stands for.
    pub(crate) fn remember(&mut self, now: Millis, units: u64, until: Millis) {
        let mut shadow = Lent::default();
        for earlier in [self.current, self.shadow] {
            if earlier.at(now) > units {
                shadow =
                    Lent { units: shadow.units.max(earlier.units), until: shadow.until.max(earlier.until) };
            }
        }
        self.shadow = shadow;
        self.current = Lent { units, until };
    }
}
