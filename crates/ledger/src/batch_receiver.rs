//! A collector that keeps batches as files in a directory, for an export to a folder and as the base of other collectors.
//!
//! What was acknowledged is there after any crash, and nothing is overwritten.

use crate::batch::{Batch, Digest, digest};
use crate::export_protocol::{CollectorReply, ExportCollector, OfferDecision};
use crate::line::LineError;
use dunlinspread_store::{Disk, StoreError, write_file_atomically};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Why a receiver could not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum BatchReceiverError {
    /// The bytes are no batch.
    #[error("this is no batch: {0}")]
    InvalidBatch(#[from] LineError),
    /// The folder failed. Nothing was acknowledged; the receiver has to be opened again unless the disk was full.
    #[error("the collector's folder: {0}")]
    Store(#[from] StoreError),
    /// A file in the folder is not what was acknowledged.
    #[error("{file}: {damage}")]
    Damaged {
        /// The file.
        file: String,
        /// What is wrong with it.
        damage: Damage,
    },
}

/// How a file differs from what was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// It is missing.
    #[error("is missing, and later ones are there")]
    Missing,
    /// It holds something else than its name says.
    #[error("is not the batch that its name says")]
    OtherContent,
    /// It does not follow the batch before.
    #[error("does not follow the batch before it")]
    OutOfOrder,
}

/// A ledger that batches come from: the server and the ledger's id.
pub type BatchSource = (String, u64);

/// A collector over a folder.
///
/// # Invariants
/// The folder is locked while the receiver is there. The files of a source have the numbers 1 to its watermark.
pub struct BatchReceiver {
    disk: Arc<dyn Disk>,
    sources: BTreeMap<BatchSource, ExportCollector>,
}

/// A batch's file as it was read.
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

/// Returns the watermark of a source whose files have these numbers.
fn watermark(source: &BatchSource, numbers: &BTreeSet<u64>) -> Result<u64, BatchReceiverError> {
    let watermark = numbers.len() as u64;
    if numbers.last() == Some(&watermark) {
        return Ok(watermark);
    }
    let missing = (1..).find(|number| !numbers.contains(number)).unwrap_or(0);
    Err(BatchReceiverError::Damaged { file: file_name(source, missing), damage: Damage::Missing })
}

impl BatchReceiver {
    /// Opens the folder and finds out how far each source is.
    ///
    /// # Errors
    /// If it can't be read, another process has it open, or what is in it is not in order.
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

    /// Returns the numbers of the batches that are there, by source.
    fn list(&self) -> Result<BTreeMap<BatchSource, BTreeSet<u64>>, BatchReceiverError> {
        let failed = |source| StoreError::Io { operation: "listing", file: self.disk.name(), source };
        // A name that a killed process gave and did not sync may not last.
        self.disk.sync_dir().map_err(failed)?;
        let names = self.disk.list().map_err(failed)?;
        let mut found: BTreeMap<BatchSource, BTreeSet<u64>> = BTreeMap::new();
        for (source, number) in names.iter().filter_map(|name| parse_file_name(name)) {
            found.entry(source).or_default().insert(number);
        }
        Ok(found)
    }

    /// Returns the digest of a batch that is there.
    fn stored_digest(&self, source: &BatchSource, number: u64) -> Result<Digest, BatchReceiverError> {
        let file = self.read_file(source, number)?;
        let is_named = |batch: Batch| {
            (batch.server.as_str(), batch.ledger_id, batch.number) == (&source.0, source.1, number)
        };
        if !Batch::parse(&file.bytes).is_ok_and(is_named) {
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

    /// Returns how far a source is.
    pub fn watermark(&self, server: &str, ledger_id: u64) -> CollectorReply {
        self.collector(&(server.to_owned(), ledger_id)).reply(OfferDecision::Duplicate)
    }

    fn collector(&self, source: &BatchSource) -> ExportCollector {
        self.sources.get(source).cloned().unwrap_or_default()
    }

    /// Returns all sources, and how far each is.
    pub fn sources(&self) -> impl Iterator<Item = (&BatchSource, CollectorReply)> {
        self.sources.iter().map(|(source, collector)| (source, collector.reply(OfferDecision::Duplicate)))
    }

    /// Decides on a batch that is offered, stores it if it is new, and returns the reply. When this returns, what the
    /// reply acknowledges is durable.
    ///
    /// # Errors
    /// If the bytes are no batch, or the folder fails; nothing is acknowledged then.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(OfferDecision, CollectorReply), BatchReceiverError> {
        let batch = Batch::parse(bytes)?;
        let digest = digest(bytes);
        let source = (batch.server, batch.ledger_id);
        // One that can't be read any more counts as another content: a fault is better than an overwrite.
        let stored_digest = |number| Some(self.stored_digest(&source, number).unwrap_or([0; 32]));
        let collector = self.collector(&source);
        let decision = collector.on_offer(batch.number, &digest, &batch.previous, stored_digest);
        if decision == OfferDecision::Accept {
            write_file_atomically(&*self.disk, &file_name(&source, batch.number), &[bytes])?;
            self.sources.entry(source.clone()).or_default().batch_accepted(digest);
        }
        Ok((decision, self.collector(&source).reply(decision)))
    }

    /// Shows every batch of a source, in order.
    ///
    /// # Errors
    /// If one is not what was acknowledged.
    pub fn read(
        &self,
        source: &BatchSource,
        mut show: impl FnMut(Batch, Digest),
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
            show(batch, digest);
        }
        Ok(())
    }
}

impl Drop for BatchReceiver {
    fn drop(&mut self) {
        self.disk.unlock();
    }
}
