//! `ledger reconcile`: adds up what several servers exported and reports what is missing or disagrees.

use crate::ledger::format::period_text;
use crate::table::table;
use anyhow::{Context as _, Result, ensure};
use clap::Args;
use dunlinspread_ledger::BatchReceiver;
use dunlinspread_ledger::reconcile::{ListedSpans, Reconciler};
use dunlinspread_store::RealDisk;
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// Settings of `reconcile`.
#[derive(Args)]
pub struct Reconcile {
    /// A folder of exported batches, of any number of servers.
    exports: PathBuf,
    /// The catalog's record of who was listed when: a JSON object from names to lists of pairs of Unix ms.
    #[arg(long, value_name = "FILE")]
    catalog: Option<PathBuf>,
    /// The length of periods, by which awaited servers are told.
    #[arg(long, default_value = "15m")]
    period: humantime::Duration,
    /// One JSON object.
    #[arg(long)]
    json: bool,
}

impl Reconcile {
    /// Adds up and tells; ends with 1 if something disagrees or someone is awaited.
    pub fn run(&self) -> Result<ExitCode> {
        ensure!(self.exports.is_dir(), "{} is no directory", self.exports.display());
        let alive: ListedSpans = match &self.catalog {
            Some(path) => {
                let text = std::fs::read(path).with_context(|| format!("reading {}", path.display()))?;
                serde_json::from_slice(&text).with_context(|| {
                    format!("{}: not an object from names to lists of pairs of Unix ms", path.display())
                })?
            }
            None => ListedSpans::new(),
        };
        let inbox = BatchReceiver::open(Arc::new(RealDisk::new(&self.exports)?))?;
        let mut reconciler = Reconciler::new(&alive);
        let sources: Vec<_> = inbox.sources().map(|(source, _)| source.clone()).collect();
        for source in &sources {
            inbox.read(source, |batch, _| reconciler.add_batch(&batch))?;
        }
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let report = reconciler.finish(self.period.as_millis() as u64, now.as_millis() as u64);
        let good = report.awaited.is_empty() && report.discrepancies.is_empty();
        if self.json {
            let accounts: Vec<_> = report
                .accounts
                .iter()
                .map(|((period, society), account)| {
                    json!({
                        "period_ms": period, "society": society, "requests": account.total(),
                        "pool_us": account.pool_us, "servers": account.servers,
                    })
                })
                .collect();
            let disagreements: Vec<String> = report.discrepancies.iter().map(ToString::to_string).collect();
            let awaited: Vec<_> = report
                .awaited
                .iter()
                .map(|(p, servers)| json!({"period_ms": p, "servers": servers}))
                .collect();
            println!(
                "{}",
                json!({"ok": good, "accounts": accounts, "awaited": awaited, "disagreements": disagreements})
            );
        } else {
            let mut rows = table(&["period", "society", "requests", "pool s", "servers"]);
            for ((period, society), account) in &report.accounts {
                rows.add_row([
                    period_text(*period),
                    society.clone(),
                    account.total().to_string(),
                    format!("{:.3}", account.pool_us as f64 / 1e6),
                    account.servers.len().to_string(),
                ]);
            }
            println!("{rows}\n{} ledgers", sources.len());
            for (period, servers) in &report.awaited {
                let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
                println!("awaited in {}: {}", period_text(*period), servers.join(", "));
            }
            report.discrepancies.iter().for_each(|d| println!("disagrees: {d}"));
            if good {
                println!("all adds up");
            }
        }
        Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}
