//! Admission and scheduling for servers that stand behind other people's load balancers.
//!
//! One [`Policy`] lives in each server instance. It is told what happens as [`Event`]s and answers with
//! [`Action`]s; it has no clock, threads or I/O of its own and shares nothing with other instances.
//!
//! ```
//! use dunlinspread::{Action, Arrival, Class, Effect, Event, Policy, Settings};
//!
//! let class = Class { effect: Effect::Safe, aim_ms: 500.0, aim_stretch: 0.0, give_up_ms: 2000.0,
//!     window_ms: 0.0, worth: 1.0, late_worth: 0.0, calls: false, skip_worth: 0.0 };
//! let settings = Settings { cores: 2.0, classes: vec![class], ..Settings::default() };
//! let mut policy = Policy::new(0.0, settings);
//! let mut actions = Vec::new();
//! policy.on_event(0.0, Event::Start, &mut actions);
//!
//! actions.clear();
//! let arrival = Arrival { id: 7, rank: 0.5, held_kb: 10.0, ..Arrival::default() };
//! policy.on_event(1.0, Event::Arrive(arrival), &mut actions);
//! assert_eq!(actions, vec![Action::Run(7)]);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod codec;
pub mod config;
pub mod daemon;
pub mod decaying_counts;
mod interface;
pub mod operator;
pub mod server;
pub mod simulator;

pub use admission::{
    Action, AllowanceChange, Arrival, Class, ClassLimitChange, Effect, Event, Gauges, Outcome, Policy,
    Preemption, Reconfiguration, RequestId, Settings, Signal,
};
