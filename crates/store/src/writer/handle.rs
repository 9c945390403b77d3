//! [`Writer`]: the owner's handle for group commit.

use super::command::Command;
use super::commit_thread::CommitThread;
use super::gauges::{Counters, WriterGauges};
use super::options::WriterOptions;
use super::progress::Progress;
use crate::error::StoreError;
use crate::log::Log;
use std::any::Any;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

/// The payload of a panic on the writer's thread, as returned by [`std::panic::catch_unwind`].
pub type PanicPayload = Box<dyn Any + Send>;

/// The owner's handle for a thread that commits records in groups.
///
/// The thread ends when the writer is dropped or closed; queued records are still committed.
pub struct Writer {
    commands: SyncSender<Command>,
    counters: Arc<Counters>,
    options: WriterOptions,
    last_ticket: u64,
    /// Generation that the owner last resumed with.
    generation: u64,
    thread: Option<JoinHandle<Result<(), StoreError>>>,
}

impl Writer {
    /// Starts the thread. It reports through `on_progress`, which may block; blocking only delays commits.
    ///
    /// If the thread panics, it calls `on_panic` with the payload and ends. Nothing more is reported or
    /// written, the log is not marked as closed cleanly, and it is unknown whether records that were not
    /// reported are in the log.
    ///
    /// # Errors
    /// Returns the operating system's error if the thread can't be started.
    pub fn start(
        log: Log,
        options: WriterOptions,
        on_progress: impl FnMut(Progress) + Send + 'static,
        on_panic: impl FnOnce(PanicPayload) + Send + 'static,
    ) -> io::Result<Writer> {
        let (commands, receiver) = sync_channel(options.queue_records.max(1));
        let counters = Arc::new(Counters::default());
        let worker = CommitThread::new(log, options, counters.clone(), Box::new(on_progress));
        let thread = std::thread::Builder::new().name("store".to_owned());
        let thread = thread.spawn(move || {
            // The panic drops everything that the thread owns, so no inconsistent state remains visible.
            catch_unwind(AssertUnwindSafe(move || worker.run(&receiver))).unwrap_or_else(|payload| {
                on_panic(payload);
                Err(StoreError::Poisoned { cause: "the writer's thread panicked".to_owned() })
            })
        })?;
        Ok(Writer { commands, counters, options, last_ticket: 0, generation: 0, thread: Some(thread) })
    }

    /// Queues a record for the thread and returns its ticket. Tickets are numbered consecutively from 1.
    ///
    /// # Errors
    /// Returns the record if the queue is full or the thread has ended.
    pub fn append(&mut self, record: Vec<u8>) -> Result<u64, Vec<u8>> {
        let len = record.len();
        let queued_bytes = self.counters.queued_bytes();
        if queued_bytes > 0 && queued_bytes + len > self.options.queue_bytes {
            self.counters.overflowed();
            return Err(record);
        }
        // Count the record before sending it, because the thread may dequeue it immediately.
        self.counters.enqueued(len);
        let ticket = self.last_ticket + 1;
        let command = Command::Append { generation: self.generation, ticket, record };
        let Err(TrySendError::Full(command) | TrySendError::Disconnected(command)) =
            self.commands.try_send(command)
        else {
            self.last_ticket = ticket;
            return Ok(ticket);
        };
        self.counters.dequeued(1, len);
        self.counters.overflowed();
        match command {
            Command::Append { record, .. } => Err(record),
            Command::Snapshot { .. } | Command::Close => Err(Vec::new()),
        }
    }

    /// Resumes writing for records appended from now on, after a [`Progress::Failed`] with `generation`.
    pub fn resume(&mut self, generation: u64) {
        self.generation = self.generation.max(generation);
    }

    /// Requests a snapshot, and returns whether the request could be queued.
    pub fn snapshot(&mut self, before: u64, content: Vec<u8>) -> bool {
        self.commands.try_send(Command::Snapshot { before, content }).is_ok()
    }

    /// Returns the current gauges and counters.
    pub fn gauges(&self) -> WriterGauges {
        self.counters.read()
    }

    /// Commits the queued records, closes the store cleanly and ends the thread. Blocks on the disk.
    ///
    /// # Errors
    /// Returns the error of [`Log::close`] if the store can't be closed cleanly, or [`StoreError::Poisoned`]
    /// if the thread panicked.
    pub fn close(mut self) -> Result<(), StoreError> {
        // `send` blocks while the queue is full; the thread continues to drain it.
        let _ = self.commands.send(Command::Close);
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            _ => Err(StoreError::Poisoned { cause: "the writer's thread ended".to_owned() }),
        }
    }
}
