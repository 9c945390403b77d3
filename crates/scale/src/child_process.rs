//! Measures loads in separate child processes, so that the resident memory of a process belongs to one load
//! alone. The program starts itself with a hidden command and reads one number or one report from the child's
//! output.

use anyhow::{Context, Result, bail};
use serde::de::DeserializeOwned;
use std::process::Command;

/// A load that runs in a child process and returns one number. It builds its state and keeps it alive until
/// it has called [`Growth::bytes`](crate::resident_growth::Growth::bytes).
pub type Load = fn(size: u64, seed: u64) -> Result<f64>;

/// A load that runs in a child process and returns several measurements as a JSON report.
pub type ReportingLoad = fn(size: u64, seed: u64) -> Result<String>;

/// Starts this program again for one load and returns the number that it prints.
///
/// # Errors
/// Returns an error if the program cannot be started, fails, or does not print a number.
pub fn measure(load: &str, size: u64, seed: u64) -> Result<f64> {
    report(load, size, seed)
}

/// Starts this program again for one load and returns the report that it prints.
///
/// # Errors
/// Returns an error if the program cannot be started, fails, or does not print a report of type `T`.
pub fn report<T: DeserializeOwned>(load: &str, size: u64, seed: u64) -> Result<T> {
    let program = std::env::current_exe().context("finding the path of this program")?;
    let arguments = ["child".to_owned(), load.to_owned(), size.to_string(), seed.to_string()];
    let output =
        Command::new(program).args(arguments).output().with_context(|| format!("starting `{load}`"))?;
    if !output.status.success() {
        bail!("load `{load}` at size {size} failed: {}", String::from_utf8_lossy(&output.stderr).trim());
    }
    let text = String::from_utf8_lossy(&output.stdout);
    serde_json::from_str(text.trim())
        .with_context(|| format!("load `{load}` printed unreadable output `{}`", text.trim()))
}
