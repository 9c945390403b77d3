//! A subscriber's state on disk: a stored state survives a crash at any operation whole.

mod support;

use dunlinspread_config_sync::codec::{Record, encode_record};
use dunlinspread_config_sync::resource::{Change, Position, Resource, Transaction};
use dunlinspread_config_sync::state_store::{StateStore, read_snapshot, write_snapshot};
use dunlinspread_config_sync::subscriber::{Persist, PersistedState};
use dunlinspread_config_sync::table::Table;
use dunlinspread_store::sim::{Faults, SimDisk};
use dunlinspread_store::{Disk, Log, Options, StoreError};
use proptest::prelude::*;
use std::sync::Arc;

const EPOCH: u64 = 7;

fn tenant(number: u64, milli_per_second: u64) -> Change {
    let tenant = format!("tenant-{number}").into();
    Change::Put(Resource::TenantAllowance { tenant, milli_per_second })
}

/// Returns a transaction that follows a state.
fn transaction(state: &PersistedState) -> Arc<Transaction> {
    let position = Position { epoch: EPOCH, revision: state.position.revision + 1 };
    let changes = vec![tenant(position.revision % 5, position.revision)];
    let mut mirror = state.mirror.clone();
    mirror.apply(&changes);
    let published_unix_ms = 1_000 + position.revision;
    Arc::new(Transaction { position, changes, digest: mirror.digest(), published_unix_ms })
}

/// Returns a record as a subscriber would write it next: usually a transaction, some of them refused, and
/// sometimes a whole state.
fn record(state: &PersistedState, step: u64) -> Persist {
    let transaction = transaction(state);
    if step % 4 != 0 {
        return Persist::Append { transaction, refused: step % 3 == 0 };
    }
    let mut whole = state.clone();
    whole.apply(&Persist::Append { transaction, refused: false });
    whole.position.epoch = EPOCH;
    Persist::Replace(whole)
}

fn is_same_state(left: &PersistedState, right: &PersistedState) -> bool {
    left.position == right.position
        && left.mirror == right.mirror
        && left.held_back == right.held_back
        && left.published_unix_ms == right.published_unix_ms
}

/// States in the order in which they were given to the store.
struct Trace {
    states: Vec<PersistedState>,
    /// Index of the last state that the store reported as written.
    stored: usize,
}

fn scenario(disk: &SimDisk, trace: &mut Trace) -> Result<(), StoreError> {
    let (mut store, _) = StateStore::open(Arc::new(disk.clone()), "round-server")?;
    for step in 0..14 {
        // Some batches have several records.
        let mut batch = Vec::new();
        for part in 0..1 + step % 3 {
            let last = trace.states.last().expect("an initial state");
            let record = record(last, step * 3 + part);
            let mut next = last.clone();
            next.apply(&record);
            trace.states.push(next);
            batch.push(record);
        }
        store.keep(&batch)?;
        trace.stored = trace.states.len() - 1;
    }
    store.close()
}

#[test]
fn a_crash_at_each_operation_leaves_a_state_that_was_handed_over_and_none_older_than_kept() {
    for at in 0..1_000 {
        let description = format!("power cut at operation {at}");
        let disk = SimDisk::new(at);
        disk.set_faults(Faults { crash_at: Some(at), short_transfers: at % 2 == 1, ..Faults::default() });
        let mut trace = Trace { states: vec![PersistedState::default()], stored: 0 };
        let result = scenario(&disk, &mut trace);
        let crashed = disk.is_powered_off();
        assert!(crashed || result.is_ok(), "{description}: {result:?}");
        disk.power_cycle();
        let (_, recovered) = StateStore::open(Arc::new(disk), "round-server").expect(&description);
        let recovered = recovered.unwrap_or_default();
        let possible = &trace.states[trace.stored..];
        assert!(
            possible.iter().any(|state| is_same_state(state, &recovered)),
            "{description}: {recovered:?}"
        );
        if !crashed {
            assert!(at > 50, "{description}: the scenario ended too early");
            return;
        }
    }
    panic!("the scenario has more operations than were tried");
}

#[test]
fn a_record_that_does_not_follow_is_refused_by_its_number() {
    let disk: Arc<dyn Disk> = Arc::new(SimDisk::new(1));
    let (mut log, _) =
        Log::open(disk.clone(), Options::new("round-server"), |_| Ok(())).expect("a new store");
    let begin =
        PersistedState { position: Position { epoch: EPOCH, revision: 0 }, ..PersistedState::default() };
    let first = transaction(&begin);
    let later = Transaction { position: first.position.next().next(), ..(*first).clone() };
    let records = [Record::Epoch(EPOCH), stored(first), stored(Arc::new(later))];
    log.commit(&records.map(|record| encode_record(&record))).expect("written");
    drop(log);
    let error = StateStore::open(disk, "round-server").err().expect("the record does not follow");
    assert!(matches!(error, StoreError::Rejected { number: 3, .. }), "{error}");
    assert!(error.to_string().contains("does not follow"), "{error}");
}

fn stored(transaction: Arc<Transaction>) -> Record {
    Record::Transaction { transaction, refused: false }
}

#[test]
fn long_names_own_stores_that_are_kept_apart() {
    let disk = SimDisk::new(1);
    let name = |last: char| format!("{}{last}", "é".repeat(63));
    drop(StateStore::open(Arc::new(disk.clone()), &name('a')).expect("a new store"));
    drop(StateStore::open(Arc::new(disk.clone()), &name('a')).expect("a store of the same name"));
    let other = StateStore::open(Arc::new(disk), &name('b')).err();
    assert!(matches!(other, Some(StoreError::Owner { .. })), "{other:?}");
}

#[test]
fn a_snapshot_of_many_resources_comes_back() {
    let mut table = Table::new();
    let changes: Vec<Change> = (0..5_000).map(|number| tenant(number, number)).collect();
    table.apply(&changes);
    let position = Position { epoch: EPOCH, revision: 9 };
    let bytes = write_snapshot(position, 77, &table, &changes[..3]);
    let (header, read) = read_snapshot(&bytes).expect("a readable snapshot");
    assert_eq!((header.position, header.published_unix_ms, header.resources), (position, 77, 5_000));
    assert_eq!((read.digest(), read.len(), header.held_back), (table.digest(), 5_000, changes[..3].to_vec()));
}

proptest! {
    #[test]
    fn a_damaged_snapshot_is_refused_or_reads_as_the_same_table(
        changes in support::changes(),
        at in any::<prop::sample::Index>(),
        flip in 1_u8..,
    ) {
        let mut table = Table::new();
        table.apply(&changes);
        let bytes = write_snapshot(Position { epoch: 1, revision: 1 }, 5, &table, &[]);
        let mut damaged = bytes.clone();
        let at = at.index(bytes.len());
        damaged[at] ^= flip;
        if let Ok((_, read)) = read_snapshot(&damaged) {
            prop_assert_eq!(read.digest(), table.digest());
        }
    }
}
