//! A subscriber's state on disk: a snapshot of what was in force, and the transactions after it.

use crate::codec::{
    DecodeError, Record, SnapshotHeader, SnapshotReader, decode_record, encode_record, encode_snapshot,
};
use crate::resource::{Change, Digest, Position, Transaction};
use crate::subscriber::{Persist, PersistedState};
use crate::table::Table;
use dunlinspread_store::{Disk, Log, Options, ReplayItem, ReplayRejection, StoreError};
use std::sync::Arc;

/// Resources of a snapshot that are put into the table together.
const LOAD_BATCH: usize = 1024;

/// Why what is stored is not a state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// A record or snapshot can't be read.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// A transaction does not follow the one before.
    #[error("transaction {found:?} does not follow {head:?}")]
    DoesNotFollow {
        /// The position before.
        head: Position,
        /// The transaction's.
        found: Position,
    },
    /// The table is not the one that was stored.
    #[error("the table at {position:?} has digest {found:?}, wanted {wanted:?}")]
    Digest {
        /// Where.
        position: Position,
        /// What was computed.
        found: Digest,
        /// What is stored.
        wanted: Digest,
    },
}

/// The table of a snapshot, with what the snapshot says of it.
///
/// # Errors
/// If it can't be read, or its digest does not fit.
pub fn read_snapshot(bytes: &[u8]) -> Result<(SnapshotHeader, Table), StateError> {
    let mut reader = SnapshotReader::new(bytes)?;
    let header = reader.header().clone();
    let mut table = Table::new();
    loop {
        let batch = reader.by_ref().take(LOAD_BATCH);
        let changes = batch.map(|resource| resource.map(Change::Put)).collect::<Result<Vec<_>, _>>()?;
        if changes.is_empty() {
            break;
        }
        table.apply(&changes);
    }
    check_digest(&table, header.position, header.digest)?;
    Ok((header, table))
}

/// The bytes of a snapshot of a table.
pub fn write_snapshot(
    position: Position,
    published_unix_ms: u64,
    table: &Table,
    held_back: &[Change],
) -> Vec<u8> {
    let header = SnapshotHeader {
        position,
        digest: table.digest(),
        published_unix_ms,
        resources: table.len() as u64,
        held_back: held_back.to_vec(),
    };
    encode_snapshot(&header, table.iter())
}

fn check_digest(table: &Table, position: Position, wanted: Digest) -> Result<(), StateError> {
    let found = table.digest();
    if found == wanted { Ok(()) } else { Err(StateError::Digest { position, found, wanted }) }
}

/// Applies a transaction that has to follow, and checks the table's digest after it.
pub(crate) fn replay(
    state: &mut PersistedState,
    transaction: Arc<Transaction>,
    refused: bool,
) -> Result<(), StateError> {
    let (position, digest) = (transaction.position, transaction.digest);
    if position != state.position.next() {
        return Err(StateError::DoesNotFollow { head: state.position, found: position });
    }
    state.apply(&Persist::Append { transaction, refused });
    check_digest(&state.mirror, position, digest)
}

/// The longest name that a store keeps as it is.
const MAX_OWNER: usize = 79;

/// Whose store it is, by the name of a member: a long name is shortened, and kept apart by its hash.
pub(crate) fn owner_of(name: &str) -> String {
    if name.len() <= MAX_OWNER {
        return name.to_owned();
    }
    let kept: String = name.chars().take(12).collect();
    format!("{kept}#{:032x}", xxhash_rust::xxh3::xxh3_128(name.as_bytes()))
}

fn visit(state: &mut Option<PersistedState>, visited: ReplayItem<'_>) -> Result<(), StateError> {
    match visited {
        ReplayItem::Snapshot(_, bytes) => {
            let (header, mirror) = read_snapshot(bytes)?;
            let SnapshotHeader { position, published_unix_ms, held_back, .. } = header;
            *state = Some(PersistedState { position, published_unix_ms, mirror, held_back });
            Ok(())
        }
        ReplayItem::Record(_, bytes) => {
            let state = state.get_or_insert_default();
            match decode_record(bytes)? {
                Record::Transaction { transaction, refused } => replay(state, transaction, refused),
                Record::Epoch(epoch) => {
                    state.position = Position { epoch, revision: 0 };
                    Ok(())
                }
            }
        }
    }
}

/// The store of one subscriber's state.
pub struct StateStore {
    log: Log,
}

impl StateStore {
    /// Opens the store, a new one if nothing is there, with the state in it.
    ///
    /// # Errors
    /// If it is damaged, in use or another owner's, or the disk fails.
    pub fn open(
        disk: Arc<dyn Disk>,
        owner: &str,
    ) -> Result<(StateStore, Option<PersistedState>), StoreError> {
        let mut state = None;
        let options = Options::new(&owner_of(owner));
        let (log, _) =
            Log::open(disk, options, |visited| visit(&mut state, visited).map_err(ReplayRejection::new))?;
        Ok((StateStore { log }, state))
    }

    /// Keeps records, in order, with one sync for those that only append.
    ///
    /// # Errors
    /// Of the disk. The store is then to be opened anew.
    pub fn keep(&mut self, records: &[Persist]) -> Result<(), StoreError> {
        // What is before a whole state does not matter any more.
        let whole = records.iter().rposition(|record| matches!(record, Persist::Replace(_)));
        if let Some(Persist::Replace(state)) = whole.and_then(|at| records.get(at)) {
            let content =
                write_snapshot(state.position, state.published_unix_ms, &state.mirror, &state.held_back);
            self.log.snapshot(self.log.next_record(), &content)?;
        }
        let appended: Vec<Vec<u8>> =
            records[whole.map_or(0, |at| at + 1)..].iter().filter_map(append).collect();
        self.log.commit(&appended)?;
        Ok(())
    }

    /// Closes the store in good order.
    ///
    /// # Errors
    /// Of the disk.
    pub fn close(self) -> Result<(), StoreError> {
        self.log.close()
    }
}

fn append(record: &Persist) -> Option<Vec<u8>> {
    match record {
        Persist::Append { transaction, refused } => {
            let record = Record::Transaction { transaction: transaction.clone(), refused: *refused };
            Some(encode_record(&record))
        }
        Persist::Replace(_) => None,
    }
}
