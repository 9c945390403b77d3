//! The fake worker pool: owns the cores of one machine, executes the server's commands and reports in
//! numbered notices.

mod commands;
mod delays;
mod fake_worker_pool;
mod faults;
mod link;
mod machine;
mod notices;
mod occupancy;
mod request_ends;
mod run_log;
mod shared_machine;

pub use fake_worker_pool::FakeWorkerPool;
pub use faults::WorkerPoolFaults;
pub use request_ends::RequestEnds;
pub use run_log::{StartedRun, WrongReply};
