//! Tests of the log line of a request that is answered late: it shows the times of the request's stages, and
//! it is written for no request in time.
//!
//! `DAILY_SEED` sets the seed.

mod upgrade_support;

use dunlinspread_fakes::unix_ms;
use std::io::{Read, Write};
use std::net::TcpStream;
use upgrade_support::messages::{RequestFields, ServerMessage, decode, encode_request};
use upgrade_support::process::ServerProcess;
use upgrade_support::settings::{CLASSES, CLIENT_TIMEOUT_MS};
use upgrade_support::site::Site;
use upgrade_support::{TEST_TIMEOUT, from_environment, wait_for};

/// Seed used if the environment sets none.
const DEFAULT_SEED: u64 = 1;
/// Client timeout of the late request, ms.
const SHORT_TIMEOUT_MS: u64 = 300;
/// Attempt id of the request in time.
const IN_TIME: u64 = 1;
/// Attempt id of the late request.
const LATE: u64 = 2;

/// A client with one connection.
struct Client {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Client {
    fn connect(site: &Site) -> Client {
        let stream = TcpStream::connect(site.listen).expect("connecting to the server");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the timeout");
        Client { stream, bytes: Vec::new() }
    }

    /// Writes a request with its attempt as the message id and returns its due time, Unix ms.
    fn send(&mut self, attempt: u64, timeout_ms: u64) -> u64 {
        let received_ms = unix_ms();
        let fields = RequestFields {
            call: attempt,
            received_ms,
            timeout_ms,
            memory_kb: 20.0,
            priority: 0.9,
            key: None,
        };
        let request = encode_request(attempt, CLASSES[0], &fields, b"body");
        self.stream.write_all(&request).expect("the connection is open");
        received_ms + timeout_ms
    }

    /// Reads messages up to the response to an attempt.
    fn await_response(&mut self, attempt: u64) {
        let mut chunk = [0; 4096];
        loop {
            while let Some((message, length)) = decode(&self.bytes) {
                self.bytes.drain(..length);
                if matches!(message, ServerMessage::Response(id, _) if id == attempt) {
                    return;
                }
            }
            let count = self.stream.read(&mut chunk).expect("a response");
            assert_ne!(count, 0, "the connection ended without a response");
            self.bytes.extend_from_slice(&chunk[..count]);
        }
    }
}

/// Returns the log line of a late request.
fn late_line(process: &ServerProcess, attempt: u64) -> Option<String> {
    let attempt = format!("{attempt:016x}");
    let is_late_line = |line: &String| line.contains("request answered late") && line.contains(&attempt);
    process.log_lines().into_iter().find(is_late_line)
}

/// Returns the value of a numeric field of a log line.
fn field_value(line: &str, name: &str) -> Option<u64> {
    let (_, rest) = line.split_once(&format!("{name}: "))?;
    rest.split(',').next()?.parse().ok()
}

/// Sends SIGSTOP to a process and waits until the system reports it as stopped.
fn stop(seed: u64, process: &mut ServerProcess) {
    process.signal("STOP");
    let path = format!("/proc/{}/stat", process.id());
    wait_for(seed, "the process is stopped", || {
        std::fs::read_to_string(&path).is_ok_and(|stat| stat.contains(") T "))
    });
}

/// Asserts that a request that the server reads after its due time is logged with the times of its stages,
/// and that an earlier request in time is not logged.
#[test]
fn a_request_that_is_read_late_is_told() {
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    let mut site = Site::start(seed);
    let mut process = site.start_first();
    let mut client = Client::connect(&site);
    client.send(IN_TIME, CLIENT_TIMEOUT_MS as u64);
    client.await_response(IN_TIME);
    stop(seed, &mut process);
    let due_ms = client.send(LATE, SHORT_TIMEOUT_MS);
    wait_for(seed, "the request is due", || unix_ms() > due_ms);
    process.signal("CONT");
    client.await_response(LATE);
    wait_for(seed, "a line for the late request", || late_line(&process, LATE).is_some());
    let line = late_line(&process, LATE).expect("the line was logged");
    assert_eq!(field_value(&line, "due_ms"), Some(SHORT_TIMEOUT_MS), "seed {seed}: {line}");
    assert!(field_value(&line, "read_ms") >= Some(SHORT_TIMEOUT_MS), "seed {seed}: {line}");
    for (earlier, later) in
        [("read_ms", "decided_ms"), ("decided_ms", "answered_ms"), ("answered_ms", "ended_ms")]
    {
        assert!(
            field_value(&line, earlier) <= field_value(&line, later),
            "seed {seed}: {earlier}, {later}: {line}"
        );
        assert!(field_value(&line, earlier).is_some(), "seed {seed}: {earlier}: {line}");
    }
    assert!(line.contains("end: written"), "seed {seed}: {line}");
    assert_eq!(late_line(&process, IN_TIME), None, "seed {seed}");
}
