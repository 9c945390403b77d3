//! JSON: parses one complete text into a value, and splits a stream into lines.
//!
//! # Invariants
//! - The depth of nesting and the length of a line are bounded.
//! - No input causes a panic.

mod encode;
mod error;
mod lines;
mod parser;
mod value;

pub use encode::put_str;
pub use error::Error;
pub use lines::{Line, Lines};
pub use parser::parse;
pub use value::Value;
