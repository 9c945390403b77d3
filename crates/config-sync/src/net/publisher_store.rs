//! The publisher's store: opening it restores the publisher, and its writer makes new transactions durable.

use super::proposal::Reply;
use crate::codec::{Record, decode_record, encode_record};
use crate::publisher::{Publisher, PublisherSettings, RestoreError};
use crate::resource::{Position, Transaction};
use crate::state_store::{StateError, owner_of, read_snapshot, replay};
use crate::subscriber::PersistedState;
use dunlinspread_store::{
    Disk, Log, Options, Progress, ReplayItem, ReplayRejection, StoreError, WriteFailure, Writer,
    WriterOptions,
};
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

/// Capacity of the writer's queue; more than all pending proposals together may have.
const WRITE_QUEUE_BYTES: usize = 64 << 20;

/// Content of the store: a base state, and the transactions after it.
#[derive(Default)]
struct History {
    base: PersistedState,
    transactions: Vec<Arc<Transaction>>,
    /// Whether the store has any record or snapshot.
    began: bool,
}

impl History {
    fn visit(&mut self, item: ReplayItem<'_>) -> Result<(), StateError> {
        self.began = true;
        match item {
            ReplayItem::Snapshot(_, bytes) => {
                let (header, mirror) = read_snapshot(bytes)?;
                let (position, published_unix_ms) = (header.position, header.published_unix_ms);
                self.base = PersistedState { position, published_unix_ms, mirror, held_back: Vec::new() };
            }
            ReplayItem::Record(_, bytes) => match decode_record(bytes)? {
                Record::Transaction { transaction, .. } => self.transactions.push(transaction),
                Record::Epoch(epoch) => self.begin_epoch(epoch)?,
            },
        }
        Ok(())
    }

    /// Begins a new epoch at revision 0 with the current table.
    fn begin_epoch(&mut self, epoch: u64) -> Result<(), StateError> {
        for transaction in std::mem::take(&mut self.transactions) {
            replay(&mut self.base, transaction, false)?;
        }
        self.base.position = Position { epoch, revision: 0 };
        Ok(())
    }

    fn epoch(&self) -> u64 {
        self.base.position.epoch
    }

    fn into_publisher(self, settings: PublisherSettings) -> Result<Publisher, RestoreError> {
        let PersistedState { position, published_unix_ms, mirror, .. } = self.base;
        let transactions = self.transactions.into_iter().map(Arc::unwrap_or_clone).collect();
        Publisher::restore(settings, position, mirror, published_unix_ms, transactions)
    }
}

/// An opened store with the publisher restored from it.
pub(super) struct Opened {
    pub(super) publisher: Publisher,
    pub(super) log: Log,
    /// Number of transactions that are not in a snapshot.
    pub(super) appended: u64,
}

/// Reason why a publisher's store can't be opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum StoreFault {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the publisher's store: {0}")]
    Restore(#[from] RestoreError),
}

/// Opens a publisher's store. A store without an epoch begins `begin_epoch` or, if that is none, `new_epoch`.
/// A store with an epoch begins `begin_epoch` if that is higher than its own.
pub(super) fn open(
    disk: Arc<dyn Disk>,
    name: &str,
    settings: PublisherSettings,
    new_epoch: u64,
    begin_epoch: Option<u64>,
) -> Result<Opened, StoreFault> {
    let mut history = History::default();
    let (mut log, _) = Log::open(disk, Options::new(&owner_of(name)), |item| {
        history.visit(item).map_err(ReplayRejection::new)
    })?;
    let requested = begin_epoch.or((!history.began).then_some(new_epoch));
    if let Some(epoch) = requested.filter(|epoch| !history.began || *epoch > history.epoch()) {
        log.commit(&[encode_record(&Record::Epoch(epoch))])?;
        history.begin_epoch(epoch).map_err(|error| StoreError::Rejected {
            file: "the store".to_owned(),
            number: log.next_record(),
            reason: ReplayRejection::new(error),
        })?;
    }
    let appended = history.transactions.len() as u64;
    Ok(Opened { publisher: history.into_publisher(settings)?, log, appended })
}

/// A transaction that the writer has queued or is writing.
struct PendingTransaction {
    ticket: u64,
    position: Position,
    published_unix_ms: u64,
    bytes: usize,
    reply: Option<Reply>,
}

/// Transactions that became durable.
pub(super) struct Durable {
    /// Position of the last transaction.
    pub(super) position: Position,
    /// Time at which the last transaction was accepted, Unix ms.
    pub(super) published_unix_ms: u64,
    /// Number of transactions.
    pub(super) count: u64,
    /// Bytes of the transactions' records.
    pub(super) bytes: usize,
    /// Reply channels of the callers that wait for these transactions, with the position of each transaction.
    pub(super) replies: Vec<(Position, Reply)>,
}

/// The writer, and the transactions whose outcome is not known yet.
pub(super) struct PublisherStore {
    writer: Writer,
    /// Transactions in the order of their tickets and positions.
    pending: VecDeque<PendingTransaction>,
}

impl PublisherStore {
    /// Starts the writer's thread, which reports its progress to `on_progress`. A panic of the thread is
    /// reported as a failure of all pending transactions, and nothing is written after it.
    pub(super) fn start(
        log: Log,
        on_progress: impl Fn(Progress) + Clone + Send + 'static,
    ) -> io::Result<PublisherStore> {
        let options = WriterOptions { queue_bytes: WRITE_QUEUE_BYTES, ..WriterOptions::default() };
        let report_failure = on_progress.clone();
        let on_panic = move |_| {
            let reason = WriteFailure::Poisoned("the writer's thread panicked".into());
            report_failure(Progress::Failed { from: 1, through: u64::MAX, reason, generation: 0 });
        };
        let writer = Writer::start(log, options, on_progress, on_panic)?;
        Ok(PublisherStore { writer, pending: VecDeque::new() })
    }

    /// Queues a transaction for writing. Returns false if the queue is full.
    pub(super) fn append(&mut self, transaction: Arc<Transaction>) -> bool {
        let (position, published_unix_ms) = (transaction.position, transaction.published_unix_ms);
        let record = encode_record(&Record::Transaction { transaction, refused: false });
        let bytes = record.len();
        match self.writer.append(record) {
            Ok(ticket) => {
                let pending = PendingTransaction { ticket, position, published_unix_ms, bytes, reply: None };
                self.pending.push_back(pending);
                true
            }
            Err(_) => false,
        }
    }

    /// Sets the reply channel of the transaction that was appended last.
    pub(super) fn set_reply_of_last(&mut self, reply: Reply) {
        if let Some(last) = self.pending.back_mut() {
            last.reply = Some(reply);
        }
    }

    /// Removes and returns the transactions up to a ticket, which have become durable. Returns none if there
    /// are none.
    pub(super) fn take_durable(&mut self, through: u64) -> Option<Durable> {
        let count = self.pending.partition_point(|pending| pending.ticket <= through);
        let last = count.checked_sub(1).and_then(|at| self.pending.get(at))?;
        let (position, published_unix_ms) = (last.position, last.published_unix_ms);
        let bytes = self.pending.range(..count).map(|entry| entry.bytes).sum();
        let drained = self.pending.drain(..count);
        let replies = drained.filter_map(|entry| entry.reply.map(|reply| (entry.position, reply))).collect();
        Some(Durable { position, published_unix_ms, count: count as u64, bytes, replies })
    }

    /// Removes the transactions up to a ticket, which were not written, and returns the reply channels of
    /// their callers.
    pub(super) fn take_failed(&mut self, through: u64) -> Vec<Reply> {
        let replies = self.take_durable(through).map(|failed| failed.replies).unwrap_or_default();
        replies.into_iter().map(|(_, reply)| reply).collect()
    }

    /// Returns whether the outcome of all appended transactions is known.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Makes the writer write the transactions that are appended from now on.
    pub(super) fn resume(&mut self, generation: u64) {
        self.writer.resume(generation);
    }

    /// Queues a snapshot for writing. Returns false if the queue is full.
    pub(super) fn snapshot(&mut self, before: u64, content: Vec<u8>) -> bool {
        self.writer.snapshot(before, content)
    }

    /// Writes the queued records and closes the store.
    pub(super) fn close(self) -> Result<(), StoreError> {
        self.writer.close()
    }
}
