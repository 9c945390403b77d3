//! The collector's directory: whenever the process or the machine crashes, each acknowledged batch is stored
//! once and unchanged.

use dunlinspread_ledger::batch::Batch;
use dunlinspread_ledger::export_protocol::OfferDecision;
use dunlinspread_ledger::{BatchReceiver, Close};
use dunlinspread_store::Disk;
use dunlinspread_store::sim::{Faults, SimDisk};
use std::sync::Arc;

fn batch(number: u64, previous: &[u8], salt: u64) -> Batch {
    Batch {
        server: "n1".to_owned(),
        ledger_id: 7,
        number,
        previous: previous.to_vec(),
        close: Close { from: 0, to: 10 + salt, late: false },
        close_line: number,
        last: true,
        items: Vec::new(),
        corrections: Vec::new(),
        unbilled: Vec::new(),
    }
}

/// Returns the first `count` batches in encoded form.
fn chain(count: u64) -> Vec<Vec<u8>> {
    let (mut previous, mut all) = (Vec::new(), Vec::new());
    for number in 1..=count {
        let (bytes, digest) = batch(number, &previous, 0).encode_with_digest();
        previous = digest.to_vec();
        all.push(bytes);
    }
    all
}

#[test]
fn batches_are_accepted_once_and_in_order() {
    let (disk, chain) = (SimDisk::new(1), chain(3));
    let mut receiver = BatchReceiver::open(Arc::new(disk.clone())).expect("opens");
    let mut decision = |bytes: &[u8]| receiver.receive(bytes).expect("a decision").0;
    assert_eq!(decision(&chain[1]), OfferDecision::OutOfOrder);
    assert_eq!(decision(&chain[0]), OfferDecision::Accept);
    assert_eq!(decision(&chain[0]), OfferDecision::Duplicate);
    assert_eq!(decision(&chain[1]), OfferDecision::Accept);
    assert_eq!(decision(&chain[0]), OfferDecision::Duplicate, "an old batch");
    // A different batch with a number already accepted, old or newest, and one that follows a different
    // batch.
    assert_eq!(decision(&batch(1, &[], 5).encode_with_digest().0), OfferDecision::Conflict);
    assert_eq!(decision(&batch(2, &[], 5).encode_with_digest().0), OfferDecision::Conflict);
    assert_eq!(decision(&batch(3, &[1; 32], 0).encode_with_digest().0), OfferDecision::Conflict);
    assert_eq!(decision(&chain[2]), OfferDecision::Accept);
    let mut numbers = Vec::new();
    receiver.read(&("n1".to_owned(), 7), |batch, _| numbers.push(batch.number)).expect("in order");
    assert_eq!(numbers, [1, 2, 3]);
    assert!(receiver.receive(b"nonsense").is_err());
}

#[test]
fn what_was_acknowledged_outlasts_a_crash_at_every_operation() {
    let chain = chain(4);
    for seed in 0..40 {
        for operation in 0.. {
            let disk = SimDisk::new(seed * 100 + operation);
            disk.set_faults(Faults {
                crash_at: Some(operation),
                short_transfers: seed % 2 == 0,
                ..Faults::default()
            });
            let mut acknowledged = 0;
            if let Ok(mut receiver) = BatchReceiver::open(Arc::new(disk.clone())) {
                for bytes in &chain {
                    match receiver.receive(bytes) {
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
            let receiver = BatchReceiver::open(Arc::new(disk.clone())).expect("opens");
            let watermark = receiver.watermark("n1", 7).watermark;
            assert!(watermark >= acknowledged, "seed {seed}, operation {operation}");
            drop(receiver);
            // A batch that this process has read is also present for the next process.
            disk.power_cycle();
            let mut receiver = BatchReceiver::open(Arc::new(disk.clone())).expect("opens");
            assert!(receiver.watermark("n1", 7).watermark >= watermark, "seed {seed}, operation {operation}");
            for bytes in &chain {
                assert_ne!(receiver.receive(bytes).expect("a decision").0, OfferDecision::Conflict);
            }
            assert_eq!(receiver.watermark("n1", 7).watermark, 4);
        }
    }
}

#[test]
fn a_lost_or_changed_file_is_named() {
    let (disk, chain) = (SimDisk::new(1), chain(3));
    let mut receiver = BatchReceiver::open(Arc::new(disk.clone())).expect("opens");
    for bytes in &chain {
        receiver.receive(bytes).expect("accepted");
    }
    drop(receiver);
    let names = disk.list().expect("a list");
    let bytes = disk.file_bytes(&names[1]).expect("the file exists");
    disk.remove_durable(&names[1]);
    let error = BatchReceiver::open(Arc::new(disk.clone())).err().expect("an error");
    assert!(error.to_string().contains(&names[1]), "{error}");
    disk.insert_durable(&names[1], &[&bytes[..], &[0x52, 0]].concat());
    let receiver = BatchReceiver::open(Arc::new(disk.clone())).expect("opening reads only the last file");
    let error = receiver
        .read(&("n1".to_owned(), 7), |_, _| {})
        .expect_err("the next batch does not follow the changed one");
    assert!(error.to_string().contains(&names[2]), "{error}");
}
