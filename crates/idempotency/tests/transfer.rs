//! Transfer of the table to another process at any time of a random history, compared with a table that stays
//! in one process, and tests of each part of the transfer.

mod transfer_support;

use dunlinspread_idempotency::{
    Bounds, DuplicateRun, FailedRun, IdempotencyTable, ImportError, KeyRecord, KeyWindow, Lookup,
    ReuseOutcome, RunRecord, RunRecordState, RunResult,
};
use proptest::prelude::*;
use std::rc::Rc;
use transfer_support::process::{MAX_READ_DELAY_MS, Process, WINDOW_MS};
use transfer_support::server::{Comparison, Server};
use transfer_support::step::steps;

/// Slack that the table adds to every window, ms.
const WINDOW_SLACK_MS: f64 = 60.0;
/// Limit for the size of results that no history exceeds, in bytes.
const AMPLE_RESULT_BYTES: usize = 100_000;
/// First identifier that a successor assigns to an attempt.
const SUCCESSOR_FIRST_ID: u64 = 5000;

/// Returns a strategy for limits that allow no result, one, a few, or all.
fn result_bytes() -> impl Strategy<Value = usize> {
    prop_oneof![Just(0usize), Just(60), Just(100), Just(130), Just(AMPLE_RESULT_BYTES)]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// After a transfer the transferred table decides like the original one, also about runs that end after
    /// the transfer, and after the predecessor has ended.
    #[test]
    fn a_moved_table_decides_as_if_it_had_stayed(
        before in steps(150), pending in steps(100), after in steps(100), result_bytes in result_bytes()
    ) {
        let mut server = Server::new(result_bytes);
        before.into_iter().for_each(|step| server.step(step));
        let exact = result_bytes == AMPLE_RESULT_BYTES;
        let comparison = if exact { Comparison::Exact } else { Comparison::MayEvictEarlier };
        server.copy_to(Process::new(result_bytes, SUCCESSOR_FIRST_ID), comparison);
        pending.into_iter().for_each(|step| server.step(step));
        server.lose_predecessor();
        after.into_iter().for_each(|step| server.step(step));
        server.settle();
    }

    /// If the predecessor has ended when the history continues, the transferred table decides exactly like
    /// the original one even with a small size limit, since both evict results in the same order.
    #[test]
    fn a_moved_table_evicts_as_if_it_had_stayed(
        before in steps(150), after in steps(150), result_bytes in result_bytes()
    ) {
        let mut server = Server::new(result_bytes);
        before.into_iter().for_each(|step| server.step(step));
        server.copy_to(Process::new(result_bytes, SUCCESSOR_FIRST_ID), Comparison::Exact);
        server.lose_predecessor();
        after.into_iter().for_each(|step| server.step(step));
        server.settle();
    }

    /// No key runs twice within its window across a handover and the death of the successor. After the
    /// blackout, keys run again.
    #[test]
    fn no_key_runs_twice_in_its_window_over_a_handover_and_back(
        before in steps(100), handed_over in steps(100), after in steps(100), result_bytes in result_bytes()
    ) {
        let mut server = Server::new(result_bytes);
        before.into_iter().for_each(|step| server.step(step));
        server.hand_over_to(Process::new(result_bytes, SUCCESSOR_FIRST_ID));
        handed_over.into_iter().for_each(|step| server.step(step));
        let blackout_end = server.take_back();
        let table = &server.predecessor.table;
        prop_assert_eq!(table.lookup(b"unknown", 7, blackout_end), Lookup::Expired);
        prop_assert_eq!(table.lookup(b"unknown", 7, blackout_end + 1.0), Lookup::New);
        after.into_iter().for_each(|step| server.step(step));
        server.settle();
    }
}

fn table(keys: usize, result_bytes: usize) -> IdempotencyTable<Vec<u8>> {
    let window = KeyWindow { window_ms: WINDOW_MS, max_read_delay_ms: MAX_READ_DELAY_MS };
    IdempotencyTable::new(Bounds { keys, result_bytes }, vec![window])
}

fn key(text: &str) -> Rc<[u8]> {
    text.as_bytes().into()
}

/// Begins the run of an attempt with the body hash 7.
fn begin_run_at(table: &mut IdempotencyTable<Vec<u8>>, key: &Rc<[u8]>, attempt: u64, received_at: f64) {
    assert_eq!(table.arrive(key, 0, 7, attempt, received_at), Lookup::New);
    assert_eq!(table.begin_run(key, 7, attempt, received_at), Ok(vec![]));
}

fn begin_run(table: &mut IdempotencyTable<Vec<u8>>, key: &Rc<[u8]>, attempt: u64) {
    begin_run_at(table, key, attempt, 0.0);
}

fn run(table: &mut IdempotencyTable<Vec<u8>>, key: &Rc<[u8]>, attempt: u64, result: RunResult<Vec<u8>>) {
    begin_run(table, key, attempt);
    let _no_waiters = table.finish_run(key, attempt, result);
    table.finish_attempt(key, attempt);
}

/// Returns the record of a run of an attempt with the body hash 7, received at time 0.
fn record(key: &Rc<[u8]>, state: RunRecordState<Vec<u8>>) -> KeyRecord<Vec<u8>> {
    let window_end = WINDOW_MS + WINDOW_SLACK_MS;
    let run = RunRecord { attempt: 1, body_hash: 7, window_end, state };
    KeyRecord { key: key.clone(), class: 0, run: Some(run), previous_window_end: None }
}

/// Keys with results come first, oldest result first. Keys that never ran have no record.
#[test]
fn an_export_holds_all_runs_and_no_reservations() {
    let mut table = table(10, 1000);
    let [late, early, failed, running, reserved] =
        ["late", "early", "failed", "running", "reserved"].map(key);
    begin_run(&mut table, &late, 1);
    run(&mut table, &early, 2, RunResult::Completed(vec![2; 3]));
    let _no_waiters = table.finish_run(&late, 1, RunResult::Completed(vec![1; 3]));
    table.finish_attempt(&late, 1);
    run(&mut table, &failed, 3, RunResult::Failed);
    begin_run(&mut table, &running, 4);
    assert_eq!(table.arrive(&reserved, 0, 7, 5, 0.0), Lookup::New);
    let mut records: Vec<_> = table.export(0.0).collect();
    records[2..].sort_by(|one, other| one.key.cmp(&other.key));
    let mut expected = vec![
        record(&early, RunRecordState::Completed(vec![2; 3])),
        record(&late, RunRecordState::Completed(vec![1; 3])),
        record(&failed, RunRecordState::Failed),
        record(&running, RunRecordState::Running),
    ];
    for (record, attempt) in expected.iter_mut().zip([2, 1, 3, 4]) {
        record.run.as_mut().expect("a run").attempt = attempt;
    }
    assert_eq!(records, expected);
    let last_read_at = WINDOW_MS + WINDOW_SLACK_MS + MAX_READ_DELAY_MS;
    assert_eq!(table.export(last_read_at).count(), 4);
    let open: Vec<_> = table.export(last_read_at + 1.0).map(|record| record.key).collect();
    assert_eq!(open, [running], "the other keys are no longer needed");
}

/// A key for which only the end of a superseded run's window is known is transferred, and attempts received
/// within that window don't run.
#[test]
fn the_window_of_a_superseded_run_travels() {
    let mut old = table(10, 1000);
    let key = key("k");
    run(&mut old, &key, 1, RunResult::Completed(vec![1]));
    assert_eq!(old.arrive(&key, 0, 7, 2, 600.0), Lookup::New);
    assert_eq!(old.begin_run(&key, 7, 2, 600.0), Ok(vec![]));
    assert_eq!(old.finish_run(&key, 2, RunResult::NotStarted).waiters, vec![]);
    let records: Vec<_> = old.export(600.0).collect();
    let previous_window_end = Some(WINDOW_MS + WINDOW_SLACK_MS);
    let expected = KeyRecord { key: key.clone(), class: 0, run: None, previous_window_end };
    assert_eq!(records, std::slice::from_ref(&expected));
    let mut new = table(10, 1000);
    assert_eq!(new.import(expected, 50), Ok(()));
    assert_eq!(new.lookup(&key, 7, 490.0), Lookup::Expired);
    assert_eq!(new.begin_run(&key, 7, 51, 490.0), Err(DuplicateRun));
    assert_eq!(new.lookup(&key, 7, 600.0), Lookup::New);
}

/// A record that can't be imported leaves the table unchanged, and the error names the key.
#[test]
fn what_can_not_be_loaded_is_an_error() {
    let mut table = table(1, 1000);
    let [known, other] = ["known", "other"].map(key);
    let state = RunRecordState::Completed(vec![1; 9]);
    let no_class = KeyRecord { class: 1, ..record(&known, state.clone()) };
    let unknown_class = table.import(no_class, 1).expect_err("the table has one class");
    assert_eq!(unknown_class, ImportError::UnknownClass { key: "known".to_owned(), class: 1 });
    assert!(table.is_empty());
    assert_eq!(table.import(record(&known, state.clone()), 1), Ok(()));
    let known_key = table.import(record(&known, state.clone()), 2).expect_err("the key is in the table");
    assert_eq!(known_key, ImportError::KnownKey { key: "known".to_owned() });
    let full = table.import(record(&other, state), 3).expect_err("the table is full");
    assert_eq!(full, ImportError::TableFull { key: "other".to_owned(), max_keys: 1 });
    assert!(full.to_string().contains("other"), "{full}");
    assert_eq!((table.len(), table.result_bytes()), (1, 9));
    assert_eq!(table.lookup(&known, 7, 0.0), Lookup::DuplicateOf(1));
}

/// Results beyond the size limit are evicted in the order of their records. Their keys remain in the table.
#[test]
fn loaded_results_are_evicted_oldest_first() {
    let mut table = table(10, 100);
    let keys = ["oldest", "middle", "newest"].map(key);
    for (key, attempt) in keys.iter().zip(1..) {
        assert_eq!(table.import(record(key, RunRecordState::Completed(vec![0; 40])), attempt), Ok(()));
    }
    assert_eq!(table.result_bytes(), 80);
    let [oldest, middle, newest] = &keys;
    assert_eq!(table.reuse_result(oldest, 50, 0.0), ReuseOutcome::Ready(None));
    run(&mut table, &key("own"), 4, RunResult::Completed(vec![0; 40]));
    assert_eq!(table.reuse_result(middle, 51, 0.0), ReuseOutcome::Ready(None));
    assert_eq!(table.reuse_result(newest, 52, 0.0), ReuseOutcome::Ready(Some(vec![0; 40])));
    assert_eq!((table.len(), table.result_bytes()), (4, 80));
}

/// An imported run that is in progress keeps its key in use, ends once, and returns all attempts that wait
/// for it.
#[test]
fn a_loaded_run_ends_once_and_answers_its_waiters() {
    let mut table = table(10, 1000);
    let key = key("k");
    assert_eq!(table.import(record(&key, RunRecordState::Running), 50), Ok(()));
    for duplicate in [51, 52] {
        assert_eq!(table.arrive(&key, 0, 7, duplicate, 100.0), Lookup::DuplicateOf(50));
        assert_eq!(table.reuse_result(&key, duplicate, 100.0), ReuseOutcome::Pending);
    }
    assert_eq!(table.begin_run(&key, 7, 52, 100.0), Err(DuplicateRun));
    let finished = table.finish_run(&key, 50, RunResult::Completed(vec![1; 9]));
    assert_eq!((finished.waiters, finished.result), (vec![51, 52], Some(vec![1; 9])));
    let finished_again = table.finish_run(&key, 50, RunResult::Completed(vec![2; 9]));
    assert_eq!((finished_again.waiters, finished_again.result), (vec![], None));
    assert_eq!(table.result_bytes(), 9);
    assert_eq!(table.reuse_result(&key, 53, 100.0), ReuseOutcome::Ready(Some(vec![1; 9])));
    assert_eq!(table.end_import(), vec![]);
}

/// Once the predecessor has ended, all waiters of its runs are returned, and duplicates of these runs fail
/// within their windows.
#[test]
fn runs_of_a_predecessor_that_is_gone_fail_with_all_their_waiters() {
    let mut table = table(10, 1000);
    let [waited_for, alone, superseded, completed, own] = ["a", "b", "c", "d", "e"].map(key);
    for (key, attempt) in [(&waited_for, 50), (&alone, 51), (&superseded, 52)] {
        assert_eq!(table.import(record(key, RunRecordState::Running), attempt), Ok(()));
    }
    assert_eq!(table.import(record(&completed, RunRecordState::Completed(vec![1])), 53), Ok(()));
    begin_run(&mut table, &own, 60);
    for duplicate in [61, 62] {
        assert_eq!(table.arrive(&waited_for, 0, 7, duplicate, 1.0), Lookup::DuplicateOf(50));
        assert_eq!(table.reuse_result(&waited_for, duplicate, 1.0), ReuseOutcome::Pending);
    }
    assert_eq!(table.arrive(&superseded, 0, 7, 63, 600.0), Lookup::New);
    assert_eq!(table.begin_run(&superseded, 7, 63, 600.0), Ok(vec![]));
    let expected =
        [FailedRun { attempt: 50, waiters: vec![61, 62] }, FailedRun { attempt: 51, waiters: vec![] }];
    assert_eq!(table.end_import(), expected);
    assert_eq!(table.end_import(), vec![], "each lost run is returned once");
    assert_eq!(table.reuse_result(&alone, 64, 1.0), ReuseOutcome::Ready(None));
    assert_eq!(table.begin_run(&waited_for, 7, 61, 1.0), Err(DuplicateRun));
    assert_eq!(table.reuse_result(&completed, 65, 1.0), ReuseOutcome::Ready(Some(vec![1])));
    assert_eq!(table.reuse_result(&own, 66, 1.0), ReuseOutcome::Pending, "its own run goes on");
    assert_eq!(table.reuse_result(&superseded, 67, 600.0), ReuseOutcome::Pending, "its own run goes on");
}

/// The predecessor may forward an attempt that it read in time and held for long. The key is therefore kept
/// until the predecessor has ended, and at least for its window.
#[test]
fn a_loaded_key_stays_until_the_predecessor_is_gone_and_its_window_is_over() {
    let last_read_at = WINDOW_MS + WINDOW_SLACK_MS + MAX_READ_DELAY_MS;
    for state in [RunRecordState::Running, RunRecordState::Failed, RunRecordState::Completed(vec![1])] {
        let mut table = table(10, 1000);
        let key = key("k");
        assert_eq!(table.import(record(&key, state.clone()), 50), Ok(()));
        table.sweep(10.0 * last_read_at);
        assert_eq!(table.lookup(&key, 7, WINDOW_MS), Lookup::DuplicateOf(50), "{state:?}");
        let _failed = table.end_import();
        table.sweep(last_read_at);
        assert_eq!(table.lookup(&key, 7, WINDOW_MS), Lookup::DuplicateOf(50), "{state:?}");
        table.sweep(last_read_at + 1.0);
        assert!(table.is_empty(), "{state:?}");
        assert_eq!(table.result_bytes(), 0, "{state:?}");
    }
}

/// An imported run that turns out never to have begun releases its key, and its entry is removed.
#[test]
fn a_loaded_run_that_never_began_frees_its_key() {
    let mut table = table(10, 1000);
    let key = key("k");
    assert_eq!(table.import(record(&key, RunRecordState::Running), 50), Ok(()));
    let _no_waiters = table.finish_run(&key, 50, RunResult::NotStarted);
    assert_eq!(table.lookup(&key, 7, 1.0), Lookup::New);
    table.sweep(1.0);
    assert!(table.is_empty());
}

/// After a failed handover the table is cleared, and all keys can be imported again.
#[test]
fn a_cleared_table_is_as_new() {
    let mut table = table(1, 1000);
    let key = key("k");
    let record = record(&key, RunRecordState::Completed(vec![1; 9]));
    assert_eq!(table.import(record.clone(), 50), Ok(()));
    table.clear();
    assert_eq!((table.len(), table.result_bytes()), (0, 0));
    assert_eq!(table.lookup(&key, 7, 1.0), Lookup::New);
    assert_eq!(table.import(record, 51), Ok(()));
    assert_eq!(table.result_bytes(), 9);
}

/// In a blackout any key may have been run by the other process. Runs that this process knows can still be
/// reused.
#[test]
fn in_a_blackout_only_known_runs_are_answered() {
    let mut table = table(10, 1000);
    let [known, reserved, unknown] = ["known", "reserved", "unknown"].map(key);
    run(&mut table, &known, 1, RunResult::Completed(vec![1]));
    assert_eq!(table.arrive(&reserved, 0, 7, 2, 0.0), Lookup::New);
    table.begin_blackout(2000.0);
    table.begin_blackout(1000.0);
    assert_eq!(table.lookup(&known, 7, 1.0), Lookup::DuplicateOf(1));
    assert_eq!(table.lookup(&known, 8, 1.0), Lookup::BodyMismatch);
    assert_eq!(table.reuse_result(&known, 3, 1.0), ReuseOutcome::Ready(Some(vec![1])));
    assert_eq!(table.lookup(&known, 7, 1500.0), Lookup::Expired, "another run may have superseded it");
    for key in [&reserved, &unknown] {
        assert_eq!(table.arrive(key, 0, 7, 4, 1500.0), Lookup::Expired);
        assert!(table.has_run(key, 1500.0), "the attempt must not be rejected as one that did not run");
        assert_eq!(table.reuse_result(key, 4, 1500.0), ReuseOutcome::Ready(None));
        assert_eq!(table.begin_run(key, 7, 4, 1500.0), Err(DuplicateRun));
    }
    assert_eq!(
        table.begin_run(&reserved, 7, 2, 0.0),
        Err(DuplicateRun),
        "the attempt may have been forwarded"
    );
    table.reserve(&reserved, 7, 5, 1500.0, 9000.0);
    table.finish_attempt(&reserved, 2);
    assert_eq!(table.lookup(&reserved, 7, 2001.0), Lookup::New, "no reservation was made");
    begin_run_at(&mut table, &unknown, 6, 2001.0);
}
