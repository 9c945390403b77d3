//! A server as a process of its own: started, waited for, killed and started again at the same address.

use anyhow::{Context as _, Result, bail};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a start may take before it counts as failed.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Log lines that are kept to be shown when something goes wrong.
const MAX_LOG_LINES: usize = 200;
/// Time between two looks for the end of a process.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Milliseconds of one tick in `/proc/PID/stat`: the kernel reports hundredths of a second, whatever its own tick is.
const MS_PER_TICK: f64 = 10.0;
/// The positions of a process's user and system time in `/proc/PID/stat`, counted from the field after the name.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// A server, running or not. Dropping it kills the process.
pub struct ServerProcess {
    /// The server's name.
    pub name: String,
    program: Option<PathBuf>,
    config: PathBuf,
    operator: Option<PathBuf>,
    address: Option<SocketAddr>,
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
}

impl ServerProcess {
    /// Returns one that is not started yet, with its files in `folder`; `program` is the daemon to run, without one it
    /// is this program.
    ///
    /// # Errors
    /// If the operators' file cannot be written.
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

    /// Returns the address on which it listens, once it was started.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Starts it and waits until it serves, from the second start on at the same address. `config` returns the platform's
    /// configuration for the address to listen on.
    ///
    /// # Errors
    /// If it cannot be started or does not serve in time.
    pub fn start(&mut self, config: impl Fn(&str) -> String) -> Result<()> {
        let listen = self.address.map_or("127.0.0.1:0".to_owned(), |address| address.to_string());
        std::fs::write(&self.config, config(&listen))
            .with_context(|| format!("writing {}", self.config.display()))?;
        let mut command = self.command()?;
        let mut child = command.spawn().with_context(|| format!("starting {command:?}"))?;
        let stderr = child.stderr.take().context("its log")?;
        self.child = Some(child);
        match self.read_log(stderr).recv_timeout(START_TIMEOUT) {
            Ok(Some(address)) => {
                self.address = Some(address);
                Ok(())
            }
            _ => bail!("{} does not serve; its log:\n{}", self.name, self.recent_log()),
        }
    }

    fn command(&self) -> Result<Command> {
        let this_program = std::env::current_exe().context("finding this program")?;
        let mut command = Command::new(self.program.as_ref().unwrap_or(&this_program));
        command.arg("serve").arg("--log-format").arg("json").arg("--config").arg(&self.config);
        if let Some(operator) = &self.operator {
            command.arg("--operator").arg(operator);
        }
        // A build from before there were arguments passes them over and reads this.
        command.env("RELAY_CONFIG", &self.config);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        Ok(command)
    }

    /// Keeps the log's last lines on a thread of its own. The receiver is given the address of each line that says that
    /// the server serves, `None` if the address is unreadable.
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

    /// Returns its last log lines.
    pub fn recent_log(&self) -> String {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).join("\n")
    }

    /// Returns the processor time that it has used, ms.
    pub fn cpu_ms(&self) -> Option<f64> {
        let pid = self.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name in brackets may hold anything.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let mut ticks = 0.0;
        for index in CPU_TIME_FIELDS {
            ticks += fields.get(index)?.parse::<f64>().ok()?;
        }
        Some(ticks * MS_PER_TICK)
    }

    /// Kills it with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Requests a graceful shutdown and waits for the end; returns whether it ended by itself and successfully.
    ///
    /// # Errors
    /// If the signal cannot be sent or the process cannot be waited for.
    pub fn shut_down(&mut self, timeout: Duration) -> Result<bool> {
        let Some(mut child) = self.child.take() else { return Ok(false) };
        let sent = Command::new("kill").args(["-s", "TERM", &child.id().to_string()]).status();
        sent.context("sending SIGTERM")?;
        let requested_at = Instant::now();
        while requested_at.elapsed() < timeout {
            if let Some(status) = child.try_wait().context("waiting for its end")? {
                return Ok(status.success());
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        let _ = child.kill();
        let _ = child.wait();
        Ok(false)
    }
}

/// Returns the address in a log line, as JSON or as text, that says that the server serves; `None` for other lines.
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
