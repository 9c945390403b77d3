//! Fleet-wide limits as leases of one budget.
//!
//! A budget (requests per second, or requests in flight) applies to a whole fleet of round servers. Every
//! member always has a *guaranteed minimum*, `budget × floor_share / members`, that it may use without a
//! request to another member. The rest, the *pool*, consists of one equal *share* per member. A member
//! commits its share to one allocator at a time, and the allocator grants the shares that it holds as
//! *leases* above the guaranteed minimum, by max-min fairness over the units that the requesters want.
//!
//! Leases and commitments are both timed like leader leases: the side that must stop first measures from the
//! start of a round trip, and the side that must honour its promise measures from the end:
//!
//! - A holder uses a lease until `lease` after it *sent* its request; the allocator counts it until `lease`
//!   after the request *arrived*.
//! - An allocator counts a share as its own until two leases after it *sent* the grant that the holder
//!   acknowledged, and grants from the share only while at least a whole lease of that time is left. The
//!   holder keeps its share committed to that allocator until two leases after it *received* the grant, and
//!   commits no share during the first two leases after a restart.
//!
//! As a consequence, delays, message loss, partitions and crashes can only make the fleet use less than the
//! budget.
//!
//! # Invariants
//! As long as the members agree on the number of members, the sum of guaranteed minimums and leases in use
//! does not exceed the budget. `docs/design/fleet.md` derives this and describes where the bound is weaker
//! (views that disagree on the count, clocks that drift more than the margin).
//!
//! This crate does no I/O and reads no clock: callers pass the time as [`Millis`] of a monotonic clock.
//! Members are identified by any ordered name that changes when a member restarts. [`Allocator`] and
//! [`Holder`] are state machines; the daemon transports their messages.
#![forbid(unsafe_code)]

mod allocator;
mod config;
mod contribution;
mod demands;
mod fault;
mod holder;
mod member;
mod messages;
mod totals;

pub use allocator::Allocator;
pub use config::{Config, ConfigError, MILLION, Millis};
pub use fault::Fault;
pub use holder::Holder;
pub use messages::{Grant, LeaseRequest, Liveness, Refusal};
