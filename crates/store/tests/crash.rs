//! Runs a scenario on the simulated disk, with a power failure at every operation in turn, with each sync
//! failing in turn, and with a disk that is full at many different sizes. Records reported durable must
//! survive. Other records may survive only as whole commits and at their position. Failure messages include
//! the seed.

use dunlinspread_store::sim::{Faults, SimDisk};
use dunlinspread_store::{Log, Options, ReplayItem, StoreError};
use std::sync::Arc;

/// Returns the record with number `number`. Its content differs for each attempt to write it.
fn record(number: u64, attempt: u32) -> Vec<u8> {
    let len = (number * 37 % 300) as usize;
    let mut bytes = format!("{number}/{attempt}:").into_bytes();
    bytes.resize(bytes.len() + len, number as u8);
    bytes
}

fn number_of(bytes: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(bytes);
    text.split('/').next().and_then(|n| n.parse().ok()).expect("a record of the test")
}

fn options() -> Options {
    Options { segment_bytes: 1500, salt: 7, ..Options::new("n3") }
}

/// The records that the store must contain, and those that it may contain.
#[derive(Clone, Default)]
struct Model {
    /// Records reported durable, from number 1.
    acknowledged: Vec<Vec<u8>>,
    /// The batch of the last commit, if it failed with an error that leaves the outcome unknown.
    uncertain: Vec<Vec<u8>>,
    /// The highest record number before which a snapshot may have replaced the records.
    snapshot_limit: u64,
    attempts: u32,
}

impl Model {
    fn next(&self) -> u64 {
        self.acknowledged.len() as u64 + 1
    }

    fn commit(&mut self, log: &mut Log, count: u64) -> Result<(), StoreError> {
        self.attempts += 1;
        let batch: Vec<_> = (self.next()..self.next() + count).map(|n| record(n, self.attempts)).collect();
        match log.commit(&batch) {
            Ok(numbers) => {
                assert_eq!(numbers, self.next()..self.next() + count);
                self.acknowledged.extend(batch);
                Ok(())
            }
            Err(e) => {
                // After `NoSpace` none of the batch is in the log, unless the power fails before the next
                // commit.
                self.uncertain = batch;
                Err(e)
            }
        }
    }

    fn snapshot(&mut self, log: &mut Log, before: u64) -> Result<(), StoreError> {
        self.snapshot_limit = self.snapshot_limit.max(before);
        log.snapshot(before, &snapshot_content(before))
    }

    /// Opens the store and compares it with the model. Records that survived without an acknowledgement count
    /// as acknowledged from then on.
    fn open(&mut self, disk: &SimDisk, context: &str) -> Result<Log, StoreError> {
        let mut seen: Vec<Vec<u8>> = Vec::new();
        let mut first_record = 1;
        let (log, recovery) = Log::open(Arc::new(disk.clone()), options(), |item| {
            match item {
                ReplayItem::Snapshot(before, content) => {
                    assert_eq!(content, snapshot_content(before), "{context}");
                    first_record = before;
                }
                ReplayItem::Record(number, bytes) => {
                    assert_eq!(
                        (number, number),
                        (first_record + seen.len() as u64, number_of(bytes)),
                        "{context}"
                    );
                    seen.push(bytes.to_vec());
                }
            }
            Ok(())
        })?;
        assert!(first_record <= self.snapshot_limit.max(1), "{context}: a snapshot that was never taken");
        let next = first_record + seen.len() as u64;
        assert_eq!((recovery.next_record, log.next_record()), (next, next), "{context}");
        assert!(
            next >= self.next(),
            "{context}: {} records durable, but the next is {next}",
            self.acknowledged.len()
        );
        let all: Vec<_> = self.acknowledged.iter().chain(&self.uncertain).cloned().collect();
        let found = first_record as usize - 1..next as usize - 1;
        assert_eq!(all.get(found.clone()), Some(&seen[..]), "{context}: records {found:?}");
        // Commits are atomic.
        assert!(
            next == self.next() || next as usize == all.len() + 1,
            "{context}: only part of a commit survived"
        );
        self.acknowledged = all[..next as usize - 1].to_vec();
        self.uncertain.clear();
        Ok(log)
    }
}

fn snapshot_content(before: u64) -> Vec<u8> {
    before.to_le_bytes().repeat(100)
}

/// Runs commits of many sizes over several segments, takes snapshots, and closes and reopens the store. Stops
/// at the first error.
fn scenario(disk: &SimDisk, model: &mut Model, context: &str) -> Result<(), StoreError> {
    let mut log = model.open(disk, context)?;
    for count in [1, 3, 7, 1, 12, 2] {
        model.commit(&mut log, count)?;
    }
    model.snapshot(&mut log, 12)?;
    for count in [5, 1, 9] {
        model.commit(&mut log, count)?;
    }
    log.close()?;
    let mut log = model.open(disk, context)?;
    model.commit(&mut log, 4)?;
    let before = model.next();
    model.snapshot(&mut log, before)?;
    for count in [6, 2] {
        model.commit(&mut log, count)?;
    }
    Ok(())
}

/// Returns the number of operations and syncs of the scenario without faults.
fn count_operations(seed: u64) -> (u64, u64) {
    let disk = SimDisk::new(seed);
    scenario(&disk, &mut Model::default(), "without faults").expect("no fault");
    (disk.operations(), disk.syncs())
}

#[test]
fn durable_records_survive_a_power_cut_at_every_operation() {
    let (operations, _) = count_operations(0);
    assert!(operations > 80, "{operations}");
    for seed in 0..24 {
        // Short writes increase the number of operations. The loop covers each one until the scenario
        // completes.
        let mut at = 0;
        loop {
            let context = format!("seed {seed}, power cut at operation {at}");
            let (disk, mut model) = (SimDisk::new(seed * 1000 + at), Model::default());
            disk.set_faults(Faults {
                crash_at: Some(at),
                short_transfers: seed % 2 == 1,
                ..Faults::default()
            });
            let result = scenario(&disk, &mut model, &context);
            if !disk.is_powered_off() {
                result.expect("nothing failed");
                break;
            }
            if seed % 3 == 0 {
                disk.restart_process()
            } else {
                disk.power_cycle()
            }
            // The process stops again during recovery, this time always with a power failure.
            disk.set_faults(Faults { crash_at: Some(seed % 16), ..Faults::default() });
            drop(model.open(&disk, &context));
            disk.power_cycle();
            let mut log = model.open(&disk, &context).expect(&context);
            model.commit(&mut log, 3).expect(&context);
            drop(log);
            // The process is killed without a power failure. Records that the next process reads must be
            // durable.
            disk.restart_process();
            drop(model.open(&disk, &context).expect(&context));
            disk.power_cycle();
            drop(model.open(&disk, &context).expect(&context));
            at += 1;
        }
        assert!(at >= operations.min(80), "{at}");
    }
}

#[test]
fn durable_records_survive_each_failed_sync() {
    let (_, syncs) = count_operations(0);
    for (seed, at) in (0..12).flat_map(|seed| (0..syncs).map(move |at| (seed, at))) {
        let context = format!("seed {seed}, sync {at} fails");
        let (disk, mut model) = (SimDisk::new(seed * 1000 + at), Model::default());
        disk.set_faults(Faults { failing_syncs: vec![at], ..Faults::default() });
        let Err(e) = scenario(&disk, &mut model, &context) else {
            panic!("{context}: the failed sync was not detected")
        };
        assert!(matches!(e, StoreError::Io { .. }), "{context}: {e}");
        if seed % 2 == 0 {
            // Only the process restarts. It may read data that is not on the disk, and must make that data
            // durable.
            disk.set_faults(Faults::default());
            disk.restart_process();
            drop(model.open(&disk, &context).expect(&context));
        }
        disk.power_cycle();
        let mut log = model.open(&disk, &context).expect(&context);
        model.commit(&mut log, 3).expect(&context);
        drop(log);
        disk.power_cycle();
        drop(model.open(&disk, &context).expect(&context));
    }
}

#[test]
fn a_failed_sync_poisons_the_log() {
    let disk = SimDisk::new(1);
    let mut model = Model::default();
    let mut log = model.open(&disk, "new").expect("opens");
    model.commit(&mut log, 2).expect("good");
    disk.set_faults(Faults { failing_syncs: vec![0], ..Faults::default() });
    assert!(matches!(model.commit(&mut log, 2), Err(StoreError::Io { .. })));
    // The disk works again, but the log can't know which data it lost.
    assert!(matches!(log.commit(&[b"more"]), Err(StoreError::Poisoned { .. })));
    assert!(matches!(log.snapshot(2, b"s"), Err(StoreError::Poisoned { .. })));
    assert!(log.poison_cause().is_some_and(|cause| cause.contains("syncing")), "{:?}", log.poison_cause());
    assert!(matches!(log.close(), Err(StoreError::Poisoned { .. })));
}

/// Continues to commit after the disk is full, and counts the commits that fail with `NoSpace`.
fn commit_on_a_full_disk(
    disk: &SimDisk,
    faults: &Faults,
    model: &mut Model,
    log: &mut Log,
    no_space: &mut usize,
    context: &str,
) {
    for count in (1..14).cycle().take(60) {
        // Sometimes the bytes left by a failed commit can't be removed immediately.
        disk.set_faults(Faults { failing_truncates: *no_space % 2 == 0, ..faults.clone() });
        let committed = model.commit(log, count);
        disk.set_faults(faults.clone());
        match committed {
            Ok(()) => {}
            Err(StoreError::NoSpace { .. }) => *no_space += 1,
            Err(e) => panic!("{context}: {e}"),
        }
    }
}

/// Commits after space has become available again.
fn commit_with_room_again(disk: &SimDisk, model: &mut Model, log: &mut Log, context: &str) {
    disk.set_faults(Faults::default());
    for count in [1, 2, 9, 9] {
        model.commit(log, count).expect(context);
    }
    model.uncertain.clear();
}

/// On a full disk of any size, commits fail without damage to the store and succeed again once there is
/// space.
#[test]
fn commits_resume_once_a_full_disk_has_room() {
    let mut no_space = 0;
    for capacity in (128..9000).step_by(61) {
        let context = format!("capacity {capacity}");
        let (disk, mut model) = (SimDisk::new(capacity), Model::default());
        let faults = Faults {
            capacity_bytes: Some(capacity),
            short_transfers: capacity % 2 == 0,
            ..Faults::default()
        };
        disk.set_faults(faults.clone());
        let mut log = match model.open(&disk, &context) {
            Ok(log) => log,
            Err(e) => {
                assert!(matches!(e, StoreError::NoSpace { .. }), "{context}: {e}");
                continue;
            }
        };
        commit_on_a_full_disk(&disk, &faults, &mut model, &mut log, &mut no_space, &context);
        // Either space becomes available while the log is open, or the disk stays full until a power failure
        // or a restart of the process.
        let process_ends = capacity % 3 == 2;
        if capacity % 3 == 0 {
            commit_with_room_again(&disk, &mut model, &mut log, &context);
        }
        drop(log);
        if process_ends {
            disk.restart_process();
        } else {
            disk.power_cycle();
        }
        drop(model.open(&disk, &context).expect(&context));
    }
    assert!(no_space > 1000, "{no_space}");
}

/// Every range of existing records can be read while the store is open. Missing records are an error.
#[test]
fn every_durable_range_is_read_while_the_log_is_open() {
    let disk = SimDisk::new(1);
    let mut model = Model::default();
    let mut log = model.open(&disk, "new").expect("opens");
    for count in 1..12 {
        model.commit(&mut log, count).expect("commits");
    }
    let next = model.next();
    let read = |from: u64, to: u64| {
        let mut seen = Vec::new();
        Log::read_range(&disk, "n3", from..to, |number, bytes| {
            assert_eq!(number, from + seen.len() as u64);
            seen.push(bytes.to_vec());
            Ok(())
        })?;
        Ok::<_, StoreError>(seen)
    };
    for (from, to) in (1..next).flat_map(|from| (from..=next).map(move |to| (from, to))) {
        let expected = &model.acknowledged[from as usize - 1..to as usize - 1];
        assert_eq!(read(from, to).expect("it is there"), expected, "{from}..{to}");
    }
    assert!(matches!(read(1, next + 1), Err(StoreError::Gap { .. })));
    model.snapshot(&mut log, next - 3).expect("a snapshot");
    assert!(
        matches!(read(1, next), Err(StoreError::Gap { .. })),
        "the first records are replaced by the snapshot"
    );
    assert_eq!(read(next - 3, next).expect("the last are there").len(), 3);
}
