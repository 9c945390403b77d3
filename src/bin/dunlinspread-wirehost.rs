//! Hosts admission controllers for the simulator, over standard input and output.
#![forbid(unsafe_code)]

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match dunlinspread::simulator::serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunlinspread-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
