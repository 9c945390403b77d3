//! Runs a server as a child process: starts it, waits until it serves, kills it and restarts it at the same
//! address.

use anyhow::{Context as _, Result, bail};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum time from the start of a server until it serves; a longer start counts as failed.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of recent log lines that are kept to be printed after a failure.
const MAX_LOG_LINES: usize = 200;
/// Interval at which a process is polled for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Milliseconds per clock tick in `/proc/PID/stat`. The kernel reports hundredths of a second, whatever its
/// internal tick rate is.
const MS_PER_TICK: f64 = 10.0;
/// Indexes of a process's user and system time in `/proc/PID/stat`, counted from the field after the process
/// name.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// A server process, which may be running or not. Dropping it kills the process.
pub struct ServerProcess {
    /// Name of the server.
    pub name: String,
    program: Option<PathBuf>,
    config: PathBuf,
    operator: Option<PathBuf>,
    address: Option<SocketAddr>,
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
}

impl ServerProcess {
    /// Returns a server that is not started yet, with its configuration files in `folder`. `program` is the
    /// daemon to run; `None` runs the daemon in this program.
    ///
    /// # Errors
    /// Returns an error if the operators' file cannot be written.
    pub fn new(
        folder: &Path,
        name: &str,
        program: Option<&Path>,
        operator: Option<&str>,
    ) -> Result<ServerProcess> {
        let config = folder.join(format!("{name}.json"));
        let operator = match operator {
            Some(text) => {
                let path = folder.join(format!("{name}.hcl"));
                std::fs::write(&path, text).with_context(|| format!("writing {}", path.display()))?;
                Some(path)
            }
            None => None,
        };
        Ok(ServerProcess {
            name: name.to_owned(),
            program: program.map(Path::to_owned),
            config,
            operator,
            address: None,
            child: None,
            log: Arc::default(),
        })
    }

    /// Returns the address on which the server listens; `None` before its first start.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Starts the server and waits until it serves. Every start after the first uses the same address.
    /// `config` returns the platform's configuration for the address to listen on.
    ///
    /// # Errors
    /// Returns an error if the server cannot be started or does not serve in time.
    pub fn start(&mut self, config: impl Fn(&str) -> String) -> Result<()> {
        let listen = self.address.map_or("127.0.0.1:0".to_owned(), |address| address.to_string());
        std::fs::write(&self.config, config(&listen))
            .with_context(|| format!("writing {}", self.config.display()))?;
        let mut command = self.command()?;
        let mut child = command.spawn().with_context(|| format!("starting {command:?}"))?;
        let stderr = child.stderr.take().context("the server's standard error is not captured")?;
        self.child = Some(child);
        match self.read_log(stderr).recv_timeout(START_TIMEOUT) {
            Ok(Some(address)) => {
                self.address = Some(address);
                Ok(())
            }
            _ => bail!("{} did not start serving; its log:\n{}", self.name, self.recent_log()),
        }
    }

    fn command(&self) -> Result<Command> {
        let this_program = std::env::current_exe().context("finding the path of this program")?;
        let mut command = Command::new(self.program.as_ref().unwrap_or(&this_program));
        command.arg("serve").arg("--log-format").arg("json").arg("--config").arg(&self.config);
        if let Some(operator) = &self.operator {
            command.arg("--operator").arg(operator);
        }
        // Builds that predate the command-line arguments ignore them and read this variable.
        command.env("RELAY_CONFIG", &self.config);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        Ok(command)
    }

    /// Starts a thread that keeps the most recent log lines. The receiver gets the address from each log line
    /// that reports that the server serves; `None` if the address cannot be parsed.
    fn read_log(&self, stderr: ChildStderr) -> Receiver<Option<SocketAddr>> {
        let (sender, receiver) = mpsc::channel();
        let log = self.log.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let Some(address) = parse_serving_line(&line) {
                    let _ = sender.send(address);
                }
                let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                if log.len() >= MAX_LOG_LINES {
                    log.remove(0);
                }
                log.push(line);
            }
        });
        receiver
    }

    /// Returns the most recent log lines.
    pub fn recent_log(&self) -> String {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).join("\n")
    }

    /// Returns the CPU time used by the process, ms; `None` if it is not running or `/proc` cannot be read.
    pub fn cpu_ms(&self) -> Option<f64> {
        let pid = self.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The process name in parentheses may contain spaces and parentheses.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let mut ticks = 0.0;
        for index in CPU_TIME_FIELDS {
            ticks += fields.get(index)?.parse::<f64>().ok()?;
        }
        Some(ticks * MS_PER_TICK)
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits for the process to exit; returns whether it exited successfully within
    /// `timeout`. After the timeout it is killed.
    ///
    /// # Errors
    /// Returns an error if the signal cannot be sent or the process cannot be waited for.
    pub fn shut_down(&mut self, timeout: Duration) -> Result<bool> {
        let Some(mut child) = self.child.take() else { return Ok(false) };
        let sent = Command::new("kill").args(["-s", "TERM", &child.id().to_string()]).status();
        sent.context("sending SIGTERM")?;
        let signaled_at = Instant::now();
        while signaled_at.elapsed() < timeout {
            if let Some(status) = child.try_wait().context("waiting for the server to exit")? {
                return Ok(status.success());
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        let _ = child.kill();
        let _ = child.wait();
        Ok(false)
    }
}

/// Returns the address from a log line, JSON or text, that reports that the server serves; `None` for other
/// lines.
fn parse_serving_line(line: &str) -> Option<Option<SocketAddr>> {
    if let Ok(fields) = serde_json::from_str::<serde_json::Value>(line) {
        let address = || fields["listen"].as_str().and_then(|address| address.parse().ok());
        return (fields["msg"] == "serving").then(address);
    }
    let rest = line.split_once(" serving")?.1;
    let address = rest.split_once("listen: ").map(|(_, after)| after.split(',').next().unwrap_or(after));
    Some(address.and_then(|address| address.parse().ok()))
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
