//! Division of a snapshot into frames.

use crate::message::{KeyRecord, RunRecordState, ToSuccessor};

/// Maximum size of the records in a snapshot piece, in bytes. A single longer record makes a piece of its
/// own.
pub const SNAPSHOT_PIECE_BYTES: usize = 64 << 10;

/// Upper bound of the encoded size of a record without its key and its result, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 96;

/// Returns the records in frames of at most about [`SNAPSHOT_PIECE_BYTES`], without the end of the snapshot.
///
/// The iterator is lazy: records are taken only as frames are, so that not all records are in memory twice.
pub fn snapshot_pieces(records: impl IntoIterator<Item = KeyRecord>) -> impl Iterator<Item = ToSuccessor> {
    let mut records = records.into_iter().peekable();
    std::iter::from_fn(move || {
        let mut piece = vec![records.next()?];
        let mut bytes = max_encoded_bytes(&piece[0]);
        while let Some(record) =
            records.next_if(|next| bytes + max_encoded_bytes(next) <= SNAPSHOT_PIECE_BYTES)
        {
            bytes += max_encoded_bytes(&record);
            piece.push(record);
        }
        Some(ToSuccessor::Keys(piece))
    })
}

/// Returns an upper bound of the encoded size of a record, in bytes.
fn max_encoded_bytes(record: &KeyRecord) -> usize {
    let result_bytes = match record.run.as_ref().map(|run| &run.state) {
        Some(RunRecordState::Completed(result)) => result.len(),
        Some(RunRecordState::Running | RunRecordState::Failed) | None => 0,
    };
    RECORD_OVERHEAD_BYTES + record.key.len() + result_bytes
}
