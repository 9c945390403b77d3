//! Tests of the control endpoint over real sockets: each call, each refusal, and answers in time while other
//! callers hold connections.

use control_support::{
    ANSWER_TIME, Endpoint, MAX_CONNECTIONS, Reply, assert_answered_in_time, connect, read_to_end, request,
};
use dunlinspread::server::control::{ControlEndpoint, ControlOptions};
use dunlinspread::server::serving_status::ServingStatus;
use dunlinspread::server::supervisor::{TaskFailure, supervise_thread};
use dunlinspread::server::telemetry::RequestEnd;
use slog::{Discard, Logger, o};
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

mod control_support;

#[test]
fn ready_says_whether_the_process_is_ready() {
    let endpoint = Endpoint::start();
    let reply = endpoint.request("GET", "/api/ready");
    assert_eq!((reply.status, reply.body.as_str()), (503, "{\"ready\":false}"));
    endpoint.status.set_ready(true);
    let reply = endpoint.request("GET", "/api/ready");
    assert_eq!((reply.status, reply.body.as_str()), (200, "{\"ready\":true}"));
    endpoint.status.set_ready(false);
    assert_eq!(endpoint.request("GET", "/api/ready").status, 503);
}

#[test]
fn telemetry_lists_the_figures_of_each_class() {
    let endpoint = Endpoint::start();
    let telemetry = endpoint.status.telemetry();
    for end in [RequestEnd::Served, RequestEnd::Served, RequestEnd::Refused, RequestEnd::Failed] {
        telemetry.record_received();
        telemetry.record_end(0, end);
    }
    telemetry.record_received();
    telemetry.record_attempt(1);
    let reply = endpoint.request("GET", "/api/telemetry");
    assert_eq!(reply.status, 200);
    assert!(reply.head.lines().any(|line| line == "Content-Type: application/json"), "{}", reply.head);
    let figures: serde_json::Value = serde_json::from_str(&reply.body).expect("JSON");
    let expected = serde_json::json!({
        "requests": {
            "report": {"served": 2, "refused": 1, "failed": 1, "attempts": 0},
            "entry": {"served": 0, "refused": 0, "failed": 0, "attempts": 1},
        },
        "in_flight": 1,
        "attempts": 1,
    });
    assert_eq!(figures, expected);
}

#[test]
fn evacuation_and_its_end_may_be_asked_for_twice() {
    let endpoint = Endpoint::start();
    for (path, evacuated) in [("/api/evacuate", true), ("/api/rejoin", false), ("/api/evacuate", true)] {
        for attempt in 0..2 {
            let reply = endpoint.request("PUT", path);
            assert_eq!((reply.status, reply.body), (200, format!("{{\"evacuated\":{evacuated}}}")));
            assert_eq!(endpoint.status.is_evacuated(), evacuated);
            assert_eq!(endpoint.changes.try_recv().is_ok(), attempt == 0, "only a change is reported");
        }
    }
}

/// Returns calls that are refused, each with the status of its answer.
fn refused_calls() -> Vec<(u16, String)> {
    let put = |fields: &str, body: &str| format!("PUT /api/evacuate HTTP/1.1\r\n{fields}\r\n\r\n{body}");
    vec![
        (404, request("GET", "/")),
        (404, request("GET", "/api/readyx")),
        (404, request("PUT", "/api/ready/")),
        (405, request("PUT", "/api/ready")),
        (405, request("DELETE", "/api/telemetry")),
        (405, request("GET", "/api/evacuate")),
        (405, request("POST", "/api/rejoin")),
        (405, request("put", "/api/rejoin")),
        (400, "no call at all\r\n\r\n".to_owned()),
        (400, "GET /api/ready HTTP/2.0\r\n\r\n".to_owned()),
        (400, "GET /api/ready HTTP/1.1\r\nbad field\r\n\r\n".to_owned()),
        (400, put("Content-Length: one", "")),
        (400, put("Content-Length: -1", "")),
        (400, put("Content-Length: 1\r\nContent-Length: 2", "ab")),
        (400, put("Content-Length: 5\r\nTransfer-Encoding: chunked", "0\r\n\r\n")),
        (400, put("Transfer-Encoding: chunked", "size\r\n")),
        (400, put("Transfer-Encoding: chunked", "1\r\nab\r\n")),
        (413, put("Content-Length: 4097", "")),
        (413, put("Content-Length: 99999999999999999999999999", "")),
        (413, put("Transfer-Encoding: chunked", "1001\r\n")),
        (413, put("Transfer-Encoding: chunked", &"1\r\na\r\n".repeat(1000))),
        (431, put(&format!("Long: {}", "x".repeat(9000)), "")),
        (431, put("Many: x\r\n".repeat(65).trim_end(), "")),
        (501, put("Transfer-Encoding: gzip", "")),
    ]
}

#[test]
fn each_refusal_has_its_status() {
    let endpoint = Endpoint::start();
    for (status, call) in refused_calls() {
        let reply = endpoint.call(call.as_bytes());
        assert_eq!(reply.status, status, "{call:?} got {reply:?}");
        let body: serde_json::Value = serde_json::from_str(&reply.body).expect("JSON");
        assert!(body["error"].is_string(), "{body}");
    }
    assert!(!endpoint.status.is_evacuated(), "no refused call has an effect");
    let reply = endpoint.request("POST", "/api/evacuate");
    assert!(reply.head.lines().any(|line| line == "Allow: PUT"), "{}", reply.head);
}

#[test]
fn bodies_and_forms_of_the_target_are_read() {
    let endpoint = Endpoint::start();
    let put = "PUT /api/evacuate HTTP/1.1\r\n";
    for call in [
        format!("{put}Content-Length: 2\r\n\r\n{{}}"),
        format!("{put}Content-Length: 2\r\nContent-Length: 2\r\n\r\n{{}}"),
        format!(
            "{put}Transfer-Encoding: Chunked\r\n\r\n2\r\n{{}}\r\n3;extension=1\r\nabc\r\n0\r\nT: 1\r\n\r\n"
        ),
        format!("{put}Content-Length: 9\r\nExpect: 100-continue\r\n\r\n"),
        "PUT http://control:80/api/evacuate?reason=night HTTP/1.1\r\n\r\n".to_owned(),
        "PUT /api/evacuate HTTP/1.0\r\n\r\n".to_owned(),
        "\r\nPUT /api/evacuate HTTP/1.1\nHost: x\n\n".to_owned(),
    ] {
        assert_eq!(endpoint.call(call.as_bytes()).status, 200, "{call:?}");
        assert!(endpoint.status.is_evacuated(), "{call:?}");
        endpoint.status.set_evacuated(false);
    }
}

#[test]
fn a_call_may_come_byte_by_byte() {
    let endpoint = Endpoint::start();
    let mut stream = endpoint.connect();
    stream.set_nodelay(true).expect("no delay");
    for byte in b"PUT /api/evacuate HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" {
        assert!(!endpoint.status.is_evacuated(), "the call took effect before it was complete");
        stream.write_all(&[*byte]).expect("writing");
    }
    assert_eq!(Reply::read(&mut stream).status, 200);
    assert!(endpoint.status.is_evacuated());
}

#[test]
fn bytes_after_the_call_do_not_cost_its_answer() {
    let endpoint = Endpoint::start();
    let mut call = request("GET", "/api/telemetry");
    call.push_str(&request("PUT", "/api/evacuate"));
    call.push_str(&"x".repeat(32 * 1024));
    assert_eq!(endpoint.call(call.as_bytes()).status, 200);
    assert!(!endpoint.status.is_evacuated(), "a connection carries only one call");
}

#[test]
fn a_caller_may_end_its_side_after_the_call_and_not_within() {
    let endpoint = Endpoint::start();
    for (call, status) in [(request("GET", "/api/telemetry"), 200), ("GET /api/tele".to_owned(), 400)] {
        let mut stream = endpoint.connect();
        stream.write_all(call.as_bytes()).expect("writing");
        stream.shutdown(Shutdown::Write).expect("ended");
        assert_eq!(Reply::read(&mut stream).status, status, "{call:?}");
    }
}

#[test]
fn a_call_that_is_not_whole_in_time_is_refused() {
    let endpoint = Endpoint::start();
    let mut stream = endpoint.connect();
    stream.write_all(b"GET /api/ready HTTP/1.1\r\n").expect("writing");
    assert_eq!(Reply::read(&mut stream).status, 408);
}

#[test]
fn silent_connections_hold_up_nobody() {
    let endpoint = Endpoint::start();
    let mut held: Vec<TcpStream> = Vec::new();
    for count in 0..100 {
        let mut stream = endpoint.connect();
        if count % 2 == 1 {
            stream.write_all(b"GET /api/ready HT").expect("writing");
        }
        held.push(stream);
        assert_answered_in_time(endpoint.endpoint.address());
    }
    // The oldest connections were closed in favor of new ones; the newest are still open.
    assert_eq!(read_to_end(&mut held[0]), b"", "closed without an answer");
    let newest = held.last_mut().expect("a held connection");
    newest.set_nonblocking(true).expect("setting non-blocking mode");
    let read = std::io::Read::read(newest, &mut [0; 16]);
    assert_eq!(read.expect_err("nothing to read").kind(), ErrorKind::WouldBlock);
}

/// Opens 200 silent connections a second for three seconds, each held for longer than the test lasts.
#[test]
fn many_new_silent_connections_hold_up_nobody() {
    const PAUSE: Duration = Duration::from_millis(5);
    let endpoint = Endpoint::start();
    let address = endpoint.endpoint.address();
    let may_end = Arc::new(AtomicBool::new(false));
    let end_requested = may_end.clone();
    let holder = std::thread::spawn(move || {
        let mut held = Vec::new();
        while !end_requested.load(Ordering::Acquire) {
            held.push(connect(address));
            std::thread::sleep(PAUSE);
        }
        held.len()
    });
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(3) {
        assert_answered_in_time(address);
    }
    may_end.store(true, Ordering::Release);
    let held = holder.join().expect("connections were made");
    assert!(held > 4 * MAX_CONNECTIONS, "only {held} connections were made");
}

/// Opens four times as many connections as the endpoint holds, each of which sends a call and stays open.
#[test]
fn callers_that_do_not_close_hold_up_nobody() {
    let endpoint = Endpoint::start();
    let mut held = Vec::new();
    for _ in 0..4 * MAX_CONNECTIONS {
        let mut stream = endpoint.connect();
        stream.write_all(request("GET", "/api/telemetry").as_bytes()).expect("writing");
        held.push(stream);
    }
    assert_answered_in_time(endpoint.endpoint.address());
    for stream in &mut held {
        assert_eq!(Reply::read(stream).status, 200);
    }
}

#[test]
fn a_dropped_endpoint_listens_no_longer_and_reports_no_failure() {
    let Endpoint { endpoint, status, failures, .. } = Endpoint::start();
    let address = endpoint.address();
    let held = connect(address);
    let dropped_at = Instant::now();
    drop(endpoint);
    assert!(dropped_at.elapsed() < ANSWER_TIME, "an open connection delayed the end of the endpoint");
    assert_eq!(Arc::strong_count(&status), 1, "the thread has ended");
    assert!(TcpStream::connect(address).is_err());
    assert_eq!(failures.try_recv(), Err(async_channel::TryRecvError::Closed));
    drop(held);
}

#[test]
fn an_address_in_use_is_an_error() {
    let occupied = Endpoint::start();
    let options = ControlOptions { address: occupied.endpoint.address(), max_connections: MAX_CONNECTIONS };
    let status = ServingStatus::new(&[], async_channel::bounded(1).0);
    let failures = async_channel::unbounded().0;
    let log = Logger::root(Discard, o!());
    let error = ControlEndpoint::start(options, status, failures, &log).expect_err("the address is occupied");
    assert_eq!(error.kind(), ErrorKind::AddrInUse);
}

#[test]
fn a_panic_or_unexpected_end_of_the_thread_is_reported() {
    let (failed, failures) = async_channel::unbounded();
    supervise_thread("control", || true, &failed);
    assert!(failures.is_empty());
    supervise_thread("control", || false, &failed);
    assert_eq!(failures.try_recv(), Ok(TaskFailure::Ended { task: "control" }));
    supervise_thread("control", || panic!("deliberate"), &failed);
    let failure = failures.try_recv().expect("a reported failure");
    assert_eq!(failure.to_string(), "task failed: control panicked: deliberate");
}
