//! `ledger verify`: checks every line of a ledger against those before it.

use crate::ledger::format::utc_text;
use crate::ledger::location::{LedgerLocation, OpenLedger};
use crate::ledger::replay::{ReplaySummary, replay_lines};
use crate::table::table;
use anyhow::Result;
use clap::Args;
use indicatif::ProgressBar;
use serde_json::json;
use std::process::ExitCode;

/// Number of lines between updates of the progress display.
const LINES_PER_UPDATE: u64 = 10_000;

/// Settings of `verify`.
#[derive(Args)]
pub struct Verify {
    #[command(flatten)]
    location: LedgerLocation,
    /// Print the result as one JSON object.
    #[arg(long)]
    json: bool,
}

impl Verify {
    /// Replays the ledger and prints a summary of its content.
    ///
    /// # Errors
    /// Returns an error if the ledger cannot be read or a line is inconsistent with those before it.
    pub fn run(&self) -> Result<ExitCode> {
        let ledger = self.location.open()?;
        let summary = match replay_with_progress(&ledger) {
            Ok(summary) => summary,
            Err(e) => {
                if self.json {
                    let fault = format!("{e:#}");
                    println!("{}", json!({"ok": false, "server": ledger.server, "fault": fault}));
                }
                return Err(e.context("the ledger is invalid"));
            }
        };
        if self.json {
            print_json(&ledger.server, &summary);
        } else {
            print_text(&ledger.server, &summary);
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn replay_with_progress(ledger: &OpenLedger) -> Result<ReplaySummary> {
    let bar = ProgressBar::new_spinner();
    let mut lines = 0u64;
    let summary = replay_lines(ledger, |_, _| {
        lines += 1;
        if lines % LINES_PER_UPDATE == 0 {
            bar.set_message(format!("{lines} lines"));
            bar.tick();
        }
    });
    bar.finish_and_clear();
    summary
}

/// Returns the number of batches that the collector has acknowledged.
fn acknowledged_batches(summary: &ReplaySummary) -> u64 {
    summary.state.last_batch - u64::from(summary.state.prepared_batch.is_some())
}

fn print_json(server: &str, summary: &ReplaySummary) {
    let state = &summary.state;
    println!(
        "{}",
        json!({
            "ok": true, "server": server, "born": state.ledger_id, "first": summary.first_line,
            "lines": summary.lines_by_kind, "closed_to_ms": state.closed_to, "batches": state.last_batch,
            "acknowledged": acknowledged_batches(summary), "unbilled": summary.unbilled.known,
            "unbilled_at_most": summary.unbilled.at_most,
        })
    );
}

fn print_text(server: &str, summary: &ReplaySummary) {
    let mut rows = table(&["lines", "count"]);
    for (kind, count) in &summary.lines_by_kind {
        rows.add_row([(*kind).to_owned(), count.to_string()]);
    }
    println!("{rows}\nserver {server}: valid; closed to {}", utc_text(summary.state.closed_to));
    println!(
        "batches prepared {}, acknowledged {}; requests known to be unbilled {}, possibly up to {} more",
        summary.state.last_batch,
        acknowledged_batches(summary),
        summary.unbilled.known,
        summary.unbilled.at_most
    );
}
