//! `ledger export`: the usage of closed periods as JSON lines or a Parquet file.

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

/// Rows between two updates of the progress shown.
const ROWS_PER_UPDATE: u64 = 1000;
/// Usage groups summed up at a time, at most.
const MAX_GROUPS: usize = 1_000_000;

/// Settings of `export`.
#[derive(Args)]
pub struct Export {
    #[command(flatten)]
    location: LedgerLocation,
    /// The directory is not a ledger but a folder of exported batches, of any number of servers.
    #[arg(long)]
    batches: bool,
    /// Write a Parquet file; `docs/formats/export.md` has its schema.
    #[arg(long, value_name = "FILE")]
    parquet: Option<PathBuf>,
    /// Only periods from this time on, Unix ms.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// Only periods before this time, Unix ms.
    #[arg(long, default_value_t = u64::MAX)]
    to: u64,
}

/// Where the rows go: a Parquet file, or JSON lines without one.
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
    /// Writes the file, or JSON lines without one.
    ///
    /// # Errors
    /// If the ledger or the batches cannot be read, or the file cannot be written.
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

/// Carries out the write unless an earlier one has failed.
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
