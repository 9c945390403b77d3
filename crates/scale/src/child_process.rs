//! Loads measured in a process of their own, so that its resident memory is theirs alone: the program starts itself
//! with a hidden command, and reads one number or one report from its output.

use anyhow::{Context, Result, bail};
use serde::de::DeserializeOwned;
use std::process::Command;

/// A load for a process of its own: builds its state and keeps it until it has called [`Growth::bytes`](crate::resident_growth::Growth::bytes).
pub type Load = fn(size: u64, seed: u64) -> Result<f64>;

/// A load with several figures: its report as JSON.
pub type ReportingLoad = fn(size: u64, seed: u64) -> Result<String>;

/// Starts this program again for one load and returns its figure.
///
/// # Errors
/// If the program cannot be started, fails, or prints no number.
pub fn measure(load: &str, size: u64, seed: u64) -> Result<f64> {
    report(load, size, seed)
}

/// Starts this program again for one load and returns its report.
///
/// # Errors
/// If the program cannot be started, fails, or prints no such report.
pub fn report<T: DeserializeOwned>(load: &str, size: u64, seed: u64) -> Result<T> {
    let program = std::env::current_exe().context("the path of this program")?;
    let arguments = ["child".to_owned(), load.to_owned(), size.to_string(), seed.to_string()];
    let output =
        Command::new(program).args(arguments).output().with_context(|| format!("starting `{load}`"))?;
    if !output.status.success() {
        bail!("load `{load}` at {size}: {}", String::from_utf8_lossy(&output.stderr).trim());
    }
    let text = String::from_utf8_lossy(&output.stdout);
    serde_json::from_str(text.trim()).with_context(|| format!("load `{load}` printed `{}`", text.trim()))
}
