//! Runs a real round server as a child process: starts it and waits until it responds, reloads its
//! configuration, reads its resource usage, and kills it when its owner is dropped.

use super::daemon_client::Client;
use super::daemon_site::tenant_name;
use anyhow::{Context, Result, bail, ensure};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::{Duration, Instant};

/// Maximum duration of a start or a reload.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between attempts to have a request served.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of buffered log lines; further ones are dropped.
const LOG_LINES: usize = 1000;
/// Number of last log lines that an error message shows.
const SHOWN_LINES: usize = 5;
/// Name of the daemon's executable.
const PROGRAM: &str = "dunlinspread";

/// The executable that is measured, with its leading arguments.
#[derive(Clone, Debug)]
pub struct Program {
    path: PathBuf,
    arguments: Vec<OsString>,
}

impl Program {
    /// Finds the daemon's executable next to this one. Under `cargo run` it is built first, so that the
    /// measurement reflects the current source. Quick runs use this program with its hidden command `daemon`
    /// instead.
    ///
    /// # Errors
    /// Returns an error if the executable is missing or cannot be built.
    pub fn find(quick: bool) -> Result<Program> {
        let own = std::env::current_exe().context("finding the path of this program")?;
        if quick {
            return Ok(Program { path: own, arguments: vec!["daemon".into()] });
        }
        let daemon_path = own.with_file_name(PROGRAM);
        if let Some(cargo) = std::env::var_os("CARGO") {
            build(&cargo, &own)?;
        }
        ensure!(
            daemon_path.is_file(),
            "{} does not exist: build it with `cargo build --release --locked`",
            daemon_path.display()
        );
        Ok(Program { path: daemon_path, arguments: Vec::new() })
    }
}

/// Builds the daemon with the build profile of this program.
fn build(cargo: &OsString, own: &Path) -> Result<()> {
    let mut command = Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--package", PROGRAM, "--bin", PROGRAM]);
    command.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    if own.parent().is_some_and(|folder| folder.ends_with("release")) {
        command.arg("--release");
    }
    let status = command.status().context("starting cargo to build the daemon")?;
    ensure!(status.success(), "building the daemon failed: {status}");
    Ok(())
}

/// A running daemon. Dropping it kills it.
pub struct Daemon {
    child: Child,
    pid: Pid,
    log: Receiver<String>,
    address: SocketAddr,
    /// Time from the start of the process until it responded to a health check, ms.
    pub start_ms: f64,
}

impl Daemon {
    /// Starts the program with a configuration file, and waits until it responds to a health check and serves
    /// a request, for which it needs its connection to the worker pool.
    ///
    /// # Errors
    /// Returns an error if the daemon does not start or does not respond.
    pub fn start(program: &Program, config: &Path) -> Result<Daemon> {
        let mut command = Command::new(&program.path);
        command.args(&program.arguments).args(["serve", "--log-format", "json", "--config"]).arg(config);
        command.env_remove("DUNLINSPREAD_OPERATOR");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let start = Instant::now();
        let mut child = command.spawn().with_context(|| format!("starting {}", program.path.display()))?;
        let log = read_log(child.stderr.take().context("the daemon's log is not piped")?);
        let pid = Pid::from_child(&child);
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut daemon = Daemon { child, pid, log, address: unknown, start_ms: 0.0 };
        let line = daemon.wait_for("serving")?;
        let listen = line["listen"].as_str().context("the daemon's log line has no field `listen`")?;
        daemon.address =
            listen.parse().with_context(|| format!("parsing the daemon's address `{listen}`"))?;
        let mut client = Client::connect(daemon.address)?;
        client.check_health()?;
        daemon.start_ms = milliseconds(start);
        wait_until_served(&mut client)?;
        Ok(daemon)
    }

    /// Returns the address on which the daemon listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the daemon reload its configuration, and returns how long that took, ms.
    ///
    /// # Errors
    /// Returns an error if the signal cannot be sent or the daemon does not log the reload.
    pub fn reload(&self) -> Result<f64> {
        let start = Instant::now();
        kill_process(self.pid, Signal::HUP).context("sending SIGHUP")?;
        self.wait_for("configuration reloaded")?;
        Ok(milliseconds(start))
    }

    /// Returns the resident memory of the daemon, kB.
    ///
    /// # Errors
    /// Returns an error if the file under `/proc` cannot be read or parsed.
    pub fn resident_kb(&self) -> Result<f64> {
        self.status("VmRSS:")
    }

    /// Returns the peak resident memory of the daemon, kB.
    ///
    /// # Errors
    /// Returns an error if the file under `/proc` cannot be read or parsed.
    pub fn peak_resident_kb(&self) -> Result<f64> {
        self.status("VmHWM:")
    }

    fn status(&self, key: &str) -> Result<f64> {
        let text = self.proc_file("status")?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(key))
            .context("the daemon's `status` lacks a line")?;
        line.trim().trim_end_matches(" kB").parse().with_context(|| format!("`{key}{line}`"))
    }

    /// Returns the processor time used by the daemon, ns. The system counts it in hundredths of a second.
    ///
    /// # Errors
    /// Returns an error if the file under `/proc` cannot be read or parsed.
    pub fn processor_ns(&self) -> Result<f64> {
        const NS_PER_TICK: f64 = 1e7;
        let text = self.proc_file("stat")?;
        // The name in parentheses may contain any characters. User and system time are the 12th and 13th
        // fields after it.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| -> Result<f64> {
            let field = fields.get(index).context("a field is missing in the daemon's `stat`")?;
            field.parse().with_context(|| format!("`{field}` in the daemon's `stat`"))
        };
        Ok((ticks(11)? + ticks(12)?) * NS_PER_TICK)
    }

    fn proc_file(&self, name: &str) -> Result<String> {
        let path = format!("/proc/{}/{name}", self.child.id());
        std::fs::read_to_string(&path).with_context(|| format!("reading {path}"))
    }

    /// Waits for the next log line with this message.
    fn wait_for(&self, message: &str) -> Result<Value> {
        let deadline = Instant::now() + TIMEOUT;
        let mut other_lines = Vec::new();
        while let Ok(line) = self.log.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            match serde_json::from_str::<Value>(&line) {
                Ok(value) if value["msg"] == message => return Ok(value),
                _ => other_lines.push(line),
            }
        }
        let shown = other_lines[other_lines.len().saturating_sub(SHOWN_LINES)..].join("\n");
        bail!("the daemon did not log `{message}`; its last log lines:\n{shown}")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Both calls fail if the daemon has already ended, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Repeats a request until it is served: the daemon rejects all requests until it is connected to the worker
/// pool.
fn wait_until_served(client: &mut Client) -> Result<()> {
    let (start, tenant) = (Instant::now(), tenant_name(0));
    while !client.request(Some(&tenant))? {
        ensure!(start.elapsed() < TIMEOUT, "the daemon did not serve a request in time");
        std::thread::sleep(RETRY_INTERVAL);
    }
    Ok(())
}

/// Reads the log until it ends, so that writing it never blocks the daemon.
fn read_log(stderr: ChildStderr) -> Receiver<String> {
    let (lines, log) = sync_channel(LOG_LINES);
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let _ = lines.try_send(line);
        }
    });
    log
}

fn milliseconds(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1000.0
}
