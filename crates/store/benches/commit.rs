//! Measures appends per second and commit latency with 1, 16 and 256 records in flight, compared with one
//! sync per record and with `redb`, on the disk of the directory `STORE_BENCH_DIR`. Also measures recovery of
//! a log of small records. Prints a table; the figures are in `docs/measurements/store.md`.

use dunlinspread_store::{Log, Options, Progress, RealDisk, Writer, WriterOptions};
use hdrhistogram::Histogram;
use redb::{Database, TableDefinition};
use std::collections::VecDeque;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Length of a record in bytes.
const RECORD_BYTES: usize = 100;
const TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("records");

/// Returns the measurement time of each table row.
fn row_duration() -> Duration {
    let seconds = std::env::var("STORE_BENCH_SECONDS").ok().and_then(|s| s.parse().ok()).unwrap_or(3.0);
    Duration::from_secs_f64(seconds)
}

/// Creates a temporary directory on the measured disk.
fn folder() -> tempfile::TempDir {
    let base = std::env::var("STORE_BENCH_DIR").unwrap_or_else(|_| env!("CARGO_TARGET_TMPDIR").to_owned());
    tempfile::tempdir_in(base).expect("a folder")
}

/// Opens a log in a directory.
fn open(path: &Path) -> Log {
    let disk = Arc::new(RealDisk::new(path).expect("a disk"));
    Log::open(disk, Options::new("bench"), |_| Ok(())).expect("opens").0
}

/// Prints a row of the table.
fn print_row(name: &str, waiting: usize, count: u64, took: Duration, latency: &Histogram<u64>) {
    let at = |p| latency.value_at_percentile(p);
    let rate = count as f64 / took.as_secs_f64();
    println!("{name:<22} {waiting:>7} {rate:>12.0} {:>9} {:>9} {:>9}", at(50.0), at(99.0), latency.max());
}

/// Measures group commit with `waiting` records in flight.
fn group_commit(waiting: usize) {
    let folder = folder();
    let (sender, reports) = channel();
    let on_progress = move |progress| drop(sender.send(progress));
    let writer = Writer::start(open(folder.path()), WriterOptions::default(), on_progress, drop);
    let mut writer = writer.expect("a thread");
    let (mut latency, mut sent, mut count) = (Histogram::new(3).expect("bounds"), VecDeque::new(), 0);
    let began = Instant::now();
    while began.elapsed() < row_duration() {
        while sent.len() < waiting {
            let ticket = writer.append(vec![7; RECORD_BYTES]).expect("room");
            sent.push_back((ticket, Instant::now()));
        }
        let Ok(Progress::Durable { through, .. }) = reports.recv() else { panic!("it failed") };
        while sent.front().is_some_and(|(ticket, _)| *ticket <= through) {
            let (_, since) = sent.pop_front().expect("one");
            latency.record(since.elapsed().as_micros() as u64).expect("in bounds");
            count += 1;
        }
    }
    print_row("group commit", waiting, count, began.elapsed(), &latency);
    writer.close().expect("closes");
}

/// Measures one sync per record, with `waiting` records queued.
fn sync_each(waiting: usize) {
    let folder = folder();
    let mut log = open(folder.path());
    let (mut latency, mut count, began) = (Histogram::new(3).expect("bounds"), 0, Instant::now());
    let mut sent: VecDeque<Instant> = std::iter::repeat_n(began, waiting).collect();
    while began.elapsed() < row_duration() {
        let since = sent.pop_front().expect("one");
        log.commit(&[[7; RECORD_BYTES]]).expect("commits");
        latency.record(since.elapsed().as_micros() as u64).expect("in bounds");
        sent.push_back(Instant::now());
        count += 1;
    }
    print_row("one sync a record", waiting, count, began.elapsed(), &latency);
}

/// Measures `redb`, with one transaction for each batch of `waiting` records.
fn embedded_database(waiting: usize) {
    let folder = folder();
    let database = Database::create(folder.path().join("records")).expect("a database");
    let (mut latency, mut count, began) = (Histogram::new(3).expect("bounds"), 0u64, Instant::now());
    while began.elapsed() < row_duration() {
        let since = Instant::now();
        let write = database.begin_write().expect("a transaction");
        {
            let mut table = write.open_table(TABLE).expect("a table");
            for _ in 0..waiting {
                table.insert(count, &[7; RECORD_BYTES][..]).expect("inserted");
                count += 1;
            }
        }
        write.commit().expect("commits");
        (0..waiting).for_each(|_| latency.record(since.elapsed().as_micros() as u64).expect("in bounds"));
    }
    print_row("redb", waiting, count, began.elapsed(), &latency);
}

/// Returns a memory value of this process in kB, by its key in `/proc/self/status`.
fn memory_kb(key: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with(key));
    line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Measures opening a log of `records` records.
fn recovery(records: u64) {
    let folder = folder();
    let mut log = open(folder.path());
    let batch = vec![[7u8; 32]; 10_000];
    for _ in 0..records / 10_000 {
        log.commit(&batch).expect("commits");
    }
    drop(log);
    let (before, began, mut seen) = (memory_kb("VmRSS"), Instant::now(), 0u64);
    let disk = Arc::new(RealDisk::new(folder.path()).expect("a disk"));
    let (_log, report) = Log::open(disk, Options::new("bench"), |_| {
        seen += 1;
        Ok(())
    })
    .expect("opens");
    let took = began.elapsed().as_secs_f64();
    println!(
        "recovery of {seen} records of 32 bytes, {} MB: {took:.2} s, {:.0} ns a record, memory {} kB more at its end",
        report.bytes_read >> 20,
        took * 1e9 / seen as f64,
        memory_kb("VmRSS").saturating_sub(before)
    );
}

fn main() {
    println!(
        "{:<22} {:>7} {:>12} {:>9} {:>9} {:>9}",
        "", "waiting", "appends/s", "p50 µs", "p99 µs", "max µs"
    );
    for waiting in [1, 16, 256] {
        group_commit(waiting);
        sync_each(waiting);
        embedded_database(waiting);
    }
    recovery(10_000_000);
}
