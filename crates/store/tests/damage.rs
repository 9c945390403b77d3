//! Stores with damaged or missing files, files of another owner, or files of a newer version are refused with
//! an error that names the file. Stores of older versions are read.

use dunlinspread_store::format::{FileHeader, FrameHeader, RecordIter};
use dunlinspread_store::sim::SimDisk;
use dunlinspread_store::{Disk, Log, Options, RealDisk, ReplayItem, StoreError};
use proptest::prelude::*;
use std::path::Path;
use std::sync::Arc;

fn options() -> Options {
    Options { segment_bytes: 700, salt: 7, ..Options::new("n3") }
}

/// Returns a store with records 1 to 30 in several segments, and the records.
fn filled(close: bool) -> (SimDisk, Vec<Vec<u8>>) {
    let disk = SimDisk::new(1);
    let (mut log, _) = Log::open(Arc::new(disk.clone()), options(), |_| Ok(())).expect("opens");
    let records: Vec<Vec<u8>> = (0..30u8).map(|n| vec![n; 20 + n as usize]).collect();
    for batch in records.chunks(3) {
        log.commit(batch).expect("commits");
    }
    if close {
        log.close().expect("closes");
    }
    (disk, records)
}

fn open(disk: &SimDisk) -> Result<Vec<Vec<u8>>, StoreError> {
    let mut seen = Vec::new();
    Log::open(Arc::new(disk.clone()), options(), |item| {
        if let ReplayItem::Record(_, bytes) = item {
            seen.push(bytes.to_vec());
        }
        Ok(())
    })?;
    Ok(seen)
}

/// Changes each byte of a cleanly closed store in turn. The store must be refused, or no record may be lost.
#[test]
fn every_damaged_byte_is_refused_or_harmless() {
    let (disk, records) = filled(true);
    let names = disk.list().expect("a list");
    let (mut refused, mut harmless) = (0, 0);
    for name in &names {
        let bytes = disk.file_bytes(name).expect("it is there");
        for at in 0..bytes.len() {
            let (copy, mut changed) = (SimDisk::new(2), bytes.clone());
            changed[at] ^= 0x10;
            for other in &names {
                copy.insert_durable(other, &disk.file_bytes(other).expect("it is there"));
            }
            copy.insert_durable(name, &changed);
            match open(&copy) {
                Ok(seen) => {
                    harmless += 1;
                    assert_eq!(seen, records, "{name} at {at}");
                }
                Err(e) => {
                    refused += 1;
                    assert!(e.to_string().contains(name.as_str()), "{e}");
                }
            }
        }
    }
    // Only damage to the frame of the clean close is harmless.
    assert_eq!(harmless, dunlinspread_store::format::FRAME_HEADER_BYTES);
    assert!(refused > 2000, "{refused}");
}

#[test]
fn damage_before_the_last_commit_is_reported_with_file_and_offset() {
    let disk = SimDisk::new(1);
    let (mut log, _) = Log::open(Arc::new(disk.clone()), options(), |_| Ok(())).expect("opens");
    log.commit(&[vec![1; 60]]).expect("commits");
    log.commit(&[b"then"]).expect("commits");
    drop(log);
    let name = disk.list().expect("a list").pop().expect("a segment");
    let mut bytes = disk.file_bytes(&name).expect("it is there");
    bytes[200] ^= 1;
    disk.insert_durable(&name, &bytes);
    let Err(StoreError::Damaged { file, offset, .. }) = open(&disk) else {
        panic!("the damage was not detected")
    };
    assert_eq!(file, name);
    assert!((128..=200).contains(&offset), "{offset}");
}

#[test]
fn a_missing_segment_is_reported_as_a_gap() {
    let (disk, _) = filled(false);
    let names = disk.list().expect("a list");
    disk.remove_durable(&names[1]);
    let e = open(&disk).expect_err("a gap");
    assert!(matches!(&e, StoreError::Gap { file, .. } if *file == names[2]), "{e}");
    let (disk, _) = filled(false);
    disk.remove_durable(&names[0]);
    assert!(matches!(open(&disk), Err(StoreError::Gap { expected: 1, .. })));
}

#[test]
fn a_snapshot_without_its_segment_is_refused() {
    let disk = SimDisk::new(1);
    let (mut log, _) = Log::open(Arc::new(disk.clone()), options(), |_| Ok(())).expect("opens");
    log.commit(&[b"a", b"b"]).expect("commits");
    log.snapshot(3, b"both").expect("a snapshot");
    drop(log);
    let segment = disk.list().expect("a list").remove(0);
    disk.remove_durable(&segment);
    let e = open(&disk).expect_err("half a store");
    assert!(e.to_string().contains("the segment that follows this snapshot is missing"), "{e}");
}

#[test]
fn another_owners_store_is_refused() {
    let (disk, _) = filled(true);
    let other = Options { owner: "n4".to_owned(), ..options() };
    let e = Log::open(Arc::new(disk), other, |_| Ok(())).err().expect("refused");
    assert!(e.to_string().contains("belongs to `n3`, not to `n4`"), "{e}");
}

#[test]
fn a_newer_version_is_refused() {
    let (disk, _) = filled(true);
    let name = disk.list().expect("a list").remove(0);
    let mut bytes = disk.file_bytes(&name).expect("it is there");
    bytes[8] = 9;
    disk.insert_durable(&name, &bytes);
    let e = open(&disk).expect_err("refused");
    assert!(matches!(e, StoreError::Version { found: 9, newest: 1, .. }), "{e}");
}

/// The error of a second process on the same directory names the process that holds the lock.
#[test]
fn a_locked_directory_is_refused_with_its_holder() {
    let folder = tempfile::tempdir().expect("a folder");
    let open = || {
        let disk = RealDisk::new(folder.path()).expect("a disk");
        Log::open(Arc::new(disk), options(), |_| Ok(()))
    };
    let first = open().expect("opens");
    let e = open().err().expect("in use");
    assert!(e.to_string().contains(&format!("in use by process {}", std::process::id())), "{e}");
    drop(first);
    open().expect("free again");
}

/// Reads the stores in `tests/data`, one for each format version that has existed.
#[test]
fn every_version_is_read() {
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    for version in 1..=dunlinspread_store::format::FORMAT_VERSION {
        // Opens a copy, because opening a store may write to it.
        let folder = tempfile::tempdir().expect("a folder");
        for file in std::fs::read_dir(data.join(format!("v{version}"))).expect("a store of that version") {
            let file = file.expect("a file");
            std::fs::copy(file.path(), folder.path().join(file.file_name())).expect("copied");
        }
        let disk = RealDisk::new(folder.path()).expect("a disk");
        let mut seen = Vec::new();
        let (log, recovery) = Log::open(Arc::new(disk), options(), |item| {
            seen.push(match item {
                ReplayItem::Snapshot(before, bytes) => format!("before {before}: {}", bytes.escape_ascii()),
                ReplayItem::Record(number, bytes) => format!("{number}: {}", bytes.escape_ascii()),
            });
            Ok(())
        })
        .expect("it opens");
        assert_eq!(seen, ["before 2: one", "2: two\\x00", "3: three"], "version {version}");
        assert_eq!((log.next_record(), recovery.closed_cleanly), (4, true));
    }
}

/// Writes a store of the current version to `tests/data`. Run manually when a format version is added.
#[test]
#[ignore = "writes the file that every_version_is_read reads"]
fn write_this_version() {
    let name = format!("tests/data/v{}", dunlinspread_store::format::FORMAT_VERSION);
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    let disk = RealDisk::new(&folder).expect("a disk");
    let (mut log, _) = Log::open(Arc::new(disk), options(), |_| Ok(())).expect("opens");
    log.commit(&[&b"one"[..], b"two\0"]).expect("commits");
    log.snapshot(2, b"one").expect("a snapshot");
    log.commit(&[b"three"]).expect("commits");
    log.close().expect("closes");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Arbitrary bytes are either decoded or refused.
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600), count in 0u32..9) {
        let _ = FileHeader::decode(&bytes);
        let _ = FrameHeader::decode(&bytes, 7);
        let frame = FrameHeader { len: bytes.len() as u32, first: 1, durable: 1, count, flags: 0 };
        let _ = RecordIter::new(&frame, &bytes).count();
    }

    /// Arbitrary bytes after the last commit are discarded without losing a record.
    #[test]
    fn arbitrary_bytes_behind_the_last_commit_are_cut(tail in proptest::collection::vec(any::<u8>(), 1..400)) {
        let (disk, records) = filled(false);
        let name = disk.list().expect("a list").pop().expect("a segment");
        let bytes = [disk.file_bytes(&name).expect("it is there"), tail].concat();
        disk.insert_durable(&name, &bytes);
        prop_assert_eq!(open(&disk).expect("opens"), records);
    }

    /// A record crafted to look like a frame is not read as one, because its author does not know the salt.
    #[test]
    fn a_payload_that_looks_like_a_frame_is_not_read_as_one(salt in any::<u64>(), durable in 1u64..99, cut in 1usize..60) {
        let forged = FrameHeader { len: 0, first: 2, durable, count: 0, flags: 0 };
        let disk = SimDisk::new(1);
        let (mut log, _) = Log::open(Arc::new(disk.clone()), options(), |_| Ok(())).expect("opens");
        log.commit(&[b"first"]).expect("commits");
        log.commit(&[forged.encode(salt).to_vec()]).expect("commits");
        drop(log);
        let name = disk.list().expect("a list").pop().expect("a segment");
        let bytes = disk.file_bytes(&name).expect("it is there");
        // Tears the last commit, whose payload contains the forged frame.
        disk.insert_durable(&name, &bytes[..bytes.len() - cut]);
        prop_assert_eq!(open(&disk).expect("opens"), vec![b"first".to_vec()]);
    }
}
