//! Writes usage to a Parquet file; the schema is in `docs/formats/export.md`.

use anyhow::{Context as _, Result};
use dunlinspread_ledger::{NetUsage, UsageGroup};
use parquet::basic::{Compression, LogicalType, Repetition, Type as Physical};
use parquet::data_type::{ByteArray, ByteArrayType, Int64Type};
use parquet::file::properties::WriterProperties;
use parquet::file::writer::{SerializedColumnWriter, SerializedFileWriter};
use parquet::schema::types::Type;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Number of rows in a row group of the Parquet file.
const ROWS_PER_GROUP: usize = 64 * 1024;

/// A row of the file.
pub struct UsageRow {
    /// Name of the server that served the requests.
    pub server: String,
    /// Usage group over which the row sums.
    pub group: UsageGroup,
    /// Net usage of the group.
    pub net: NetUsage,
}

/// Type of a column and the function that returns its value for a row.
enum ColumnValues {
    Text(fn(&UsageRow) -> &str),
    Number(fn(&UsageRow) -> i128),
    OptionalNumber(fn(&UsageRow) -> Option<u64>),
}

/// A column of the schema.
struct Column {
    name: &'static str,
    values: ColumnValues,
}

/// All columns, in the order of the schema.
const COLUMNS: [Column; 10] = [
    Column { name: "server", values: ColumnValues::Text(|row| &row.server) },
    Column { name: "society", values: ColumnValues::Text(|row| &row.group.tenant) },
    Column { name: "period_ms", values: ColumnValues::Number(|row| row.group.period.into()) },
    Column { name: "of_ms", values: ColumnValues::OptionalNumber(|row| row.group.original_period) },
    Column { name: "class", values: ColumnValues::Text(|row| &row.group.class) },
    Column { name: "outcome", values: ColumnValues::Text(|row| row.group.outcome.as_str()) },
    Column { name: "requests", values: ColumnValues::Number(|row| row.net.requests) },
    Column { name: "pool_us", values: ColumnValues::Number(|row| row.net.pool_us) },
    Column { name: "bytes_in", values: ColumnValues::Number(|row| row.net.bytes_in) },
    Column { name: "bytes_out", values: ColumnValues::Number(|row| row.net.bytes_out) },
];

impl Column {
    fn schema(&self) -> Result<Type> {
        let (physical, repetition) = match self.values {
            ColumnValues::Text(_) => (Physical::BYTE_ARRAY, Repetition::REQUIRED),
            ColumnValues::Number(_) => (Physical::INT64, Repetition::REQUIRED),
            ColumnValues::OptionalNumber(_) => (Physical::INT64, Repetition::OPTIONAL),
        };
        let mut builder = Type::primitive_type_builder(self.name, physical).with_repetition(repetition);
        if matches!(self.values, ColumnValues::Text(_)) {
            builder = builder.with_logical_type(Some(LogicalType::String));
        }
        Ok(builder.build()?)
    }

    fn write(&self, rows: &[UsageRow], writer: &mut SerializedColumnWriter<'_>) -> Result<()> {
        match self.values {
            ColumnValues::Text(text) => {
                let values: Vec<ByteArray> = rows.iter().map(|row| ByteArray::from(text(row))).collect();
                writer.typed::<ByteArrayType>().write_batch(&values, None, None)?;
            }
            ColumnValues::Number(number) => {
                let values = rows.iter().map(|row| to_i64(number(row))).collect::<Result<Vec<i64>>>()?;
                writer.typed::<Int64Type>().write_batch(&values, None, None)?;
            }
            ColumnValues::OptionalNumber(number) => {
                let values: Vec<i64> = rows.iter().filter_map(number).map(|value| value as i64).collect();
                let definition_levels: Vec<i16> =
                    rows.iter().map(|row| i16::from(number(row).is_some())).collect();
                writer.typed::<Int64Type>().write_batch(&values, Some(&definition_levels), None)?;
            }
        }
        Ok(())
    }
}

fn to_i64(sum: i128) -> Result<i64> {
    i64::try_from(sum).context("a sum exceeds the range of a 64-bit integer")
}

/// A Parquet file that is being written.
pub struct UsageFile {
    path: PathBuf,
    temporary: PathBuf,
    writer: SerializedFileWriter<File>,
    rows: Vec<UsageRow>,
}

impl UsageFile {
    /// Creates the file under a temporary name.
    ///
    /// # Errors
    /// Returns an error if the file cannot be created.
    pub fn create(path: &Path) -> Result<UsageFile> {
        let columns = COLUMNS.iter().map(|column| Ok(Arc::new(column.schema()?)));
        let columns = columns.collect::<Result<Vec<_>>>()?;
        let schema = Type::group_type_builder("usage").with_fields(columns).build()?;
        let properties = WriterProperties::builder().set_compression(Compression::SNAPPY).build();
        let temporary = path.with_extension("tmp");
        let file = File::create(&temporary).with_context(|| format!("creating {}", temporary.display()))?;
        let writer = SerializedFileWriter::new(file, Arc::new(schema), Arc::new(properties))?;
        Ok(UsageFile { path: path.to_owned(), temporary, writer, rows: Vec::new() })
    }

    /// Appends a row; rows are buffered and written one row group at a time.
    ///
    /// # Errors
    /// Returns an error if a row group cannot be written.
    pub fn write(&mut self, row: UsageRow) -> Result<()> {
        self.rows.push(row);
        if self.rows.len() >= ROWS_PER_GROUP { self.flush() } else { Ok(()) }
    }

    fn flush(&mut self) -> Result<()> {
        let rows = std::mem::take(&mut self.rows);
        if rows.is_empty() {
            return Ok(());
        }
        let mut group = self.writer.next_row_group()?;
        for column in &COLUMNS {
            let mut writer = group.next_column()?.context("the schema has too few columns")?;
            column.write(&rows, &mut writer)?;
            writer.close()?;
        }
        group.close()?;
        Ok(())
    }

    /// Completes the file and renames it to its final name.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written or renamed.
    pub fn finish(mut self) -> Result<()> {
        self.flush()?;
        self.writer.close()?;
        std::fs::rename(&self.temporary, &self.path)
            .with_context(|| format!("writing {}", self.path.display()))
    }
}
