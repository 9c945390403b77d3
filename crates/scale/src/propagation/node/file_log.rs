//! The log of a process: one line per message, in a file of the run's directory.

use anyhow::{Context, Result};
use slog::{Drain, KV, Logger, OwnedKVList, Record, Serializer};
use std::fmt::{Arguments, Write as _};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;

/// Returns a logger that appends to a file.
pub fn file_logger(path: &Path) -> Result<Logger> {
    let file = OpenOptions::new().create(true).append(true).open(path);
    let file = file.with_context(|| format!("opening the log {}", path.display()))?;
    Ok(Logger::root(FileDrain { file: Mutex::new(file) }.ignore_res(), slog::o!()))
}

struct FileDrain {
    file: Mutex<File>,
}

impl Drain for FileDrain {
    type Ok = ();
    type Err = std::io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> std::io::Result<()> {
        let unix_ms = crate::propagation::process::unix_ms();
        let mut line = Line(format!("{unix_ms} {} {}", record.level().as_short_str(), record.msg()));
        record.kv().serialize(record, &mut line).map_err(std::io::Error::other)?;
        values.serialize(record, &mut line).map_err(std::io::Error::other)?;
        line.0.push('\n');
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        file.write_all(line.0.as_bytes())
    }
}

struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, value: &Arguments<'_>) -> slog::Result {
        write!(self.0, ", {key}: {value}")?;
        Ok(())
    }
}
