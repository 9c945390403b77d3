//! The server as a process: reads its command line, starts the server's tasks, handles signals, and ends.
//!
//! SIGTERM and SIGINT request a shutdown, SIGHUP has the configuration reloaded. A SIGHUP or an invalid file never ends
//! the process.

mod command_line;
mod config_follower;
mod error;
mod handover;
mod ledger;
mod log_writer;
mod logging;
mod process;
mod reload;
mod shutdown;
pub mod shutdown_schedule;
mod signals;
mod staleness;
mod wiring;

pub use process::run;
