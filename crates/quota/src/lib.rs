//! Fleet-wide limits as leases of one budget.
//!
//! A budget (requests a second, or requests in flight) holds for a whole fleet of round servers. Every member always
//! keeps a *guaranteed minimum*, `budget × floor_share / members`, that it may use without asking anyone. The rest, the
//! *pool*, is made of one equal *share* per member. A member commits its share to one allocator at a time, and the
//! allocator grants the shares that it holds as *leases* above the guaranteed minimum, by max-min fairness over what the
//! requesters want.
//!
//! Both promises are timed so that the side that must stop first measures from the start of a round trip and the side
//! that must keep its word measures from its end, as leader leases do:
//!
//! - A holder uses a lease until `lease` after it *sent* its request; the allocator counts it until `lease` after the
//!   request *arrived*.
//! - An allocator counts a share as its own until two leases after it *sent* the grant that the holder acknowledged, and
//!   grants from it only while it stays for a whole lease more. The holder keeps its share for that allocator until two
//!   leases after it *received* that grant, and a new start commits its share to nobody for two leases.
//!
//! Delays, loss, cuts and crashes can then only make the fleet use less.
//!
//! # Invariants
//! As long as the members agree on how many they are, the sum of guaranteed minimums and leases in use does not exceed
//! the budget. `docs/design/fleet.md` derives this and says where it is weaker (views that disagree on the count, clocks
//! that drift more than the margin).
//!
//! Nothing here does I/O or reads a clock: time is handed in as [`Millis`] of a monotonic clock, members are any
//! ordered name that changes when a member starts anew. [`Allocator`] and [`Holder`] are state machines; the daemon
//! carries their messages.
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
