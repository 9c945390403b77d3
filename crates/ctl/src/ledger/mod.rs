//! `dunlinspreadctl ledger`: the operators' commands over ledgers and their exports.

mod close;
mod correct;
mod crash_drill;
mod drill_comparison;
mod drill_fleet;
mod export;
mod format;
mod line_json;
mod location;
mod offline_request;
mod operator_requests;
mod parquet_file;
mod reconcile;
mod replay;
mod show;
mod verify;

use anyhow::Result;
use clap::Subcommand;
use close::ClosePeriods;
use correct::Correct;
use crash_drill::CrashDrill;
use export::Export;
use reconcile::Reconcile;
use show::Show;
use std::process::ExitCode;
use verify::Verify;

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Show what was used, by society, class and outcome. The ledger may be in use.
    Show(Show),
    /// Walk over a whole store and check every line against those before it.
    Verify(Verify),
    /// Enter a correction: a new line that names the one it corrects. The ledger may be in use.
    Correct(Correct),
    /// Close all periods up to now before their time. The ledger may be in use.
    Close(ClosePeriods),
    /// Write what was used in closed periods to a file, from a ledger or from a folder of exports.
    Export(Export),
    /// Add up what several servers exported, and say who is awaited and what disagrees.
    Reconcile(Reconcile),
    /// Kill round servers under load and interrupt their exports, then hold every count against the proxies' own.
    Drill(CrashDrill),
}

impl Command {
    /// Runs it.
    ///
    /// # Errors
    /// As the command that is run.
    pub fn run(&self) -> Result<ExitCode> {
        match self {
            Command::Show(show) => show.run(),
            Command::Verify(verify) => verify.run(),
            Command::Correct(correct) => correct.run(),
            Command::Close(close) => close.run(),
            Command::Export(export) => export.run(),
            Command::Reconcile(reconcile) => reconcile.run(),
            Command::Drill(drill) => drill.run(),
        }
    }
}
