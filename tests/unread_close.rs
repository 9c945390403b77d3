//! The server closes no connection with an unread request in the system's receive buffer, tested on real
//! sockets: the server is stopped while clients write, when their connections are due to be closed as soon
//! as it continues. Some stops are shorter and some longer than the stall that the server excludes from the
//! time limits of its clients.

#[allow(unused_imports, reason = "each test program uses a part of it")]
mod fleet;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use fleet::{FakeWorkerPool, wait_for};
use play::alone::Alone;
use play::{Client, config, unescape};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of descriptors in the configuration of the server.
const DESCRIPTORS: usize = 64;
/// Maximum number of connections with [`DESCRIPTORS`] descriptors.
const MAX_CONNECTIONS: usize = DESCRIPTORS / 2 + DESCRIPTORS / 16;
/// Number of connections up to which none is evicted.
const EVICTION_THRESHOLD: usize = MAX_CONNECTIONS - MAX_CONNECTIONS / 8;
/// Length of a stop that the server does not detect, and of one that it excludes from the time limits of its
/// clients.
const STOPS: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(700)];
/// Number of rounds with each stop, because the order of the server's tasks after it continues varies.
const ROUNDS: usize = 3;
/// An idle timeout that is not reached.
const NO_IDLE_TIMEOUT_MS: u64 = 32_000_000_000;
/// Time limit for the close of a connection that sends no request: 2 s for a whole message, 0.8 s for unread
/// bytes, and slack for an overloaded machine.
const CLOSE_LIMIT: Duration = Duration::from_millis(2800 + 2200);

/// The number of the last attempt; each attempt has a unique number.
static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(0);

/// Returns the class and the attempt id of a new request.
fn new_attempt() -> String {
    format!("route-sheet call={:016x}", LAST_ATTEMPT.fetch_add(1, Ordering::Relaxed) + 1)
}

struct Site {
    pool: FakeWorkerPool,
    server: Alone,
}

impl Site {
    fn start(idle_timeout_ms: u64) -> Site {
        Site::start_with(idle_timeout_ms, Alone::new)
    }

    /// Starts a server that stops itself at this point.
    fn stopping_at(point: &str) -> Site {
        Site::start_with(NO_IDLE_TIMEOUT_MS, |config| Alone::stopping_at(config, point))
    }

    fn start_with(idle_timeout_ms: u64, start: impl FnOnce(&str) -> Alone) -> Site {
        let pool = FakeWorkerPool::new();
        let changes = [
            (r#""sockets":1024"#.to_owned(), format!(r#""sockets":{DESCRIPTORS}"#)),
            (
                format!(r#""keepalive_max_ms":{NO_IDLE_TIMEOUT_MS}"#),
                format!(r#""keepalive_max_ms":{idle_timeout_ms}"#),
            ),
        ];
        let address = pool.address().to_string();
        let server = start(&config(&address, "127.0.0.1:1", "127.0.0.1:1", &changes));
        Site { pool, server }
    }

    /// Opens connections, each with a request that is answered only after all are open, so that none is idle
    /// before.
    fn open_answered(&self, count: usize) -> Vec<Client> {
        self.pool.hold_runs();
        let mut clients: Vec<Client> = (0..count).map(|_| Client::new(&self.server.address)).collect();
        clients.iter_mut().for_each(|client| client.ask(1, &new_attempt()));
        wait_for("a run", || !self.pool.running().is_empty());
        self.pool.release_runs();
        for client in &mut clients {
            assert_answered(client, 1);
        }
        clients
    }

    /// Stops the server, calls `write`, and continues the server once it has been stopped for `stop`.
    fn while_stopped(&self, stop: Duration, write: impl FnOnce()) {
        self.server.stop();
        let since = Instant::now();
        write();
        std::thread::sleep(stop.saturating_sub(since.elapsed()));
        self.server.resume();
    }
}

/// Keeps the server busy with health checks until dropped. A server that is stopped while it works, and not
/// while it waits, processes its timers first when it continues, and only then its sockets.
struct HealthChecks {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl HealthChecks {
    const THREADS: usize = 2;
    /// Number of health checks that are sent at once.
    const BATCH: usize = 24;

    fn start(address: &str) -> HealthChecks {
        let is_over = Arc::new(AtomicBool::new(false));
        let send = |_| {
            let (is_over, address) = (is_over.clone(), address.to_owned());
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    check_until(&is_over, &mut Client::new(&address));
                }
            })
        };
        HealthChecks { threads: (0..HealthChecks::THREADS).map(send).collect(), is_over }
    }
}

impl Drop for HealthChecks {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| thread.join().expect("the thread does not panic"));
    }
}

/// Sends health checks until `is_over` is set or the connection is closed.
fn check_until(is_over: &AtomicBool, client: &mut Client) {
    let check = unescape("\\x94\\x00\\x01\\xa6isWell\\x91\\x80");
    while !is_over.load(Ordering::Relaxed) && client.write(&check.repeat(HealthChecks::BATCH)) {
        for _ in 0..HealthChecks::BATCH {
            if !client.response().starts_with(r"\x94") {
                return;
            }
        }
    }
}

fn assert_answered(client: &mut Client, id: u64) {
    let response = client.response();
    assert!(
        response.starts_with(&format!(r"\x94\x01\x{id:02x}")),
        "request {id} was answered by `{response}`"
    );
}

/// Waits for the responses of all clients, and asserts that each is the one to its second request.
fn assert_all_answered(what: &str, clients: &mut [Client]) {
    let responses: Vec<String> = clients.iter_mut().map(Client::response).collect();
    let lost: Vec<&String> = responses.iter().filter(|text| !text.starts_with(r"\x94\x01\x02")).collect();
    assert!(lost.is_empty(), "{what}: {} of {} requests lost: {lost:?}", lost.len(), responses.len());
}

fn rounds() -> impl Iterator<Item = Duration> {
    STOPS.into_iter().flat_map(|stop| std::iter::repeat_n(stop, ROUNDS))
}

/// With more idle connections than the server keeps, an eviction is due at the first sweep after the stop.
#[test]
fn no_request_is_lost_to_an_eviction_after_a_stop() {
    for stop in rounds() {
        let site = Site::start(NO_IDLE_TIMEOUT_MS);
        let _checks = HealthChecks::start(&site.server.address);
        let mut clients = site.open_answered(MAX_CONNECTIONS - HealthChecks::THREADS - 1);
        let mut waiting = None;
        site.while_stopped(stop, || {
            // Connections that the server closed before it was stopped do not count.
            clients.retain_mut(Client::is_open);
            assert!(!clients.is_empty(), "the server closed all before it was stopped");
            // The listener becomes ready before the connections.
            waiting = Some(Client::new(&site.server.address));
            clients.iter_mut().for_each(|client| client.ask(2, &new_attempt()));
        });
        assert_all_answered(&format!("a stop of {stop:?}"), &mut clients);
    }
}

/// New connections are in the accept queue when the server continues, so that it evicts idle ones for them.
#[test]
fn no_request_is_lost_to_an_eviction_for_waiting_connections() {
    for stop in rounds() {
        let site = Site::start(NO_IDLE_TIMEOUT_MS);
        let mut clients = site.open_answered(EVICTION_THRESHOLD);
        let mut waiting = Vec::new();
        site.while_stopped(stop, || {
            // The listener becomes ready before the connections.
            waiting.extend((0..DESCRIPTORS).map(|_| Client::new(&site.server.address)));
            clients.iter_mut().for_each(|client| client.ask(2, &new_attempt()));
            waiting.iter_mut().for_each(|client| client.ask(2, &new_attempt()));
        });
        assert_all_answered(&format!("a stop of {stop:?}, idle"), &mut clients);
        assert_all_answered(&format!("a stop of {stop:?}, waiting"), &mut waiting);
    }
}

/// Stops the server at this point, with one connection more than the eviction threshold, and lets every
/// client that was not notified write a request meanwhile; asserts that all are answered.
fn assert_none_lost_at(point: &str) {
    for stop in STOPS {
        let site = Site::stopping_at(point);
        let mut clients = site.open_answered(EVICTION_THRESHOLD);
        clients.push(Client::new(&site.server.address));
        site.server.wait_until_stopped();
        let since = Instant::now();
        clients.retain(Client::is_quiet);
        assert!(clients.len() >= EVICTION_THRESHOLD, "only {} were not notified", clients.len());
        clients.iter_mut().for_each(|client| client.ask(2, &new_attempt()));
        std::thread::sleep(stop.saturating_sub(since.elapsed()));
        site.server.resume();
        assert_all_answered(&format!("a stop of {stop:?} at {point}"), &mut clients);
    }
}

/// Guards against an eviction that closes at once: a request that arrives after the check for unread bytes
/// would be discarded.
#[test]
fn no_request_is_lost_between_the_look_for_unread_bytes_and_an_eviction() {
    assert_none_lost_at("eviction-checked:1");
}

/// The evicted client was notified and sends nothing; closing its connection closes no other one.
#[test]
fn no_request_is_lost_between_the_look_for_unread_bytes_and_the_close_of_an_evicted_connection() {
    assert_none_lost_at("close-checked:1");
}

/// The server stops right after it accepts the connection for which another one is to be evicted.
#[test]
fn no_request_is_lost_between_an_accept_and_the_first_read() {
    assert_none_lost_at(&format!("connection-accepted:{}", EVICTION_THRESHOLD + 1));
}

/// Guards against closing a connection with a request that crossed the notification: the grace that its
/// client has to close the connection ends while the server is stopped.
#[test]
fn no_request_is_lost_to_the_end_of_a_close_grace() {
    const IDLE_TIMEOUT_MS: u64 = 200;
    /// Time from the notification to the stop, a little less than the grace of a client.
    const BEFORE_STOP: Duration = Duration::from_millis(850);
    const CONNECTIONS: usize = 16;
    for stop in rounds() {
        let site = Site::start(IDLE_TIMEOUT_MS);
        let mut clients = site.open_answered(CONNECTIONS);
        for client in &mut clients {
            let notification = client.answer();
            assert!(notification.starts_with(r"\x93\x02"), "not notified: {notification}");
        }
        std::thread::sleep(BEFORE_STOP);
        site.while_stopped(stop, || {
            // On an overloaded machine, the grace may be over before the stop.
            clients.retain_mut(Client::is_open);
            clients.iter_mut().for_each(|client| client.ask(2, &new_attempt()));
        });
        println!("a stop of {stop:?}: {} of {CONNECTIONS} still open", clients.len());
        assert_all_answered(&format!("a stop of {stop:?}"), &mut clients);
    }
}

/// Writes one item of `bytes` each `interval`, and returns the time after which the connection ended.
fn time_to_close(client: &mut Client, bytes: impl Iterator<Item = Vec<u8>>, interval: Duration) -> Duration {
    let since = Instant::now();
    for piece in bytes {
        if !client.write(&piece) || !client.is_quiet() {
            return since.elapsed();
        }
        assert!(since.elapsed() < 2 * CLOSE_LIMIT, "still open after {:?}", since.elapsed());
        std::thread::sleep(interval);
    }
    client.response();
    since.elapsed()
}

/// Asserts that a connection under these writes ends within the time limit, which the server extends by the
/// time for which it was stalled.
fn assert_closed_in_time(
    site: &Site,
    what: &str,
    bytes: impl Iterator<Item = Vec<u8>>,
    interval: Duration,
) -> Duration {
    let stalled_before = site.server.stalled();
    let took = time_to_close(&mut Client::new(&site.server.address), bytes, interval);
    let stalled = site.server.stalled() - stalled_before;
    println!("{what}: closed after {took:?}, {stalled:?} stalled");
    assert!(took < CLOSE_LIMIT + stalled, "{what}: closed after {took:?}, {stalled:?} stalled");
    took
}

/// Connections that send no request end in a bounded time: a silent one, one that sends single bytes of one
/// message, and one that sends notifications without a pause, so that some are unread whenever the server
/// checks.
#[test]
fn a_connection_without_a_request_is_closed_in_a_bounded_time() {
    let site = Site::start(NO_IDLE_TIMEOUT_MS);
    let long_message =
        [&b"\x94\x00\x01\xda\xff\xff"[..], &[b'a'; 64]].concat().into_iter().map(|byte| vec![byte]);
    assert_closed_in_time(&site, "silent", std::iter::empty(), Duration::ZERO);
    assert_closed_in_time(&site, "single bytes", long_message, Duration::from_secs(1));
    assert_closed_in_time(&site, "notifications", notifications(), Duration::ZERO);
}

/// The time for which the server was stalled does not count as silence of its clients: a connection without
/// a request ends later by that time, and no later than that.
#[test]
fn stalls_of_the_server_put_off_the_close_of_a_connection_without_a_request() {
    const ROUNDS: u32 = 3;
    const BETWEEN: Duration = Duration::from_millis(300);
    const STOP: Duration = Duration::from_millis(1200);
    let site = Site::start(NO_IDLE_TIMEOUT_MS);
    let took = std::thread::scope(|scope| {
        let flood =
            scope.spawn(|| assert_closed_in_time(&site, "notifications", notifications(), Duration::ZERO));
        for _ in 0..ROUNDS {
            std::thread::sleep(BETWEEN);
            site.while_stopped(STOP, || {});
        }
        flood.join().expect("the connection ends in time")
    });
    assert!(took >= STOP * ROUNDS, "closed while the server was stopped: {took:?}");
}

/// Returns an endless sequence of notifications.
fn notifications() -> impl Iterator<Item = Vec<u8>> {
    std::iter::repeat_with(|| b"\x93\x02\xa4none\x90".repeat(64))
}
