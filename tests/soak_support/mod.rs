//! A soak of the server with real processes: a schedule drawn from a seed, the crowd beside good clients, and the judgement
//! by the rules of the protocol.

pub mod crowd;
pub mod parts;
pub mod run;
pub mod schedule;
pub mod verdict;
