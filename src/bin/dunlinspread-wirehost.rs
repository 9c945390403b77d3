//! The adapter: hosts instances of the decision module on the simulator's wire.
#![forbid(unsafe_code)]

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match dunlinspread::simulator::serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("dunlinspread-wirehost: {e}");
            ExitCode::FAILURE
        }
    }
}
