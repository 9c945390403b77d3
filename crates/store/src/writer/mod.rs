//! Group commit on a dedicated thread, so that callers append without blocking on the disk.
//!
//! # Invariants
//! The queue is bounded in records and bytes; records that do not fit are returned to the caller. The outcome
//! of each record is reported exactly once and in order. After a failure nothing more is written until the
//! owner has acknowledged it, so that no later record overtakes a failed one.

mod command;
mod commit_thread;
mod gauges;
mod handle;
mod options;
mod progress;

pub use gauges::WriterGauges;
pub use handle::{PanicPayload, Writer};
pub use options::WriterOptions;
pub use progress::{Progress, WriteFailure};
