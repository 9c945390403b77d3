//! The link to the worker pool: JSON lines over TCP.
//!
//! [`WorkerPoolLink`] maintains one connection, carries commands to the pool and its notices to the
//! dispatcher, and reconnects whenever the connection ends or the pool's address changes.

mod codec;
mod command_delivery;
mod connect;
mod error;
mod link;
mod protocol;
mod reader;
mod redelivery;
mod writer;

pub use command_delivery::{Delivery, DeliveryTracker};
pub use link::WorkerPoolLink;
pub use redelivery::{Redelivery, RedeliveryContext, redelivery};
