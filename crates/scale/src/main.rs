//! Command line of the scale tests: the cost of each part as a function of its size, the capacity page
//! generated from it, and the propagation of configuration at the size of the target fleet.

use clap::{Parser, Subcommand};
use dunlinspread_scale::{capacity, child, propagation, slopes};
use std::ffi::OsString;
use std::process::ExitCode;

/// Scale tests of the parts of dunlinspread.
#[derive(Parser)]
#[command(name = "dunlinspread-scale", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure slopes: the cost of each part as a function of its size.
    Slopes(slopes::Options),
    /// Generate the tables of the capacity page from the measurements, or check that the page matches them.
    Capacity(capacity::Options),
    /// Measure one load in this process and print the result; started by `slopes`.
    #[command(hide = true)]
    Child(child::Options),
    /// Run the daemon with the given arguments; started by quick probes.
    #[command(hide = true, disable_help_flag = true)]
    Daemon(DaemonArguments),
    /// Distribute configuration to a fleet of simulated subscribers while faults are injected.
    Propagation(Box<propagation::Options>),
    /// Run a node process; started by `propagation`.
    #[command(hide = true, name = propagation::NODE_COMMAND)]
    PropagationNode,
    /// Run a real daemon; started by `propagation`.
    #[command(hide = true, name = propagation::DAEMON_COMMAND)]
    PropagationDaemon,
}

/// Arguments passed through to the daemon.
#[derive(clap::Args)]
struct DaemonArguments {
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    arguments: Vec<OsString>,
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Slopes(options) => slopes::run(&options),
        Command::Capacity(options) => capacity::run(&options),
        Command::Child(options) => child::run(&options),
        Command::Daemon(daemon) => {
            let program = OsString::from("dunlinspread");
            return dunlinspread::daemon::run([program].into_iter().chain(daemon.arguments));
        }
        Command::Propagation(options) => propagation::run(&options),
        Command::PropagationNode => propagation::run_node(),
        Command::PropagationDaemon => return dunlinspread::daemon::run(std::env::args_os().take(1)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunlinspread-scale: {error:#}");
            ExitCode::FAILURE
        }
    }
}
