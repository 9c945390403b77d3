//! The log: its form, its level and its thread.

use super::log_writer::{self, FormatWriter, LogWriter, WholeLines};
use crate::operator::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, o};
use slog_async::{AsyncGuard, OverflowStrategy};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::time::Duration;

/// The name of the thread that waits for the end of the log.
const THREAD_NAME: &str = "log-end";

/// A logger, and what ends it.
pub(super) struct Log {
    /// The logger.
    pub(super) logger: Logger,
    end_expected: Arc<AtomicBool>,
    flush_guard: AsyncGuard,
}

impl Log {
    /// Writes the lines that wait and what made the process fail, and ends the log's thread. What standard error does not
    /// take within `time_limit`, because nobody reads it, is lost.
    pub(super) fn end(self, error: Option<String>, time_limit: Duration) {
        let (sender, ended) = channel();
        let write_rest = move || {
            self.end_expected.store(true, Ordering::Relaxed);
            drop(self.flush_guard);
            error.iter().for_each(|error| log_writer::report(error));
            // Nobody waits any more once the time is up.
            let _ = sender.send(());
        };
        // Both the log's thread and the report may wait for standard error.
        if std::thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(write_rest).is_ok() {
            let _ = ended.recv_timeout(time_limit);
        }
    }
}

/// Returns the log of a server. Its writer has a thread of its own, so a log that nobody reads does not delay serving; past
/// `max_waiting_lines` lines are dropped and counted. If the thread ends, that is said on standard error, and all further
/// lines are dropped: nothing that is owed to a client depends on a line.
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
