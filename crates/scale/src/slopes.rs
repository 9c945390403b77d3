//! The command `slopes`: runs the probes and prints the slopes that they measure.

use crate::machine;
use crate::probes::{self, ProbeOptions};
use crate::slope::{Model, Report, Slope};
use anyhow::{Context, Result};

/// Options of `slopes`.
#[derive(clap::Args)]
pub struct Options {
    /// Print the report as JSON.
    #[arg(long)]
    json: bool,
    /// Measure only slopes whose id begins with one of these prefixes.
    #[arg(long, value_name = "PREFIX")]
    only: Vec<String>,
    /// Use few sizes and one run each, to check that the probes work; the results are not measurements.
    #[arg(long)]
    quick: bool,
    /// Also run at the size of the target, which takes about six minutes and 4 GB.
    #[arg(long)]
    large: bool,
}

impl Options {
    /// Returns whether a probe may have a selected slope.
    fn wants_probe(&self, prefix: &str) -> bool {
        self.only.is_empty()
            || self.only.iter().any(|only| only.starts_with(prefix) || prefix.starts_with(only.as_str()))
    }

    /// Returns whether a slope is selected.
    fn wants_slope(&self, slope: &Slope) -> bool {
        self.only.is_empty() || self.only.iter().any(|only| slope.id.starts_with(only.as_str()))
    }
}

/// Runs the probes and prints the report.
///
/// # Errors
/// Returns an error if a probe fails.
pub fn run(options: &Options) -> Result<()> {
    let report = measure(options)?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", table(&report));
    }
    Ok(())
}

/// Runs the selected probes one after the other.
fn measure(options: &Options) -> Result<Report> {
    let probe_options = ProbeOptions { quick: options.quick, large: options.large };
    let machine = machine::describe();
    let mut slopes = Vec::new();
    for probe in probes::all() {
        if !options.wants_probe(probe.prefix()) {
            continue;
        }
        eprintln!("measuring {}", probe.prefix());
        let measured = probe.run(&probe_options).with_context(|| format!("probe `{}`", probe.prefix()))?;
        slopes.extend(measured.into_iter().filter(|slope| options.wants_slope(slope)));
    }
    slopes.sort_by(|one, other| one.id.cmp(&other.id));
    Ok(Report { machine, commit: machine::commit(), command: command(), slopes })
}

/// Returns the command line to repeat this run, with the arguments as given and `cargo run` in place of the
/// program's path.
fn command() -> String {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>().join(" ");
    format!("cargo run --release -p dunlinspread-scale -- {arguments}")
}

/// Formats the report as a table with one line per slope.
fn table(report: &Report) -> String {
    let machine: Vec<String> = report.machine.iter().map(|(name, value)| format!("{name} {value}")).collect();
    let mut text = format!("commit {}; {}\n", report.commit, machine.join("; "));
    text += &format!(
        "{:<44} {:>12} {:<16} {:>10} {:>7} {:<10} {}\n",
        "slope", "at target", "unit", "size", "error", "measured", "fit"
    );
    for slope in &report.slopes {
        text += &format!(
            "{:<44} {:>12} {:<16} {:>10} {:>6.1}% {:<10} {}\n",
            slope.id,
            short(slope.at_target),
            slope.unit,
            slope.target_size,
            slope.at_target_error * 100.0,
            if slope.measured_at_target { "there" } else { "fitted" },
            formula(slope),
        );
    }
    text
}

/// Formats a fit as a formula of `n`.
fn formula(slope: &Slope) -> String {
    let (intercept, factor) = (short(slope.fit.intercept), short(slope.fit.slope));
    let formula = match slope.fit.model {
        Model::Constant => intercept,
        Model::Linear => format!("{intercept} + {factor} n"),
        Model::Logarithmic => format!("{intercept} + {factor} log2 n"),
        Model::Power => format!("{intercept} n^{factor}"),
    };
    format!("{formula} (error {:.1}%)", slope.fit.relative_error * 100.0)
}

/// Formats a number with about four significant digits.
fn short(number: f64) -> String {
    match number.abs() {
        0.0 => "0".to_owned(),
        size if !(0.001..1e7).contains(&size) => format!("{number:.3e}"),
        size if size < 10.0 => format!("{number:.4}"),
        size if size < 1000.0 => format!("{number:.2}"),
        _ => format!("{number:.0}"),
    }
}
