//! Staging of a snapshot: its pieces are kept apart from the table until all have arrived.

use super::api::SessionFault;
use crate::message::{BUCKETS, BucketContent};
use crate::resource::{Digest, Position};
use crate::table::{Table, bucket_of};

/// The pieces received so far.
pub(super) struct Staging {
    buckets: Vec<BucketContent>,
    seen: Vec<bool>,
    pieces: u32,
    resources: usize,
    max_resources: usize,
}

impl Staging {
    pub(super) fn new(max_resources: usize) -> Staging {
        Staging { buckets: Vec::new(), seen: vec![false; BUCKETS], pieces: 0, resources: 0, max_resources }
    }

    /// Adds a piece, which must be the next in sequence.
    pub(super) fn add_piece(
        &mut self,
        sequence: u32,
        buckets: Vec<BucketContent>,
    ) -> Result<(), SessionFault> {
        if sequence != self.pieces {
            return Err(SessionFault::PieceOrder { wanted: self.pieces, found: sequence });
        }
        for content in &buckets {
            self.check_bucket(content)?;
        }
        self.buckets.extend(buckets);
        self.pieces += 1;
        Ok(())
    }

    fn check_bucket(&mut self, content: &BucketContent) -> Result<(), SessionFault> {
        let invalid = SessionFault::Bucket(content.bucket);
        match self.seen.get_mut(usize::from(content.bucket)) {
            Some(seen) if !*seen => *seen = true,
            _ => return Err(invalid),
        }
        if content.resources.iter().any(|resource| bucket_of(&resource.key()) != content.bucket) {
            return Err(invalid);
        }
        self.resources += content.resources.len();
        if self.resources > self.max_resources {
            return Err(SessionFault::TooManyResources(self.max_resources));
        }
        Ok(())
    }

    /// Returns `base` with the buckets of the complete snapshot, if the number of pieces and the digest
    /// match.
    pub(super) fn finish(
        self,
        base: &Table,
        position: Position,
        digest: Digest,
        pieces: u32,
    ) -> Result<Table, SessionFault> {
        if pieces != self.pieces {
            return Err(SessionFault::PieceOrder { wanted: self.pieces, found: pieces });
        }
        let mut table = base.clone();
        table.replace(self.buckets);
        if table.digest() != digest {
            return Err(SessionFault::SnapshotDigest(position));
        }
        if table.len() > self.max_resources {
            return Err(SessionFault::TooManyResources(self.max_resources));
        }
        Ok(table)
    }
}
