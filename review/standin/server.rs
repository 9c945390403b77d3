//! A process of the server, started with the command of the deploy file.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The settings of a small deployment: the example of the wire page, with shorter work and room for keys.
const SETTINGS: &str = r#"{
 "accounts": [], "az": 0, "domain_type": "server", "me": 0, "servers": 1, "tick_ms": 5.0, "tier": 0,
 "value_by": "request", "tiers": ["round-api", "ledger"], "zones": ["kakkanad", "aluva", "thrissur"],
 "client_habits": {"marks_retry": false},
 "load_report": {"columns": ["q", "lat_ms"], "how": "on_probe"},
 "policy_limits": {"max_retry_after_ms": 1000.0, "retry_after": true},
 "safety": {"answer_slack_ms": 80.0, "cold_ms": 17000.0, "cold_share": 0.24, "drain_grace_ms": 2500.0,
  "fall_multiple": 8.0, "tip_after_ms": 3000.0},
 "profiles": [
  {"effect": "pure", "give_up_ms": 8700.0, "late_worth": 0.0, "memory_span_ms": 5000.0, "name": "route-sheet", "target_ms": 2900.0, "worth": 1.0},
  {"effect": "pure", "give_up_ms": 2200.0, "late_worth": 0.2, "memory_span_ms": 5000.0, "name": "rate-check", "target_ms": 720.0, "worth": 2.0},
  {"effect": "pure", "give_up_ms": 8700.0, "late_worth": 0.0, "memory_span_ms": 5000.0, "name": "farmer-ledger", "target_ms": 2900.0, "worth": 2.0},
  {"effect": "token", "give_up_ms": 7200.0, "late_worth": 0.0, "memory_span_ms": 21744.0, "name": "pour-entry", "target_ms": 2200.0, "worth": 5.0}],
 "specifics": {"below": "tier", "callers": 3, "calls_out": 0.0, "class_calls": [true, false, true, true],
  "class_skip_worth": [0.5, 0.0, 0.5, 0.0], "cold": false, "deep_checks": false, "dep_window_ms": 5000.0,
  "fresh_for_ms": 0.0, "gauges": ["core_use", "on_cores", "heap_share", "links"], "heeded_ms": 1000.0,
  "keepalive_max_ms": 30000.0, "key_kb": 128.22, "linger_ms": 200.0, "list_follows": true,
  "memory_kb": 900000.0, "n_cores": 6, "passes_deadline": false, "preemption": "suspend", "run_factor": 8.0,
  "say": "share_of", "tells_gone": true}}"#;

pub struct Addresses {
    pub listen: SocketAddr,
    pub control: Option<SocketAddr>,
    pub pool: SocketAddr,
    pub directory: SocketAddr,
    pub index: SocketAddr,
    /// The operator file, if there is one.
    pub operator: Option<PathBuf>,
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Places of a case: the repository's root, the folder of the case, a temporary folder, and the command `run`
/// of the deploy file.
pub struct Places {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub temporary: PathBuf,
    pub run: String,
}

pub struct Server {
    child: Child,
    pub name: String,
}

impl Server {
    /// Starts a process. `label` names its configuration and its log.
    pub fn start(places: &Places, label: &str, addresses: &Addresses) -> Server {
        let config = places.temporary.join(format!("{label}.json"));
        std::fs::write(&config, text(addresses)).expect("the configuration can be written");
        let shared = places.temporary.join("tmp");
        std::fs::create_dir_all(&shared).expect("a folder");
        let log = File::create(places.folder.join(format!("{label}.log"))).expect("a log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&places.run)
            .current_dir(&places.root)
            .env("RELAY_NAME", "n3")
            .env("RELAY_LISTEN", addresses.listen.to_string())
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", &shared)
            .envs(addresses.operator.iter().map(|file| ("DUNLINSPREAD_OPERATOR", file)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log)
            .spawn()
            .expect("the server's process");
        // For run.sh, which ends what a killed stand-in would leave.
        let pids = File::options().create(true).append(true).open(places.folder.join("pids.txt"));
        let _ = writeln!(pids.expect("a list of processes"), "{}", child.id());
        Server { child, name: label.to_owned() }
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("/bin/sh").arg("-c").arg(command).status();
    }

    /// The exit code, once the process has ended.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().ok().flatten().map(|status| status.code())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn text(addresses: &Addresses) -> String {
    let control = addresses.control.map_or(String::new(), |control| format!("\"control\":\"{control}\","));
    let Addresses { listen, pool, directory, index, .. } = addresses;
    format!(
        "{{\"name\":\"n3\",\"listen\":\"{listen}\",{control}\"pool\":\"{pool}\",\
         \"directory\":\"{directory}\",\"index\":\"{index}\",\"seed\":\"8c1f30d27a5be964\",\
         \"stop_ms\":3200,\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"settings\":{SETTINGS}}}"
    )
}

pub fn remove_folder(path: &Path) {
    let _ = std::fs::remove_dir_all(path);
}
