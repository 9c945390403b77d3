//! Setup of the log: its format, its level and its thread.

use super::log_writer::{self, FormatWriter, LogWriter, WholeLines};
use crate::operator::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, o};
use slog_async::{AsyncGuard, OverflowStrategy};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::time::Duration;

/// Name of the thread that flushes the log when the process ends.
const THREAD_NAME: &str = "log-end";

/// A logger, and the handles for flushing and ending it.
pub(super) struct Log {
    /// The logger.
    pub(super) logger: Logger,
    end_expected: Arc<AtomicBool>,
    flush_guard: AsyncGuard,
}

impl Log {
    /// Writes the queued lines and the error that made the process fail, and ends the log's thread. Whatever
    /// can't be written to standard error within `time_limit`, because it is not being read, is lost.
    pub(super) fn end(self, error: Option<String>, time_limit: Duration) {
        let (flushed_sender, flushed) = channel();
        let flush = move || {
            self.end_expected.store(true, Ordering::Relaxed);
            drop(self.flush_guard);
            error.iter().for_each(|error| log_writer::report(error));
            // After `time_limit` there is no receiver any more.
            let _ = flushed_sender.send(());
        };
        // Writing to standard error may block, both in the log's thread and in the report of the error.
        if std::thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(flush).is_ok() {
            let _ = flushed.recv_timeout(time_limit);
        }
    }
}

/// Returns the log of a server. Its writer has a thread of its own, so that a blocked standard error does not
/// delay serving; lines beyond `max_waiting_lines` queued ones are dropped and counted. If the thread ends,
/// this is reported on standard error, and all further lines are dropped: no response to a client depends on
/// the log.
pub(super) fn start(settings: &LogSettings, server_name: &str, max_waiting_lines: usize) -> Log {
    let end_expected = Arc::new(AtomicBool::new(false));
    let new_writer = match settings.format {
        LogFormat::Text => text_writer,
        LogFormat::Json => json_writer,
    };
    let (drain, flush_guard) = slog_async::Async::new(LogWriter::new(new_writer, end_expected.clone()))
        .chan_size(max_waiting_lines)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = drain.filter_level(level(settings.level)).ignore_res();
    let logger = Logger::root(drain, o!("name" => server_name.to_owned()));
    Log { logger, end_expected, flush_guard }
}

fn text_writer() -> FormatWriter {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    Box::new(slog_term::FullFormat::new(decorator).build())
}

fn json_writer() -> FormatWriter {
    Box::new(slog_json::Json::new(WholeLines::default()).add_default_keys().set_flush(true).build())
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
    }
}
