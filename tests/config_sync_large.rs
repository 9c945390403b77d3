//! Distributed configuration of the target size in one real server: 390,000 tenants and 64,000 routes are
//! applied while it serves, within its memory limit. The longest request meanwhile is printed and not
//! checked.

mod fleet;

use fleet::{
    Client, Daemon, FakeWorkerPool, Fleet, OperatorFile, ResponseKind, folder, put_route, put_tenant,
    wait_for,
};
use std::time::{Duration, Instant};

const TENANTS: usize = 390_000;
const ROUTES: usize = 64_000;
/// Limit on the resident memory of the server, kB.
const MEMORY_KB: u64 = 256 * 1024;
/// Maximum number of changes in one transaction.
const MAX_BATCH_CHANGES: usize = 1000;

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
    for batch in changes.chunks(MAX_BATCH_CHANGES) {
        fleet.propose(batch.to_vec());
    }
}

#[test]
fn all_tenants_and_routes_are_applied_while_the_server_serves() {
    let folder = folder("large");
    let fleet = Fleet::new(&folder, &["read", "write", "print"]);
    let began = Instant::now();
    publish(&fleet);
    println!("published in {:?}", began.elapsed());
    fleet.wait_relay_at_head();
    let pool = FakeWorkerPool::new();
    let more = format!("state_directory = \"{}\"", folder.join("state").display());
    let operator = OperatorFile::ConfigSync { relay: fleet.relay_address(), more: &more };
    let daemon = Daemon::start(&folder, pool.address(), &operator);
    let (before_kb, began) = (daemon.resident_kb(), Instant::now());
    let mut client = Client::new(daemon.address);
    let (mut longest, mut request_count) = (Duration::ZERO, 0);
    let last = (route(ROUTES - 1), tenant(TENANTS - 1));
    wait_for("all are in force", || {
        let sent = Instant::now();
        assert!(matches!(client.request("read", "t0"), ResponseKind::Completed | ResponseKind::Rejected));
        longest = longest.max(sent.elapsed());
        request_count += 1;
        request_count % 64 == 0 && client.request(&last.0, &last.1) != ResponseKind::Invalid
    });
    println!(
        "in force after {:?}; longest of {request_count} requests meanwhile {longest:?}",
        began.elapsed()
    );
    assert_ne!(client.request(&route(0), &tenant(0)), ResponseKind::Invalid);
    assert_eq!(client.request(&route(ROUTES), &tenant(0)), ResponseKind::Invalid);
    assert_eq!(client.request(&route(0), &tenant(TENANTS)), ResponseKind::Invalid);
    fleet.wait_in_force(fleet.publisher.head());
    let after_kb = daemon.resident_kb();
    println!("resident {before_kb} kB before, {after_kb} kB after");
    assert!(after_kb < MEMORY_KB, "{after_kb} kB");
    // A restarted server has all of them in force before its first request.
    drop(client);
    daemon.shut_down();
    let began = Instant::now();
    let daemon = Daemon::start(&folder, pool.address(), &operator);
    println!("restart serves after {:?}, {} kB", began.elapsed(), daemon.resident_kb());
    let mut client = Client::new(daemon.address);
    assert_ne!(client.request(&last.0, &last.1), ResponseKind::Invalid);
    assert!(daemon.resident_kb() < MEMORY_KB, "{} kB", daemon.resident_kb());
}
