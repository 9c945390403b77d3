//! The client of the upstream service: one task for each call, over connections that are kept between calls.

mod call;
mod call_log;
mod client;
mod connection_pool;
mod error;
mod protocol;

pub use client::{UpstreamClient, UpstreamClientSettings};
