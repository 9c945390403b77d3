//! What this process uses and may use.

use super::control::{Traffic, Usage};
use anyhow::{Context, Result, ensure};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// Descriptors of a process besides its connections.
const OTHER_DESCRIPTORS: u64 = 256;

/// The time of day, ms.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Raises the soft limit on descriptors so that so many connections fit.
///
/// # Errors
/// If the hard limit is lower.
pub fn allow_connections(connections: usize) -> Result<()> {
    let wanted = connections as u64 + OTHER_DESCRIPTORS;
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= wanted) {
        return Ok(());
    }
    if let Some(maximum) = limit.maximum {
        ensure!(
            wanted <= maximum,
            "{wanted} descriptors are needed and the hard limit is {maximum}: raise it (ulimit -Hn) or run smaller"
        );
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(wanted), maximum: limit.maximum })
        .with_context(|| format!("raising the limit on descriptors to {wanted}"))
}

/// Measures what this process uses from a moment on.
pub struct UsageMeter {
    since_unix_ms: u64,
    cpu_ms: f64,
    resident_kb: u64,
    traffic: Traffic,
    /// What the subscribers of this process took at their start, KB.
    started_kb: u64,
}

impl UsageMeter {
    /// Begins, at a process whose subscribers took so much memory at their start.
    pub fn start(started_kb: u64) -> UsageMeter {
        let mut meter = UsageMeter {
            since_unix_ms: 0,
            cpu_ms: 0.0,
            resident_kb: 0,
            traffic: Traffic::default(),
            started_kb,
        };
        meter.begin(Traffic::default());
        meter
    }

    /// Begins anew, with connections that did so much already.
    pub fn begin(&mut self, traffic: Traffic) {
        self.since_unix_ms = unix_ms();
        self.cpu_ms = cpu_ms();
        self.resident_kb = resident_kb();
        self.traffic = traffic;
    }

    /// What was used since, with connections that did so much in all.
    pub fn read(&self, traffic: Traffic) -> Usage {
        let resident_kb = resident_kb();
        Usage {
            wall_ms: unix_ms().saturating_sub(self.since_unix_ms),
            cpu_ms: cpu_ms() - self.cpu_ms,
            resident_kb,
            subscribers_kb: self.started_kb + resident_kb.saturating_sub(self.resident_kb),
            traffic: traffic.since(self.traffic),
        }
    }
}

/// Resident memory, KB; 0 where the system does not say.
pub fn resident_kb() -> u64 {
    let page_kb = rustix::param::page_size() as u64 / 1024;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    pages * page_kb
}

fn cpu_ms() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}
