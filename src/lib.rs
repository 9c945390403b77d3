//! Admission control and scheduling for servers behind load balancers that they do not control.
//!
//! Each server instance has one [`AdmissionController`], which handles [`Event`]s and returns
//! [`Action`]s. It has no clock, threads or I/O of its own and shares nothing with other instances.
//!
//! ```
//! use dunlinspread::{Action, Arrival, Class, RetrySafety, Event, AdmissionController, Settings};
//!
//! let class = Class { retry_safety: RetrySafety::Idempotent, latency_objective_ms: 500.0, objective_per_cost: 0.0, client_timeout_ms: 2000.0,
//!     key_window_ms: 0.0, priority_weight: 1.0, late_weight: 0.0, makes_upstream_calls: false, degraded_weight: 0.0 };
//! let settings = Settings { cores: 2.0, classes: vec![class], ..Settings::default() };
//! let mut controller = AdmissionController::new(0.0, settings);
//! let mut actions = Vec::new();
//! controller.on_event(0.0, Event::Start, &mut actions);
//!
//! actions.clear();
//! let arrival = Arrival { id: 7, priority: 0.5, request_kb: 10.0, ..Arrival::default() };
//! controller.on_event(1.0, Event::Arrival(arrival), &mut actions);
//! assert_eq!(actions, vec![Action::Run(7)]);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod codec;
pub mod config;
pub mod daemon;
pub mod decaying_counts;
pub mod operator;
pub mod server;
pub mod simulator;

pub use admission::{
    Action, AdmissionController, Arrival, Class, ClassLimitChange, Event, FaultReading, Gauges, Outcome,
    Preemption, QuotaChange, Reconfiguration, RequestId, RetrySafety, Settings, Signal,
};
