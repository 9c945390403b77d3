//! [`Inode`]: the content of one file of a simulated disk.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Size in bytes of the unit that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// A change of content that has not been synced yet.
enum ContentChange {
    Write { offset: usize, data: Vec<u8> },
    Truncate { len: usize },
}

/// A file's content, with and without the unsynced changes.
#[derive(Default)]
pub(super) struct Inode {
    durable: Vec<u8>,
    visible: Vec<u8>,
    pending: Vec<ContentChange>,
}

impl Inode {
    /// Returns a file whose content is durable.
    pub fn durable(bytes: &[u8]) -> Inode {
        Inode { durable: bytes.to_vec(), visible: bytes.to_vec(), pending: Vec::new() }
    }

    /// Returns the content as processes see it.
    pub fn visible(&self) -> &[u8] {
        &self.visible
    }

    /// Writes bytes, which are not durable until they are persisted.
    pub fn write(&mut self, offset: usize, data: &[u8]) {
        write_bytes(&mut self.visible, offset, data);
        self.pending.push(ContentChange::Write { offset, data: data.to_vec() });
    }

    /// Truncates the file, which is not durable until it is persisted.
    pub fn truncate(&mut self, len: usize) {
        self.visible.truncate(len);
        self.pending.push(ContentChange::Truncate { len });
    }

    /// Makes each part of the pending changes durable with probability `persisted_share`, and discards the
    /// other parts. The visible content does not change.
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

    /// Resets the visible content to the durable content, as after a power cycle.
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
        // The length may become durable without the bytes.
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
