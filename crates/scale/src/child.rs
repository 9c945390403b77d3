//! Loads measured in a process of their own, so that its resident memory is theirs alone: the program starts itself
//! with a hidden command, and reads one number from its output.

use crate::machine::resident_bytes;
use crate::probes;
use anyhow::{Context, Result, bail};
use serde::de::DeserializeOwned;
use std::process::Command;

/// Options of the hidden command.
#[derive(clap::Args)]
pub struct Options {
    /// The name of the load, as in [`probes::child_loads`].
    load: String,
    /// Its size.
    size: u64,
    /// Its seed.
    seed: u64,
}

/// A load for a process of its own: builds its state and keeps it until it has called [`Growth::bytes`].
pub type Load = fn(size: u64, seed: u64) -> Result<f64>;

/// A load with several figures: its report as JSON.
pub type ReportingLoad = fn(size: u64, seed: u64) -> Result<String>;

/// Runs a load in this process and prints its figure or its report, either of them as JSON.
///
/// # Errors
/// If there is no such load, or it fails.
pub fn run(options: &Options) -> Result<()> {
    if let Some((_, load)) = probes::child_loads().iter().find(|(name, _)| *name == options.load) {
        println!("{}", load(options.size, options.seed)?);
        return Ok(());
    }
    let loads = probes::reporting_loads();
    let Some((_, load)) = loads.iter().find(|(name, _)| *name == options.load) else {
        bail!("no load `{}`", options.load);
    };
    println!("{}", load(options.size, options.seed)?);
    Ok(())
}

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

/// Growth of this process's resident memory.
pub struct Growth {
    before: u64,
}

impl Growth {
    /// From now on.
    pub fn begin() -> Growth {
        Growth { before: resident_bytes() }
    }

    /// Bytes grown since then.
    pub fn bytes(&self) -> f64 {
        resident_bytes().saturating_sub(self.before) as f64
    }
}
