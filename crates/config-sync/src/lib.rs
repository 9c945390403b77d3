//! Distribution of configuration to round servers: one publisher, relays in two levels, subscribers.
//!
//! The publisher orders transactions over typed resources ([`resource`]) into revisions and makes each
//! durable before it sends it to any client. Relays and subscribers watch from a revision and receive deltas
//! or, if their revision is no longer in the log, only the buckets of the table whose digests differ.
//! Progress is aggregated by zone on the way up.
//!
//! The protocol logic consists of state machines without I/O, clocks or global state:
//! `on_event(&mut self, now, event, &mut actions)`.
//! Tasks that own the sockets, files and timers execute the actions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod judge;
mod progress;
mod server;
mod update;

pub mod backoff;
pub mod client;
pub mod codec;
pub mod delta_log;
pub mod fanout;
pub mod follower;
pub mod frame;
pub mod message;
pub mod net;
pub mod publisher;
pub mod relay;
pub mod resource;
pub mod selection;
pub mod shared_steps;
pub mod size;
pub mod state_age;
pub mod state_store;
pub mod subscriber;
pub mod table;
pub mod write_schedule;
