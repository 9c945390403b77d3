//! Batches: the export of closed periods.
//!
//! The content of a batch depends only on the lines up to its close line, the batch's number and its maximum
//! size. A batch that is rebuilt after a crash is therefore identical to the byte, which is verified by its
//! digest.

mod build;
mod content;

pub use build::{BatchPlan, build};
pub use content::{Batch, CorrectionItem, Digest, UsageItem, digest, hex};
