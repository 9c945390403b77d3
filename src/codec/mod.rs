//! Parsers and encoders of the wire formats, without I/O: MessagePack for clients, JSON for the worker pool and the
//! configuration, HTTP/1.1 for the upstream service and the registry.
//!
//! # Invariants
//! - Each decoder takes bytes in any pieces and bounds what it holds and how deep it nests.
//! - No bytes from outside panic.

pub mod http;
pub mod json;
pub mod msgpack;
