//! Requests that a server holds for its successor end by the time at which their clients stop
//! waiting, whatever the successor does. The successor is the test itself, so that each order is forced without load.
//!
//! `UPGRADE_SEED` sets the seed that a failure prints; nothing here is drawn.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod event_loop_support;
#[allow(unused_imports, reason = "each test program uses a part of it")]
mod fleet;
mod handover_support;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;
mod upgrade_support;

use event_loop_support::held_site::{HeldSite, KEYED, TimedClient, UNKEYED, assert_answered_in};
use handover_support::FakeSuccessor;
use std::time::Duration;
use tempfile::TempDir;
use upgrade_support::{from_environment, wait_for};

/// The seed where the environment sets none.
const DEFAULT_SEED: u64 = 1;
/// The variable that names the directory in which a successor finds the server.
const TEMPORARY_DIRECTORY: &str = "TMPDIR";
/// Upgrades are on where operators have an address.
const WITH_CONTROL: [(&str, &str); 1] =
    [(r#""listen":"127.0.0.1:0""#, r#""listen":"127.0.0.1:0","control":"127.0.0.1:0""#)];
/// How long clients wait: less than the second for which a transfer waits for its successor.
const TIMEOUT: Duration = Duration::from_millis(500);
/// As above, where requests are asked before the transfer begins.
const TIMEOUT_OF_QUEUED: Duration = Duration::from_millis(800);

fn seed() -> u64 {
    from_environment("UPGRADE_SEED", DEFAULT_SEED)
}

/// A server that a successor finds.
struct UpgradedSite {
    site: HeldSite,
    temporary: TempDir,
}

impl UpgradedSite {
    fn start() -> UpgradedSite {
        let temporary = tempfile::tempdir().expect("a directory");
        let path = temporary.path().to_str().expect("a path of letters");
        UpgradedSite { site: HeldSite::start(&WITH_CONTROL, TEMPORARY_DIRECTORY, path), temporary }
    }

    fn begin_transfer(&self) -> FakeSuccessor {
        FakeSuccessor::begin_transfer(self.temporary.path())
    }
}

/// Asks a request of each class by turns, one on each connection.
fn ask(clients: &mut [TimedClient], id: u64, timeout: Duration) {
    for (number, client) in clients.iter_mut().enumerate() {
        client.ask(id, [UNKEYED, KEYED][number % 2], timeout);
    }
}

/// Asserts that the next message is the answer to a health check: no second response came before it.
fn assert_answered_once(seed: u64, client: &mut TimedClient) {
    let next = client.client.check();
    assert!(next.starts_with(r"\x94\x01\x01\xc0"), "seed {seed}: then came `{next}`");
}

#[test]
fn what_arrives_in_a_transfer_that_takes_long_is_answered_in_time() {
    const CLIENTS: usize = 4;
    let seed = seed();
    let server = UpgradedSite::start();
    let mut clients = server.site.answered_clients(CLIENTS);
    let _silent = server.begin_transfer();
    ask(&mut clients, 2, TIMEOUT);
    let completed = assert_answered_in(seed, "asked in a transfer", 2, TIMEOUT, &mut clients);
    assert_eq!(completed, 0, "seed {seed}: run while its key may be on its way");
    clients.iter_mut().for_each(|client| assert_answered_once(seed, client));
}

#[test]
fn what_was_queued_before_a_transfer_that_takes_long_is_answered_in_time() {
    const CLIENTS: usize = 24;
    let seed = seed();
    let server = UpgradedSite::start();
    let mut clients = server.site.answered_clients(CLIENTS);
    server.site.pool.hold_runs();
    ask(&mut clients, 2, TIMEOUT_OF_QUEUED);
    wait_for(seed, "a run", || !server.site.pool.running().is_empty());
    let _silent = server.begin_transfer();
    assert_answered_in(seed, "queued before a transfer", 2, TIMEOUT_OF_QUEUED, &mut clients);
}
