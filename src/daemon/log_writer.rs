//! The writer of log lines on the log's thread: a line that can't be written is lost alone.

use crate::server::fault_injection::{self, PanicPoint};
use crate::server::supervisor::Panic;
use slog::{Drain, Never, OwnedKVList, Record};
use std::cell::{Cell, RefCell};
use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A writer of lines in one format.
pub(super) type FormatWriter = Box<dyn Drain<Ok = (), Err = io::Error> + Send>;

/// Standard error, to which each line is written at once when it is flushed: of a line that comes in pieces, an error
/// between them would leave a part, which the next line would follow.
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

/// Writes lines, and outlasts errors and panics of a [`FormatWriter`].
///
/// # Invariants
/// - An error or a panic loses the line, and no other: the next one is tried again, after a panic with a new writer.
/// - The first panic is said on standard error, and so is the end of the thread that owns this, unless it is expected.
pub(super) struct LogWriter {
    new_writer: fn() -> FormatWriter,
    writer: RefCell<FormatWriter>,
    panic_reported: Cell<bool>,
    end_expected: Arc<AtomicBool>,
}

impl LogWriter {
    /// Returns a writer whose writers of lines are made by `new_writer`. Its end is expected once `end_expected` is set.
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
            // Standard error may be closed or its disk full, now and not later.
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

/// Says something on standard error, which may be closed.
pub(super) fn report(text: &str) {
    let _ = writeln!(io::stderr(), "dunlinspread: {text}");
}
