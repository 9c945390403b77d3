//! Scale tests: what each part costs against its size, the capacity page made from it, and the propagation of
//! configuration at the size of the target fleet.

mod slope;
mod slopes;

use clap::{Parser, Subcommand};
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
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Slopes(options) => slopes::run(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunlinspread-scale: {error:#}");
            ExitCode::FAILURE
        }
    }
}
