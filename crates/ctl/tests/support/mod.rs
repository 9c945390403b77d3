//! Runs a server with a ledger as a process with fake peers, and runs `dunlinspreadctl` commands.

use dunlinspread_fakes::{
    ClientBehavior, FakeClients, FakeRegistry, FakeWorkerPool, Load, PlatformSettings, Tally,
    WorkerPoolFaults,
};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CTL: &str = env!("CARGO_BIN_EXE_dunlinspreadctl");
/// Maximum time to wait for a log line, far longer than any delay of a working server.
const LOG_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which the log is polled.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options for starting a server.
pub struct ServerOptions<'a> {
    /// Name of the server.
    pub name: &'a str,
    /// Folder of the server's files: the ledger is in `ledger`, the exports in `exports`.
    pub folder: &'a Path,
    /// Settings of the ledger, without those of its folders.
    pub settings: &'a str,
    /// File size limit of the process, in blocks of 512 bytes, or `unlimited`.
    pub file_blocks: &'a str,
}

impl<'a> ServerOptions<'a> {
    /// Returns options for the server `n1` without a file size limit.
    pub fn new(folder: &'a Path, settings: &'a str) -> ServerOptions<'a> {
        ServerOptions { name: "n1", folder, settings, file_blocks: "unlimited" }
    }
}

/// A server with a ledger, and the fakes of its peers. Dropping it kills the process, so that a failing test
/// leaves no process behind.
pub struct RunningServer {
    /// The server process.
    pub child: Child,
    /// Address on which the server listens.
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    _fakes: (FakeWorkerPool, FakeRegistry),
}

impl RunningServer {
    /// Starts a server and waits until it serves.
    pub fn start(platform: &PlatformSettings, options: &ServerOptions<'_>) -> RunningServer {
        let pool = FakeWorkerPool::start(platform, 1, WorkerPoolFaults::default()).expect("a pool");
        let registry = FakeRegistry::start().expect("a registry");
        let config = platform.config(options.name, "127.0.0.1:0", pool.address(), registry.address(), None);
        let mut child = spawn(options, &config);
        let lines = BufReader::new(child.stderr.take().expect("a log")).lines().map_while(Result::ok);
        let log = Arc::new(Mutex::new(Vec::new()));
        let log_lines = log.clone();
        std::thread::spawn(move || lines.for_each(|line| log_lines.lock().expect("not poisoned").push(line)));
        let address = "127.0.0.1:0".parse().expect("an address");
        let mut server = RunningServer { child, address, log, _fakes: (pool, registry) };
        let serving = server.wait_for_log("\"serving\"");
        server.address =
            serving["listen"].as_str().and_then(|address| address.parse().ok()).expect("an address");
        server
    }

    /// Returns the first log line that contains `words`, if there is one.
    pub fn find_log(&self, words: &str) -> Option<Value> {
        let log = self.log.lock().expect("not poisoned");
        let line = log.iter().find(|line| line.contains(words))?;
        Some(serde_json::from_str(line).expect("JSON"))
    }

    /// Waits for a log line that contains `words` and returns it.
    pub fn wait_for_log(&self, words: &str) -> Value {
        let deadline = Instant::now() + LOG_TIMEOUT;
        loop {
            match self.find_log(words) {
                Some(line) => return line,
                None if Instant::now() > deadline => panic!("not logged: {words}; {:?}", self.log),
                None => std::thread::sleep(LOG_POLL_INTERVAL),
            }
        }
    }

    /// Requests a graceful shutdown and checks that it succeeds.
    pub fn shut_down(&mut self) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", "TERM", &pid]).status().expect("kill").success());
        assert!(self.child.wait().expect("the server exits").success());
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes the server's configuration files and starts its process.
fn spawn(options: &ServerOptions<'_>, config: &str) -> Child {
    let ServerOptions { folder, settings, file_blocks, .. } = options;
    let operator = format!(
        "ledger \"test\" {{\n  directory = {:?}\n  {settings}\n  export {{\n    folder = {:?}\n  }}\n}}\n",
        folder.join("ledger").display().to_string(),
        folder.join("exports").display().to_string()
    );
    std::fs::write(folder.join("operator.hcl"), operator).expect("written");
    std::fs::write(folder.join("config.json"), config).expect("written");
    Command::new("sh")
        .args(["-c", "trap '' XFSZ; ulimit -S -f $0; exec \"$@\"", file_blocks, CTL])
        .arg("serve")
        .args(["--log-format", "json", "--config"])
        .arg(folder.join("config.json"))
        .arg("--operator")
        .arg(folder.join("operator.hcl"))
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the server starts")
}

/// Sends a load to a server and returns the clients' tally.
pub fn send_load(platform: &PlatformSettings, server: &RunningServer, load: Load) -> Tally {
    let clients = FakeClients::start(platform, vec![server.address], load, ClientBehavior::default());
    clients.expect("clients").finish()
}

/// Result of a command.
pub struct CommandOutput {
    /// Whether the exit status was 0.
    pub succeeded: bool,
    /// JSON lines of the standard output.
    pub rows: Vec<Value>,
    /// Text of the standard error.
    pub error: String,
}

/// Runs `dunlinspreadctl` with these arguments.
pub fn ctl(args: &[&str]) -> CommandOutput {
    let output = Command::new(CTL).args(args).output().expect("the command runs");
    let text = String::from_utf8_lossy(&output.stdout);
    CommandOutput {
        succeeded: output.status.success(),
        rows: text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect(),
        error: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Returns the sum of a tenant's requests in rows of usage.
pub fn requests_of(rows: &[Value], tenant: &str) -> i64 {
    let tenant_rows = rows.iter().filter(|row| row["society"] == tenant);
    tenant_rows.filter_map(|row| row["requests"].as_i64()).sum()
}

/// Returns a path as text.
pub fn text(path: PathBuf) -> String {
    path.into_os_string().into_string().expect("text")
}
