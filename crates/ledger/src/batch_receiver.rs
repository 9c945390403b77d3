//! A collector that stores batches as files in a directory. It serves exports to a directory and is the basis
//! of other collectors.
//!
//! Acknowledged batches survive any crash, and no batch is ever overwritten.

use crate::batch::{Batch, Digest, digest};
use crate::export_protocol::{CollectorReply, ExportCollector, OfferDecision};
use crate::line::LineError;
use dunlinspread_store::{Disk, StoreError, write_file_atomically};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An error of a [`BatchReceiver`].
#[derive(Debug, thiserror::Error)]
pub enum BatchReceiverError {
    /// The bytes are not a valid batch.
    #[error("invalid batch: {0}")]
    InvalidBatch(#[from] LineError),
    /// An operation on the directory failed, and nothing was acknowledged. Unless the disk was full, the
    /// receiver has to be opened again.
    #[error("collector directory: {0}")]
    Store(#[from] StoreError),
    /// A file in the directory is missing or differs from the acknowledged batch.
    #[error("{file}: {damage}")]
    Damaged {
        /// Name of the file.
        file: String,
        /// Kind of damage.
        damage: Damage,
    },
}

/// The way in which a file differs from the acknowledged batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The file is missing.
    #[error("the file is missing, but later batches exist")]
    Missing,
    /// The content of the file does not match its name.
    #[error("the content is not the batch given by the file name")]
    OtherContent,
    /// The batch does not refer to the previous batch.
    #[error("the batch does not follow the previous batch")]
    OutOfOrder,
}

/// The ledger from which batches originate: the name of the server and the id of the ledger.
pub type BatchSource = (String, u64);

/// A collector that stores batches in a directory.
///
/// # Invariants
/// The directory is locked while the receiver exists. The files of a source have the numbers 1 to its
/// watermark.
pub struct BatchReceiver {
    disk: Arc<dyn Disk>,
    sources: BTreeMap<BatchSource, ExportCollector>,
}

/// The name and content of a batch file.
struct BatchFile {
    name: String,
    bytes: Vec<u8>,
}

fn file_name(source: &BatchSource, number: u64) -> String {
    let (server, ledger_id) = source;
    format!("{number:016x}@{ledger_id:016x}@{server}.batch")
}

fn parse_file_name(name: &str) -> Option<(BatchSource, u64)> {
    let mut parts = name.strip_suffix(".batch")?.splitn(3, '@');
    let number = u64::from_str_radix(parts.next()?, 16).ok()?;
    let ledger_id = u64::from_str_radix(parts.next()?, 16).ok()?;
    Some(((parts.next()?.to_owned(), ledger_id), number))
}

/// Returns the watermark of a source whose files have these numbers. Fails if a number is missing.
fn watermark(source: &BatchSource, numbers: &BTreeSet<u64>) -> Result<u64, BatchReceiverError> {
    let watermark = numbers.len() as u64;
    if numbers.last() == Some(&watermark) {
        return Ok(watermark);
    }
    let missing = (1..).find(|number| !numbers.contains(number)).unwrap_or(0);
    Err(BatchReceiverError::Damaged { file: file_name(source, missing), damage: Damage::Missing })
}

impl BatchReceiver {
    /// Opens the directory and determines the watermark of each source.
    ///
    /// # Errors
    /// Returns [`BatchReceiverError::Store`] if the directory cannot be read or is locked by another process,
    /// or [`BatchReceiverError::Damaged`] if a batch is missing or damaged.
    pub fn open(disk: Arc<dyn Disk>) -> Result<BatchReceiver, BatchReceiverError> {
        disk.lock()?;
        let mut receiver = BatchReceiver { disk, sources: BTreeMap::new() };
        for (source, numbers) in receiver.list()? {
            let watermark = watermark(&source, &numbers)?;
            let last = receiver.stored_digest(&source, watermark)?;
            receiver.sources.insert(source, ExportCollector::new(watermark, last));
        }
        Ok(receiver)
    }

    /// Returns the numbers of the stored batches, by source.
    fn list(&self) -> Result<BTreeMap<BatchSource, BTreeSet<u64>>, BatchReceiverError> {
        let failed = |source| StoreError::Io { operation: "listing", file: self.disk.name(), source };
        // A file renamed by a process that was killed before the directory was synced may not survive a power
        // failure.
        self.disk.sync_dir().map_err(failed)?;
        let names = self.disk.list().map_err(failed)?;
        let mut numbers: BTreeMap<BatchSource, BTreeSet<u64>> = BTreeMap::new();
        for (source, number) in names.iter().filter_map(|name| parse_file_name(name)) {
            numbers.entry(source).or_default().insert(number);
        }
        Ok(numbers)
    }

    /// Returns the digest of a stored batch.
    fn stored_digest(&self, source: &BatchSource, number: u64) -> Result<Digest, BatchReceiverError> {
        let file = self.read_file(source, number)?;
        let matches_name = |batch: Batch| {
            (batch.server.as_str(), batch.ledger_id, batch.number) == (&source.0, source.1, number)
        };
        if !Batch::parse(&file.bytes).is_ok_and(matches_name) {
            return Err(BatchReceiverError::Damaged { file: file.name, damage: Damage::OtherContent });
        }
        Ok(digest(&file.bytes))
    }

    fn read_file(&self, source: &BatchSource, number: u64) -> Result<BatchFile, BatchReceiverError> {
        let name = file_name(source, number);
        let failed = |source| StoreError::Io { operation: "reading", file: name.clone(), source };
        let file = self.disk.open(&name).map_err(failed)?;
        let mut bytes = vec![0; file.size().map_err(failed)? as usize];
        let mut filled = 0;
        while filled < bytes.len() {
            match file.read_at(filled as u64, &mut bytes[filled..]).map_err(failed)? {
                0 => break,
                count => filled += count,
            }
        }
        bytes.truncate(filled);
        Ok(BatchFile { name, bytes })
    }

    /// Returns the watermark of a source.
    pub fn watermark(&self, server: &str, ledger_id: u64) -> CollectorReply {
        self.collector(&(server.to_owned(), ledger_id)).reply(OfferDecision::Duplicate)
    }

    fn collector(&self, source: &BatchSource) -> ExportCollector {
        self.sources.get(source).cloned().unwrap_or_default()
    }

    /// Returns all sources with their watermarks.
    pub fn sources(&self) -> impl Iterator<Item = (&BatchSource, CollectorReply)> {
        self.sources.iter().map(|(source, collector)| (source, collector.reply(OfferDecision::Duplicate)))
    }

    /// Decides about an offered batch, stores it if it is new, and returns the reply. All batches
    /// acknowledged by the reply are durable when this function returns.
    ///
    /// # Errors
    /// Returns [`BatchReceiverError::InvalidBatch`] if the bytes are not a valid batch, or
    /// [`BatchReceiverError::Store`] if the batch cannot be stored. Nothing is acknowledged in either case.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(OfferDecision, CollectorReply), BatchReceiverError> {
        let batch = Batch::parse(bytes)?;
        let digest = digest(bytes);
        let source = (batch.server, batch.ledger_id);
        // A stored batch that can no longer be read is treated as a conflict, because reporting a fault is
        // better than overwriting the batch.
        let stored_digest = |number| Some(self.stored_digest(&source, number).unwrap_or([0; 32]));
        let collector = self.collector(&source);
        let decision = collector.on_offer(batch.number, &digest, &batch.previous, stored_digest);
        if decision == OfferDecision::Accept {
            write_file_atomically(&*self.disk, &file_name(&source, batch.number), &[bytes])?;
            self.sources.entry(source.clone()).or_default().batch_accepted(digest);
        }
        Ok((decision, self.collector(&source).reply(decision)))
    }

    /// Passes every batch of a source to `on_batch`, in order.
    ///
    /// # Errors
    /// Returns [`BatchReceiverError::Store`] if a file cannot be read, [`BatchReceiverError::InvalidBatch`]
    /// if its content is not a batch, or [`BatchReceiverError::Damaged`] if it does not follow the previous
    /// batch.
    pub fn read(
        &self,
        source: &BatchSource,
        mut on_batch: impl FnMut(Batch, Digest),
    ) -> Result<(), BatchReceiverError> {
        let mut previous = Vec::new();
        for number in 1..=self.watermark(&source.0, source.1).watermark {
            let file = self.read_file(source, number)?;
            let batch = Batch::parse(&file.bytes)?;
            if batch.number != number || batch.previous != previous {
                return Err(BatchReceiverError::Damaged { file: file.name, damage: Damage::OutOfOrder });
            }
            let digest = digest(&file.bytes);
            previous = digest.to_vec();
            on_batch(batch, digest);
        }
        Ok(())
    }
}

impl Drop for BatchReceiver {
    fn drop(&mut self) {
        self.disk.unlock();
    }
}
