//! Group commit on a thread of its own: whoever appends never waits for the disk. The mailbox is bounded in records and
//! bytes; what does not fit is handed back. It must report each record's fate exactly once and in order, and after a
//! failure take nothing more until the owner has seen it, so that no later record overtakes one that failed.

use crate::error::StoreError;
use crate::log::Log;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How a writer works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriterOptions {
    /// Records that may wait, and their bytes.
    pub queue_records: usize,
    /// Bytes that may wait.
    pub queue_bytes: usize,
    /// How long a commit waits for company after its first record; none to commit at once.
    pub max_batch_delay: Duration,
    /// The records and bytes of one commit at most.
    pub batch_records: usize,
    /// Bytes of one commit, past which it is made.
    pub batch_bytes: usize,
}

impl Default for WriterOptions {
    /// 4,096 records and 4 MiB may wait; commits are made at once, of 1 MiB at most.
    fn default() -> Self {
        WriterOptions {
            queue_records: 4096,
            queue_bytes: 4 << 20,
            max_batch_delay: Duration::ZERO,
            batch_records: 4096,
            batch_bytes: 1 << 20,
        }
    }
}

/// Why a record was not written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// The disk is full: it is not there, and may be appended again.
    NoSpace,
    /// An earlier one failed, and this one was not tried: it is not there.
    NotAttempted,
    /// The disk failed: it is unknown whether it is there, and nothing more will be written.
    Poisoned(Arc<str>),
}

/// What an owner is told, on the writer's thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// All records up to this ticket that were not told of before are durable.
    Durable {
        /// The ticket.
        through: u64,
        /// The number that the store's next record gets.
        next: u64,
    },
    /// The records with these tickets, first and last, were not written. Nothing more is until [`Writer::resume`].
    Failed {
        /// The first ticket.
        from: u64,
        /// The last.
        through: u64,
        /// Why.
        reason: WriteFailure,
        /// What to resume with.
        generation: u64,
    },
    /// The snapshot of all before that number was taken, or not.
    Snapshot {
        /// That number.
        before: u64,
        /// Why it was not taken.
        failure: Option<WriteFailure>,
    },
}

enum Ask {
    Append { generation: u64, ticket: u64, record: Vec<u8> },
    Snapshot { before: u64, content: Vec<u8> },
    Close,
}

/// A writer's figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriterGauges {
    /// Records that wait now.
    pub queued_records: usize,
    /// Their bytes.
    pub queued_bytes: usize,
    /// Commits made.
    pub commits: u64,
    /// Records made durable.
    pub records: u64,
    /// Commits that failed.
    pub failures: u64,
    /// Appends handed back since the mailbox was full.
    pub overflows: u64,
    /// How long the last commit took, µs.
    pub last_commit_us: u64,
}

#[derive(Default)]
struct Shared {
    queued_records: AtomicUsize,
    queued_bytes: AtomicUsize,
    commits: AtomicU64,
    records: AtomicU64,
    failures: AtomicU64,
    overflows: AtomicU64,
    last_commit_us: AtomicU64,
}

/// The owner's end. The thread ends when this is dropped or closed; what waits then is still written.
pub struct Writer {
    asks: SyncSender<Ask>,
    shared: Arc<Shared>,
    options: WriterOptions,
    tickets: u64,
    generation: u64,
    thread: Option<JoinHandle<Result<(), StoreError>>>,
}

impl Writer {
    /// Starts the thread. `told` hears of progress there; it may wait, which holds up commits and nothing else.
    ///
    /// # Errors
    /// If there can be no thread.
    pub fn start(
        log: Log,
        options: WriterOptions,
        told: impl FnMut(Progress) + Send + 'static,
    ) -> io::Result<Writer> {
        let (asks, inbox) = sync_channel(options.queue_records.max(1));
        let shared = Arc::new(Shared::default());
        let work = Work {
            log,
            options,
            shared: shared.clone(),
            told: Box::new(told),
            generation: 0,
            batch: Vec::new(),
            bytes: 0,
            last: 0,
        };
        let thread = std::thread::Builder::new().name("store".to_owned()).spawn(move || work.run(inbox))?;
        Ok(Writer { asks, shared, options, tickets: 0, generation: 0, thread: Some(thread) })
    }

    /// Hands a record to the thread; its ticket. Tickets go up by one from 1.
    ///
    /// # Errors
    /// With the record, if the mailbox is full.
    pub fn append(&mut self, record: Vec<u8>) -> Result<u64, Vec<u8>> {
        let len = record.len();
        let queued_records = self.shared.queued_bytes.load(Ordering::Relaxed);
        if queued_records > 0 && queued_records + len > self.options.queue_bytes {
            self.shared.overflows.fetch_add(1, Ordering::Relaxed);
            return Err(record);
        }
        // Counted before it is sent: the thread takes it off again as soon as it has it.
        self.shared.queued_records.fetch_add(1, Ordering::Relaxed);
        self.shared.queued_bytes.fetch_add(len, Ordering::Relaxed);
        let ticket = self.tickets + 1;
        match self.asks.try_send(Ask::Append { generation: self.generation, ticket, record }) {
            Ok(()) => {
                self.tickets = ticket;
                Ok(ticket)
            }
            Err(TrySendError::Full(ask) | TrySendError::Disconnected(ask)) => {
                self.shared.queued_records.fetch_sub(1, Ordering::Relaxed);
                self.shared.queued_bytes.fetch_sub(len, Ordering::Relaxed);
                self.shared.overflows.fetch_add(1, Ordering::Relaxed);
                match ask {
                    Ask::Append { record, .. } => Err(record),
                    Ask::Snapshot { .. } | Ask::Close => Err(Vec::new()),
                }
            }
        }
    }

    /// After [`Progress::Failed`]: what is appended from now on is written again.
    pub fn resume(&mut self, generation: u64) {
        self.generation = self.generation.max(generation);
    }

    /// Asks for a snapshot; false if the mailbox is full.
    pub fn snapshot(&mut self, before: u64, content: Vec<u8>) -> bool {
        self.asks.try_send(Ask::Snapshot { before, content }).is_ok()
    }

    /// The figures now.
    pub fn gauges(&self) -> WriterGauges {
        let s = &self.shared;
        WriterGauges {
            queued_records: s.queued_records.load(Ordering::Relaxed),
            queued_bytes: s.queued_bytes.load(Ordering::Relaxed),
            commits: s.commits.load(Ordering::Relaxed),
            records: s.records.load(Ordering::Relaxed),
            failures: s.failures.load(Ordering::Relaxed),
            overflows: s.overflows.load(Ordering::Relaxed),
            last_commit_us: s.last_commit_us.load(Ordering::Relaxed),
        }
    }

    /// Writes what waits, closes the store in good order and ends the thread. This waits for the disk.
    ///
    /// # Errors
    /// If the store could not be closed so.
    pub fn close(mut self) -> Result<(), StoreError> {
        // A full mailbox empties: the thread still reads it.
        let _ = self.asks.send(Ask::Close);
        let ended = self.thread.take().map(JoinHandle::join);
        match ended {
            Some(Ok(result)) => result,
            _ => Err(StoreError::Poisoned { cause: "the writer's thread ended".to_owned() }),
        }
    }
}

/// The thread's side.
struct Work {
    log: Log,
    options: WriterOptions,
    shared: Arc<Shared>,
    told: Box<dyn FnMut(Progress) + Send>,
    /// Appends of an earlier generation came before the owner knew of a failure.
    generation: u64,
    batch: Vec<Vec<u8>>,
    bytes: usize,
    /// The ticket of the last record in the batch.
    last: u64,
}

impl Work {
    fn run(mut self, inbox: Receiver<Ask>) -> Result<(), StoreError> {
        loop {
            let Ok(first) = inbox.recv() else { return self.log.close() };
            let due = Instant::now() + self.options.max_batch_delay;
            let mut next = Some(first);
            // Company for the first: until the batch is full, or its time is up and nothing waits.
            while let Some(ask) = next.take() {
                match ask {
                    Ask::Append { generation, ticket, record } => self.take(generation, ticket, record),
                    Ask::Snapshot { before, content } => {
                        self.commit();
                        self.snapshot(before, &content);
                    }
                    Ask::Close => {
                        self.commit();
                        return self.log.close();
                    }
                }
                if self.batch.len() >= self.options.batch_records || self.bytes >= self.options.batch_bytes {
                    break;
                }
                next = match inbox.try_recv() {
                    Ok(ask) => Some(ask),
                    Err(TryRecvError::Disconnected) => None,
                    Err(TryRecvError::Empty) if self.batch.is_empty() => None,
                    Err(TryRecvError::Empty) => {
                        inbox.recv_timeout(due.saturating_duration_since(Instant::now())).ok()
                    }
                };
            }
            self.commit();
        }
    }

    fn take(&mut self, generation: u64, ticket: u64, record: Vec<u8>) {
        if generation < self.generation {
            self.free(1, record.len());
            let (reason, generation) = (WriteFailure::NotAttempted, self.generation);
            return (self.told)(Progress::Failed { from: ticket, through: ticket, reason, generation });
        }
        self.bytes += record.len();
        self.batch.push(record);
        self.last = ticket;
    }

    fn free(&self, records: usize, bytes: usize) {
        self.shared.queued_records.fetch_sub(records, Ordering::Relaxed);
        self.shared.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    fn commit(&mut self) {
        if self.batch.is_empty() {
            return;
        }
        let began = Instant::now();
        let result = self.log.commit(&self.batch);
        let (count, bytes) = (self.batch.len(), self.bytes);
        self.batch.clear();
        self.bytes = 0;
        self.free(count, bytes);
        let through = self.last;
        match result {
            Ok(numbers) => {
                self.shared.last_commit_us.store(began.elapsed().as_micros() as u64, Ordering::Relaxed);
                self.shared.commits.fetch_add(1, Ordering::Relaxed);
                self.shared.records.fetch_add(count as u64, Ordering::Relaxed);
                (self.told)(Progress::Durable { through, next: numbers.end });
            }
            Err(e) => {
                self.shared.failures.fetch_add(1, Ordering::Relaxed);
                self.generation += 1;
                let from = through + 1 - count as u64;
                (self.told)(Progress::Failed {
                    from,
                    through,
                    reason: failure(&e),
                    generation: self.generation,
                });
            }
        }
    }

    fn snapshot(&mut self, before: u64, content: &[u8]) {
        let failure = self.log.snapshot(before, content).err().map(|e| failure(&e));
        (self.told)(Progress::Snapshot { before, failure });
    }
}

fn failure(e: &StoreError) -> WriteFailure {
    match e {
        StoreError::NoSpace { .. } => WriteFailure::NoSpace,
        e => WriteFailure::Poisoned(e.to_string().into()),
    }
}
