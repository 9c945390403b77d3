//! Control endpoint for operators: an HTTP/1.1 server on its own thread, with one call per connection.
//!
//! The endpoint shares only [`ServingStatus`](super::serving_status::ServingStatus) with the serving thread
//! and never waits for that thread. It also has its own event loop, which handles none of the serving
//! thread's I/O.

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
