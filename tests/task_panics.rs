//! Panics of single tasks and of the ledger's threads in the built program: peers and clients still get
//! their responses, or the process names the task and ends with an exit code.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use play::{LoggedServer, PANIC_AT, Playback, Setup, command, config};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// An address without a listener.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";
/// Time limit of a wait for a file.
const HANG: Duration = Duration::from_secs(60);

macro_rules! panics {
    ($($name:ident)*) => {
        $(#[test]
        fn $name() {
            insta::assert_snapshot!(play::play(include_str!(concat!("panics/", stringify!($name), ".txt"))));
        })*
    };
}

panics! { connection upstream_before upstream_after }

/// Guards against mistaking a connection of another test's server for the own server's: that server connects
/// to a port that the system has assigned again, and the peers waited on its connection without end.
#[test]
fn a_server_that_connects_to_a_port_given_out_anew_does_not_reach_the_peers_of_another() {
    let script = include_str!("panics/upstream_before.txt");
    let mut playback = Playback::start(&Setup::of_script(script));
    let upstream = playback.upstream_address();
    // The other server's worker pool address is on the host address, with the port that the upstream service
    // has now.
    let worker_pool = format!("127.0.0.1:{}", upstream.port());
    let other = LoggedServer::start(
        &mut command(&config(&worker_pool, UNUSED_ADDRESS, UNUSED_ADDRESS, &[]), "unlimited").0,
    );
    other.log_line("worker pool unreachable");
    assert_eq!(play::play_on(&mut playback, script), play::play(script));
}

/// The ledger of a server, in a separate folder.
struct Ledger {
    folder: TempDir,
    operator_file: PathBuf,
}

impl Ledger {
    fn new(mode: &str) -> Ledger {
        let folder = TempDir::new().expect("a folder");
        let operator_file = folder.path().join("operator.hcl");
        let directory = folder.path().join("ledger");
        std::fs::create_dir(&directory).expect("a folder");
        let directory = directory.display();
        let text = format!(
            "ledger \"rounds\" {{\n  directory = \"{directory}\"\n  period = \"30d\"\n  mode = \"{mode}\"\n}}\n"
        );
        std::fs::write(&operator_file, text).expect("the operator file is written");
        Ledger { folder, operator_file }
    }

    /// Starts a server with this ledger, which panics at `panic` if that is given, and accepts its link.
    fn serve(&self, panic: Option<&str>) -> Playback {
        let setup = Setup {
            panic: panic.map(str::to_owned),
            operator_file: Some(self.operator_file.clone()),
            ..Setup::default()
        };
        let mut server = Playback::start(&setup);
        assert!(server.expect("pool", "").contains("bind"));
        server.send("pool", r#"{"op":"bound","end":"old","ms":5000}"#);
        server
    }

    fn requests_folder(&self) -> PathBuf {
        self.folder.path().join("ledger/requests")
    }
}

/// Sends a request and reports the successful end of its run in the worker pool.
fn run(server: &mut Playback, number: u64) {
    server.send("a", &format!("req {number} route-sheet"));
    assert!(server.expect("pool", "").contains("spawn"));
    let end = format!(
        r#"{{"op":"finished","seq":{number},"id":"61{number:014}","end":"good","ms":9,"body":"eA=="}}"#
    );
    server.send("pool", &end);
}

/// Returns the whole number behind a key of a log line.
fn number_after(key: &str, line: &str) -> u64 {
    let (_, rest) = line.split_once(key).unwrap_or_else(|| panic!("no {key} in {line}"));
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}

/// Returns how many lines a server finds in a ledger that the server before it did not close.
fn lines_after_unclean_end(ledger: &Ledger) -> u64 {
    let server = ledger.serve(None);
    let opened = server.start_line("ledger opened");
    assert!(opened.contains("clean: false"), "{opened}");
    number_after("lines: ", opened)
}

/// With a strict ledger, no response could be sent without the store: the process ends, and every response
/// that was sent has its line.
#[test]
fn the_store_of_a_strict_ledger() {
    let ledger = Ledger::new("strict");
    let mut server = ledger.serve(Some("store-progress:2"));
    run(&mut server, 1);
    assert!(server.expect("a", "").starts_with(r"\x94\x01\x01"), "the first is answered");
    run(&mut server, 2);
    assert_eq!(server.expect("a", ""), "closed", "the second is never answered");
    server.expect("log", "task failed: store panicked: deliberate panic at store-progress");
    assert_eq!(server.expect("exit", ""), "exit status: 1");
    // The second line was durable when its report panicked, as it may be before a kill.
    assert_eq!(lines_after_unclean_end(&ledger), 3);
}

/// With an interval ledger, responses are sent before their lines are durable: the process ends as well,
/// because the number of lines at risk would grow.
#[test]
fn the_store_of_an_interval_ledger() {
    let ledger = Ledger::new("interval");
    let mut server = ledger.serve(Some("store-progress:1"));
    run(&mut server, 1);
    server.expect("log", "task failed: store panicked: deliberate panic at store-progress");
    assert_eq!(server.expect("exit", ""), "exit status: 1");
    assert_eq!(lines_after_unclean_end(&ledger), 2);
}

/// The process ends, and the next process's export worker executes the request that was left.
#[test]
fn the_export_worker() {
    let ledger = Ledger::new("strict");
    let mut server = ledger.serve(Some("export-worker-request:1"));
    run(&mut server, 1);
    assert!(server.expect("a", "").starts_with(r"\x94\x01\x01"));
    // The worker creates the folder when it starts, unless it exists.
    std::fs::create_dir_all(ledger.requests_folder()).expect("the folder");
    std::fs::write(ledger.requests_folder().join("t1.request"), "no request").expect("the file is written");
    server.expect("log", "task failed: export worker panicked: deliberate panic at export-worker-request");
    assert_eq!(server.expect("exit", ""), "exit status: 1");
    let answers = ledger.requests_folder();
    assert!(answer(&answers).is_none(), "answered before it was executed");
    let _server = ledger.serve(None);
    let since = Instant::now();
    let text = loop {
        if let Some(text) = answer(&answers) {
            break text;
        }
        assert!(since.elapsed() < HANG, "the request is not executed");
        std::thread::sleep(Duration::from_millis(10));
    };
    assert!(text.starts_with("error: "), "{text}");
}

/// Without the signals thread, SIGTERM would have no effect: the process shuts down as if it had received
/// one.
#[test]
fn the_signals_thread() {
    let stop = (r#""stop_ms":30000"#.to_owned(), r#""stop_ms":2000"#.to_owned());
    let (mut command, _) =
        command(&config(UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS, &[stop]), "unlimited");
    let mut server = LoggedServer::spawn(command.env(PANIC_AT, "signal-received:1"));
    server.log_line("serving");
    server.signal("HUP");
    for words in ["signals can't be received any more", "shutdown requested", "shutdown complete"] {
        server.log_line(words);
    }
    assert_eq!(server.end().code(), Some(0));
}

/// Returns the answer to the operator's request; `None` while there is none.
fn answer(folder: &Path) -> Option<String> {
    let files = std::fs::read_dir(folder).expect("the folder").flatten().map(|entry| entry.path());
    let mut answers = files.filter(|path| path.extension().is_some_and(|suffix| suffix == "answer"));
    answers.next().map(|path| std::fs::read_to_string(path).expect("an answer"))
}
