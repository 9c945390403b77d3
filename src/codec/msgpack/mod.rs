//! MessagePack: decodes complete messages from a growing buffer, and encodes the few types that responses
//! need.
//!
//! # Invariants
//! - The length, depth and number of values of a message are bounded.
//! - No memory is allocated for a stated length before its bytes have arrived.
//! - No input causes a panic.

mod decoder;
mod encode;
mod error;
mod reader;
mod value;

pub use decoder::Decoder;
pub use encode::{put_array, put_bin, put_bool, put_map, put_nil, put_str, put_uint};
pub use error::Error;
pub use reader::MAX_MESSAGE_BYTES;
pub use value::Value;
