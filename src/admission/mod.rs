//! The admission controller, which decides which requests run, wait or are rejected and which backpressure is
//! signalled to clients.
//!
//! A periodic timer reads the instance's gauges and steps an overload level between 0 and 3 with hysteresis,
//! like the overload control of telephone networks (call gapping). Each level has a fixed share of the usual
//! traffic, which every response advertises, so that clients hold back the rest. A priority threshold rises
//! by one step with each timer while the level is above 0 and falls by one step otherwise; arrivals below the
//! threshold are rejected. Admitted requests wait in a queue that is ordered by value and are started from it
//! up to a limit of concurrent runs.
//!
//! [`AdmissionController`] turns each [`Event`] into [`Action`]s. It is composed of one struct for each
//! concern, each in a file of its own with its own state; the files named after events hold the controller's
//! handlers of these events.

mod action;
mod arrival;
mod backpressure;
mod call_end;
mod clamp;
mod concurrency_limit;
mod controller;
mod deadlines;
mod drain;
mod due_index;
mod event;
mod external_load;
mod fault_detection;
mod idempotency;
mod idle_timeout;
mod memory;
mod moving_average;
mod overload_level;
mod priority_threshold;
mod ready_queue;
mod request;
mod request_table;
mod request_totals;
mod run_end;
mod run_estimates;
mod scheduling;
mod settings;
mod shutdown;
mod slow_start;
mod sort_key;
mod tenant_quota;
mod tick;
mod timer_lag;
mod timing;
mod traffic;
mod unserved;
mod upstream_calls;

pub use action::Action;
pub use controller::AdmissionController;
pub use event::{Arrival, Event, Gauges, Outcome, RequestId};
pub use fault_detection::FaultReading;
pub use settings::{
    Class, ClassLimitChange, Preemption, QuotaChange, Reconfiguration, RetrySafety, Settings, Signal,
};
