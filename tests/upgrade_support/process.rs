//! A process of the server.

use crate::upgrade_support::http::call;
use crate::upgrade_support::kept_log::KeptLog;
use crate::upgrade_support::{POLL_INTERVAL, TEST_TIMEOUT};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The log text for an address that is in use by another program.
const ADDRESS_IN_USE: &str = "ddress already in use";

/// The signals that tests send, by name. They are sent by the system call, because starting a program that
/// sends them takes long on a busy machine and would distort the times that are measured from a signal.
const SIGNALS: [(&str, Signal); 4] =
    [("TERM", Signal::TERM), ("HUP", Signal::HUP), ("STOP", Signal::STOP), ("CONT", Signal::CONT)];

/// The log text once clients can connect.
const SERVING: &str = "serving";

/// The reason why a process is not ready.
#[derive(Debug)]
pub enum StartError {
    /// An address is in use by another program; a start with another port may succeed.
    AddressInUse,
    /// The process has ended with this status and these last lines of its log.
    Ended(ExitStatus, Vec<String>),
}

/// A server process, which is killed on drop.
pub struct ServerProcess {
    child: Child,
    /// The address of the control endpoint.
    pub control: Option<SocketAddr>,
    /// Time at which the process was started.
    pub started_at: Instant,
    /// The configuration file of the process.
    pub config: PathBuf,
    log: Arc<Mutex<KeptLog>>,
}

impl ServerProcess {
    /// Starts the built program with a configuration file, a temporary folder and environment variables.
    pub fn start(
        config: &Path,
        folder: &Path,
        control: Option<SocketAddr>,
        variables: &[(&str, String)],
    ) -> ServerProcess {
        let mut child = Command::new(env!("CARGO_BIN_EXE_dunlinspread"))
            .env("RELAY_CONFIG", config)
            .env("TMPDIR", folder)
            .env_remove("RELAY_CONTROL")
            .env_remove("RELAY_LISTEN")
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("a log")).lines();
        let log = Arc::new(Mutex::new(KeptLog::default()));
        let kept = log.clone();
        // The log is read to its end, so that the server never blocks on writing it.
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| keep_line(&kept, line)));
        ServerProcess { child, control, started_at: Instant::now(), config: config.to_owned(), log }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process reports that it is ready; returns the time since its start.
    ///
    /// # Errors
    /// Returns a [`StartError`] if the process ends before.
    ///
    /// # Panics
    /// Panics if the process is not ready within the time limit.
    pub fn wait_ready(&mut self) -> Result<Duration, StartError> {
        self.wait_until(ServerProcess::is_ready)?;
        Ok(self.started_at.elapsed())
    }

    /// Waits until the log of the process states that it serves.
    ///
    /// # Errors
    /// Returns a [`StartError`] if the process ends before.
    ///
    /// # Panics
    /// Panics if the process does not serve within the time limit.
    pub fn wait_serving(&mut self) -> Result<(), StartError> {
        self.wait_until(|process| process.log_lines().iter().any(|line| line.contains(SERVING)))
    }

    fn wait_until(&mut self, holds: impl Fn(&ServerProcess) -> bool) -> Result<(), StartError> {
        while !holds(self) {
            if let Some(status) = self.exit_status() {
                return Err(self.start_error(status));
            }
            let log = self.log_lines().join("\n");
            assert!(self.started_at.elapsed() < TEST_TIMEOUT, "process {} is not ready:\n{log}", self.id());
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn start_error(&self, status: ExitStatus) -> StartError {
        let log = self.log_lines();
        let in_use = log.iter().any(|line| line.contains(ADDRESS_IN_USE));
        if in_use { StartError::AddressInUse } else { StartError::Ended(status, log) }
    }

    /// Returns whether the process reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let Some(control) = self.control else { return false };
        call(control, "GET", "/api/ready").is_ok_and(|reply| reply.is_success())
    }

    /// Returns the exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the state of the process can be read")
    }

    /// Returns the last log lines of each kind.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).lines()
    }

    /// Sends a signal, given by its name without `SIG`, unless the process has ended.
    pub fn signal(&mut self, name: &str) {
        if self.exit_status().is_some() {
            return;
        }
        let (_, signal) = SIGNALS.iter().find(|(known, _)| *known == name).expect("a signal of the tests");
        kill_process(Pid::from_child(&self.child), *signal)
            .expect("the process exists until it is waited for");
    }

    /// Returns whether the process is stopped by a signal.
    pub fn is_stopped(&self) -> bool {
        const STATE_OF_STOPPED: char = 'T';
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let state = stat.rsplit(") ").next().and_then(|fields| fields.chars().next());
        state == Some(STATE_OF_STOPPED)
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the resident memory, kB; 0 if the process has ended.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    /// Returns the number of open descriptors; 0 if the process has ended.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count)
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        // SIGKILL also ends a stopped process.
        self.kill();
        if std::thread::panicking() {
            eprintln!("the last log lines of process {}:\n{}", self.id(), self.log_lines().join("\n"));
        }
    }
}

fn keep_line(log: &Mutex<KeptLog>, line: String) {
    log.lock().unwrap_or_else(PoisonError::into_inner).take(line);
}
