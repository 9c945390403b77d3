//! Parsers and encoders of the wire formats, without I/O: MessagePack for clients, JSON for the worker pool
//! and the configuration, HTTP/1.1 for the upstream service and the registry.
//!
//! # Invariants
//! - Each decoder accepts bytes in pieces of any size and bounds the bytes that it holds and the depth of
//!   nesting.
//! - No input causes a panic.

pub mod http;
pub mod json;
pub mod msgpack;
