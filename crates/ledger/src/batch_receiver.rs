//! A collector that keeps batches in a folder, for a folder as the place of export and for collectors of any other kind
//! to stand on: [`BatchReceiver::receive`] is the whole of the collecting side. What was acknowledged is there after any crash;
//! nothing is overwritten.

use crate::batch::{Batch, Digest, digest};
use crate::export_protocol::{CollectorReply, ExportCollector, OfferDecision};
use crate::line::LineError;
use dunlinspread_store::{Disk, StoreError, write_file_atomically};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Why an offer could not be judged.
#[derive(Debug, thiserror::Error)]
pub enum BatchReceiverError {
    /// The bytes are no batch.
    #[error("this is no batch: {0}")]
    InvalidBatch(#[from] LineError),
    /// The folder failed. Nothing was acknowledged; the inbox has to be opened anew unless it was full.
    #[error("the collector's folder: {0}")]
    Store(#[from] StoreError),
    /// A file in the folder is not what was acknowledged.
    #[error("{file}: {what}")]
    Damaged {
        /// The file.
        file: String,
        /// What is wrong.
        what: String,
    },
}

/// A server's ledger.
pub type Source = (String, u64);

/// The folder.
pub struct BatchReceiver {
    disk: Arc<dyn Disk>,
    sources: BTreeMap<Source, ExportCollector>,
}

/// The name of a batch's file.
pub fn file_name(server: &str, ledger_id: u64, number: u64) -> String {
    format!("{number:016x}@{ledger_id:016x}@{server}.batch")
}

fn read_name(name: &str) -> Option<(Source, u64)> {
    let mut parts = name.strip_suffix(".batch")?.splitn(3, '@');
    let mut hex = || u64::from_str_radix(parts.next()?, 16).ok();
    let (number, ledger_id) = (hex()?, hex()?);
    Some(((parts.next()?.to_owned(), ledger_id), number))
}

impl BatchReceiver {
    /// Opens the folder and finds out how far each source is.
    ///
    /// # Errors
    /// If it can't be read, another process has it, or what is in it is not in order.
    pub fn open(disk: Arc<dyn Disk>) -> Result<BatchReceiver, BatchReceiverError> {
        disk.lock()?;
        let mut receiver = BatchReceiver { disk, sources: BTreeMap::new() };
        // A name that a killed process gave and did not sync may not last.
        let listing = |source| StoreError::Io { operation: "listing", file: receiver.disk.name(), source };
        receiver.disk.sync_dir().map_err(listing)?;
        let names = receiver.disk.list().map_err(listing)?;
        let mut found: BTreeMap<Source, BTreeSet<u64>> = BTreeMap::new();
        for (source, number) in names.iter().filter_map(|n| read_name(n)) {
            found.entry(source).or_default().insert(number);
        }
        for (source, numbers) in found {
            let watermark = numbers.len() as u64;
            if numbers.last() != Some(&watermark) {
                let missing = (1..).find(|n| !numbers.contains(n)).unwrap_or(0);
                let file = file_name(&source.0, source.1, missing);
                return Err(BatchReceiverError::Damaged {
                    file,
                    what: "is missing, and later ones are there".to_owned(),
                });
            }
            let last = receiver.kept(&source, watermark)?;
            receiver.sources.insert(source, ExportCollector::new(watermark, last));
        }
        Ok(receiver)
    }

    /// The digest of a batch that is there.
    fn kept(&self, source: &Source, number: u64) -> Result<Digest, BatchReceiverError> {
        let (bytes, file) = self.bytes(source, number)?;
        let batch = Batch::parse(&bytes);
        let named =
            batch.is_ok_and(|b| (b.server.as_str(), b.ledger_id, b.number) == (&source.0, source.1, number));
        if !named {
            return Err(BatchReceiverError::Damaged {
                file,
                what: "is not the batch that its name says".to_owned(),
            });
        }
        Ok(digest(&bytes))
    }

    fn bytes(&self, source: &Source, number: u64) -> Result<(Vec<u8>, String), BatchReceiverError> {
        let name = file_name(&source.0, source.1, number);
        let failed = |source| StoreError::Io { operation: "reading", file: name.clone(), source };
        let file = self.disk.open(&name).map_err(failed)?;
        let mut bytes = vec![0; file.size().map_err(failed)? as usize];
        let mut at = 0;
        while at < bytes.len() {
            match file.read_at(at as u64, &mut bytes[at..]).map_err(failed)? {
                0 => break,
                n => at += n,
            }
        }
        bytes.truncate(at);
        Ok((bytes, name))
    }

    /// How far a source is.
    pub fn watermark(&self, server: &str, ledger_id: u64) -> CollectorReply {
        let collector = self.sources.get(&(server.to_owned(), ledger_id)).cloned().unwrap_or_default();
        collector.reply(OfferDecision::Duplicate)
    }

    /// All sources, and how far each is.
    pub fn sources(&self) -> impl Iterator<Item = (&Source, CollectorReply)> {
        self.sources.iter().map(|(source, collector)| (source, collector.reply(OfferDecision::Duplicate)))
    }

    /// Judges a batch's bytes, keeps them if they are new, and says what to reply. When this returns, what the reply
    /// acknowledges is durable.
    ///
    /// # Errors
    /// If the bytes are no batch, or the folder fails; nothing is acknowledged then.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(OfferDecision, CollectorReply), BatchReceiverError> {
        let batch = Batch::parse(bytes)?;
        let (sum, source) = (digest(bytes), (batch.server.clone(), batch.ledger_id));
        let collector = self.sources.get(&source).cloned().unwrap_or_default();
        // One that can't be read any more counts as another content: better an alarm than an overwrite.
        let kept = |number| Some(self.kept(&source, number).unwrap_or([0; 32]));
        let decision = collector.on_offer(batch.number, &sum, &batch.previous, kept);
        if decision == OfferDecision::Accept {
            write_file_atomically(
                &*self.disk,
                &file_name(&batch.server, batch.ledger_id, batch.number),
                &[bytes],
            )?;
            self.sources.entry(source.clone()).or_default().batch_accepted(sum);
        }
        let collector = self.sources.get(&source).cloned().unwrap_or_default();
        Ok((decision, collector.reply(decision)))
    }

    /// Shows every batch of a source, in order.
    ///
    /// # Errors
    /// If one is not what was acknowledged.
    pub fn read(
        &self,
        source: &Source,
        mut show: impl FnMut(Batch, Digest),
    ) -> Result<(), BatchReceiverError> {
        let watermark = self.watermark(&source.0, source.1).watermark;
        let mut previous = Vec::new();
        for number in 1..=watermark {
            let (bytes, file) = self.bytes(source, number)?;
            let batch = Batch::parse(&bytes)?;
            if batch.number != number || batch.previous != previous {
                let what = "does not follow the batch before it".to_owned();
                return Err(BatchReceiverError::Damaged { file, what });
            }
            let sum = digest(&bytes);
            previous = sum.to_vec();
            show(batch, sum);
        }
        Ok(())
    }
}

impl Drop for BatchReceiver {
    fn drop(&mut self) {
        self.disk.unlock();
    }
}
