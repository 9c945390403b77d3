//! The frontend for client proxies: MessagePack-RPC over TCP.
//!
//! The [`Listener`] accepts connections and keeps their number within the frontend's share of the
//! descriptors. Each connection has a task that decodes requests into messages to the dispatcher and encodes
//! the responses.
//!
//! # Invariants
//! - The frontend makes no admission decision and sends no response by itself: the dispatcher produces all of
//!   them.
//! - A faulty or slow connection has no effect on another.

mod client_log;
mod connection;
pub mod connection_state;
mod connection_table;
mod connection_task;
mod context;
mod error;
mod late_requests;
mod listener;
mod protocol;
mod reader;
mod request_decoder;
mod response_encoder;
mod writer;

pub use client_log::ClientLog;
pub use context::FrontendContext;
pub use listener::Listener;
