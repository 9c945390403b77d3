//! Sums of closed periods as files, and what several servers exported held together.

use crate::ledger::{Place, period_text, sum_json, walk};
use crate::table::table;
use anyhow::{Context as _, Result, bail, ensure};
use clap::Args;
use dunlinspread_ledger::reconcile::{ListedSpans, Reconciler};
use dunlinspread_ledger::{BatchReceiver, NetUsage, Outcome, UsageGroup, read_lines, totals};
use dunlinspread_store::RealDisk;
use indicatif::ProgressBar;
use parquet::basic::{Compression, Repetition, Type as Physical};
use parquet::data_type::{ByteArray, ByteArrayType, Int64Type};
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::types::Type;
use serde_json::json;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Rows of one group in a Parquet file.
const ROWS: usize = 64 * 1024;
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

/// One row of a file.
struct Row {
    server: String,
    sum: UsageGroup,
    net: NetUsage,
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

/// A Parquet file that is being written.
struct Sheet {
    path: PathBuf,
    making: PathBuf,
    writer: SerializedFileWriter<File>,
    rows: Vec<Row>,
}

impl Sheet {
    fn create(path: &Path) -> Result<Sheet> {
        let column = |name: &str, physical: Physical, repetition: Repetition| -> Result<_> {
            let built = Type::primitive_type_builder(name, physical).with_repetition(repetition);
            let built = match physical {
                Physical::BYTE_ARRAY => built.with_logical_type(Some(parquet::basic::LogicalType::String)),
                _ => built,
            };
            Ok(Arc::new(built.build()?))
        };
        let text = |name| column(name, Physical::BYTE_ARRAY, Repetition::REQUIRED);
        let number = |name| column(name, Physical::INT64, Repetition::REQUIRED);
        let fields = vec![
            text("server")?,
            text("society")?,
            number("period_ms")?,
            column("of_ms", Physical::INT64, Repetition::OPTIONAL)?,
            text("class")?,
            text("outcome")?,
            number("requests")?,
            number("pool_us")?,
            number("bytes_in")?,
            number("bytes_out")?,
        ];
        let schema = Type::group_type_builder("usage").with_fields(fields).build()?;
        let properties = WriterProperties::builder().set_compression(Compression::SNAPPY).build();
        let making = path.with_extension("tmp");
        let file = File::create(&making).with_context(|| format!("making {}", making.display()))?;
        let writer = SerializedFileWriter::new(file, Arc::new(schema), Arc::new(properties))?;
        Ok(Sheet { path: path.to_owned(), making, writer, rows: Vec::new() })
    }

    fn put(&mut self, row: Row) -> Result<()> {
        self.rows.push(row);
        if self.rows.len() >= ROWS { self.flush() } else { Ok(()) }
    }

    fn flush(&mut self) -> Result<()> {
        let rows = std::mem::take(&mut self.rows);
        if rows.is_empty() {
            return Ok(());
        }
        let number = |n: i128| i64::try_from(n).context("a sum is out of range");
        let mut group = self.writer.next_row_group()?;
        let texts: [fn(&Row) -> &str; 4] =
            [|r| &r.server, |r| &r.sum.tenant, |r| &r.sum.class, |r| r.sum.outcome.as_str()];
        // In the order of the schema.
        for column in
            [Some(0), Some(1), None, None, Some(2), Some(3), None, None, None, None].into_iter().enumerate()
        {
            let Some(mut writer) = group.next_column()? else { bail!("the schema has too few columns") };
            match column {
                (_, Some(text)) => {
                    let values: Vec<ByteArray> =
                        rows.iter().map(|r| ByteArray::from(texts[text](r))).collect();
                    writer.typed::<ByteArrayType>().write_batch(&values, None, None)?;
                }
                (3, None) => {
                    let values: Vec<i64> =
                        rows.iter().filter_map(|r| r.sum.original_period).map(|of| of as i64).collect();
                    let there: Vec<i16> =
                        rows.iter().map(|r| i16::from(r.sum.original_period.is_some())).collect();
                    writer.typed::<Int64Type>().write_batch(&values, Some(&there), None)?;
                }
                (at, None) => {
                    let value = |r: &Row| match at {
                        2 => number(r.sum.period.into()),
                        6 => number(r.net.requests),
                        7 => number(r.net.pool_us),
                        8 => number(r.net.bytes_in),
                        _ => number(r.net.bytes_out),
                    };
                    let values = rows.iter().map(value).collect::<Result<Vec<i64>>>()?;
                    writer.typed::<Int64Type>().write_batch(&values, None, None)?;
                }
            }
            writer.close()?;
        }
        group.close()?;
        Ok(())
    }

    /// Only a whole file gets its name.
    fn finish(mut self) -> Result<()> {
        self.flush()?;
        self.writer.close()?;
        std::fs::rename(&self.making, &self.path).with_context(|| format!("writing {}", self.path.display()))
    }
}

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
