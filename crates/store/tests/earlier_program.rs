//! Every record is still read from stores that the program wrote at commit e2c31e1, before its code was
//! restructured.
//!
//! `tests/fixtures` holds a cleanly closed store and a store whose last commit is torn. Both have three
//! segments, which begin with records 1, 12 and 20, and a snapshot that replaces records 1 to 9.

use dunlinspread_store::{Disk, Log, Options, RealDisk, Recovery, ReplayItem, StoreError, TornTail};
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;

const OWNER: &str = "n3";
const LAST_SEGMENT: &str = "seg-0000000000000014.log";
/// Offset of the torn commit in the last segment.
const TORN_OFFSET: u64 = 947;
/// Length of the torn commit's remains, in bytes.
const TORN_BYTES: u64 = 651;
const SNAPSHOT_BEFORE: u64 = 10;
const SNAPSHOT_CONTENT: &[u8] = b"the sum of records 1 to 9";

/// Returns the record with number `number` as written by the earlier program. Records are empty, short,
/// binary or long.
fn record(number: u64) -> Vec<u8> {
    match number % 5 {
        0 => Vec::new(),
        1 => format!("record {number}").into_bytes(),
        2 => vec![0; number as usize],
        3 => (0..=255).map(|byte: u8| byte.wrapping_mul(number as u8)).collect(),
        _ => format!("FRM1 record {number} ").repeat(number as usize).into_bytes(),
    }
}

fn expected(numbers: Range<u64>) -> Vec<(u64, Vec<u8>)> {
    numbers.map(|number| (number, record(number))).collect()
}

/// Copies a fixture, because opening a store may write to it.
fn copy_of(fixture: &str) -> (tempfile::TempDir, Arc<RealDisk>) {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(fixture);
    let folder = tempfile::tempdir().expect("a folder");
    for file in std::fs::read_dir(source).expect("the fixture") {
        let file = file.expect("a file");
        std::fs::copy(file.path(), folder.path().join(file.file_name())).expect("copied");
    }
    let disk = RealDisk::new(folder.path()).expect("a disk");
    (folder, Arc::new(disk))
}

/// Collects the items passed to a visitor.
#[derive(Default)]
struct Replayed {
    snapshot: Option<(u64, Vec<u8>)>,
    records: Vec<(u64, Vec<u8>)>,
}

impl Replayed {
    fn add(&mut self, item: ReplayItem<'_>) {
        match item {
            ReplayItem::Snapshot(before, content) => self.snapshot = Some((before, content.to_vec())),
            ReplayItem::Record(number, bytes) => self.records.push((number, bytes.to_vec())),
        }
    }

    fn assert_holds(&self, numbers: Range<u64>) {
        assert_eq!(self.snapshot, Some((SNAPSHOT_BEFORE, SNAPSHOT_CONTENT.to_vec())));
        assert_eq!(self.records, expected(numbers));
    }
}

fn open(disk: Arc<RealDisk>) -> (Log, Recovery, Replayed) {
    let mut replayed = Replayed::default();
    let opened = Log::open(disk, Options::new(OWNER), |item| {
        replayed.add(item);
        Ok(())
    });
    let (log, recovery) = opened.expect("the earlier program's store opens");
    (log, recovery, replayed)
}

fn read_range(disk: &dyn Disk, numbers: Range<u64>) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
    let mut records = Vec::new();
    Log::read_range(disk, OWNER, numbers, |number, bytes| {
        records.push((number, bytes.to_vec()));
        Ok(())
    })?;
    Ok(records)
}

#[test]
fn every_record_of_a_closed_store_is_read() {
    let (_folder, disk) = copy_of("v1-closed");
    let (log, recovery, replayed) = open(disk.clone());
    replayed.assert_holds(10..31);
    assert_eq!((recovery.next_record, log.next_record(), log.segment_count()), (31, 31, 3));
    assert_eq!((recovery.snapshot_before, recovery.records), (Some(SNAPSHOT_BEFORE), 21));
    assert_eq!((recovery.closed_cleanly, recovery.torn_tail), (true, None));
    // The first segment still holds the records that the snapshot replaces.
    assert_eq!(read_range(&*disk, 1..31).expect("all are there"), expected(1..31));
}

#[test]
fn a_torn_commit_of_the_earlier_program_is_cut_and_costs_no_other_record() {
    let (_folder, disk) = copy_of("v1-torn");
    let (mut log, recovery, replayed) = open(disk.clone());
    replayed.assert_holds(10..28);
    assert_eq!((recovery.next_record, recovery.closed_cleanly), (28, false));
    let torn = TornTail { file: LAST_SEGMENT.to_owned(), offset: TORN_OFFSET, bytes: TORN_BYTES };
    assert_eq!(recovery.torn_tail, Some(torn));
    assert_eq!(read_range(&*disk, 1..28).expect("all are there"), expected(1..28));

    // The log continues where the torn commit began.
    let batch: Vec<_> = (28..33).map(record).collect();
    assert_eq!(log.commit(&batch).expect("commits"), 28..33);
    log.close().expect("closes");
    let (_log, recovery, replayed) = open(disk);
    replayed.assert_holds(10..33);
    assert_eq!((recovery.closed_cleanly, recovery.torn_tail), (true, None));
}
