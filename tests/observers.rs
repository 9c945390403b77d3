//! The observers through which other tests watch servers: the ends of connections, and the log lines that
//! are kept of a process.

mod upgrade_support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use upgrade_support::connection_ends::{ConnectionEnd, pause_watcher};
use upgrade_support::kept_log::{KeptLog, MAX_KEPT_OF_A_KIND};
use upgrade_support::{TEST_TIMEOUT, wait_for};

/// The seed for the messages of waits; these tests use no random numbers.
const NO_SEED: u64 = 0;

/// Returns both sides of a new connection, the client's first.
fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("its address")).expect("the server listens");
    let (server, _) = listener.accept().expect("a connection");
    server.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time limit");
    (client, server)
}

/// The operating system reports a client's close to the server, even while the watcher thread is paused.
#[test]
fn a_watched_connection_that_its_client_drops_has_ended_for_the_server() {
    let (client, mut server) = connect();
    let end = ConnectionEnd::watch(&client).expect("the connection can be watched");
    let pause = pause_watcher().expect("a watcher");
    drop(client);
    assert_eq!(server.read(&mut [0]).expect("the end of the connection"), 0);
    drop(pause);
    assert_eq!(end.ended_at_ms(), None, "the server has not ended it");
}

/// Closing a connection with unread bytes resets it, as it does without a watcher.
#[test]
fn a_watched_connection_that_its_client_drops_over_unread_bytes_is_reset() {
    let (client, mut server) = connect();
    let _end = ConnectionEnd::watch(&client).expect("the connection can be watched");
    server.write_all(b"unread").expect("a connection");
    client.peek(&mut [0]).expect("a byte");
    let _pause = pause_watcher().expect("a watcher");
    drop(client);
    let error = server.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

/// The time of the server's end is recorded although the client reads nothing, and does not change later.
#[test]
fn the_servers_end_is_noted_while_its_client_reads_nothing() {
    let (client, mut server) = connect();
    let end = ConnectionEnd::watch(&client).expect("the connection can be watched");
    server.write_all(b"unread").expect("a connection");
    assert_eq!(end.ended_at_ms(), None);
    drop(server);
    wait_for(NO_SEED, "the end of the connection", || end.ended_at_ms().is_some());
    let recorded_ms = end.ended_at_ms();
    drop(client);
    assert_eq!(end.ended_at_ms(), recorded_ms);
}

/// The server ends every second one of many connections; only those ends are recorded.
#[test]
fn each_connection_has_an_end_of_its_own() {
    const CONNECTIONS: usize = 300;
    let mut connections: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let (client, server) = connect();
            let end = ConnectionEnd::watch(&client).expect("the connection can be watched");
            (client, Some(server), end)
        })
        .collect();
    connections.iter_mut().step_by(2).for_each(|(_, server, _)| *server = None);
    let ended = connections.iter().step_by(2);
    ended.for_each(|(_, _, end)| wait_for(NO_SEED, "an end", || end.ended_at_ms().is_some()));
    assert!(connections.iter().skip(1).step_by(2).all(|(_, _, end)| end.ended_at_ms().is_none()));
}

const RARE: &str = "Dec 03 18:38:01.913 WARN event loop stalled, ms: 812, tasks: none, name: n3";

fn frequent(number: usize) -> String {
    format!("Dec 03 18:38:01.914 WARN connections near limit, open: {number}, limit: 384, name: n3")
}

#[test]
fn lines_of_one_kind_push_out_no_line_of_another() {
    const MANY: usize = 10 * MAX_KEPT_OF_A_KIND;
    let mut log = KeptLog::default();
    log.take(RARE.to_owned());
    (0..MANY).for_each(|number| log.take(frequent(number)));
    let lines = log.lines();
    assert_eq!(lines[0], RARE);
    let last: Vec<String> = (MANY - MAX_KEPT_OF_A_KIND..MANY).map(frequent).collect();
    assert_eq!(lines[1..=MAX_KEPT_OF_A_KIND], last);
    let not_kept = format!("not kept: {} earlier of `connections near limit`", MANY - MAX_KEPT_OF_A_KIND);
    assert_eq!(lines[MAX_KEPT_OF_A_KIND + 1..], [not_kept]);
}

#[test]
fn kept_lines_stand_in_the_order_in_which_they_came() {
    let mut log = KeptLog::default();
    let lines =
        [frequent(1), RARE.to_owned(), "thread 'main' panicked".to_owned(), frequent(2), RARE.to_owned()];
    lines.iter().for_each(|line| log.take(line.clone()));
    assert_eq!(log.lines(), lines);
}
