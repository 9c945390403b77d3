//! `ledger verify`: checks every line of a ledger against those before it.

use crate::ledger::format::period_text;
use crate::ledger::location::Place;
use crate::ledger::replay::walk;
use crate::table::table;
use anyhow::Result;
use clap::Args;
use indicatif::ProgressBar;
use serde_json::json;
use std::process::ExitCode;

/// Settings of `verify`.
#[derive(Args)]
pub struct Verify {
    #[command(flatten)]
    place: Place,
    /// One JSON object.
    #[arg(long)]
    json: bool,
}

impl Verify {
    /// Runs it.
    pub fn run(&self) -> Result<ExitCode> {
        let (disk, server) = self.place.open()?;
        let bar = ProgressBar::new_spinner();
        let mut seen = 0u64;
        let walked = walk(&disk, &server, |_, _| {
            seen += 1;
            if seen % 10_000 == 0 {
                bar.set_message(format!("{seen} lines"));
                bar.tick();
            }
        });
        bar.finish_and_clear();
        let walked = match walked {
            Ok(walked) => walked,
            Err(e) => {
                if self.json {
                    println!("{}", json!({"ok": false, "server": server, "fault": format!("{e:#}")}));
                }
                return Err(e.context("the ledger is not in order"));
            }
        };
        let state = &walked.state;
        if self.json {
            println!(
                "{}",
                json!({
                    "ok": true, "server": server, "born": state.ledger_id, "first": walked.first, "lines": walked.lines,
                    "closed_to_ms": state.closed_to, "batches": state.last_batch,
                    "acknowledged": state.last_batch - u64::from(state.prepared_batch.is_some()),
                    "unbilled": walked.unbilled.0, "unbilled_at_most": walked.unbilled.1,
                })
            );
        } else {
            let mut rows = table(&["lines", "count"]);
            for (word, count) in &walked.lines {
                rows.add_row([(*word).to_owned(), count.to_string()]);
            }
            println!("{rows}\nserver {server}: in order; closed to {}", period_text(state.closed_to));
            println!(
                "batches prepared {}, acknowledged {}; requests known to be in no line {}, possibly up to {} more",
                state.last_batch,
                state.last_batch - u64::from(state.prepared_batch.is_some()),
                walked.unbilled.0,
                walked.unbilled.1
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}
