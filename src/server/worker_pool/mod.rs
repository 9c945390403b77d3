//! The link to the worker pool.

mod link;

pub use link::WorkerPoolLink;
