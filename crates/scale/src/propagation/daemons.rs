//! Real daemons beside the client-only subscribers: this same program as the daemon, with distributed
//! configuration switched on in its operator file, in a zone of their own. Their position in force is the one
//! that they acknowledge.

use super::control::{RunSettings, ServerLine};
use super::dataset::class_name;
use super::topology::region_name;
use anyhow::{Context, Result};
use serde_json::json;
use std::fmt::Write as _;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Hidden command that runs this program as a daemon.
pub const DAEMON_COMMAND: &str = "propagation-daemon";
/// Zone of the daemons.
pub const DAEMON_ZONE: &str = "zone-daemons";
/// Region of the daemons' zone.
pub const DAEMON_REGION: usize = 0;
/// Address of the daemon's worker pool and directory, which the experiment does not need: no process listens
/// on this port.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// The running daemons.
#[derive(Default)]
pub struct Daemons {
    children: Vec<Child>,
}

impl Daemons {
    /// Starts `count` daemons.
    ///
    /// # Errors
    /// Returns an error if a file can't be written or a process can't be started.
    pub fn start(
        count: usize,
        settings: &RunSettings,
        servers: &[ServerLine],
        directory: &Path,
    ) -> Result<Daemons> {
        let mut daemons = Daemons::default();
        let key_file = directory.join("fleet.key");
        std::fs::write(&key_file, &settings.fleet_key).context("writing the fleet key")?;
        for index in 0..count {
            let name = format!("daemon-{index}");
            let files = DaemonFiles::write(&name, settings, servers, &key_file, directory)?;
            daemons.children.push(files.start().with_context(|| format!("starting {name}"))?);
        }
        Ok(daemons)
    }

    /// Returns the number of started daemons.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Returns the resident memory of the largest daemon, KB.
    pub fn largest_kb(&self) -> u64 {
        self.children.iter().map(|child| resident_kb(child.id())).max().unwrap_or(0)
    }

    /// Returns the number of daemons that have exited; none should.
    ///
    /// # Errors
    /// Returns an error if the state of a process can't be read.
    pub fn ended(&mut self) -> Result<usize> {
        let mut ended = 0;
        for child in &mut self.children {
            ended += usize::from(child.try_wait().context("reading the state of a daemon")?.is_some());
        }
        Ok(ended)
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in &mut self.children {
            // Killing a daemon that has already exited fails; it is reaped in either case.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The files of one daemon.
struct DaemonFiles {
    config: PathBuf,
    operator: PathBuf,
    log: PathBuf,
}

impl DaemonFiles {
    fn write(
        name: &str,
        settings: &RunSettings,
        servers: &[ServerLine],
        key_file: &Path,
        directory: &Path,
    ) -> Result<DaemonFiles> {
        let file = |ending: &str| directory.join(format!("{name}.{ending}"));
        let files = DaemonFiles { config: file("json"), operator: file("hcl"), log: file("log") };
        let state = directory.join(format!("{name}-state"));
        std::fs::write(&files.config, platform_config(name, settings.shape().classes))?;
        std::fs::write(&files.operator, operator_config(servers, key_file, &state)?)?;
        Ok(files)
    }

    fn start(&self) -> Result<Child> {
        let log = File::create(&self.log)?;
        let program = std::env::current_exe().context("this program's own path")?;
        let child = Command::new(program)
            .arg(DAEMON_COMMAND)
            .env("RELAY_CONFIG", &self.config)
            .env("DUNLINSPREAD_OPERATOR", &self.operator)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(child)
    }
}

/// Returns the platform's configuration file, with all classes of the table and no neighbouring processes.
fn platform_config(name: &str, classes: usize) -> String {
    let profile = |class| json!({"name": &*class_name(class), "effect": "pure", "give_up_ms": 90_000, "target_ms": 80_000, "worth": 1});
    json!({
        "name": name, "listen": "127.0.0.1:0", "pool": UNUSED_ADDRESS, "directory": UNUSED_ADDRESS,
        "seed": "8c1f30d27a5be964", "stop_ms": 3000,
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
        "settings": {
            "tick_ms": 5.0, "servers": 1,
            "profiles": (0..classes).map(profile).collect::<Vec<_>>(),
            "accounts": [{"name": "platform", "allowance_per_s": 100}],
            "policy_limits": {"retry_after": true, "max_retry_after_ms": 1000},
            "safety": {"fall_multiple": 8, "drain_grace_ms": 0},
            "specifics": {
                "n_cores": 8, "memory_kb": 60_000, "run_factor": 8, "key_kb": 10, "preemption": "off",
                "below": "off", "keepalive_max_ms": 32_000_000_000_u64, "callers": 1,
                "gauges": ["core_use", "on_cores", "heap_share", "links"]
            }
        }
    })
    .to_string()
}

fn operator_config(servers: &[ServerLine], key_file: &Path, state: &Path) -> Result<String> {
    let mut text = String::new();
    writeln!(text, "config_sync {{")?;
    writeln!(text, "  zone            = \"{DAEMON_ZONE}\"")?;
    writeln!(text, "  region          = \"{}\"", region_name(DAEMON_REGION))?;
    writeln!(text, "  key_file        = \"{}\"", key_file.display())?;
    writeln!(text, "  state_directory = \"{}\"", state.display())?;
    for ServerLine { name, address, zone, region } in servers {
        writeln!(text, "  relay \"{name}\" {{")?;
        writeln!(text, "    address = \"{address}\"\n    region = \"{region}\"")?;
        if let Some(zone) = zone {
            writeln!(text, "    zone = \"{zone}\"")?;
        }
        writeln!(text, "  }}")?;
    }
    writeln!(text, "}}")?;
    Ok(text)
}

/// Returns the resident memory of another process, KB; 0 if it can't be read.
fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
