//! The client of the upstream service: one task per call, over connections that are kept for reuse.

mod call;
mod call_log;
mod client;
mod connection_pool;
mod error;
mod protocol;

pub use client::{UpstreamClient, UpstreamClientSettings};
