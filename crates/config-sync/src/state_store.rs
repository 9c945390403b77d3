//! A subscriber's state on disk: a snapshot of the settings in force, and the transactions after it.

use crate::codec::{
    DecodeError, Record, SnapshotHeader, SnapshotReader, decode_record, encode_record, encode_snapshot,
};
use crate::resource::{Change, Digest, Position, Transaction};
use crate::subscriber::{Persist, PersistedState};
use crate::table::Table;
use dunlinspread_store::{Disk, Log, Options, ReplayItem, ReplayRejection, StoreError};
use std::sync::Arc;

/// Number of resources of a snapshot that are added to the table at once.
const LOAD_BATCH: usize = 1024;

/// Reason why the stored data is not a valid state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// A record or snapshot can't be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// A transaction does not follow the previous one.
    #[error("transaction {found:?} does not follow {head:?}")]
    DoesNotFollow {
        /// Position before the transaction.
        head: Position,
        /// Position of the transaction.
        found: Position,
    },
    /// The digest of the table differs from the stored one.
    #[error("the table at {position:?} has digest {found:?}, expected {wanted:?}")]
    Digest {
        /// Position of the table.
        position: Position,
        /// Computed digest.
        found: Digest,
        /// Stored digest.
        wanted: Digest,
    },
}

/// Decodes a snapshot and returns its header and its table.
///
/// # Errors
/// Returns [`StateError::Decode`] if the snapshot can't be decoded, and [`StateError::Digest`] if the digest
/// of its table does not match.
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

/// Returns the encoding of a snapshot of a table.
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

/// Applies a transaction, which must follow the state's position, and checks the digest of the table after
/// it.
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

/// Maximum length of an owner's name in a store, in bytes; longer names are abbreviated.
const MAX_OWNER_BYTES: usize = 79;

/// Returns the owner of a store for a member's name. A long name is abbreviated and made unique by its hash.
pub(crate) fn owner_of(name: &str) -> String {
    if name.len() <= MAX_OWNER_BYTES {
        return name.to_owned();
    }
    let prefix: String = name.chars().take(12).collect();
    format!("{prefix}#{:032x}", xxhash_rust::xxh3::xxh3_128(name.as_bytes()))
}

fn replay_item(state: &mut Option<PersistedState>, item: ReplayItem<'_>) -> Result<(), StateError> {
    match item {
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

/// Store of one subscriber's state.
pub struct StateStore {
    log: Log,
}

impl StateStore {
    /// Opens the store, or creates it if none exists, and returns it with the state in it.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the store is damaged, in use or another owner's, or the disk fails.
    pub fn open(
        disk: Arc<dyn Disk>,
        owner: &str,
    ) -> Result<(StateStore, Option<PersistedState>), StoreError> {
        let mut state = None;
        let options = Options::new(&owner_of(owner));
        let (log, _) =
            Log::open(disk, options, |item| replay_item(&mut state, item).map_err(ReplayRejection::new))?;
        Ok((StateStore { log }, state))
    }

    /// Writes records in order, with one sync for all that only append.
    ///
    /// # Errors
    /// Returns the [`StoreError`] of the disk. The store must then be reopened.
    pub fn keep(&mut self, records: &[Persist]) -> Result<(), StoreError> {
        // A whole state replaces all records before it.
        let last_whole = records.iter().rposition(|record| matches!(record, Persist::Replace(_)));
        if let Some(Persist::Replace(state)) = last_whole.and_then(|at| records.get(at)) {
            let content =
                write_snapshot(state.position, state.published_unix_ms, &state.mirror, &state.held_back);
            self.log.snapshot(self.log.next_record(), &content)?;
        }
        let appended: Vec<Vec<u8>> =
            records[last_whole.map_or(0, |at| at + 1)..].iter().filter_map(encode_append).collect();
        self.log.commit(&appended)?;
        Ok(())
    }

    /// Closes the store cleanly.
    ///
    /// # Errors
    /// Returns the [`StoreError`] of the disk.
    pub fn close(self) -> Result<(), StoreError> {
        self.log.close()
    }
}

fn encode_append(record: &Persist) -> Option<Vec<u8>> {
    match record {
        Persist::Append { transaction, refused } => {
            let record = Record::Transaction { transaction: transaction.clone(), refused: *refused };
            Some(encode_record(&record))
        }
        Persist::Replace(_) => None,
    }
}
