//! The operators' control endpoint: an HTTP/1.1 server on a thread of its own, one call to a connection.
//!
//! It shares only [`ServingStatus`](super::serving_status::ServingStatus) with the serving thread and never waits for
//! that one. Its event loop is its own as well: the serving thread's I/O does not pass through it.

pub mod answer;
mod body;
pub mod call;
mod connection;
mod connection_table;
mod endpoint;
mod error;
mod event_loop;
pub mod protocol;

pub use endpoint::{ControlEndpoint, ControlOptions};
pub use error::{CallError, EventLoopError};
