//! `dunlinspreadctl ledger`: the operators' commands for ledgers and their exports.

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

/// Commands for ledgers and their exports.
#[derive(Subcommand)]
pub enum Command {
    /// Show usage by tenant, class and outcome. The ledger may be in use.
    Show(Show),
    /// Read a whole ledger and check every line against those before it.
    Verify(Verify),
    /// Enter a correction: a new line that refers to the line it corrects. The ledger may be in use.
    Correct(Correct),
    /// Close all periods up to the current time early. The ledger may be in use.
    Close(ClosePeriods),
    /// Export the usage of closed periods from a ledger or from a folder of exported batches.
    Export(Export),
    /// Sum the exports of several servers, and report discrepancies and servers that have not closed a
    /// period.
    Reconcile(Reconcile),
    /// Kill servers under load and interrupt their exports, then compare all counts with those of the
    /// clients.
    Drill(CrashDrill),
}

impl Command {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns the error of the command.
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
