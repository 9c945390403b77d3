//! The log: its form, its level and its writer.

use crate::operator::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, o};
use slog_async::{AsyncGuard, OverflowStrategy};

/// A logger, and the guard that flushes its lines when it is dropped.
pub(super) struct Log {
    /// The logger.
    pub(super) logger: Logger,
    /// Writes the lines that wait when it is dropped.
    pub(super) flush_guard: AsyncGuard,
}

/// Returns the log of a server. Its writer has a thread of its own, so a log that nobody reads does not delay serving; past
/// `max_waiting_lines` lines are dropped and counted.
pub(super) fn start(settings: &LogSettings, server_name: &str, max_waiting_lines: usize) -> Log {
    let (drain, flush_guard) = slog_async::Async::new(writer(settings.format))
        .chan_size(max_waiting_lines)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = drain.filter_level(level(settings.level)).fuse();
    Log { logger: Logger::root(drain, o!("name" => server_name.to_owned())), flush_guard }
}

fn writer(format: LogFormat) -> Box<dyn Drain<Ok = (), Err = slog::Never> + Send> {
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        }
        LogFormat::Json => {
            let json = slog_json::Json::new(std::io::stderr()).add_default_keys().set_flush(true).build();
            Box::new(std::sync::Mutex::new(json).fuse())
        }
    }
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
    }
}
