//! A snapshot, cut into frames.

use crate::message::{KeyRecord, RunRecordState, ToSuccessor};

/// How many bytes of records a piece of a snapshot has at most, unless a single record is longer.
pub const SNAPSHOT_PIECE_BYTES: usize = 64 << 10;

/// The most bytes that a record takes beside its key and its result.
const RECORD_OVERHEAD_BYTES: usize = 96;

/// Returns the records in frames of about [`SNAPSHOT_PIECE_BYTES`], without the end of the snapshot. Records are taken
/// as the frames are, so that they don't all stand in memory twice.
pub fn snapshot_pieces(records: impl IntoIterator<Item = KeyRecord>) -> impl Iterator<Item = ToSuccessor> {
    let mut records = records.into_iter().peekable();
    std::iter::from_fn(move || {
        let mut piece = vec![records.next()?];
        let mut bytes = most_bytes(&piece[0]);
        while let Some(record) = records.next_if(|next| bytes + most_bytes(next) <= SNAPSHOT_PIECE_BYTES) {
            bytes += most_bytes(&record);
            piece.push(record);
        }
        Some(ToSuccessor::Keys(piece))
    })
}

/// Returns an upper bound of a record's bytes in a frame.
fn most_bytes(record: &KeyRecord) -> usize {
    let result_bytes = match record.run.as_ref().map(|run| &run.state) {
        Some(RunRecordState::Completed(result)) => result.len(),
        Some(RunRecordState::Running | RunRecordState::Failed) | None => 0,
    };
    RECORD_OVERHEAD_BYTES + record.key.len() + result_bytes
}
