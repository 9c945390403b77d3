//! The adapter: hosts instances of the decision module on the simulator's wire.
#![forbid(unsafe_code)]

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match oxbowhatch::wire::serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("oxbowhatch-wirehost: {e}");
            ExitCode::FAILURE
        }
    }
}
