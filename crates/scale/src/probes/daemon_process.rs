//! A real round server as a process of its own: started until it answers, reread, looked at, and ended with its owner.

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

/// How long a start or a rereading may take.
const PATIENCE: Duration = Duration::from_secs(60);
/// Between two tries to be served.
const BETWEEN_TRIES: Duration = Duration::from_millis(2);
/// Log lines that wait to be read; further ones are dropped.
const LOG_LINES: usize = 1000;
/// The last log lines that a message of a failure shows.
const SHOWN_LINES: usize = 5;
/// The name of the daemon's program.
const PROGRAM: &str = "dunlinspread";

/// The program that is measured.
#[derive(Clone, Debug)]
pub struct Program {
    path: PathBuf,
    arguments: Vec<OsString>,
}

impl Program {
    /// The daemon's own program, beside this one. Under `cargo run` it is built first, so that what is measured is what
    /// the source says. To show that a probe works, this program with its hidden command `daemon` will do.
    ///
    /// # Errors
    /// If it is missing or cannot be built.
    pub fn find(quick: bool) -> Result<Program> {
        let own = std::env::current_exe().context("the path of this program")?;
        if quick {
            return Ok(Program { path: own, arguments: vec!["daemon".into()] });
        }
        let beside = own.with_file_name(PROGRAM);
        if let Some(cargo) = std::env::var_os("CARGO") {
            build(&cargo, &own)?;
        }
        ensure!(
            beside.is_file(),
            "{} is missing: build it with `cargo build --release --locked`",
            beside.display()
        );
        Ok(Program { path: beside, arguments: Vec::new() })
    }
}

/// Builds the daemon in the profile of this program.
fn build(cargo: &OsString, own: &Path) -> Result<()> {
    let mut command = Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--package", PROGRAM, "--bin", PROGRAM]);
    command.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    if own.parent().is_some_and(|folder| folder.ends_with("release")) {
        command.arg("--release");
    }
    let status = command.status().context("starting cargo to build the daemon")?;
    ensure!(status.success(), "the daemon cannot be built: {status}");
    Ok(())
}

/// A running daemon. Dropping it kills it.
pub struct Daemon {
    child: Child,
    pid: Pid,
    log: Receiver<String>,
    address: SocketAddr,
    /// From the start of the process until it answered a health check, ms.
    pub start_ms: f64,
}

impl Daemon {
    /// Starts the program with a configuration file, and waits until it answers a health check and, as it has its link
    /// to the worker pool, a request.
    ///
    /// # Errors
    /// If it does not start or does not answer.
    pub fn start(program: &Program, config: &Path) -> Result<Daemon> {
        let mut command = Command::new(&program.path);
        command.args(&program.arguments).args(["serve", "--log-format", "json", "--config"]).arg(config);
        command.env_remove("DUNLINSPREAD_OPERATOR");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let began = Instant::now();
        let mut child = command.spawn().with_context(|| format!("starting {}", program.path.display()))?;
        let log = read_log(child.stderr.take().context("the daemon's log")?);
        let pid = Pid::from_child(&child);
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut daemon = Daemon { child, pid, log, address: unknown, start_ms: 0.0 };
        let line = daemon.wait_for("serving")?;
        let listen = line["listen"].as_str().context("the daemon does not say where it listens")?;
        daemon.address = listen.parse().with_context(|| format!("the daemon's address `{listen}`"))?;
        let mut client = Client::connect(daemon.address)?;
        client.check_health()?;
        daemon.start_ms = milliseconds(began);
        wait_until_served(&mut client)?;
        Ok(daemon)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has it reread its configuration; how long that took, ms.
    ///
    /// # Errors
    /// If it does not say that it did.
    pub fn reload(&self) -> Result<f64> {
        let began = Instant::now();
        kill_process(self.pid, Signal::HUP).context("sending SIGHUP")?;
        self.wait_for("configuration reloaded")?;
        Ok(milliseconds(began))
    }

    /// Its resident memory, kB.
    ///
    /// # Errors
    /// If the system does not tell.
    pub fn resident_kb(&self) -> Result<f64> {
        self.status("VmRSS:")
    }

    /// The most that its resident memory ever was, kB.
    ///
    /// # Errors
    /// If the system does not tell.
    pub fn peak_resident_kb(&self) -> Result<f64> {
        self.status("VmHWM:")
    }

    fn status(&self, key: &str) -> Result<f64> {
        let text = self.proc_file("status")?;
        let line = text.lines().find_map(|line| line.strip_prefix(key)).context("no such line")?;
        line.trim().trim_end_matches(" kB").parse().with_context(|| format!("`{key}{line}`"))
    }

    /// The processor time that it has used, ns; the system counts it in hundredths of a second.
    ///
    /// # Errors
    /// If the system does not tell.
    pub fn processor_ns(&self) -> Result<f64> {
        const NS_PER_TICK: f64 = 1e7;
        let text = self.proc_file("stat")?;
        // The name in brackets may hold anything; user and system time are the 12th and 13th fields after it.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| -> Result<f64> {
            let field = fields.get(at).context("a field is missing in the daemon's `stat`")?;
            field.parse().with_context(|| format!("`{field}` in the daemon's `stat`"))
        };
        Ok((ticks(11)? + ticks(12)?) * NS_PER_TICK)
    }

    fn proc_file(&self, name: &str) -> Result<String> {
        let path = format!("/proc/{}/{name}", self.child.id());
        std::fs::read_to_string(&path).with_context(|| format!("reading {path}"))
    }

    /// The next log line with this message.
    fn wait_for(&self, message: &str) -> Result<Value> {
        let deadline = Instant::now() + PATIENCE;
        let mut seen = Vec::new();
        while let Ok(line) = self.log.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            match serde_json::from_str::<Value>(&line) {
                Ok(value) if value["msg"] == message => return Ok(value),
                _ => seen.push(line),
            }
        }
        let shown = seen[seen.len().saturating_sub(SHOWN_LINES)..].join("\n");
        bail!("the daemon does not say `{message}`; its log:\n{shown}")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // One that has ended already needs neither.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Asks again until a request is served: without a link to the worker pool the daemon turns all away.
fn wait_until_served(client: &mut Client) -> Result<()> {
    let (began, tenant) = (Instant::now(), tenant_name(0));
    while !client.request(Some(&tenant))? {
        ensure!(began.elapsed() < PATIENCE, "the daemon serves no request");
        std::thread::sleep(BETWEEN_TRIES);
    }
    Ok(())
}

/// Reads the log to its end, so that the daemon never waits for it.
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
