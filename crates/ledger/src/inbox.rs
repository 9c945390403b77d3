//! A collector that keeps batches in a folder, for a folder as the place of export and for collectors of any other kind
//! to stand on: [`Inbox::offer`] is the whole of the collecting side. What was acknowledged is there after any crash;
//! nothing is overwritten.

use crate::batch::{Batch, Digest, digest};
use crate::deliver::{Collector, Reply, Verdict};
use crate::line::BadLine;
use dunlinspread_store::{Disk, StoreError, write_file_atomically};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Why an offer could not be judged.
#[derive(Debug, thiserror::Error)]
pub enum InboxError {
    /// The bytes are no batch.
    #[error("this is no batch: {0}")]
    NoBatch(#[from] BadLine),
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
pub struct Inbox {
    disk: Arc<dyn Disk>,
    sources: BTreeMap<Source, Collector>,
}

/// The name of a batch's file.
pub fn file_name(server: &str, born: u64, number: u64) -> String {
    format!("{number:016x}@{born:016x}@{server}.batch")
}

fn read_name(name: &str) -> Option<(Source, u64)> {
    let mut parts = name.strip_suffix(".batch")?.splitn(3, '@');
    let mut hex = || u64::from_str_radix(parts.next()?, 16).ok();
    let (number, born) = (hex()?, hex()?);
    Some(((parts.next()?.to_owned(), born), number))
}

impl Inbox {
    /// Opens the folder and finds out how far each source is.
    ///
    /// # Errors
    /// If it can't be read, another process has it, or what is in it is not in order.
    pub fn open(disk: Arc<dyn Disk>) -> Result<Inbox, InboxError> {
        disk.lock()?;
        let mut inbox = Inbox { disk, sources: BTreeMap::new() };
        // A name that a killed process gave and did not sync may not last.
        let listing = |source| StoreError::Io { operation: "listing", file: inbox.disk.name(), source };
        inbox.disk.sync_dir().map_err(listing)?;
        let names = inbox.disk.list().map_err(listing)?;
        let mut found: BTreeMap<Source, BTreeSet<u64>> = BTreeMap::new();
        for (source, number) in names.iter().filter_map(|n| read_name(n)) {
            found.entry(source).or_default().insert(number);
        }
        for (source, numbers) in found {
            let watermark = numbers.len() as u64;
            if numbers.last() != Some(&watermark) {
                let missing = (1..).find(|n| !numbers.contains(n)).unwrap_or(0);
                let file = file_name(&source.0, source.1, missing);
                return Err(InboxError::Damaged {
                    file,
                    what: "is missing, and later ones are there".to_owned(),
                });
            }
            let last = inbox.kept(&source, watermark)?;
            inbox.sources.insert(source, Collector::new(watermark, last));
        }
        Ok(inbox)
    }

    /// The digest of a batch that is there.
    fn kept(&self, source: &Source, number: u64) -> Result<Digest, InboxError> {
        let (bytes, file) = self.bytes(source, number)?;
        let batch = Batch::read(&bytes);
        let named =
            batch.is_ok_and(|b| (b.server.as_str(), b.born, b.number) == (&source.0, source.1, number));
        if !named {
            return Err(InboxError::Damaged { file, what: "is not the batch that its name says".to_owned() });
        }
        Ok(digest(&bytes))
    }

    fn bytes(&self, source: &Source, number: u64) -> Result<(Vec<u8>, String), InboxError> {
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
    pub fn watermark(&self, server: &str, born: u64) -> Reply {
        let collector = self.sources.get(&(server.to_owned(), born)).cloned().unwrap_or_default();
        collector.reply(Verdict::Again)
    }

    /// All sources, and how far each is.
    pub fn sources(&self) -> impl Iterator<Item = (&Source, Reply)> {
        self.sources.iter().map(|(source, collector)| (source, collector.reply(Verdict::Again)))
    }

    /// Judges a batch's bytes, keeps them if they are new, and says what to reply. When this returns, what the reply
    /// acknowledges is durable.
    ///
    /// # Errors
    /// If the bytes are no batch, or the folder fails; nothing is acknowledged then.
    pub fn offer(&mut self, bytes: &[u8]) -> Result<(Verdict, Reply), InboxError> {
        let batch = Batch::read(bytes)?;
        let (sum, source) = (digest(bytes), (batch.server.clone(), batch.born));
        let collector = self.sources.get(&source).cloned().unwrap_or_default();
        // One that can't be read any more counts as another content: better an alarm than an overwrite.
        let kept = |number| Some(self.kept(&source, number).unwrap_or([0; 32]));
        let verdict = collector.on_offer(batch.number, &sum, &batch.previous, kept);
        if verdict == Verdict::Take {
            write_file_atomically(
                &*self.disk,
                &file_name(&batch.server, batch.born, batch.number),
                &[bytes],
            )?;
            self.sources.entry(source.clone()).or_default().took(sum);
        }
        let collector = self.sources.get(&source).cloned().unwrap_or_default();
        Ok((verdict, collector.reply(verdict)))
    }

    /// Shows every batch of a source, in order.
    ///
    /// # Errors
    /// If one is not what was acknowledged.
    pub fn read(&self, source: &Source, mut show: impl FnMut(Batch, Digest)) -> Result<(), InboxError> {
        let watermark = self.watermark(&source.0, source.1).watermark;
        let mut previous = Vec::new();
        for number in 1..=watermark {
            let (bytes, file) = self.bytes(source, number)?;
            let batch = Batch::read(&bytes)?;
            if batch.number != number || batch.previous != previous {
                let what = "does not follow the batch before it".to_owned();
                return Err(InboxError::Damaged { file, what });
            }
            let sum = digest(&bytes);
            previous = sum.to_vec();
            show(batch, sum);
        }
        Ok(())
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.disk.unlock();
    }
}
