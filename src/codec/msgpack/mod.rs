//! MessagePack: decodes whole messages out of a growing buffer, and encodes the few forms that responses need.
//!
//! # Invariants
//! - The length, depth and number of values of a message are bounded.
//! - Nothing is allocated by a length that was merely stated.
//! - No input panics.

mod decoder;
mod encode;
mod error;
mod reader;
mod value;

pub use decoder::Decoder;
pub use encode::{put_array, put_bin, put_bool, put_map, put_nil, put_str, put_uint};
pub use error::Error;
pub use reader::MAX_MESSAGE;
pub use value::Value;
