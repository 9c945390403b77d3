//! The server process: parses the command line, starts the server's tasks, handles signals, and shuts down.
//!
//! SIGTERM and SIGINT request a shutdown, SIGHUP reloads the configuration. A SIGHUP never ends the process,
//! even if a configuration file is invalid.

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
