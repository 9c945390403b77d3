//! A Parquet file of usage; `docs/formats/export.md` has its schema.

use anyhow::{Context as _, Result, bail};
use dunlinspread_ledger::{NetUsage, UsageGroup};
use parquet::basic::{Compression, Repetition, Type as Physical};
use parquet::data_type::{ByteArray, ByteArrayType, Int64Type};
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::types::Type;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Rows of one group in a Parquet file.
const ROWS: usize = 64 * 1024;

/// One row of a file.
pub struct Row {
    /// Its server.
    pub server: String,
    /// Its group.
    pub sum: UsageGroup,
    /// Its usage.
    pub net: NetUsage,
}

/// A Parquet file that is being written.
pub struct Sheet {
    path: PathBuf,
    making: PathBuf,
    writer: SerializedFileWriter<File>,
    rows: Vec<Row>,
}

impl Sheet {
    pub fn create(path: &Path) -> Result<Sheet> {
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

    pub fn put(&mut self, row: Row) -> Result<()> {
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
    pub fn finish(mut self) -> Result<()> {
        self.flush()?;
        self.writer.close()?;
        std::fs::rename(&self.making, &self.path).with_context(|| format!("writing {}", self.path.display()))
    }
}
