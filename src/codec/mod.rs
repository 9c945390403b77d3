//! The parsers of the program's own, without any I/O: MessagePack for client proxies, JSON for the worker pool
//! and the configuration, HTTP/1.1 for the index and the catalog. Each takes bytes as they come, bounds what it
//! holds and how deep it goes, and must never panic on bytes from outside.

pub mod http;
pub mod json;
pub mod msgpack;
