//! `ledger export`: writes the usage of closed periods as JSON lines or a Parquet file.

use crate::ledger::format::usage_json;
use crate::ledger::location::LedgerLocation;
use crate::ledger::parquet_file::{UsageFile, UsageRow};
use crate::ledger::replay::replay_lines;
use anyhow::Result;
use clap::Args;
use dunlinspread_ledger::batch::{Batch, UsageItem};
use dunlinspread_ledger::{BatchReceiver, NetUsage, Outcome, UsageGroup, read_lines, totals};
use dunlinspread_store::RealDisk;
use indicatif::ProgressBar;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Number of rows between updates of the progress display.
const ROWS_PER_UPDATE: u64 = 1000;
/// Maximum number of usage groups that are summed at a time.
const MAX_GROUPS: usize = 1_000_000;

/// Settings of `export`.
#[derive(Args)]
pub struct Export {
    #[command(flatten)]
    location: LedgerLocation,
    /// Read the directory as a folder of exported batches from any number of servers instead of a ledger.
    #[arg(long)]
    batches: bool,
    /// Write a Parquet file; its schema is in `docs/formats/export.md`.
    #[arg(long, value_name = "FILE")]
    parquet: Option<PathBuf>,
    /// Include only periods that start at or after this time, Unix ms.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// Include only periods that start before this time, Unix ms.
    #[arg(long, default_value_t = u64::MAX)]
    to: u64,
}

/// Output of the rows: a Parquet file, or JSON lines on standard output if there is no file.
struct Output {
    file: Option<UsageFile>,
    progress: ProgressBar,
    rows: u64,
}

impl Output {
    fn create(parquet: Option<&Path>) -> Result<Output> {
        let file = parquet.map(UsageFile::create).transpose()?;
        Ok(Output { file, progress: ProgressBar::new_spinner(), rows: 0 })
    }

    fn write(&mut self, row: UsageRow) -> Result<()> {
        self.rows += 1;
        if self.rows % ROWS_PER_UPDATE == 0 {
            self.progress.set_message(format!("{} rows", self.rows));
            self.progress.tick();
        }
        if let Some(file) = &mut self.file {
            return file.write(row);
        }
        let mut value = usage_json(&row.group, &row.net);
        value["server"] = json!(row.server);
        println!("{value}");
        Ok(())
    }

    fn finish(self) -> Result<()> {
        self.progress.finish_and_clear();
        if let Some(file) = self.file {
            file.finish()?;
            println!("{} rows", self.rows);
        }
        Ok(())
    }
}

impl Export {
    /// Writes the Parquet file, or JSON lines if no file was given.
    ///
    /// # Errors
    /// Returns an error if the ledger or the batches cannot be read, or the file cannot be written.
    pub fn run(&self) -> Result<ExitCode> {
        let mut output = Output::create(self.parquet.as_deref())?;
        if self.batches {
            self.export_batches(&mut output)?;
        } else {
            self.export_ledger(&mut output)?;
        }
        output.finish()?;
        Ok(ExitCode::SUCCESS)
    }

    fn includes(&self, period: u64) -> bool {
        (self.from..self.to).contains(&period)
    }

    fn export_batches(&self, output: &mut Output) -> Result<()> {
        let receiver = BatchReceiver::open(Arc::new(RealDisk::new(&self.location.directory)?))?;
        let sources: Vec<_> = receiver.sources().map(|(source, _)| source.clone()).collect();
        for source in sources {
            let mut result = Ok(());
            receiver.read(&source, |batch, _| {
                for row in self.rows_of_batch(&batch) {
                    keep_first_error(&mut result, || output.write(row));
                }
            })?;
            result?;
        }
        Ok(())
    }

    fn rows_of_batch<'a>(&'a self, batch: &'a Batch) -> impl Iterator<Item = UsageRow> + 'a {
        let corrected = batch.corrections.iter().map(|correction| &correction.item);
        let items = batch.items.iter().chain(corrected);
        items.filter(|item| self.includes(item.period)).map(|item| usage_row(&batch.server, item))
    }

    fn export_ledger(&self, output: &mut Output) -> Result<()> {
        let ledger = self.location.open()?;
        let summary = replay_lines(&ledger, |_, _| {})?;
        let lines = summary.first_line.max(1)..summary.state.last_close + 1;
        if lines.is_empty() {
            return Ok(());
        }
        let closed_to = summary.state.closed_to;
        let mut result = Ok(());
        totals(
            &[],
            MAX_GROUPS,
            |visit| read_lines(&ledger.disk, &ledger.server, lines.clone(), visit),
            |period| period < closed_to && self.includes(period),
            |group, net| {
                let row = UsageRow { server: ledger.server.clone(), group, net };
                keep_first_error(&mut result, || output.write(row));
            },
        )?;
        result
    }
}

/// Executes `write` unless an earlier write has failed, and stores its result.
fn keep_first_error(result: &mut Result<()>, write: impl FnOnce() -> Result<()>) {
    if result.is_ok() {
        *result = write();
    }
}

fn usage_row(server: &str, item: &UsageItem) -> UsageRow {
    let group = UsageGroup {
        tenant: item.tenant.clone(),
        period: item.period,
        original_period: item.original_period,
        class: item.class.clone(),
        outcome: Outcome::try_from(item.outcome).unwrap_or(Outcome::Unknown),
    };
    let net = NetUsage {
        requests: item.requests.into(),
        pool_us: item.pool_us.into(),
        bytes_in: item.bytes_in.into(),
        bytes_out: item.bytes_out.into(),
    };
    UsageRow { server: server.to_owned(), group, net }
}
