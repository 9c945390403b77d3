//! `ledger show`: prints usage by tenant, class and outcome, or the individual lines.

use crate::ledger::format::{usage_json, utc_text};
use crate::ledger::line_json::{LineSelection, line_json};
use crate::ledger::location::{LedgerLocation, OpenLedger};
use crate::ledger::replay::replay_lines;
use crate::table::table;
use anyhow::Result;
use clap::Args;
use comfy_table::Table;
use dunlinspread_ledger::{LineId, LineIdText, LineKind, NetUsage, UsageGroup, read_lines, totals};
use serde_json::json;
use std::process::ExitCode;

/// Maximum number of usage groups that are summed at a time.
const MAX_GROUPS: usize = 1_000_000;

/// Settings of `show`.
#[derive(Args)]
pub struct Show {
    #[command(flatten)]
    location: LedgerLocation,
    /// Show only this tenant.
    #[arg(long = "society", value_name = "SOCIETY")]
    tenant: Option<String>,
    /// Show only periods that start at or after this time, Unix ms; with `--lines`, lines written at or after
    /// it.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// Show only periods that start before this time, Unix ms; with `--lines`, lines written before it.
    #[arg(long, default_value_t = u64::MAX)]
    to: u64,
    /// Show the individual lines with their ids instead of sums.
    #[arg(long)]
    lines: bool,
    /// Print one JSON object per sum or line.
    #[arg(long)]
    json: bool,
}

impl Show {
    /// Prints the usage or the lines.
    ///
    /// # Errors
    /// Returns an error if the ledger cannot be read.
    pub fn run(&self) -> Result<ExitCode> {
        let ledger = self.location.open()?;
        if self.lines {
            self.show_lines(&ledger)?;
        } else {
            self.show_usage(&ledger)?;
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Prints the usage of each group: as JSON lines, or as a table followed by the totals.
    fn show_usage(&self, ledger: &OpenLedger) -> Result<()> {
        // Reading stops at the current last line, because a ledger in use keeps growing.
        let mut last_line = 0;
        let first_line = replay_lines(ledger, |number, _| last_line = number)?.first_line.max(1);
        let lines = first_line..last_line + 1;
        let mut rows =
            table(&["society", "period", "class", "outcome", "requests", "pool s", "kB in", "kB out"]);
        let mut sum = NetUsage::default();
        totals(
            &[],
            MAX_GROUPS,
            |visit| read_lines(&ledger.disk, &ledger.server, lines.clone(), visit),
            |period| (self.from..self.to).contains(&period),
            |group, net| {
                if self.tenant.as_ref().is_some_and(|tenant| *tenant != group.tenant) {
                    return;
                }
                sum.requests += net.requests;
                sum.pool_us += net.pool_us;
                if self.json {
                    println!("{}", usage_json(&group, &net));
                } else {
                    add_usage_row(&mut rows, &group, &net);
                }
            },
        )?;
        if !self.json {
            let pool_seconds = sum.pool_us as f64 / 1e6;
            println!("{rows}\n{} requests, {pool_seconds:.3} s in the worker pool", sum.requests);
        }
        Ok(())
    }

    /// Prints each ledger line on its own row.
    fn show_lines(&self, ledger: &OpenLedger) -> Result<()> {
        let (mut start, mut classes) = (0, Vec::new());
        replay_lines(ledger, |number, line| {
            if let Some(LineKind::Start(start_line)) = &line.kind {
                (start, classes) = (start_line.start, start_line.classes.clone());
            }
            if !(self.from..self.to).contains(&line.at_ms) {
                return;
            }
            let selection = LineSelection { tenant: self.tenant.as_deref(), classes: &classes };
            let Some(content) = line_json(line, selection) else { return };
            let id = LineId { server: ledger.server.clone(), start, number };
            if self.json {
                let id = LineIdText(&id).to_string();
                println!("{}", json!({"id": id, "at_ms": line.at_ms, "line": content}));
            } else {
                println!("{} {} {content}", LineIdText(&id), utc_text(line.at_ms));
            }
        })?;
        Ok(())
    }
}

fn add_usage_row(rows: &mut Table, group: &UsageGroup, net: &NetUsage) {
    rows.add_row([
        group.tenant.clone(),
        utc_text(group.period),
        group.class.clone(),
        group.outcome.as_str().to_owned(),
        net.requests.to_string(),
        format!("{:.3}", net.pool_us as f64 / 1e6),
        format!("{:.1}", net.bytes_in as f64 / 1e3),
        format!("{:.1}", net.bytes_out as f64 / 1e3),
    ]);
}
