//! Writer of log lines on the log's thread. A line that can't be written is dropped without affecting other
//! lines.

use crate::server::fault_injection::{self, PanicPoint};
use crate::server::supervisor::Panic;
use slog::{Drain, Never, OwnedKVList, Record};
use std::cell::{Cell, RefCell};
use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Writer of log lines in one format.
pub(super) type FormatWriter = Box<dyn Drain<Ok = (), Err = io::Error> + Send>;

/// Standard error with line buffering: a line is written as a whole when it is flushed. If the pieces of a
/// line were written one by one, an error between them would leave an incomplete line, to which the next line
/// would be appended.
#[derive(Default)]
pub(super) struct WholeLines {
    line: Vec<u8>,
}

impl Write for WholeLines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        io::stderr().write_all(&line)
    }
}

/// Writes log lines, and continues after errors and panics of the [`FormatWriter`].
///
/// # Invariants
/// - An error or a panic loses only the current line: the next line is written as usual, after a panic with a
///   new [`FormatWriter`].
/// - The first panic is reported on standard error, and so is the end of the thread that owns this writer,
///   unless that end is expected.
pub(super) struct LogWriter {
    new_writer: fn() -> FormatWriter,
    writer: RefCell<FormatWriter>,
    panic_reported: Cell<bool>,
    end_expected: Arc<AtomicBool>,
}

impl LogWriter {
    /// Returns a writer that creates its [`FormatWriter`]s with `new_writer`. The end of its thread is
    /// expected once `end_expected` is set.
    pub(super) fn new(new_writer: fn() -> FormatWriter, end_expected: Arc<AtomicBool>) -> LogWriter {
        LogWriter {
            new_writer,
            writer: RefCell::new(new_writer()),
            panic_reported: Cell::new(false),
            end_expected,
        }
    }

    fn replace_writer(&self, panic: &Panic) {
        *self.writer.borrow_mut() = (self.new_writer)();
        if !self.panic_reported.replace(true) {
            report(&format!("log: a line was lost, its writer panicked: {panic}"));
        }
    }
}

impl Drain for LogWriter {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        fault_injection::maybe_panic(PanicPoint::LogThread);
        let written = catch_unwind(AssertUnwindSafe(|| {
            fault_injection::maybe_panic(PanicPoint::LogLine);
            // Errors are ignored: standard error may be closed, or its disk may be full only for a time.
            let _ = self.writer.borrow().log(record, values);
        }));
        if let Err(payload) = written {
            self.replace_writer(&Panic::from_payload(&*payload));
        }
        Ok(())
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        if !self.end_expected.load(Ordering::Relaxed) {
            report("log: its thread ended, no further line is written; serving goes on");
        }
    }
}

/// Writes a message to standard error; ignores errors, since standard error may be closed.
pub(super) fn report(text: &str) {
    let _ = writeln!(io::stderr(), "dunlinspread: {text}");
}
