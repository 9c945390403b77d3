//! HTTP/1.1 from the client's side: encodes a request, and decodes replies out of a growing buffer.
//!
//! # Invariants
//! - Head and body are bounded.
//! - A reply is returned only once its last byte is there.
//! - No input panics.

mod decoder;
mod error;
mod reply;
mod request;

pub use decoder::Decoder;
pub use error::Error;
pub use reply::Reply;
pub use request::request;
