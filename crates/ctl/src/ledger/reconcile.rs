//! `ledger reconcile`: sums the exports of several servers and reports discrepancies and servers
//! that have not closed a period.

use crate::clock::now_ms;
use crate::ledger::format::utc_text;
use crate::table::table;
use anyhow::{Context as _, Result, ensure};
use clap::Args;
use dunlinspread_ledger::BatchReceiver;
use dunlinspread_ledger::reconcile::{ListedSpans, Reconciler, ReconciliationReport};
use dunlinspread_store::RealDisk;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Settings of `reconcile`.
#[derive(Args)]
pub struct Reconcile {
    /// Folder of exported batches from any number of servers.
    exports: PathBuf,
    /// The registry's record of when each server was listed: a JSON object that maps server names to lists of
    /// pairs of Unix ms.
    #[arg(long = "catalog", value_name = "FILE")]
    registry_record: Option<PathBuf>,
    /// Length of a period, used to report the servers that have not closed one.
    #[arg(long, default_value = "15m")]
    period: humantime::Duration,
    /// Print the result as one JSON object.
    #[arg(long)]
    json: bool,
}

impl Reconcile {
    /// Prints the sums, the servers that have not closed a period and the discrepancies; returns a failure
    /// code if there are such servers or discrepancies.
    ///
    /// # Errors
    /// Returns an error if the exports or the registry's record cannot be read.
    pub fn run(&self) -> Result<ExitCode> {
        ensure!(self.exports.is_dir(), "{} is not a directory", self.exports.display());
        let listed = match &self.registry_record {
            Some(path) => read_registry_record(path)?,
            None => ListedSpans::new(),
        };
        let receiver = BatchReceiver::open(Arc::new(RealDisk::new(&self.exports)?))?;
        let mut reconciler = Reconciler::new(&listed);
        let sources: Vec<_> = receiver.sources().map(|(source, _)| source.clone()).collect();
        for source in &sources {
            receiver.read(source, |batch, _| reconciler.add_batch(&batch))?;
        }
        let report = reconciler.finish(self.period.as_millis() as u64, now_ms());
        let complete = report.awaited.is_empty() && report.discrepancies.is_empty();
        if self.json {
            print_json(&report, complete);
        } else {
            print_text(&report, sources.len(), complete);
        }
        Ok(if complete { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

fn read_registry_record(path: &Path) -> Result<ListedSpans> {
    let text = std::fs::read(path).with_context(|| format!("reading {}", path.display()))?;
    serde_json::from_slice(&text)
        .with_context(|| format!("{}: not an object from names to lists of pairs of Unix ms", path.display()))
}

fn print_json(report: &ReconciliationReport, complete: bool) {
    let accounts: Vec<Value> = report
        .accounts
        .iter()
        .map(|((period, tenant), account)| {
            json!({
                "period_ms": period, "society": tenant, "requests": account.total(),
                "pool_us": account.pool_us, "servers": account.servers,
            })
        })
        .collect();
    let disagreements: Vec<String> = report.discrepancies.iter().map(ToString::to_string).collect();
    let awaited: Vec<Value> = report
        .awaited
        .iter()
        .map(|(period, servers)| json!({"period_ms": period, "servers": servers}))
        .collect();
    println!(
        "{}",
        json!({"ok": complete, "accounts": accounts, "awaited": awaited, "disagreements": disagreements})
    );
}

fn print_text(report: &ReconciliationReport, ledgers: usize, complete: bool) {
    let mut rows = table(&["period", "society", "requests", "pool s", "servers"]);
    for ((period, tenant), account) in &report.accounts {
        rows.add_row([
            utc_text(*period),
            tenant.clone(),
            account.total().to_string(),
            format!("{:.3}", account.pool_us as f64 / 1e6),
            account.servers.len().to_string(),
        ]);
    }
    println!("{rows}\n{ledgers} ledgers");
    for (period, servers) in &report.awaited {
        let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
        println!("period {} not closed by: {}", utc_text(*period), servers.join(", "));
    }
    report.discrepancies.iter().for_each(|discrepancy| println!("discrepancy: {discrepancy}"));
    if complete {
        println!("all periods closed, no discrepancies");
    }
}
