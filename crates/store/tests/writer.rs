//! Group commit reports the outcome of every record once and in order, writes no record after a failed one
//! until the owner resumes, and bounds its queue.

use dunlinspread_store::sim::{Faults, SimDisk};
use dunlinspread_store::{
    Log, Options, PanicPayload, Progress, ReplayItem, StoreError, WriteFailure, Writer, WriterOptions,
};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};

fn start(disk: &SimDisk, options: WriterOptions) -> (Writer, Receiver<Progress>) {
    let (log, _) = Log::open(Arc::new(disk.clone()), Options::new("n3"), |_| Ok(())).expect("opens");
    let (sender, reports) = channel();
    let on_progress = move |progress| drop(sender.send(progress));
    let writer = Writer::start(log, options, on_progress, drop).expect("a thread");
    (writer, reports)
}

fn records(disk: &SimDisk) -> Vec<Vec<u8>> {
    let mut seen = Vec::new();
    Log::read(disk, "n3", |item| {
        if let ReplayItem::Record(_, bytes) = item {
            seen.push(bytes.to_vec());
        }
        Ok(())
    })
    .expect("it reads");
    seen
}

#[test]
fn records_are_committed_in_groups_and_order() {
    let disk = SimDisk::new(1);
    let (mut writer, reports) = start(&disk, WriterOptions { batch_records: 64, ..WriterOptions::default() });
    let all: Vec<Vec<u8>> = (0..1000u32).map(|n| n.to_le_bytes().to_vec()).collect();
    for (n, record) in all.iter().enumerate() {
        assert_eq!(writer.append(record.clone()), Ok(n as u64 + 1));
    }
    let (mut through, mut commits) = (0, 0);
    while through < 1000 {
        let Ok(Progress::Durable { through: now, next }) = reports.recv() else { panic!("it failed") };
        assert!(now > through && now - through <= 64 && next == now + 1);
        (through, commits) = (now, commits + 1);
    }
    let gauges = writer.gauges();
    assert_eq!((gauges.queued_records, gauges.queued_bytes, gauges.records), (0, 0, 1000));
    assert_eq!(gauges.commits, commits);
    writer.close().expect("closes");
    disk.power_cycle();
    assert_eq!(records(&disk), all);
}

#[test]
fn a_full_disk_fails_queued_records_until_the_owner_resumes() {
    let disk = SimDisk::new(1);
    let (mut writer, reports) = start(&disk, WriterOptions { batch_records: 1, ..WriterOptions::default() });
    writer.append(b"kept".to_vec()).expect("room");
    assert_eq!(reports.recv(), Ok(Progress::Durable { through: 1, next: 2 }));
    disk.set_faults(Faults { capacity_bytes: Some(200), ..Faults::default() });
    for n in 2..=4 {
        assert_eq!(writer.append(vec![n; 50]), Ok(u64::from(n)));
    }
    let failed = |n, reason| Progress::Failed { from: n, through: n, reason, generation: 1 };
    assert_eq!(reports.recv(), Ok(failed(2, WriteFailure::NoSpace)));
    // There is space for these records now, but they were appended before the owner resumed.
    disk.set_faults(Faults::default());
    assert_eq!(reports.recv(), Ok(failed(3, WriteFailure::NotAttempted)));
    assert_eq!(reports.recv(), Ok(failed(4, WriteFailure::NotAttempted)));
    writer.resume(1);
    assert_eq!(writer.append(b"again".to_vec()), Ok(5));
    assert_eq!(reports.recv(), Ok(Progress::Durable { through: 5, next: 3 }));
    writer.close().expect("closes");
    assert_eq!(records(&disk), [b"kept".to_vec(), b"again".to_vec()]);
}

#[test]
fn a_failed_sync_stops_the_writer_for_good() {
    let disk = SimDisk::new(1);
    let (mut writer, reports) = start(&disk, WriterOptions::default());
    disk.set_faults(Faults { failing_syncs: vec![0], ..Faults::default() });
    writer.append(b"doubtful".to_vec()).expect("room");
    let Ok(Progress::Failed { reason: WriteFailure::Poisoned(_), generation, .. }) = reports.recv() else {
        panic!("the failed sync was not reported")
    };
    writer.resume(generation);
    writer.append(b"later".to_vec()).expect("room");
    assert!(matches!(reports.recv(), Ok(Progress::Failed { reason: WriteFailure::Poisoned(_), .. })));
    assert!(writer.snapshot(1, Vec::new()));
    let Ok(Progress::Snapshot { failure: Some(WriteFailure::Poisoned(_)), .. }) = reports.recv() else {
        panic!("the snapshot was reported as taken")
    };
    assert!(writer.close().is_err());
}

#[test]
fn records_over_the_queue_limits_are_handed_back() {
    let disk = SimDisk::new(1);
    let (log, _) = Log::open(Arc::new(disk.clone()), Options::new("n3"), |_| Ok(())).expect("opens");
    // The thread blocks in its first report, so records appended afterwards stay queued.
    let (report_sender, reports) = channel();
    let (release, gate) = channel::<()>();
    let options = WriterOptions { queue_records: 3, queue_bytes: 40, ..WriterOptions::default() };
    let on_progress = move |progress| {
        let _ = report_sender.send(progress);
        let _ = gate.recv();
    };
    let mut writer = Writer::start(log, options, on_progress, drop).expect("a thread");
    writer.append(b"first".to_vec()).expect("room");
    assert!(reports.recv().is_ok());
    assert!(writer.append(vec![1; 30]).is_ok());
    assert_eq!(writer.append(vec![2; 30]), Err(vec![2; 30]), "over the bytes");
    assert!(writer.append(vec![3; 5]).is_ok());
    assert!(writer.append(vec![4; 2]).is_ok());
    assert_eq!(writer.append(vec![5; 1]), Err(vec![5; 1]), "over the records");
    assert_eq!(writer.gauges().overflows, 2);
    drop(release);
    writer.close().expect("closes");
    assert_eq!(records(&disk), [b"first".to_vec(), vec![1; 30], vec![3; 5], vec![4; 2]]);
}

#[test]
fn queued_records_are_written_on_close() {
    let disk = SimDisk::new(1);
    let options =
        WriterOptions { max_batch_delay: std::time::Duration::from_secs(3600), ..WriterOptions::default() };
    let (mut writer, _reports) = start(&disk, options);
    writer.append(b"one".to_vec()).expect("room");
    writer.append(b"two".to_vec()).expect("room");
    writer.close().expect("closes");
    assert_eq!(records(&disk), [b"one".to_vec(), b"two".to_vec()]);
}

/// A panic of the thread is passed to `on_panic` with its message. Records reported before it survive, and
/// the log is not marked as closed cleanly.
#[test]
fn a_panic_of_the_thread_is_passed_on_and_loses_nothing_that_was_reported() {
    let disk = SimDisk::new(1);
    let (log, _) = Log::open(Arc::new(disk.clone()), Options::new("n3"), |_| Ok(())).expect("opens");
    let (report_sender, reports) = channel();
    let (panic_sender, panics) = channel();
    let on_progress = move |progress| {
        let Progress::Durable { through, .. } = progress else { panic!("no progress: {progress:?}") };
        assert!(through < 3, "a fault at {through}");
        let _ = report_sender.send(through);
    };
    let on_panic = move |payload: PanicPayload| {
        let _ = panic_sender.send(payload.downcast_ref::<String>().cloned());
    };
    let options = WriterOptions { batch_records: 1, ..WriterOptions::default() };
    let mut writer = Writer::start(log, options, on_progress, on_panic).expect("a thread");
    for n in 1..=3u8 {
        assert_eq!(writer.append(vec![n]), Ok(u64::from(n)));
    }
    assert_eq!(panics.recv(), Ok(Some("a fault at 3".to_owned())));
    assert_eq!(reports.iter().collect::<Vec<_>>(), [1, 2]);
    assert_eq!(writer.append(vec![4]), Err(vec![4]), "the thread has ended");
    let Err(StoreError::Poisoned { cause }) = writer.close() else {
        panic!("the close was reported as clean")
    };
    assert_eq!(cause, "the writer's thread panicked");
    disk.power_cycle();
    assert_eq!(records(&disk), [vec![1], vec![2], vec![3]]);
    let (_, recovery) = Log::open(Arc::new(disk), Options::new("n3"), |_| Ok(())).expect("opens");
    assert!(!recovery.closed_cleanly);
}
