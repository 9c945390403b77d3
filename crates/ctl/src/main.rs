//! The operators' command line: trying the program out, and the subsystems' own commands.
#![forbid(unsafe_code)]

mod clock;
mod demo;
mod ledger;
mod server_process;
mod table;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Tools for those who run round servers.
#[derive(Parser)]
#[command(name = "dunlinspreadctl", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start a round server among played parties, send it a mixed load for some seconds, and show what came of it.
    Try(demo::Demo),
    /// The ledger of use by society: look at it, check it, drill it.
    #[command(subcommand)]
    Ledger(ledger::Command),
    /// Run the round server itself; `try` and the drills start it so.
    #[command(hide = true, disable_help_flag = true)]
    Serve {
        /// Its arguments.
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
