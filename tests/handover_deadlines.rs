//! Tests that requests that a server holds for its successor, or has forwarded to it, end before their
//! clients time out, whatever the successor does. The test acts as the successor, so that each order is
//! forced without load.
//!
//! `UPGRADE_SEED` sets the seed that a failure prints; these tests use no random numbers.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod event_loop_support;
#[allow(unused_imports, reason = "each test program uses a part of it")]
mod fleet;
mod handover_support;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;
mod upgrade_support;

use dunlinspread_handover::{ForwardedOutcome, ForwardedResponse, ToPredecessor};
use event_loop_support::held_site::{
    CLIENT_TIMEOUT, HeldSite, KEYED, TimedClient, UNKEYED, assert_answered_in,
};
use handover_support::FakeSuccessor;
use std::time::Duration;
use tempfile::TempDir;
use upgrade_support::{from_environment, wait_for};

/// Seed used if the environment sets none.
const DEFAULT_SEED: u64 = 1;
/// Environment variable with the directory in which a successor finds the server's socket.
const TEMPORARY_DIRECTORY: &str = "TMPDIR";
/// Configuration change that adds a control endpoint, without which upgrades are off.
const WITH_CONTROL: [(&str, &str); 1] =
    [(r#""listen":"127.0.0.1:0""#, r#""listen":"127.0.0.1:0","control":"127.0.0.1:0""#)];
/// Client timeout: less than the 1 s for which a transfer waits for its successor.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Client timeout of requests that are sent before the transfer begins.
const TIMEOUT_OF_QUEUED: Duration = Duration::from_millis(800);

fn seed() -> u64 {
    from_environment("UPGRADE_SEED", DEFAULT_SEED)
}

/// A server to which a successor can connect.
struct UpgradedSite {
    site: HeldSite,
    temporary: TempDir,
}

impl UpgradedSite {
    fn start() -> UpgradedSite {
        let temporary = tempfile::tempdir().expect("a directory");
        let path = temporary.path().to_str().expect("a UTF-8 path");
        UpgradedSite { site: HeldSite::start(&WITH_CONTROL, TEMPORARY_DIRECTORY, path), temporary }
    }

    fn begin_transfer(&self) -> FakeSuccessor {
        FakeSuccessor::begin_transfer(self.temporary.path())
    }
}

/// Sends one request on each connection, alternating between the classes.
fn send_requests(clients: &mut [TimedClient], id: u64, timeout: Duration) {
    for (number, client) in clients.iter_mut().enumerate() {
        client.ask(id, [UNKEYED, KEYED][number % 2], timeout);
    }
}

/// Asserts that the next message is the response to a health check, so that no second response preceded it.
fn assert_answered_once(seed: u64, client: &mut TimedClient) {
    let next = client.client.check();
    assert!(next.starts_with(r"\x94\x01\x01\xc0"), "seed {seed}: followed by `{next}`");
}

#[test]
fn what_arrives_in_a_transfer_that_takes_long_is_answered_in_time() {
    const CLIENTS: usize = 4;
    let seed = seed();
    let server = UpgradedSite::start();
    let mut clients = server.site.answered_clients(CLIENTS);
    let _silent = server.begin_transfer();
    send_requests(&mut clients, 2, TIMEOUT);
    let completed = assert_answered_in(seed, "sent during a transfer", 2, TIMEOUT, &mut clients);
    assert_eq!(completed, 0, "seed {seed}: run while its key may be in transit");
    clients.iter_mut().for_each(|client| assert_answered_once(seed, client));
}

#[test]
fn what_was_queued_before_a_transfer_that_takes_long_is_answered_in_time() {
    const CLIENTS: usize = 24;
    let seed = seed();
    let server = UpgradedSite::start();
    let mut clients = server.site.answered_clients(CLIENTS);
    server.site.pool.hold_runs();
    send_requests(&mut clients, 2, TIMEOUT_OF_QUEUED);
    wait_for(seed, "a run", || !server.site.pool.running().is_empty());
    let _silent = server.begin_transfer();
    assert_answered_in(seed, "queued before a transfer", 2, TIMEOUT_OF_QUEUED, &mut clients);
}

#[test]
fn what_the_successor_does_not_answer_is_answered_in_time() {
    let seed = seed();
    let server = UpgradedSite::start();
    let mut clients = server.site.answered_clients(1);
    let mut silent = server.begin_transfer();
    silent.take_over();
    for (id, class) in [(2, UNKEYED), (3, KEYED)] {
        clients[0].ask(id, class, TIMEOUT);
        let forwarded = silent.forwarded();
        let completed = assert_answered_in(seed, "forwarded, not answered", id, TIMEOUT, &mut clients);
        assert_eq!(completed, 0, "seed {seed}");
        silent.wait_cancelled(forwarded.request);
        // This response is too late and is discarded.
        silent.send(&response(forwarded.request));
        assert_answered_once(seed, &mut clients[0]);
    }
}

/// Asserts that a forwarded request carries a timeout shorter than the client's, so that the successor's
/// decision reaches the predecessor before that one answers the request itself.
#[test]
fn the_successor_is_told_of_a_time_that_leaves_room_for_passing_its_response_on() {
    let seed = seed();
    let server = UpgradedSite::start();
    let mut clients = server.site.answered_clients(1);
    let mut successor = server.begin_transfer();
    successor.take_over();
    clients[0].ask(2, KEYED, CLIENT_TIMEOUT);
    let forwarded = successor.forwarded();
    let forwarded_ms = forwarded.timeout_ms.expect("a timeout");
    let client_ms = CLIENT_TIMEOUT.as_secs_f64() * 1000.0;
    assert!(
        forwarded_ms < client_ms && forwarded_ms > client_ms / 2.0,
        "seed {seed}: {forwarded_ms} ms of {client_ms}"
    );
    successor.send(&response(forwarded.request));
    let completed = assert_answered_in(seed, "forwarded and answered", 2, CLIENT_TIMEOUT, &mut clients);
    assert_eq!(completed, 1, "seed {seed}: its result was not passed on");
}

fn response(request: u64) -> ToPredecessor {
    let outcome = ForwardedOutcome::Completed(b"done".to_vec());
    ToPredecessor::Response(ForwardedResponse { request, outcome, advertised_share: None })
}
