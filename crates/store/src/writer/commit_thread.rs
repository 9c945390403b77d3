//! [`CommitThread`]: the thread that commits appended records.

use super::command::Command;
use super::gauges::Counters;
use super::options::WriterOptions;
use super::progress::{Progress, WriteFailure};
use crate::error::StoreError;
use crate::log::Log;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::Instant;

/// The state of the commit thread.
pub(super) struct CommitThread {
    log: Log,
    options: WriterOptions,
    counters: Arc<Counters>,
    on_progress: Box<dyn FnMut(Progress) + Send>,
    /// Counter that increases with each failed commit. Appends of an earlier generation were made before the
    /// owner received the report of the failure.
    generation: u64,
    batch: Vec<Vec<u8>>,
    batch_bytes: usize,
    /// Ticket of the last record in the batch.
    last_ticket: u64,
}

/// Whether the thread continues after a command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flow {
    Continue,
    Close,
}

impl CommitThread {
    pub fn new(
        log: Log,
        options: WriterOptions,
        counters: Arc<Counters>,
        on_progress: Box<dyn FnMut(Progress) + Send>,
    ) -> CommitThread {
        CommitThread {
            log,
            options,
            counters,
            on_progress,
            generation: 0,
            batch: Vec::new(),
            batch_bytes: 0,
            last_ticket: 0,
        }
    }

    /// Executes commands until [`Command::Close`] arrives or the owner drops the writer, and then closes the
    /// log.
    ///
    /// # Errors
    /// Returns the error of [`Log::close`] if the log can't be closed cleanly.
    pub fn run(mut self, commands: &Receiver<Command>) -> Result<(), StoreError> {
        while let Ok(first) = commands.recv() {
            let flow = self.fill_batch(first, commands);
            self.commit();
            if flow == Flow::Close {
                break;
            }
        }
        self.log.close()
    }

    /// Executes commands until the batch is full, or its maximum delay has passed and the queue is empty.
    fn fill_batch(&mut self, first: Command, commands: &Receiver<Command>) -> Flow {
        let due = Instant::now() + self.options.max_batch_delay;
        let mut next = Some(first);
        while let Some(command) = next.take() {
            if self.execute(command) == Flow::Close {
                return Flow::Close;
            }
            if self.is_batch_full() {
                break;
            }
            next = match commands.try_recv() {
                Ok(command) => Some(command),
                Err(TryRecvError::Disconnected) => None,
                Err(TryRecvError::Empty) if self.batch.is_empty() => None,
                Err(TryRecvError::Empty) => {
                    commands.recv_timeout(due.saturating_duration_since(Instant::now())).ok()
                }
            };
        }
        Flow::Continue
    }

    fn is_batch_full(&self) -> bool {
        self.batch.len() >= self.options.batch_records || self.batch_bytes >= self.options.batch_bytes
    }

    fn execute(&mut self, command: Command) -> Flow {
        match command {
            Command::Append { generation, ticket, record } => self.append(generation, ticket, record),
            Command::Snapshot { before, content } => {
                self.commit();
                self.snapshot(before, &content);
            }
            Command::Close => return Flow::Close,
        }
        Flow::Continue
    }

    fn append(&mut self, generation: u64, ticket: u64, record: Vec<u8>) {
        if generation < self.generation {
            self.counters.dequeued(1, record.len());
            (self.on_progress)(Progress::Failed {
                from: ticket,
                through: ticket,
                reason: WriteFailure::NotAttempted,
                generation: self.generation,
            });
            return;
        }
        self.batch_bytes += record.len();
        self.batch.push(record);
        self.last_ticket = ticket;
    }

    fn commit(&mut self) {
        if self.batch.is_empty() {
            return;
        }
        let began_at = Instant::now();
        let result = self.log.commit(&self.batch);
        let count = self.batch.len();
        self.counters.dequeued(count, self.batch_bytes);
        self.batch.clear();
        self.batch_bytes = 0;
        let through = self.last_ticket;
        let progress = match result {
            Ok(numbers) => {
                self.counters.committed(count, began_at.elapsed());
                Progress::Durable { through, next: numbers.end }
            }
            Err(error) => {
                self.counters.failed();
                self.generation += 1;
                Progress::Failed {
                    from: through + 1 - count as u64,
                    through,
                    reason: WriteFailure::of(&error),
                    generation: self.generation,
                }
            }
        };
        (self.on_progress)(progress);
    }

    fn snapshot(&mut self, before: u64, content: &[u8]) {
        let failure = self.log.snapshot(before, content).err().map(|error| WriteFailure::of(&error));
        (self.on_progress)(Progress::Snapshot { before, failure });
    }
}
