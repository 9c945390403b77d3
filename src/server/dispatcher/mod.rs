//! The dispatcher: the task that owns all requests, between the frontends, the admission controller and the
//! worker pool.
//!
//! It passes each message to the admission controller as an event, immediately and in order, and carries out
//! the actions that the controller returns. It owns the table of requests, the idempotency keys with their
//! results, and the commands that the worker pool has not confirmed.
//!
//! # Invariants
//! - Each request gets exactly one final response, in whatever order events arrive.
//! - A request with an idempotency key is not run again within the window of its key.
//! - A request that may have run is never rejected: a rejection promises that it did not run.
//! - If a usage ledger is enabled, no final response is sent before it is billed.
//! - The task never blocks on another task, and does not depend on a wire protocol.

mod actions;
mod arrivals;
mod billing;
mod body_hasher;
mod event_loop;
mod gauge_poll;
mod handing_over;
mod handover_deadlines;
mod handover_records;
mod handover_state;
mod idempotency_keys;
mod pool_events;
mod pool_link;
mod recent_attempts;
mod redelivery;
mod repeating_log;
mod request;
mod request_table;
mod responses;
mod runs;
mod state;
mod taking_over;
mod timers;
mod upstream_calls;
mod waiting_requests;

pub use body_hasher::{BODY_HASH_KEY_BYTES, BodyHasher};
pub use handover_state::server_identity;
pub use state::{Dispatcher, DispatcherEnvironment, Mailboxes};
