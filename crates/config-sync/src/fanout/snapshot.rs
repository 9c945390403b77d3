//! A snapshot under way: the buckets that differ, as they stood at one position, and the pieces that several share.

use crate::message::{BucketContent, PIECE_BYTES, ToClient};
use crate::resource::{Digest, Position};
use crate::size::resource_bytes;
use crate::table::Table;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Weak};

/// What a bucket takes in a piece beside its resources.
const BUCKET_OVERHEAD: usize = 16;

/// A snapshot under way. The table is a clone: it shares with the head's all buckets that did not change since.
#[derive(Debug)]
pub(super) struct Snapshot {
    pub(super) table: Table,
    pub(super) position: Position,
    pub(super) published_unix_ms: u64,
    /// The buckets not sent yet.
    pub(super) remaining: VecDeque<u16>,
    /// Whether all buckets were asked for, so that its pieces are those of others at this position.
    pub(super) whole: bool,
}

impl Snapshot {
    /// Takes the buckets of the next piece, one at least.
    pub(super) fn next_piece(&mut self, sequence: u32) -> ToClient {
        let mut buckets = Vec::new();
        let mut bytes = 0;
        while let Some(&bucket) = self.remaining.front() {
            let resources = self.table.bucket(bucket);
            bytes += BUCKET_OVERHEAD + resources.iter().map(resource_bytes).sum::<usize>();
            if bytes > PIECE_BYTES && !buckets.is_empty() {
                break;
            }
            buckets.push(BucketContent { bucket, resources: resources.to_vec() });
            self.remaining.pop_front();
        }
        ToClient::Piece { sequence, buckets }
    }

    pub(super) fn skip(&mut self, piece: &ToClient) {
        if let ToClient::Piece { buckets, .. } = piece {
            self.remaining.drain(..buckets.len().min(self.remaining.len()));
        }
    }
}

/// Pieces of whole snapshots at one position that are still on their way to someone, so that many clients that come
/// with nothing at once share them. Holds no piece alive; bounded by the number of pieces of one table.
#[derive(Debug, Default)]
pub(super) struct SharedPieces {
    /// Of which table, by position and digest.
    of: (Position, Digest),
    pieces: BTreeMap<u32, Weak<ToClient>>,
}

impl SharedPieces {
    pub(super) fn get(&self, of: (Position, Digest), sequence: u32) -> Option<Arc<ToClient>> {
        if self.of == of { self.pieces.get(&sequence)?.upgrade() } else { None }
    }

    pub(super) fn remember(&mut self, of: (Position, Digest), sequence: u32, piece: &Arc<ToClient>) {
        if of.0 > self.of.0 {
            *self = SharedPieces { of, pieces: BTreeMap::new() };
        }
        if of == self.of {
            self.pieces.insert(sequence, Arc::downgrade(piece));
        }
    }

    pub(super) fn clear(&mut self) {
        *self = SharedPieces::default();
    }
}
