//! The command `slopes`: runs the probes and prints what they found.

use anyhow::Result;

/// Options of `slopes`.
#[derive(clap::Args)]
pub struct Options {
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Only slopes whose id begins with one of these.
    #[arg(long, value_name = "PREFIX")]
    only: Vec<String>,
    /// Few sizes and one run each: whether the probes work, no measurement.
    #[arg(long)]
    quick: bool,
}

/// Runs the probes.
///
/// # Errors
/// If a probe fails.
pub fn run(options: &Options) -> Result<()> {
    let _ = (options.json, &options.only, options.quick);
    anyhow::bail!("no probes yet")
}
