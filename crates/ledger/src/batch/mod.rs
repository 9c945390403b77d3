//! Batches: the export of closed periods.
//!
//! A batch's content follows from the lines up to the close, its number and its size alone. Built again after a crash it
//! is the same to the byte, which its digest shows.

mod build;
mod content;

pub use build::{BatchPlan, build};
pub use content::{Batch, CorrectionItem, Digest, UsageItem, digest, hex};
