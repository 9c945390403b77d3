//! The hidden command `child`: runs one load in its own process and prints the measured value or report.

use crate::probes;
use anyhow::{Result, bail};

pub use crate::child_process::{Load, ReportingLoad, measure, report};
pub use crate::resident_growth::Growth;

/// Options of the hidden command `child`.
#[derive(clap::Args)]
pub struct Options {
    /// Name of the load, as in [`probes::child_loads`].
    load: String,
    /// Size of the load.
    size: u64,
    /// Seed of the load.
    seed: u64,
}

/// Runs a load in this process and prints its measured value or its report as JSON.
///
/// # Errors
/// Returns an error if no load has the given name, or if the load fails.
pub fn run(options: &Options) -> Result<()> {
    if let Some((_, load)) = probes::child_loads().iter().find(|(name, _)| *name == options.load) {
        println!("{}", load(options.size, options.seed)?);
        return Ok(());
    }
    let loads = probes::reporting_loads();
    let Some((_, load)) = loads.iter().find(|(name, _)| *name == options.load) else {
        bail!("unknown load `{}`", options.load);
    };
    println!("{}", load(options.size, options.seed)?);
    Ok(())
}
