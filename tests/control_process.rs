//! The control endpoint of the built program: what operators do reaches health checks and the registry.

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

/// Time limit of what a test waits for: far beyond all that is expected.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// An address that nobody listens on.
const NOBODY: &str = "127.0.0.1:1";
/// A health check, and the beginnings of its answers.
const HEALTH_CHECK: &str = r"\x94\x00\x01\xa6isWell\x91\x80";
const HEALTHY: &str = r"\x94\x01\x01\xc0\x92\xc3";
const UNHEALTHY: &str = r"\x94\x01\x01\xc0\x92\xc2";

/// The program with a control endpoint; its registry is the test's.
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

/// Returns the configuration with an address for operators.
fn config(registry: &str, control: &str) -> String {
    let listen = r#""listen":"127.0.0.1:0""#;
    let with_control = format!(r#"{listen},"control":"{control}""#);
    play::config(NOBODY, registry, NOBODY, &[(listen.to_owned(), with_control)])
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

    /// Makes a call that is granted.
    fn ask(&self, method: &str, path: &str) -> String {
        let reply = call(self.control, request(method, path).as_bytes());
        assert_eq!(reply.status, 200, "{reply:?}");
        reply.body
    }

    /// Returns the answer to a health check.
    fn check(&self) -> String {
        let mut stream = TcpStream::connect(&self.listen).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time limit");
        stream.write_all(&play::unescape(HEALTH_CHECK)).expect("written");
        play::message(&mut stream)
    }

    /// Returns the next report that differs from the one before.
    fn report(&self) -> String {
        self.registry.changes.recv_timeout(TEST_TIMEOUT).expect("a report")
    }

    fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args(["-s", signal, &self.process.id().to_string()]).status();
        assert!(sent.expect("kill is there").success());
    }

    fn wait_for_log(&self, words: &str) {
        while !self.log.recv_timeout(TEST_TIMEOUT).expect("a further line").contains(words) {}
    }
}

/// Returns the address after a key, in the next log line that has it.
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
        assert_eq!(server.ask("PUT", "/api/evacuate"), "{\"evacuated\":true}");
        let answer = server.check();
        assert!(answer.starts_with(UNHEALTHY), "the first check after the call: {answer}");
        assert!(server.report().contains("critical"));
        server.wait_for_log("evacuation changed, evacuated: true");
        assert_eq!(server.ask("PUT", "/api/rejoin"), "{\"evacuated\":false}");
        let answer = server.check();
        assert!(answer.starts_with(HEALTHY), "the first check after the call: {answer}");
        assert!(server.report().contains("passing"));
    }
    let figures = server.ask("GET", "/api/telemetry");
    assert!(
        figures.contains(r#""route-sheet":{"served":0,"refused":0,"failed":0,"attempts":0}"#),
        "{figures}"
    );
}

#[test]
fn no_return_ends_a_shutdown() {
    let server = Server::start();
    assert!(server.report().contains("passing"));
    // It holds the shutdown up, which is over once all connections are closed.
    let held = TcpStream::connect(&server.listen).expect("it listens");
    server.signal("TERM");
    assert!(server.report().contains("critical"));
    for (path, evacuated) in [("/api/evacuate", true), ("/api/rejoin", false)] {
        server.ask("PUT", path);
        server.wait_for_log(&format!("evacuation changed, evacuated: {evacuated}"));
        assert!(server.check().starts_with(UNHEALTHY), "after {path}");
    }
    drop(held);
}

#[test]
fn an_address_in_use_ends_the_start_and_is_named() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("an address").to_string();
    let ended = play::start(&config(NOBODY, &address)).wait_with_output().expect("it ends");
    let said = String::from_utf8_lossy(&ended.stderr).into_owned();
    assert_eq!(ended.status.code(), Some(1), "{said}");
    assert!(said.contains(&format!("dunlinspread: `control`: {address}: Address already in use")), "{said}");
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
    // The thread has its name once it runs.
    server.ask("GET", "/api/telemetry");
    assert!(threads(server.process.id()).contains(&"control".to_owned()));
    let mut process = play::start(&play::config(NOBODY, NOBODY, NOBODY, &[]));
    let stderr = BufReader::new(process.stderr.take().expect("a log"));
    let lines: Vec<String> =
        stderr.lines().map_while(Result::ok).take_while(|line| !line.contains("serving")).collect();
    let threads = threads(process.id());
    let _ = process.kill();
    let _ = process.wait();
    assert!(!threads.is_empty() && !threads.contains(&"control".to_owned()), "{threads:?}");
    assert!(lines.iter().all(|line| !line.contains("control")), "{lines:?}");
}
