//! `ledger export`: the usage of closed periods as JSON lines or a Parquet file.

use crate::ledger::format::sum_json;
use crate::ledger::location::Place;
use crate::ledger::parquet_file::{Row, Sheet};
use crate::ledger::replay::walk;
use anyhow::Result;
use clap::Args;
use dunlinspread_ledger::{BatchReceiver, NetUsage, Outcome, UsageGroup, read_lines, totals};
use dunlinspread_store::RealDisk;
use indicatif::ProgressBar;
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// Sums held at a time.
const CELLS: usize = 1_000_000;

/// Settings of `export`.
#[derive(Args)]
pub struct Export {
    #[command(flatten)]
    place: Place,
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

impl Export {
    /// Writes the file, or JSON lines without one.
    pub fn run(&self) -> Result<ExitCode> {
        let mut out = match &self.parquet {
            Some(path) => Some(Sheet::create(path)?),
            None => None,
        };
        let bar = ProgressBar::new_spinner();
        let mut rows = 0u64;
        let mut put = |row: Row| -> Result<()> {
            rows += 1;
            if rows % 1000 == 0 {
                bar.set_message(format!("{rows} rows"));
                bar.tick();
            }
            match &mut out {
                Some(sheet) => sheet.put(row),
                None => {
                    let mut value = sum_json(&row.sum, &row.net);
                    value["server"] = json!(row.server);
                    println!("{value}");
                    Ok(())
                }
            }
        };
        if self.batches {
            self.rows_of_batches(&mut put)?
        } else {
            self.rows_of_ledger(&mut put)?
        }
        bar.finish_and_clear();
        if let Some(sheet) = out {
            sheet.finish()?;
            println!("{rows} rows");
        }
        Ok(ExitCode::SUCCESS)
    }

    fn picks(&self, period: u64) -> bool {
        period >= self.from && period < self.to
    }

    fn rows_of_batches(&self, put: &mut impl FnMut(Row) -> Result<()>) -> Result<()> {
        let inbox = BatchReceiver::open(Arc::new(RealDisk::new(&self.place.directory)?))?;
        let sources: Vec<_> = inbox.sources().map(|(source, _)| source.clone()).collect();
        for source in sources {
            let mut failed = None;
            inbox.read(&source, |batch, _| {
                let corrected = batch.corrections.iter().map(|c| &c.item);
                for item in batch.items.iter().chain(corrected).filter(|i| self.picks(i.period)) {
                    let sum = UsageGroup {
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
                    let row = Row { server: batch.server.clone(), sum, net };
                    failed = failed.take().or_else(|| put(row).err());
                }
            })?;
            if let Some(e) = failed {
                return Err(e);
            }
        }
        Ok(())
    }

    fn rows_of_ledger(&self, put: &mut impl FnMut(Row) -> Result<()>) -> Result<()> {
        let (disk, server) = self.place.open()?;
        let walked = walk(&disk, &server, |_, _| {})?;
        let lines = walked.first.max(1)..walked.state.last_close + 1;
        if lines.is_empty() {
            return Ok(());
        }
        let closed_to = walked.state.closed_to;
        let mut failed = None;
        totals(
            &[],
            CELLS,
            |show| read_lines(&disk, &server, lines.clone(), show),
            |period| period < closed_to && self.picks(period),
            |sum, net| {
                failed = failed.take().or_else(|| put(Row { server: server.clone(), sum, net }).err());
            },
        )?;
        failed.map_or(Ok(()), Err)
    }
}
