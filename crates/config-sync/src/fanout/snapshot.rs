//! A snapshot in progress: the buckets that differ, as of one position, and the pieces shared between
//! sessions.

use crate::message::{BucketContent, PIECE_BYTES, ToClient};
use crate::resource::{Digest, Position};
use crate::size::resource_bytes;
use crate::table::Table;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Weak};

/// Estimated size of a bucket in a piece without its resources, in bytes.
const BUCKET_OVERHEAD: usize = 16;

/// A snapshot in progress. Its table is a clone that shares with the head's table all buckets that did not
/// change since.
#[derive(Debug)]
pub(super) struct Snapshot {
    pub(super) table: Table,
    pub(super) position: Position,
    pub(super) published_unix_ms: u64,
    /// Buckets not sent yet.
    pub(super) remaining: VecDeque<u16>,
    /// Whether all buckets were requested, so that its pieces can be shared with other whole snapshots at
    /// this position.
    pub(super) whole: bool,
}

impl Snapshot {
    /// Removes the buckets of the next piece, at least one, from the remaining ones and returns the piece.
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

/// Pieces of whole snapshots at one position that are still being sent, so that clients that start without a
/// table at the same time share them. Keeps no piece alive; bounded by the number of pieces of one table.
#[derive(Debug, Default)]
pub(super) struct SharedPieces {
    /// Position and digest of the table that the pieces belong to.
    table_id: (Position, Digest),
    pieces: BTreeMap<u32, Weak<ToClient>>,
}

impl SharedPieces {
    pub(super) fn get(&self, table_id: (Position, Digest), sequence: u32) -> Option<Arc<ToClient>> {
        if self.table_id == table_id { self.pieces.get(&sequence)?.upgrade() } else { None }
    }

    pub(super) fn remember(&mut self, table_id: (Position, Digest), sequence: u32, piece: &Arc<ToClient>) {
        if table_id.0 > self.table_id.0 {
            *self = SharedPieces { table_id, pieces: BTreeMap::new() };
        }
        if table_id == self.table_id {
            self.pieces.insert(sequence, Arc::downgrade(piece));
        }
    }

    pub(super) fn clear(&mut self) {
        *self = SharedPieces::default();
    }
}
