//! The hidden command that runs one load in a process of its own and prints its figure or its report.

use crate::probes;
use anyhow::{Result, bail};

pub use crate::child_process::{Load, ReportingLoad, measure, report};
pub use crate::resident_growth::Growth;

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
