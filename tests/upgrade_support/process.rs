//! One process of the server.

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

/// What a log says if an address is taken by another program.
const ADDRESS_IN_USE: &str = "ddress already in use";

/// The signals that tests send, by name. They are sent by the system call: a program that sent them would come late on a busy
/// machine, and what is measured from a signal with it.
const SIGNALS: [(&str, Signal); 4] =
    [("TERM", Signal::TERM), ("HUP", Signal::HUP), ("STOP", Signal::STOP), ("CONT", Signal::CONT)];

/// What a log says once clients can connect.
const SERVING: &str = "serving";

/// Why a process is not ready.
#[derive(Debug)]
pub enum StartError {
    /// An address is taken by another program: worth another start with another port.
    AddressInUse,
    /// It has ended, with the last lines of its log.
    Ended(ExitStatus, Vec<String>),
}

/// A process, killed when it is dropped.
pub struct ServerProcess {
    child: Child,
    /// Where operators call.
    pub control: Option<SocketAddr>,
    /// When it was started.
    pub started_at: Instant,
    /// Its configuration file.
    pub config: PathBuf,
    log: Arc<Mutex<KeptLog>>,
}

impl ServerProcess {
    /// Starts the built program with that configuration file and temporary folder, and with these variables.
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
        // The log is read to its end, so that the server can write it.
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| keep_line(&kept, line)));
        ServerProcess { child, control, started_at: Instant::now(), config: config.to_owned(), log }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it says that it is ready; returns the time since its start.
    ///
    /// # Errors
    /// If it ends before.
    ///
    /// # Panics
    /// If it is not ready within the time limit.
    pub fn wait_ready(&mut self) -> Result<Duration, StartError> {
        self.wait_until(ServerProcess::is_ready)?;
        Ok(self.started_at.elapsed())
    }

    /// Waits until its log says that it serves.
    ///
    /// # Errors
    /// If it ends before.
    ///
    /// # Panics
    /// If it does not serve within the time limit.
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

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Some(control) = self.control else { return false };
        call(control, "GET", "/api/ready").is_ok_and(|reply| reply.is_success())
    }

    /// Returns how it ended; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("it can be asked")
    }

    /// Returns the last lines of each kind of its log.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).lines()
    }

    /// Sends a signal, by its name without `SIG`, unless the process has ended.
    pub fn signal(&mut self, name: &str) {
        if self.exit_status().is_some() {
            return;
        }
        let (_, signal) = SIGNALS.iter().find(|(known, _)| *known == name).expect("a signal of the tests");
        kill_process(Pid::from_child(&self.child), *signal).expect("it was not waited for");
    }

    /// Returns whether it is stopped by a signal.
    pub fn is_stopped(&self) -> bool {
        const STATE_OF_STOPPED: char = 'T';
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let state = stat.rsplit(") ").next().and_then(|fields| fields.chars().next());
        state == Some(STATE_OF_STOPPED)
    }

    /// Kills it outright and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the resident memory, kB; 0 if it has ended.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    /// Returns the number of open descriptors; 0 if it has ended.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count)
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        // A stopped process is killed as well.
        self.kill();
        if std::thread::panicking() {
            eprintln!("the last log lines of process {}:\n{}", self.id(), self.log_lines().join("\n"));
        }
    }
}

fn keep_line(log: &Mutex<KeptLog>, line: String) {
    log.lock().unwrap_or_else(PoisonError::into_inner).take(line);
}
