//! Server processes, each with its own configuration file.

use super::HANG;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"tick_ms":5.0,"servers":2,
"profiles":[{"name":"route-sheet","effect":"pure","give_up_ms":90000,"target_ms":80000,"worth":1},
{"name":"pour-entry","effect":"token","give_up_ms":90000,"target_ms":80000,"memory_span_ms":95000,"worth":5}],
"policy_limits":{"retry_after":true,"max_retry_after_ms":1000},"safety":{"fall_multiple":8,"drain_grace_ms":0},
"specifics":{"n_cores":4,"memory_kb":60000,"run_factor":8,"key_kb":10,"say":"share_of","preemption":"suspend",
"below":"tier","class_calls":[true,true],"class_skip_worth":[0.5,0],"keepalive_max_ms":32000000000,"callers":1,
"gauges":["core_use","on_cores","heap_share","links"]}}"#;

/// Number of configuration files that this test program has written.
static FILES_WRITTEN: AtomicUsize = AtomicUsize::new(0);

/// The variable that makes the server panic at a named point.
pub const PANIC_AT: &str = "DUNLINSPREAD_PANIC_AT";

/// The variable that makes the server stop itself at a named point.
pub const STOP_AT: &str = "DUNLINSPREAD_STOP_AT";

/// The variable that names the operator file.
pub const OPERATOR: &str = "DUNLINSPREAD_OPERATOR";

/// Returns the configuration, with each `from=to` of the script's `config` lines replaced.
pub fn config(pool: &str, directory: &str, index: &str, changes: &[(String, String)]) -> String {
    let mut text = format!(
        r#"{{"name":"n3","listen":"127.0.0.1:0","pool":"{pool}","directory":"{directory}","index":"{index}",
"seed":"8c1f30d27a5be964","stop_ms":30000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{SETTINGS}}}"#
    );
    for (from, to) in changes {
        assert!(text.contains(from), "no {from} in the configuration");
        text = text.replace(from, to);
    }
    text
}

/// Starts the server with a configuration.
pub fn start(config: &str) -> Child {
    start_with(config, "unlimited").0
}

/// Starts the server with a configuration and a descriptor limit, and returns it with its configuration file.
pub fn start_with(config: &str, descriptors: &str) -> (Child, PathBuf) {
    let (mut command, path) = command(config, descriptors);
    (command.spawn().expect("the server starts"), path)
}

/// Returns the command that starts the server, with its log in a pipe, and the configuration file.
pub fn command(config: &str, descriptors: &str) -> (Command, PathBuf) {
    let number = FILES_WRITTEN.fetch_add(1, Ordering::Relaxed);
    let unique = format!("dunlinspread-{}-{number}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(unique);
    std::fs::write(&path, config).expect("the configuration is written");
    let mut command = Command::new("sh");
    command.args([
        "-c",
        r#"n=$1; shift; [ $n = unlimited ] || ulimit -n $n; exec "$0" "$@""#,
        env!("CARGO_BIN_EXE_dunlinspread"),
        descriptors,
    ]);
    command.env("RELAY_CONFIG", &path).stderr(Stdio::piped());
    (command, path)
}

/// Returns a message without the name of the configuration file, which is new in every run.
pub fn without_file(text: &str) -> String {
    let file = text.find('/').zip(text.find(".json: "));
    file.map_or(text.to_owned(), |(from, to)| [&text[..from], &text[to + ".json: ".len()..]].concat())
}

/// Returns the listening address if a log line states it.
pub fn listening_address(line: &str) -> Option<String> {
    Some(line.split_once("listen: ")?.1.split(',').next()?.to_owned())
}

/// A server whose log is read line by line, without simulated peers.
pub struct LoggedServer {
    process: Child,
    /// The address on which the server listens.
    pub address: String,
    log: Receiver<String>,
}

impl Drop for LoggedServer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl LoggedServer {
    /// Starts a server without waiting until it serves.
    pub fn spawn(command: &mut Command) -> LoggedServer {
        let mut process = command.spawn().expect("the server starts");
        let (sender, log) = channel();
        if let Some(stderr) = process.stderr.take() {
            let lines = BufReader::new(stderr).lines().map_while(Result::ok);
            std::thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
        }
        LoggedServer { process, address: String::new(), log }
    }

    /// Starts a server and waits until it serves.
    pub fn start(command: &mut Command) -> LoggedServer {
        let mut server = LoggedServer::spawn(command);
        server.address = listening_address(&server.log_line("listen: ")).expect("the address is logged");
        server
    }

    /// Waits for the next log line that contains these words, and returns it.
    pub fn log_line(&self, words: &str) -> String {
        loop {
            let line = self.log.recv_timeout(HANG).unwrap_or_else(|_| panic!("not logged: {words}"));
            if line.contains(words) {
                return line;
            }
        }
    }

    /// Waits until the server has ended, and returns the remaining log lines.
    pub fn log_to_end(&self) -> Vec<String> {
        let line = || match self.log.recv_timeout(HANG) {
            Ok(line) => Some(line),
            Err(RecvTimeoutError::Disconnected) => None,
            Err(RecvTimeoutError::Timeout) => panic!("the log does not end"),
        };
        std::iter::from_fn(line).collect()
    }

    /// Sends a signal to the server.
    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args(["-s", signal, &self.process.id().to_string()]).status();
        assert!(sent.expect("`kill` can be run").success());
    }

    /// Sends SIGTERM to the server, and returns the time of that. The system call is used, because starting
    /// another process for it would take additional time.
    pub fn request_end(&self) -> Instant {
        let requested_at = Instant::now();
        kill_process(Pid::from_child(&self.process), Signal::TERM).expect("the process runs");
        requested_at
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Stops the process for this time, and returns the time for which it was stopped. A process that has
    /// ended is left alone.
    pub fn stand_still(&mut self, stop: Duration) -> Duration {
        if self.has_ended() {
            return Duration::ZERO;
        }
        let since = Instant::now();
        // The process may end at any time; its id stays valid until it is waited for.
        let _ = kill_process(Pid::from_child(&self.process), Signal::STOP);
        std::thread::sleep(stop);
        let _ = kill_process(Pid::from_child(&self.process), Signal::CONT);
        since.elapsed()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().expect("its state").is_some()
    }

    /// Waits until the server has ended, and returns its exit status.
    pub fn end(&mut self) -> ExitStatus {
        let since = Instant::now();
        while since.elapsed() < HANG {
            if let Some(status) = self.process.try_wait().expect("its state") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("the server does not end");
    }
}
