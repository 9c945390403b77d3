//! Support for soak tests with real server processes: a schedule drawn from a seed, misbehaving clients
//! beside the regular ones, and the check of the protocol's rules.

pub mod crowd;
pub mod parts;
pub mod run;
pub mod schedule;
pub mod verdict;
