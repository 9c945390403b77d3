//! Distributed settings in a round server: tenant allowances, routes and class limits that come from the fleet's
//! publisher and are in force beside what the platform's file says.
//!
//! [`InForce`] holds what is in force as positions of tenants and classes by their names, without I/O. [`ServerJudge`]
//! refuses what this server can't put in force. [`Distributed`] is the serving thread's side: it swaps the state in one
//! step between two requests, so that none is judged by half a change.

mod in_force;
mod judge;
mod serving;

pub use in_force::{InForce, Platform};
pub use judge::{Capacity, ServerJudge};
pub use serving::{Distributed, Pass, PutError, Taken};
