//! HTTP/1.1 for clients: encodes requests, and decodes replies from a growing buffer.
//!
//! # Invariants
//! - The lengths of head and body are bounded.
//! - A reply is returned only once its last byte has arrived.
//! - No input causes a panic.

mod decoder;
mod error;
mod reply;
mod request;

pub use decoder::Decoder;
pub use error::Error;
pub use reply::Reply;
pub use request::request;
