//! The collector's folder: whatever dies when, what was acknowledged is there once and unchanged.

use dunlinspread_ledger::batch::Batch;
use dunlinspread_ledger::deliver::Verdict;
use dunlinspread_ledger::{Close, Inbox};
use dunlinspread_store::Disk;
use dunlinspread_store::sim::{Faults, SimDisk};
use std::sync::Arc;

fn batch(number: u64, previous: &[u8], salt: u64) -> Batch {
    Batch {
        server: "n1".to_owned(),
        born: 7,
        number,
        previous: previous.to_vec(),
        close: Close { from: 0, to: 10 + salt, late: false },
        closed_by: number,
        last: true,
        items: Vec::new(),
        corrections: Vec::new(),
        unbilled: Vec::new(),
    }
}

/// The first `count` batches as bytes.
fn chain(count: u64) -> Vec<Vec<u8>> {
    let (mut previous, mut all) = (Vec::new(), Vec::new());
    for number in 1..=count {
        let (bytes, digest) = batch(number, &previous, 0).seal();
        previous = digest.to_vec();
        all.push(bytes);
    }
    all
}

#[test]
fn batches_are_taken_once_and_in_order() {
    let (disk, chain) = (SimDisk::new(1), chain(3));
    let mut inbox = Inbox::open(Arc::new(disk.clone())).expect("opens");
    let mut verdict = |bytes: &[u8]| inbox.offer(bytes).expect("judged").0;
    assert_eq!(verdict(&chain[1]), Verdict::TooEarly);
    assert_eq!(verdict(&chain[0]), Verdict::Take);
    assert_eq!(verdict(&chain[0]), Verdict::Again);
    assert_eq!(verdict(&chain[1]), Verdict::Take);
    assert_eq!(verdict(&chain[0]), Verdict::Again, "an old one");
    // Another content under a number that is taken, old or newest, or one that follows another batch.
    assert_eq!(verdict(&batch(1, &[], 5).seal().0), Verdict::Conflict);
    assert_eq!(verdict(&batch(2, &[], 5).seal().0), Verdict::Conflict);
    assert_eq!(verdict(&batch(3, &[1; 32], 0).seal().0), Verdict::Conflict);
    assert_eq!(verdict(&chain[2]), Verdict::Take);
    let mut numbers = Vec::new();
    inbox.read(&("n1".to_owned(), 7), |b, _| numbers.push(b.number)).expect("in order");
    assert_eq!(numbers, [1, 2, 3]);
    assert!(inbox.offer(b"nonsense").is_err());
}

#[test]
fn what_was_acknowledged_outlasts_a_crash_at_every_operation() {
    let chain = chain(4);
    for seed in 0..40 {
        for at in 0.. {
            let disk = SimDisk::new(seed * 100 + at);
            disk.set_faults(Faults {
                crash_at: Some(at),
                short_transfers: seed % 2 == 0,
                ..Faults::default()
            });
            let mut acknowledged = 0;
            if let Ok(mut inbox) = Inbox::open(Arc::new(disk.clone())) {
                for bytes in &chain {
                    match inbox.offer(bytes) {
                        Ok((_, reply)) => acknowledged = reply.watermark,
                        Err(_) => break,
                    }
                }
            }
            if !disk.is_powered_off() {
                assert_eq!(acknowledged, 4);
                break;
            }
            if seed % 3 == 0 {
                disk.restart_process()
            } else {
                disk.power_cycle()
            }
            let inbox = Inbox::open(Arc::new(disk.clone())).expect("opens");
            let watermark = inbox.watermark("n1", 7).watermark;
            assert!(watermark >= acknowledged, "seed {seed}, operation {at}");
            drop(inbox);
            // What this process saw is there for the next one too.
            disk.power_cycle();
            let mut inbox = Inbox::open(Arc::new(disk.clone())).expect("opens");
            assert!(inbox.watermark("n1", 7).watermark >= watermark, "seed {seed}, operation {at}");
            for bytes in &chain {
                assert_ne!(inbox.offer(bytes).expect("judged").0, Verdict::Conflict);
            }
            assert_eq!(inbox.watermark("n1", 7).watermark, 4);
        }
    }
}

#[test]
fn a_lost_or_changed_file_is_named() {
    let (disk, chain) = (SimDisk::new(1), chain(3));
    let mut inbox = Inbox::open(Arc::new(disk.clone())).expect("opens");
    for bytes in &chain {
        inbox.offer(bytes).expect("taken");
    }
    drop(inbox);
    let names = disk.list().expect("a list");
    let bytes = disk.file_bytes(&names[1]).expect("it is there");
    disk.remove_durable(&names[1]);
    let e = Inbox::open(Arc::new(disk.clone())).err().expect("refused");
    assert!(e.to_string().contains(&names[1]), "{e}");
    disk.insert_durable(&names[1], &[&bytes[..], &[0x52, 0]].concat());
    let inbox = Inbox::open(Arc::new(disk.clone())).expect("only the last is read when it opens");
    let e = inbox.read(&("n1".to_owned(), 7), |_, _| {}).expect_err("the next does not follow it");
    assert!(e.to_string().contains(&names[2]), "{e}");
}
