//! Streams of events for the admission controller, and the recordings of its decisions.

pub mod cases;
pub mod module;
pub mod plan;
pub mod play;
pub mod random;
pub mod recording;
pub mod streams;
pub mod text;
pub mod wire;
