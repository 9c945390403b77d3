//! A scenario on the simulated disk, with the power cut at every operation in turn, each sync failing in turn, and the
//! disk full at every size. What was reported durable has to be there; what was not may be there only whole and at its
//! place. Seeds are in the messages.

use dunlinspread_store::sim::{Faults, SimDisk};
use dunlinspread_store::{Log, Options, ReplayItem, StoreError};
use std::sync::Arc;

/// The record of that number; each attempt to write it makes another one.
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

/// What the store has to hold, and what it may hold.
#[derive(Clone, Default)]
struct Model {
    /// Records reported durable, from number 1.
    acknowledged: Vec<Vec<u8>>,
    /// The batch on which the last commit ended in an error that leaves its fate open.
    uncertain: Vec<Vec<u8>>,
    /// Up to here a snapshot may stand for the records.
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
                // With no space it is certain that nothing is there, unless the power goes before the next commit.
                self.uncertain = batch;
                Err(e)
            }
        }
    }

    fn snapshot(&mut self, log: &mut Log, before: u64) -> Result<(), StoreError> {
        self.snapshot_limit = self.snapshot_limit.max(before);
        log.snapshot(before, &snapshot_content(before))
    }

    /// Opens the store and compares; what was found beyond the acknowledged counts as such from now on.
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
        assert!(first_record <= self.snapshot_limit.max(1), "{context}: a snapshot nobody took");
        let next = first_record + seen.len() as u64;
        assert_eq!((recovery.next_record, log.next_record()), (next, next), "{context}");
        assert!(next >= self.next(), "{context}: {} durable, {next} the next", self.acknowledged.len());
        let all: Vec<_> = self.acknowledged.iter().chain(&self.uncertain).cloned().collect();
        let found = first_record as usize - 1..next as usize - 1;
        assert_eq!(all.get(found.clone()), Some(&seen[..]), "{context}: records {found:?}");
        // A commit is there whole or not at all.
        assert!(
            next == self.next() || next as usize == all.len() + 1,
            "{context}: a part of a commit is there"
        );
        self.acknowledged = all[..next as usize - 1].to_vec();
        self.uncertain.clear();
        Ok(log)
    }
}

fn snapshot_content(before: u64) -> Vec<u8> {
    before.to_le_bytes().repeat(100)
}

/// Commits of many sizes over several segments, snapshots, a close and an opening. Ends at the first error.
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

/// Without faults: how many operations and syncs the scenario has.
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
        // Short writes make more operations of it; each has its turn as far as the scenario goes.
        let mut at = 0;
        loop {
            let context = format!("seed {seed}, power cut at operation {at}");
            let (disk, mut model) = (SimDisk::new(seed * 1000 + at), Model::default());
            disk.set_faults(Faults {
                crash_at: Some(at),
                short_transfers: seed % 2 == 1,
                ..Faults::default()
            });
            let ended = scenario(&disk, &mut model, &context);
            if !disk.is_powered_off() {
                ended.expect("nothing failed");
                break;
            }
            if seed % 3 == 0 {
                disk.restart_process()
            } else {
                disk.power_cycle()
            }
            // It ends again while it recovers, and this time the power goes for sure.
            disk.set_faults(Faults { crash_at: Some(seed % 16), ..Faults::default() });
            drop(model.open(&disk, &context));
            disk.power_cycle();
            let mut log = model.open(&disk, &context).expect(&context);
            model.commit(&mut log, 3).expect(&context);
            drop(log);
            // Killed, not powered off: what the next process is shown has to last.
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
        let Err(e) = scenario(&disk, &mut model, &context) else { panic!("{context}: not noticed") };
        assert!(matches!(e, StoreError::Io { .. }), "{context}: {e}");
        if seed % 2 == 0 {
            // Only the process is started anew: it may be shown what is on no disk, and has to bring it there.
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
    // The disk is well again; the log can't know what it lost.
    assert!(matches!(log.commit(&[b"more"]), Err(StoreError::Poisoned { .. })));
    assert!(matches!(log.snapshot(2, b"s"), Err(StoreError::Poisoned { .. })));
    assert!(log.poison_cause().is_some_and(|cause| cause.contains("syncing")), "{:?}", log.poison_cause());
    assert!(matches!(log.close(), Err(StoreError::Poisoned { .. })));
}

/// Commits until the disk is full and beyond, and counts the commits that found no space.
fn commit_on_a_full_disk(
    disk: &SimDisk,
    faults: &Faults,
    model: &mut Model,
    log: &mut Log,
    no_space: &mut usize,
    context: &str,
) {
    for count in (1..14).cycle().take(60) {
        // What a failed commit left can't always be removed at once.
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

/// Commits once there is room again.
fn commit_with_room_again(disk: &SimDisk, model: &mut Model, log: &mut Log, context: &str) {
    disk.set_faults(Faults::default());
    for count in [1, 2, 9, 9] {
        model.commit(log, count).expect(context);
    }
    model.uncertain.clear();
}

/// At every size of the disk: commits fail without harm, and go on once there is room.
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
        // Room again in service, a power cut while the disk is full, or only the process ends.
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

/// Any range of what is there can be read while the store is open; what is not there is an error.
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
    assert!(matches!(read(1, next), Err(StoreError::Gap { .. })), "the first are gone");
    assert_eq!(read(next - 3, next).expect("the last are there").len(), 3);
}
