//! Streams of events played against the decision module, and the recordings of what it did.

pub mod cases;
pub mod module;
pub mod plan;
pub mod play;
pub mod random;
pub mod recording;
pub mod streams;
pub mod text;
pub mod wire;
