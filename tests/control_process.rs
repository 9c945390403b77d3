//! Tests of the built program's control endpoint: evacuation by an operator reaches health checks and the
//! registry.

use control_support::registry::Registry;
use control_support::{call, request};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod control_support;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

/// Time limit of each wait, far beyond any expected delay.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Address on which no process listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";
/// Health check request, escaped.
const HEALTH_CHECK: &str = r"\x94\x00\x01\xa6isWell\x91\x80";
/// Start of the response to a health check of a healthy server.
const HEALTHY: &str = r"\x94\x01\x01\xc0\x92\xc3";
/// Start of the response to a health check of an unhealthy server.
const UNHEALTHY: &str = r"\x94\x01\x01\xc0\x92\xc2";

/// The program with a control endpoint, and the test's registry to which it reports.
struct Server {
    process: Child,
    listen: String,
    control: SocketAddr,
    log: Receiver<String>,
    registry: Registry,
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Returns a configuration with a control endpoint.
fn config(registry: &str, control: &str) -> String {
    let listen = r#""listen":"127.0.0.1:0""#;
    let with_control = format!(r#"{listen},"control":"{control}""#);
    play::config(UNUSED_ADDRESS, registry, UNUSED_ADDRESS, &[(listen.to_owned(), with_control)])
}

impl Server {
    fn start() -> Server {
        let registry = Registry::start();
        let mut process = play::start(&config(&registry.address.to_string(), "127.0.0.1:0"));
        let stderr = BufReader::new(process.stderr.take().expect("a log"));
        let (sender, log) = channel();
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).for_each(|line| drop(sender.send(line)))
        });
        let control = address_after("control: ", &log).parse().expect("the address of the endpoint");
        let listen = address_after("listen: ", &log);
        Server { process, listen, control, log, registry }
    }

    /// Makes a call to the control endpoint, asserts that it succeeds, and returns the body of its answer.
    fn control_call(&self, method: &str, path: &str) -> String {
        let reply = call(self.control, request(method, path).as_bytes());
        assert_eq!(reply.status, 200, "{reply:?}");
        reply.body
    }

    /// Sends a health check and returns the response, escaped.
    fn check(&self) -> String {
        let mut stream = TcpStream::connect(&self.listen).expect("connecting to the server");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the timeout");
        stream.write_all(&play::unescape(HEALTH_CHECK)).expect("writing");
        play::message(&mut stream)
    }

    /// Returns the body of the next health report that differs from the previous one.
    fn report(&self) -> String {
        self.registry.changes.recv_timeout(TEST_TIMEOUT).expect("a report")
    }

    fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args(["-s", signal, &self.process.id().to_string()]).status();
        assert!(sent.expect("running kill").success());
    }

    fn wait_for_log(&self, words: &str) {
        while !self.log.recv_timeout(TEST_TIMEOUT).expect("a further log line").contains(words) {}
    }
}

/// Returns the address after a key in the next log line that contains the key.
fn address_after(key: &str, log: &Receiver<String>) -> String {
    loop {
        let line = log.recv_timeout(TEST_TIMEOUT).expect("a line with an address");
        let address = line.split_once(key).and_then(|(_, rest)| rest.split(',').next());
        if let Some(address) = address {
            return address.to_owned();
        }
    }
}

#[test]
fn evacuation_and_return_reach_health_checks_at_once_and_the_registry() {
    let server = Server::start();
    assert!(server.report().contains("passing"));
    assert!(server.check().starts_with(HEALTHY));
    for _ in 0..3 {
        assert_eq!(server.control_call("PUT", "/api/evacuate"), "{\"evacuated\":true}");
        let answer = server.check();
        assert!(answer.starts_with(UNHEALTHY), "the first check after the call: {answer}");
        assert!(server.report().contains("critical"));
        server.wait_for_log("evacuation changed, evacuated: true");
        assert_eq!(server.control_call("PUT", "/api/rejoin"), "{\"evacuated\":false}");
        let answer = server.check();
        assert!(answer.starts_with(HEALTHY), "the first check after the call: {answer}");
        assert!(server.report().contains("passing"));
    }
    let figures = server.control_call("GET", "/api/telemetry");
    assert!(
        figures.contains(r#""route-sheet":{"served":0,"refused":0,"failed":0,"attempts":0}"#),
        "{figures}"
    );
}

#[test]
fn no_return_ends_a_shutdown() {
    let server = Server::start();
    assert!(server.report().contains("passing"));
    // The open connection delays the end of the shutdown, which waits until all connections are closed.
    let held = TcpStream::connect(&server.listen).expect("connecting to the server");
    server.signal("TERM");
    assert!(server.report().contains("critical"));
    for (path, evacuated) in [("/api/evacuate", true), ("/api/rejoin", false)] {
        server.control_call("PUT", path);
        server.wait_for_log(&format!("evacuation changed, evacuated: {evacuated}"));
        assert!(server.check().starts_with(UNHEALTHY), "after {path}");
    }
    drop(held);
}

#[test]
fn an_address_in_use_ends_the_start_and_is_named() {
    let occupied = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = occupied.local_addr().expect("an address").to_string();
    let ended = play::start(&config(UNUSED_ADDRESS, &address))
        .wait_with_output()
        .expect("waiting for the program to exit");
    let stderr = String::from_utf8_lossy(&ended.stderr).into_owned();
    assert_eq!(ended.status.code(), Some(1), "{stderr}");
    assert!(
        stderr.contains(&format!("dunlinspread: `control`: {address}: Address already in use")),
        "{stderr}"
    );
}

/// Returns the names of the threads of a process.
fn threads(process: u32) -> Vec<String> {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).expect("the tasks of the process");
    let names = tasks.flatten().filter_map(|task| std::fs::read_to_string(task.path().join("comm")).ok());
    names.map(|name| name.trim_end().to_owned()).collect()
}

#[test]
fn without_an_address_there_is_no_thread_for_it() {
    let server = Server::start();
    // The thread has its name once it runs, and it runs once a call is answered.
    server.control_call("GET", "/api/telemetry");
    assert!(threads(server.process.id()).contains(&"control".to_owned()));
    let mut process = play::start(&play::config(UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS, &[]));
    let stderr = BufReader::new(process.stderr.take().expect("a log"));
    let lines: Vec<String> =
        stderr.lines().map_while(Result::ok).take_while(|line| !line.contains("serving")).collect();
    let threads = threads(process.id());
    let _ = process.kill();
    let _ = process.wait();
    assert!(!threads.is_empty() && !threads.contains(&"control".to_owned()), "{threads:?}");
    assert!(lines.iter().all(|line| !line.contains("control")), "{lines:?}");
}
