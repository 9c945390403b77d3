//! The round server.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    dunlinspread::daemon::run(std::env::args_os())
}
