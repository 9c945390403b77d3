//! Prints the costs of the server side at the target size, without checking them. Run it with
//! `cargo test --release -p dunlinspread-config-sync --test server_costs -- --ignored --nocapture`.

mod server_support;

use dunlinspread_config_sync::fanout::{Fanout, FanoutEvent, FanoutSettings, SessionId};
use dunlinspread_config_sync::message::{Role, ToServer};
use dunlinspread_config_sync::resource::{Change, Position};
use dunlinspread_config_sync::table::Table;
use server_support::{History, at, class, member, route, tenant, zone_progress};
use std::time::Instant;

const TENANTS: u64 = 390_000;
const ROUTES: u64 = 64_000;
const CLASSES: u64 = 250;
const SESSIONS: u64 = 444;
const REPEATS: u64 = 5_000;

/// Returns the resident bytes of this process.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a VmRSS line");
    let kilobytes = line.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    kilobytes.expect("a number") * 1_024
}

fn full_table() -> Table {
    let mut table = Table::new();
    for number in 0..CLASSES {
        table.apply(&[class(&format!("class-{number}"), 8)]);
    }
    for number in 0..TENANTS {
        table.apply(&[tenant(&format!("tenant-{number:06}"), number)]);
    }
    for number in 0..ROUTES {
        let class = format!("class-{}", number % CLASSES);
        table.apply(&[route(&format!("service-{}/Method{number}", number / 20), &class)]);
    }
    table
}

fn print_each(operation: &str, count: u64, start: Instant) {
    println!("{operation}: {} ns", start.elapsed().as_nanos() / u128::from(count));
}

#[test]
#[ignore = "prints figures, checks nothing"]
fn costs_at_the_size_aimed_at() {
    let before = resident_bytes();
    let start = Instant::now();
    let table = full_table();
    print_each("apply while filling, not shared", table.len() as u64, start);
    let bytes = resident_bytes() - before;
    println!(
        "{} resources: {} MB, {} bytes each",
        table.len(),
        bytes / 1_000_000,
        bytes / table.len() as u64
    );

    let start = Instant::now();
    let mut alone = table.clone();
    let mut kept = Vec::new();
    for number in 0..REPEATS {
        kept.push(alone.clone());
        alone.apply(&[tenant(&format!("tenant-{:06}", (number * 7_919) % TENANTS), 1)]);
    }
    print_each("apply, every earlier table kept", REPEATS, start);
    println!("{REPEATS} tables kept: {} bytes each", (resident_bytes() - before - bytes) / REPEATS);
    let start = Instant::now();
    println!("changes_to over {REPEATS} changes: {} found", table.changes_to(&alone).len());
    print_each("changes_to, in all", 1, start);
    drop(kept);

    let start = Instant::now();
    let digests = table.bucket_digests();
    print_each("bucket_digests", 1, start);
    let start = Instant::now();
    let differing = alone.differing(&digests).len();
    print_each(&format!("differing ({differing} buckets)"), 1, start);
    serve(&table);
}

/// Prints the costs of publishing to a zone's subscribers and of their reports.
fn serve(table: &Table) {
    let mut fanout = Fanout::new(FanoutSettings { flush_ms: 0, ..FanoutSettings::default() });
    let mut out = Vec::new();
    let mut history = History { position: at(0), table: table.clone() };
    fanout.reset(0, at(0), table.clone(), 0, &mut out);
    for id in 0..SESSIONS {
        let watch = ToServer::Watch {
            member: member(&format!("member-{id}"), "a", Role::Subscriber),
            position: at(0),
            digest: table.digest(),
        };
        fanout.on_event(0, FanoutEvent::Opened(SessionId(id)), &mut out);
        fanout.on_event(0, FanoutEvent::Received(SessionId(id), watch), &mut out);
    }
    let mut transactions = Vec::new();
    for number in 0..REPEATS {
        let change: Change = tenant(&format!("tenant-{:06}", (number * 7_919) % TENANTS), number + 1_000_000);
        let transaction = history.next(vec![change]);
        transactions.push((transaction, history.table.clone()));
    }
    let start = Instant::now();
    for (number, (transaction, table)) in transactions.into_iter().enumerate() {
        out.clear();
        fanout.publish(number as u64, vec![transaction], &table, &mut out);
    }
    print_each(&format!("publish to {SESSIONS} sessions"), REPEATS, start);
    assert_eq!(out.len(), SESSIONS as usize);
    report(&mut fanout);
}

fn report(fanout: &mut Fanout) {
    let mut out = Vec::new();
    let start = Instant::now();
    for revision in 0..REPEATS / SESSIONS + 1 {
        for id in 0..SESSIONS {
            let zones = vec![zone_progress("a", 1, Position { epoch: 1, revision }, 0)];
            let report = ToServer::Progress { zones, refusals: Vec::new() };
            fanout.on_event(0, FanoutEvent::Received(SessionId(id), report), &mut out);
        }
    }
    print_each("progress of one subscriber", (REPEATS / SESSIONS + 1) * SESSIONS, start);
}
