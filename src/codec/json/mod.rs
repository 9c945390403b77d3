//! JSON: parses one whole text into a value, and cuts a stream into lines.
//!
//! # Invariants
//! - Nesting and the length of a line are bounded.
//! - No input panics.

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
