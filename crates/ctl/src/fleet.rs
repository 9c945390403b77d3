//! Round servers as processes of their own: started, waited for, killed and started again at the same address.

use anyhow::{Context as _, Result, bail};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a start may take before it counts as failed.
const START: Duration = Duration::from_secs(20);
/// Log lines that are kept to be shown when something goes wrong.
const KEPT_LINES: usize = 200;

/// A round server, running or not.
pub struct Server {
    /// Its name.
    pub name: String,
    program: Option<PathBuf>,
    config: PathBuf,
    operator: Option<PathBuf>,
    address: Option<SocketAddr>,
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Server {
    /// One that is not started yet. Its files lie in `folder`; `program` is the daemon to run, this program's own
    /// without one. `config` is given the address to listen on.
    pub fn new(folder: &Path, name: &str, program: Option<&Path>, operator: Option<&str>) -> Result<Server> {
        let config = folder.join(format!("{name}.json"));
        let operator = match operator {
            Some(text) => {
                let path = folder.join(format!("{name}.hcl"));
                std::fs::write(&path, text).with_context(|| format!("writing {}", path.display()))?;
                Some(path)
            }
            None => None,
        };
        Ok(Server {
            name: name.to_owned(),
            program: program.map(Path::to_owned),
            config,
            operator,
            address: None,
            child: None,
            log: Arc::default(),
        })
    }

    /// Where it listens, once it was started.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Starts it and waits until it serves. From the second start on it listens where it did before.
    pub fn start(&mut self, config: impl Fn(&str) -> String) -> Result<()> {
        let listen = self.address.map_or("127.0.0.1:0".to_owned(), |a| a.to_string());
        std::fs::write(&self.config, config(&listen))
            .with_context(|| format!("writing {}", self.config.display()))?;
        let own = std::env::current_exe().context("finding this program")?;
        let mut command = Command::new(self.program.as_ref().unwrap_or(&own));
        command.arg("serve").arg("--log-format").arg("json").arg("--config").arg(&self.config);
        if let Some(operator) = &self.operator {
            command.arg("--operator").arg(operator);
        }
        // A build from before there were arguments passes them over and reads this.
        command.env("RELAY_CONFIG", &self.config);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().with_context(|| format!("starting {command:?}"))?;
        let lines = BufReader::new(child.stderr.take().context("its log")?).lines();
        self.child = Some(child);
        let (tell, serving) = std::sync::mpsc::channel();
        let log = self.log.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some(address) = serving_at(&line) {
                    let _ = tell.send(address);
                }
                let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                if log.len() >= KEPT_LINES {
                    log.remove(0);
                }
                log.push(line);
            }
        });
        match serving.recv_timeout(START) {
            Ok(Some(address)) => {
                self.address = Some(address);
                Ok(())
            }
            _ => bail!("{} does not serve; its log:\n{}", self.name, self.log()),
        }
    }

    /// Its last log lines.
    pub fn log(&self) -> String {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).join("\n")
    }

    /// The time on the processor that it has used, ms.
    pub fn cpu_ms(&self) -> Option<f64> {
        let pid = self.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name in brackets may hold anything; the times are the 12th and 13th fields after it.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        // The kernel counts them in hundredths of a second, whatever its own tick is.
        Some(ticks * 10.0)
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Gives it the notice to leave and waits for its end; whether it ended by itself and well.
    pub fn leave(&mut self, patience: Duration) -> Result<bool> {
        let Some(mut child) = self.child.take() else { return Ok(false) };
        let sent = Command::new("kill").args(["-s", "TERM", &child.id().to_string()]).status();
        sent.context("sending SIGTERM")?;
        let since = Instant::now();
        while since.elapsed() < patience {
            if let Some(status) = child.try_wait().context("waiting for its end")? {
                return Ok(status.success());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = child.kill();
        let _ = child.wait();
        Ok(false)
    }
}

/// Where a log line, as JSON or as text, says that the round server listens.
fn serving_at(line: &str) -> Option<Option<SocketAddr>> {
    if let Ok(said) = serde_json::from_str::<serde_json::Value>(line) {
        return (said["msg"] == "serving").then(|| said["listen"].as_str().and_then(|a| a.parse().ok()));
    }
    let rest = line.split_once(" serving")?.1;
    let address = rest.split_once("listen: ").map(|(_, a)| a.split(',').next().unwrap_or(a));
    Some(address.and_then(|a| a.parse().ok()))
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}
