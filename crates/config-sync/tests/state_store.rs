//! A subscriber's state on disk: what was kept is there after a crash at any operation, whole.

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

/// The transaction that follows a state.
fn transaction(state: &PersistedState) -> Arc<Transaction> {
    let position = Position { epoch: EPOCH, revision: state.position.revision + 1 };
    let changes = vec![tenant(position.revision % 5, position.revision)];
    let mut mirror = state.mirror.clone();
    mirror.apply(&changes);
    let published_unix_ms = 1_000 + position.revision;
    Arc::new(Transaction { position, changes, digest: mirror.digest(), published_unix_ms })
}

/// What a subscriber would hand over next: mostly transactions, some refused, now and then a whole state.
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

fn same(left: &PersistedState, right: &PersistedState) -> bool {
    left.position == right.position
        && left.mirror == right.mirror
        && left.held_back == right.held_back
        && left.published_unix_ms == right.published_unix_ms
}

/// All states in the order in which they were handed over, and how many were reported kept.
struct Trace {
    states: Vec<PersistedState>,
    kept: usize,
}

fn scenario(disk: &SimDisk, trace: &mut Trace) -> Result<(), StoreError> {
    let (mut store, _) = StateStore::open(Arc::new(disk.clone()), "round-server")?;
    for step in 0..14 {
        // Several records together, too.
        let mut batch = Vec::new();
        for part in 0..1 + step % 3 {
            let last = trace.states.last().expect("the first one is there");
            let record = record(last, step * 3 + part);
            let mut next = last.clone();
            next.apply(&record);
            trace.states.push(next);
            batch.push(record);
        }
        store.keep(&batch)?;
        trace.kept = trace.states.len() - 1;
    }
    store.close()
}

#[test]
fn a_crash_at_each_operation_leaves_a_state_that_was_handed_over_and_none_older_than_kept() {
    for at in 0..1_000 {
        let what = format!("power cut at operation {at}");
        let disk = SimDisk::new(at);
        disk.set_faults(Faults { crash_at: Some(at), short_transfers: at % 2 == 1, ..Faults::default() });
        let mut trace = Trace { states: vec![PersistedState::default()], kept: 0 };
        let ended = scenario(&disk, &mut trace);
        let crashed = disk.is_powered_off();
        assert!(crashed || ended.is_ok(), "{what}: {ended:?}");
        disk.power_cycle();
        let (_, found) = StateStore::open(Arc::new(disk), "round-server").expect(&what);
        let found = found.unwrap_or_default();
        let possible = &trace.states[trace.kept..];
        assert!(possible.iter().any(|state| same(state, &found)), "{what}: {found:?}");
        if !crashed {
            assert!(at > 50, "{what}: the scenario is longer");
            return;
        }
    }
    panic!("more operations than were tried");
}

#[test]
fn a_record_that_does_not_follow_is_refused_by_its_number() {
    let disk: Arc<dyn Disk> = Arc::new(SimDisk::new(1));
    let (mut log, _) = Log::open(disk.clone(), Options::new("round-server"), |_| Ok(())).expect("a new one");
    let begin =
        PersistedState { position: Position { epoch: EPOCH, revision: 0 }, ..PersistedState::default() };
    let first = transaction(&begin);
    let later = Transaction { position: first.position.next().next(), ..(*first).clone() };
    let records = [Record::Epoch(EPOCH), stored(first), stored(Arc::new(later))];
    log.commit(&records.map(|record| encode_record(&record))).expect("written");
    drop(log);
    let error = StateStore::open(disk, "round-server").err().expect("it does not fit");
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
    drop(StateStore::open(Arc::new(disk.clone()), &name('a')).expect("a new one"));
    drop(StateStore::open(Arc::new(disk.clone()), &name('a')).expect("its own"));
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
    let (header, read) = read_snapshot(&bytes).expect("it comes back");
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
