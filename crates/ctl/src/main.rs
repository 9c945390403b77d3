//! The operators' command line: a demo run of the server, and the commands of its subsystems.
#![forbid(unsafe_code)]

mod clock;
mod demo;
mod ledger;
mod server_process;
mod table;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Command-line tools for operators of the server.
#[derive(Parser)]
#[command(name = "dunlinspreadctl", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start a server with simulated peers, send it a mixed load for a few seconds, and show the results.
    Try(demo::Demo),
    /// Inspect, verify, correct, export and test the ledger of usage by tenant.
    #[command(subcommand)]
    Ledger(ledger::Command),
    /// Run the server itself; `try` and `ledger drill` start it with this command.
    #[command(hide = true, disable_help_flag = true)]
    Serve {
        /// Arguments of the server.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<std::ffi::OsString>,
    },
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Try(demo) => demo.run(),
        Command::Ledger(command) => command.run(),
        Command::Serve { arguments } => {
            let program = ["dunlinspread", "serve"].map(Into::into);
            return dunlinspread::daemon::run(program.into_iter().chain(arguments));
        }
    };
    match result {
        Ok(code) => code,
        Err(e) => {
            eprintln!("dunlinspreadctl: {e:#}");
            ExitCode::FAILURE
        }
    }
}
