//! Tests of the order in which an overloaded event loop does its work: each request that the server has read
//! ends once, by its due time, whatever else there is to read. Each message costs the server a fixed time, so
//! that no test depends on the build profile or on other load of the machine.
//!
//! `DAILY_SEED` sets the seed.

mod event_loop_support;
#[allow(unused_imports, reason = "each test program uses a part of it")]
mod fleet;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;
mod upgrade_support;

use event_loop_support::flood::Flood;
use event_loop_support::held_site::{
    CLIENT_TIMEOUT, HeldSite, KEYED, TimedClient, UNKEYED, assert_answered_in,
};
use event_loop_support::{COSTS, SLOW_AT, STOP_AT, wait_for_core};
use std::time::{Duration, Instant};
use upgrade_support::check::{judge, print_attempts};
use upgrade_support::clients::Clients;
use upgrade_support::load::LoadSettings;
use upgrade_support::messages::decode;
use upgrade_support::records::{Outcome, Records};
use upgrade_support::settings::STOP_MS;
use upgrade_support::site::Site;
use upgrade_support::{from_environment, run_for, wait_for};

/// Seed used if the environment sets none.
const DEFAULT_SEED: u64 = 1;
/// Requests per second of the good clients: with [`COSTS`] about a twentieth of the server's time.
const RATE: f64 = 20.0;
/// Time during which the good clients send.
const LOAD_TIME: Duration = Duration::from_millis(2500);

fn load(seed: u64, rate: f64) -> LoadSettings {
    LoadSettings { seed, rate, shared_connections: 8, withdrawals: false }
}

/// Has good clients send to a slowed server, and asserts that each request and each health check is answered
/// in time.
fn assert_all_answered_under_load(seed: u64, costs: &str, rate: f64, is_flooded: bool) {
    let mut site = Site::start(seed);
    site.variables.push((SLOW_AT, costs.to_owned()));
    let mut process = site.start_first();
    let flood = is_flooded.then(|| Flood::start(site.listen));
    let clients = Clients::start(site.listen, site.request_ends(), load(seed, rate));
    run_for(LOAD_TIME);
    let records = clients.finish();
    let verdict = judge(&records, &site.started_runs());
    println!("seed {seed}, {rate}/s, {costs}, flooded {is_flooded}: {verdict}");
    println!("  slowest answer {} ms", slowest_ms(&records));
    print_attempts(&records, &[Outcome::Lost, Outcome::Unanswered]);
    assert!(process.exit_status().is_none(), "seed {seed}: the process ended");
    assert!(flood.is_none_or(|flood| flood.closed() == 0), "seed {seed}: the flood ended");
    assert_eq!(verdict.broken_rules(), 0, "seed {seed}: {verdict}");
    assert_eq!(verdict.without_response(), 0, "seed {seed}: {verdict}");
    assert_eq!(verdict.health_missing, 0, "seed {seed}: {verdict}");
}

/// Returns the longest time from the writing of an attempt to its answer.
fn slowest_ms(records: &Records) -> u64 {
    let answered = |outcome| matches!(outcome, Outcome::Served | Outcome::Rejected | Outcome::Failed);
    let answered = records.attempts.iter().filter(|attempt| answered(attempt.outcome));
    answered.filter_map(|attempt| Some(attempt.ended_ms - attempt.written_ms?)).max().unwrap_or(0)
}

/// Asserts that the server can serve the load of the good clients alone, as a baseline of the tests below.
#[test]
fn a_slowed_server_answers_good_clients() {
    let _core = wait_for_core();
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    assert_all_answered_under_load(seed, COSTS, RATE, false);
}

/// Asserts that good clients are answered in time while other connections send without pause.
#[test]
fn a_flood_of_notifications_keeps_no_answer_from_good_clients() {
    let _core = wait_for_core();
    assert_all_answered_under_load(from_environment("DAILY_SEED", DEFAULT_SEED), COSTS, RATE, true);
}

/// Requests per second of clients that the server has no time to serve, and hardly the time to reject.
const OVERLOAD_RATE: f64 = 400.0;

/// Asserts that each request ends once and in time if the server has the time to reject the requests, but not
/// to run them.
#[test]
fn more_requests_than_can_be_run_end_in_time() {
    const COSTS: &str = "message:500us,decision:1500us";
    let _core = wait_for_core();
    assert_all_answered_under_load(from_environment("DAILY_SEED", DEFAULT_SEED), COSTS, OVERLOAD_RATE, false);
}

/// Asserts that each request ends once and in time if requests arrive faster than the server can reject them,
/// but few enough that it can reject all of them within their clients' timeout.
#[test]
fn more_requests_than_can_be_decided_end_in_time() {
    const COSTS: &str = "message:500us,decision:3000us";
    let _core = wait_for_core();
    assert_all_answered_under_load(from_environment("DAILY_SEED", DEFAULT_SEED), COSTS, OVERLOAD_RATE, false);
}

/// Asserts that a server receives SIGTERM during a flood, answers its open requests and ends before its
/// SIGKILL.
#[test]
fn a_shutdown_beside_a_flood_ends_in_time() {
    const KILL_AFTER: Duration = Duration::from_millis(STOP_MS);
    let _core = wait_for_core();
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    let mut site = Site::start(seed);
    site.variables.push((SLOW_AT, COSTS.to_owned()));
    let mut process = site.start_first();
    let flood = Flood::start(site.listen);
    let clients = Clients::start(site.listen, site.request_ends(), load(seed, RATE));
    run_for(Duration::from_millis(500));
    process.signal("TERM");
    let since = Instant::now();
    while process.exit_status().is_none() && since.elapsed() < KILL_AFTER {
        run_for(Duration::from_millis(1));
    }
    let (took, status) = (since.elapsed(), process.exit_status());
    process.kill();
    drop(flood);
    let records = clients.finish();
    let verdict = judge(&records, &site.started_runs());
    println!("seed {seed}, {status:?} after {took:?}: {verdict}");
    print_attempts(&records, &[Outcome::Lost, Outcome::Unanswered]);
    assert!(
        status.is_some_and(|status| status.success()),
        "seed {seed}: the server did not end before its SIGKILL"
    );
    assert_eq!(verdict.broken_rules() + verdict.without_response(), 0, "seed {seed}: {verdict}");
}

/// Connects clients and returns them once the requests of all of them run.
fn clients_with_runs(site: &HeldSite, timeout: Duration) -> Vec<TimedClient> {
    const CLIENTS: usize = 4;
    // The server raises its concurrency limit once runs have ended.
    let mut clients = site.answered_clients(CLIENTS);
    site.pool.hold_runs();
    for (number, client) in clients.iter_mut().enumerate() {
        client.ask(2, [UNKEYED, KEYED][number % 2], timeout);
    }
    site.pool.wait_running(CLIENTS);
    clients
}

/// Asserts that the result of a run that ends during a flood reaches its client in time: reports of the
/// worker pool, decisions and writes take precedence over further reads.
#[test]
fn a_run_that_ends_beside_a_flood_is_completed_in_time() {
    const TIMEOUT: Duration = Duration::from_millis(2500);
    /// Time from the end of the runs to the clients' timeout.
    const LEFT: Duration = Duration::from_millis(500);
    let _core = wait_for_core();
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    let site = HeldSite::slowed();
    let mut clients = clients_with_runs(&site, TIMEOUT);
    let _flood = Flood::start(site.listen());
    run_for((TIMEOUT - LEFT).saturating_sub(clients[0].asked_at.elapsed()));
    site.pool.release_runs();
    let completed = assert_answered_in(seed, "runs that end", 2, TIMEOUT, &mut clients);
    assert_eq!(completed, clients.len(), "seed {seed}: runs ended in time, but their results were not sent");
}

/// Asserts that a request whose run never ends is answered by its due time: timers take precedence over
/// further reads.
#[test]
fn a_request_that_is_due_beside_a_flood_is_answered_in_time() {
    const TIMEOUT: Duration = Duration::from_millis(2500);
    let _core = wait_for_core();
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    let site = HeldSite::slowed();
    let mut clients = clients_with_runs(&site, TIMEOUT);
    let _flood = Flood::start(site.listen());
    assert_answered_in(seed, "runs that never end", 2, TIMEOUT, &mut clients);
}

/// Asserts that requests are answered in time on connections that were open before a flood, and on
/// connections opened during it.
#[test]
fn requests_beside_a_flood_are_answered_in_time() {
    const CLIENTS: usize = 16;
    let _core = wait_for_core();
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    let site = HeldSite::slowed();
    let mut open = site.answered_clients(CLIENTS);
    let _flood = Flood::start(site.listen());
    let mut new: Vec<TimedClient> = (0..CLIENTS).map(|_| site.client()).collect();
    for (number, client) in open.iter_mut().chain(&mut new).enumerate() {
        client.ask(2, [UNKEYED, KEYED][number % 2], CLIENT_TIMEOUT);
    }
    assert_answered_in(seed, "open before the flood", 2, CLIENT_TIMEOUT, &mut open);
    assert_answered_in(seed, "opened during the flood", 2, CLIENT_TIMEOUT, &mut new);
}

/// Asserts that each request is answered once if the server is stopped at this point while it handles the
/// first of them.
fn assert_answered_once_after_a_stop_at(point: &str) {
    const CLIENTS: usize = 4;
    const STOPS: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(1200)];
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    for stop in STOPS {
        let site = HeldSite::start(&[], STOP_AT, &format!("{point}:1"));
        let mut clients: Vec<TimedClient> = (0..CLIENTS).map(|_| site.client()).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            client.ask(2, [UNKEYED, KEYED][number % 2], CLIENT_TIMEOUT);
        }
        site.server.wait_until_stopped();
        run_for(stop);
        site.server.resume();
        let context = format!("a stop of {stop:?} at {point}");
        assert_answered_in(seed, &context, 2, CLIENT_TIMEOUT, &mut clients);
        for client in &mut clients {
            let next = client.client.check();
            assert!(
                next.starts_with(r"\x94\x01\x01\xc0\x92"),
                "seed {seed}, {context}: followed by `{next}`"
            );
        }
    }
}

#[test]
fn a_stop_between_read_and_decision_costs_no_answer() {
    assert_answered_once_after_a_stop_at("request-read");
}

#[test]
fn a_stop_between_decision_and_write_costs_no_answer() {
    assert_answered_once_after_a_stop_at("response-decided");
}

/// Asserts that the answers to a client that reads nothing for a while reach its socket buffer in time, and
/// that no other client waits for it.
#[test]
fn a_client_that_stands_still_has_its_answers_and_delays_nobody() {
    const REQUESTS: u64 = 16;
    const OTHERS: usize = 8;
    let _core = wait_for_core();
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    let site = HeldSite::slowed();
    let mut others = site.answered_clients(OTHERS);
    let mut paused = site.client();
    (0..REQUESTS).for_each(|id| paused.ask(id, UNKEYED, CLIENT_TIMEOUT));
    others.iter_mut().for_each(|client| client.ask(2, KEYED, CLIENT_TIMEOUT));
    assert_answered_in(seed, "beside a client that does not read", 2, CLIENT_TIMEOUT, &mut others);
    wait_for(seed, "all answers at the client", || responses_in(&paused.client.unread()) == REQUESTS);
    let took = paused.asked_at.elapsed();
    println!("seed {seed}: all answers in the buffer of the client that does not read after {took:?}");
    assert!(took <= CLIENT_TIMEOUT, "seed {seed}: only after {took:?}");
    let mut ids: Vec<String> = (0..REQUESTS).map(|_| paused.client.response()).collect();
    ids.iter_mut().for_each(|text| text.truncate(r"\x94\x01\x00".len()));
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len() as u64, REQUESTS, "seed {seed}: answered twice: {ids:?}");
}

/// Returns the number of complete messages in these bytes.
fn responses_in(bytes: &[u8]) -> u64 {
    let (mut rest, mut count) = (bytes, 0);
    while let Some((_, length)) = decode(rest) {
        (rest, count) = (&rest[length..], count + 1);
    }
    count
}

/// Cost of each client message in the tests in which a connection's own messages delay its request.
const OWN_COST: &str = "message:5000us";

/// Asserts that a request behind the given number of withdrawals is answered, on a connection that exceeds
/// the idle timeout while the server handles the withdrawals. The client writes all messages before it
/// receives any.
fn assert_idle_limit_spares_a_request_behind(withdrawals: usize) {
    let _core = wait_for_core();
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    let idle_limit = [(r#""keepalive_max_ms":32000000000"#, r#""keepalive_max_ms":200"#)];
    let site = HeldSite::start(&idle_limit, SLOW_AT, OWN_COST);
    let mut clients = site.answered_clients(1);
    clients[0].ask_behind(withdrawals, 2, UNKEYED, CLIENT_TIMEOUT);
    let context = format!("behind {withdrawals} withdrawals");
    assert_answered_in(seed, &context, 2, CLIENT_TIMEOUT, &mut clients);
}

/// Guards against a connection closed over a request that the server has read but not handled when the time
/// ends in which the notified client is to close the connection.
#[test]
fn a_request_that_was_read_is_not_closed_over() {
    assert_idle_limit_spares_a_request_behind(340);
}

/// Guards against a connection closed over a request that is in the socket buffer for longer than unread
/// bytes keep a connection open.
#[test]
fn a_request_that_lies_unread_for_long_is_not_closed_over() {
    assert_idle_limit_spares_a_request_behind(640);
}

/// Guards against the eviction of a connection whose request was read but is not handled when other
/// connections need room.
#[test]
fn a_request_that_was_read_is_not_evicted() {
    const WITHDRAWALS: usize = 160;
    const CONNECTIONS: usize = 31;
    const FURTHER_CONNECTIONS: usize = 4;
    let _core = wait_for_core();
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    let descriptors = [(r#""sockets":1024"#, r#""sockets":64"#)];
    let site = HeldSite::start(&descriptors, SLOW_AT, OWN_COST);
    let mut clients = site.answered_clients(1);
    site.pool.hold_runs();
    // Connections to which an answer is owed are not evicted.
    let mut owed: Vec<TimedClient> = (0..CONNECTIONS).map(|_| site.client()).collect();
    owed.iter_mut().for_each(|client| client.ask(1, UNKEYED, CLIENT_TIMEOUT));
    wait_for(seed, "a run", || !site.pool.running().is_empty());
    clients[0].ask_behind(WITHDRAWALS, 2, UNKEYED, CLIENT_TIMEOUT);
    let further: Vec<TimedClient> = (0..FURTHER_CONNECTIONS).map(|_| site.client()).collect();
    run_for(Duration::from_millis(300));
    site.pool.release_runs();
    assert_answered_in(seed, "evicted", 2, CLIENT_TIMEOUT, &mut clients);
    drop((owed, further));
}
