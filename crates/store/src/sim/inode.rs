//! The content of one file of a simulated disk.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// What a disk writes whole or not at all, in bytes.
const SECTOR_BYTES: usize = 512;

/// A change of content that was not synced yet.
enum ContentChange {
    Write { offset: usize, data: Vec<u8> },
    Truncate { len: usize },
}

/// A file's content, with and without what was not synced.
#[derive(Default)]
pub(super) struct Inode {
    durable: Vec<u8>,
    visible: Vec<u8>,
    pending: Vec<ContentChange>,
}

impl Inode {
    /// Returns a file with durable content.
    pub fn durable(bytes: &[u8]) -> Inode {
        Inode { durable: bytes.to_vec(), visible: bytes.to_vec(), pending: Vec::new() }
    }

    /// Returns the content as processes see it.
    pub fn visible(&self) -> &[u8] {
        &self.visible
    }

    /// Writes bytes that are not durable yet.
    pub fn write(&mut self, offset: usize, data: &[u8]) {
        write_bytes(&mut self.visible, offset, data);
        self.pending.push(ContentChange::Write { offset, data: data.to_vec() });
    }

    /// Truncates the file, not durably yet.
    pub fn truncate(&mut self, len: usize) {
        self.visible.truncate(len);
        self.pending.push(ContentChange::Truncate { len });
    }

    /// Makes each part of the pending changes durable with probability `persisted_share`, and forgets the others. What
    /// is visible stays as it is.
    pub fn persist_pending(&mut self, persisted_share: f64, rng: &mut ChaCha8Rng) {
        for change in std::mem::take(&mut self.pending) {
            match change {
                ContentChange::Write { offset, data } => {
                    self.persist_write(offset, &data, persisted_share, rng);
                }
                ContentChange::Truncate { len } => {
                    if rng.random_bool(persisted_share) {
                        self.durable.truncate(len);
                    }
                }
            }
        }
    }

    /// Shows what is durable, as after a power cycle.
    pub fn reload(&mut self) {
        self.visible = self.durable.clone();
    }

    fn persist_write(&mut self, offset: usize, data: &[u8], persisted_share: f64, rng: &mut ChaCha8Rng) {
        let mut from = 0;
        while from < data.len() {
            let sector_end = (offset + from) / SECTOR_BYTES * SECTOR_BYTES + SECTOR_BYTES;
            let to = (sector_end - offset).min(data.len());
            if rng.random_bool(persisted_share) {
                write_bytes(&mut self.durable, offset + from, &data[from..to]);
            }
            from = to;
        }
        // The length may have become durable and the bytes not.
        let end = offset + data.len();
        if rng.random_bool(persisted_share) && self.durable.len() < end {
            self.durable.resize(end, 0);
        }
    }
}

fn write_bytes(bytes: &mut Vec<u8>, offset: usize, data: &[u8]) {
    let end = offset + data.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[offset..end].copy_from_slice(data);
}
