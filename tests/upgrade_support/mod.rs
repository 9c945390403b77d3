//! Support for tests with real server processes: the built program in one or several processes that share a
//! client address and a temporary folder, fakes of its peers, clients that generate load, and the check of
//! the outcome of each request.
#![allow(dead_code, reason = "each test program uses a part of it")]

pub mod attempts;
pub mod check;
pub mod clients;
pub mod connection;
pub mod connection_ends;
pub mod health;
pub mod http;
pub mod kept_log;
pub mod load;
pub mod messages;
pub mod open_connections;
pub mod operators;
pub mod process;
pub mod records;
pub mod settings;
pub mod site;
pub mod upgrade;

use std::time::{Duration, Instant};

/// Time limit of a wait, far beyond any delay of a working program.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until the condition holds; panics with `seed` and `what` if it does not within the time limit.
pub fn wait_for(seed: u64, what: &str, mut holds: impl FnMut() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < TEST_TIMEOUT, "seed {seed}: timed out waiting for: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Lets a load run for a while.
pub fn run_for(time: Duration) {
    std::thread::sleep(time);
}

/// Returns a number from an environment variable, or `default` if the variable is not set.
pub fn from_environment(variable: &str, default: u64) -> u64 {
    let Ok(text) = std::env::var(variable) else { return default };
    text.parse().unwrap_or_else(|error| panic!("{variable} is not a number: {text}: {error}"))
}
