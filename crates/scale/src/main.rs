//! Scale tests: what each part costs against its size, the capacity page made from it, and the propagation of
//! configuration at the size of the target fleet.

use clap::{Parser, Subcommand};
use dunlinspread_scale::{child, propagation, slopes};
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
    /// Measure slopes: the cost of each part against its size.
    Slopes(slopes::Options),
    /// Measure one load in this process and print what it came to; `slopes` starts it.
    #[command(hide = true)]
    Child(child::Options),
    /// Distribute configuration to a fleet of hollow subscribers while faults happen.
    Propagation(Box<propagation::Options>),
    /// A process of `propagation`.
    #[command(hide = true, name = propagation::NODE_COMMAND)]
    PropagationNode,
    /// A real daemon of `propagation`.
    #[command(hide = true, name = propagation::DAEMON_COMMAND)]
    PropagationDaemon,
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Slopes(options) => slopes::run(&options),
        Command::Child(options) => child::run(&options),
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
