//! The server program: admission and overload control in front of a worker pool.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    dunlinspread::daemon::run(std::env::args_os())
}
