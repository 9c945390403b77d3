//! The distribution's target in one real round server: 390,000 tenants and 64,000 routes come in force while it serves,
//! within its memory. How long the longest request took meanwhile is printed; it is a figure, not a verdict.

mod fleet;

use fleet::{Answer, Caller, Daemon, Fleet, OperatorFile, Pool, folder, put_route, put_tenant, wait_for};
use std::time::{Duration, Instant};

const TENANTS: usize = 390_000;
const ROUTES: usize = 64_000;
/// All that a round server may take for itself, kB.
const MEMORY_KB: u64 = 256 * 1024;
/// The most changes in one transaction.
const BATCH: usize = 1000;

fn tenant(at: usize) -> String {
    format!("tenant-{at:06}")
}

fn route(at: usize) -> String {
    format!("shelf/route-{at:05}")
}

fn publish(fleet: &Fleet) {
    let tenants = (0..TENANTS).map(|at| put_tenant(&tenant(at), 1 + at as u64 % 100));
    let routes = (0..ROUTES).map(|at| put_route(&route(at), ["read", "print"][at % 2]));
    let changes: Vec<_> = tenants.chain(routes).collect();
    for batch in changes.chunks(BATCH) {
        fleet.propose(batch.to_vec());
    }
}

#[test]
fn all_tenants_and_routes_come_in_force_while_it_serves() {
    let folder = folder("large");
    let fleet = Fleet::new(&folder, &["read", "write", "print"]);
    let began = Instant::now();
    publish(&fleet);
    println!("published in {:?}", began.elapsed());
    fleet.wait_relay_at_head();
    let pool = Pool::new();
    let more = format!("state_directory = \"{}\"", folder.join("state").display());
    let operator = OperatorFile::ConfigSync { relay: fleet.relay_address(), more: &more };
    let daemon = Daemon::start(&folder, pool.address(), &operator);
    let (before_kb, began) = (daemon.resident_kb(), Instant::now());
    let mut caller = Caller::new(daemon.address);
    let (mut longest, mut asked) = (Duration::ZERO, 0);
    let last = (route(ROUTES - 1), tenant(TENANTS - 1));
    wait_for("all are in force", || {
        let sent = Instant::now();
        assert!(matches!(caller.ask("read", "t0"), Answer::Served | Answer::Refused));
        longest = longest.max(sent.elapsed());
        asked += 1;
        asked % 64 == 0 && caller.ask(&last.0, &last.1) != Answer::Invalid
    });
    println!("in force after {:?}; longest of {asked} requests meanwhile {longest:?}", began.elapsed());
    assert_ne!(caller.ask(&route(0), &tenant(0)), Answer::Invalid);
    assert_eq!(caller.ask(&route(ROUTES), &tenant(0)), Answer::Invalid);
    assert_eq!(caller.ask(&route(0), &tenant(TENANTS)), Answer::Invalid);
    fleet.wait_in_force(fleet.publisher.head());
    let after_kb = daemon.resident_kb();
    println!("resident {before_kb} kB before, {after_kb} kB after");
    assert!(after_kb < MEMORY_KB, "{after_kb} kB");
    // A restart has them in force before its first request.
    drop(caller);
    daemon.leave();
    let began = Instant::now();
    let daemon = Daemon::start(&folder, pool.address(), &operator);
    println!("restart serves after {:?}, {} kB", began.elapsed(), daemon.resident_kb());
    let mut caller = Caller::new(daemon.address);
    assert_ne!(caller.ask(&last.0, &last.1), Answer::Invalid);
    assert!(daemon.resident_kb() < MEMORY_KB, "{} kB", daemon.resident_kb());
}
