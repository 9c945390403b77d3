//! Fleet-wide limits as leases of one budget.
//!
//! A budget (requests a second, or requests in flight) holds for a whole fleet of round servers. Every member always
//! keeps a *floor*, `budget × floor_share / members`, that it may use with nobody's word. The rest, the *pool*, is
//! made of one equal *share* per member; a member lends its share to one allocator at a time, and the allocator lends
//! the shares it holds out again as *extras* above the floor, by max-min fairness over what its askers want.
//!
//! Both promises are timed so that the side that must stop first measures from the start of a round trip and the side
//! that must keep its word measures from its end, as leader leases do: a holder uses an extra until `lease` after it
//! *sent* its ask, the allocator counts it until `lease` after the ask *arrived*; an allocator counts a share as its
//! own until two leases after it *sent* the grant that the holder acknowledged, and lends from it only while it stays
//! for a whole lease more; the holder keeps its share for that allocator until two leases after it *received* that
//! grant, and a new start lends its share to nobody for two leases. Delays, loss, cuts and crashes can then only make the
//! fleet use less: as long as the members agree on how many they are, the sum of floors and extras in use never
//! exceeds the budget. `docs/design/fleet.md` derives this and says where it is weaker (views that disagree on the
//! count, clocks that drift more than the margin).
//!
//! Nothing here does I/O or reads a clock: time is handed in as [`Millis`] of a monotonic clock, members are any
//! ordered name that changes when a member starts anew. [`Allocator`] and [`Holder`] are state machines; the
//! daemon carries their messages.
#![forbid(unsafe_code)]

mod allocator;
mod holder;
mod member;
mod sums;
mod wants;

pub use allocator::{Allocator, Ask, Grant, Reach, Refusal};
pub use holder::Holder;

/// Deliberate faults, each leaving out one guard, for tests that have to show they would notice. Only with the
/// `test-faults` feature; [`Fault::None`] otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Every guard in place.
    #[default]
    None,
    /// The allocator lends the whole pool, not just the shares it holds.
    WholePool,
    /// The allocator counts only the newest grant, not a larger earlier one that a lost reply leaves in use.
    NoShadow,
    /// The holder commits its share to every allocator that answers, even while another has it.
    CommitAlways,
    /// The holder keeps the extra of its newest lease after the lease has run out.
    NoExpiry,
}

impl Fault {
    /// Whether `self` is in force: never without the `test-faults` feature.
    pub(crate) fn is(self, fault: Fault) -> bool {
        cfg!(feature = "test-faults") && self == fault
    }
}

/// Milliseconds of a monotonic clock; only differences mean anything.
pub type Millis = u64;

/// Parts per million, for shares of the budget without floating point.
pub const MILLION: u64 = 1_000_000;

/// What a fleet-wide limit is and how it is lent out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Units for the whole fleet (requests a second, or requests in flight). 1 to 10^12.
    pub budget: u64,
    /// How long a grant holds, from the holder's ask, in ms. 100 to 600,000.
    pub lease: Millis,
    /// Share of the budget kept as floors, in parts per million (0 to 1,000,000). 1,000,000 is a fixed split.
    pub floor_share: u64,
    /// Most members a view may hold; one more is refused. 1 to 100,000.
    pub max_members: usize,
    /// How much two members' clocks may drift apart over a lease, in parts per million (0 to 100,000): the side that
    /// must stop first ends its promise this much early.
    pub drift: u64,
    /// A guard left out on purpose; has no effect without the `test-faults` feature.
    pub fault: Fault,
}

/// A setting out of its range; names the setting.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("quota setting `{key}` is {value}, wanted {range}")]
pub struct BadConfig {
    /// The setting's name as in the operator file.
    pub key: &'static str,
    /// What was given.
    pub value: u64,
    /// What is allowed.
    pub range: &'static str,
}

impl Config {
    /// Checks every setting against its range.
    pub fn check(&self) -> Result<(), BadConfig> {
        let within = |key, value: u64, low: u64, high: u64, range| {
            if value < low || value > high { Err(BadConfig { key, value, range }) } else { Ok(()) }
        };
        within("budget", self.budget, 1, 1_000_000_000_000, "1 to 10^12")?;
        within("lease", self.lease, 100, 600_000, "100 to 600000 ms")?;
        within("floor_share", self.floor_share, 0, MILLION, "0 to 1000000 parts per million")?;
        within("max_members", self.max_members as u64, 1, 100_000, "1 to 100000")?;
        within("drift", self.drift, 0, 100_000, "0 to 100000 parts per million")?;
        Ok(())
    }

    /// The floor of each of `members` members: what it may use with no lease.
    pub fn floor(&self, members: usize) -> u64 {
        let members = members.max(1) as u128;
        (self.budget as u128 * self.floor_share as u128 / MILLION as u128 / members) as u64
    }

    /// What is lent out in leases when there are `members` members: the budget less all floors.
    pub fn pool(&self, members: usize) -> u64 {
        self.budget - self.floor(members) * members.max(1) as u64
    }

    /// `lease` less the margin for drift: how long the side that must stop first keeps a promise.
    pub fn short_lease(&self) -> Millis {
        let margin = (self.lease as u128 * self.drift as u128).div_ceil(MILLION as u128) as u64;
        self.lease - margin
    }
}
