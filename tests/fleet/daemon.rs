//! The built server as a process, with its files.

use super::{TEST_TIMEOUT, wait_for};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};

/// The fleet's key.
pub const KEY: &[u8] = b"a key of the fleet for tests only";

const SETTINGS: &str = r#"{"tick_ms":5.0,"servers":1,
"profiles":[{"name":"read","effect":"pure","give_up_ms":90000,"target_ms":80000,"worth":1},
{"name":"write","effect":"token","give_up_ms":90000,"target_ms":80000,"memory_span_ms":95000,"worth":1},
{"name":"print","effect":"pure","give_up_ms":90000,"target_ms":80000,"worth":1}],
"accounts":[{"name":"t0","allowance_per_s":100},{"name":"t1","allowance_per_s":100}],
"policy_limits":{"retry_after":true,"max_retry_after_ms":1000},"safety":{"fall_multiple":8,"drain_grace_ms":0},
"specifics":{"n_cores":8,"memory_kb":60000,"run_factor":8,"key_kb":10,"preemption":"off",
"below":"off","keepalive_max_ms":32000000000,"clients":1,
"gauges":["core_use","on_cores","heap_share","links"]}}"#;

/// Content of the operator file.
pub enum OperatorFile<'a> {
    /// No content.
    Empty,
    /// The block `config_sync` with this relay and with further lines of the test.
    ConfigSync { relay: SocketAddr, more: &'a str },
}

/// A server process, killed when it is dropped.
pub struct Daemon {
    child: Child,
    pub address: SocketAddr,
    log: Receiver<String>,
    folder: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Starts a server and waits until it serves.
    pub fn start(folder: &Path, pool: SocketAddr, operator: &OperatorFile) -> Daemon {
        let config = format!(
            r#"{{"name":"n3","listen":"127.0.0.1:0","pool":"{pool}","directory":"127.0.0.1:1",
"seed":"8c1f30d27a5be964","stop_ms":3000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{SETTINGS}}}"#
        );
        let (config_path, operator_path) = (folder.join("config.json"), folder.join("operator.hcl"));
        std::fs::write(&config_path, config).expect("writing the file");
        std::fs::write(&operator_path, operator_text(folder, operator)).expect("writing the file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_dunlinspread"))
            .env("RELAY_CONFIG", &config_path)
            .env("DUNLINSPREAD_OPERATOR", &operator_path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("a log")).lines();
        let (line_sender, log) = channel();
        // The log is read to its end, so that the server can write it.
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| drop(line_sender.send(line))));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut daemon = Daemon { child, address: any, log, folder: folder.to_owned() };
        let serving = daemon.wait_for_log("serving");
        let address = serving.split_once("listen: ").and_then(|(_, rest)| rest.split(',').next());
        daemon.address = address.and_then(|a| a.parse().ok()).expect("the address is logged");
        daemon
    }

    /// Waits for a log line with these words and returns it.
    pub fn wait_for_log(&self, words: &str) -> String {
        loop {
            let line = self.log.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("not logged: {words}"));
            if line.contains(words) {
                return line;
            }
        }
    }

    /// Returns the sorted names of the process's threads.
    pub fn threads(&self) -> Vec<String> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("the process runs");
        let names = tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("comm")).ok());
        let mut names: Vec<String> = names.map(|name| name.trim().to_owned()).collect();
        names.sort();
        names
    }

    /// Returns the resident memory, kB.
    pub fn resident_kb(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("the VmRSS line");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(sent.expect("running kill").success());
    }

    /// Requests a shutdown and waits for its success.
    pub fn shut_down(mut self) {
        self.signal("TERM");
        wait_for("the end of the process", || self.child.try_wait().expect("polling the process").is_some());
        assert!(self.child.wait().expect("waiting for the process").success());
    }

    /// Replaces the operator file.
    pub fn rewrite_operator(&self, operator: &OperatorFile) {
        let text = operator_text(&self.folder, operator);
        std::fs::write(self.folder.join("operator.hcl"), text).expect("writing the file");
    }
}

fn operator_text(folder: &Path, operator: &OperatorFile) -> String {
    let OperatorFile::ConfigSync { relay, more } = operator else { return String::new() };
    let key_file = folder.join("fleet.key");
    std::fs::write(&key_file, KEY).expect("writing the file");
    let key_file = key_file.display();
    format!(
        "config_sync {{\n  zone = \"z1\"\n  region = \"r1\"\n  key_file = \"{key_file}\"\n  {more}\n  \
         relay \"relay\" {{\n    address = \"{relay}\"\n  }}\n}}\n"
    )
}
