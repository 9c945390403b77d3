//! Resource usage and limits of this process.

use super::control::{Traffic, Usage};
use anyhow::{Context, Result, ensure};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// Descriptors reserved for purposes other than connections.
const OTHER_DESCRIPTORS: u64 = 256;

/// Returns the current Unix time, ms.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Raises the soft limit on descriptors so that the process can open this many connections.
///
/// # Errors
/// Returns an error if the hard limit is too low.
pub fn allow_connections(connections: usize) -> Result<()> {
    let wanted = connections as u64 + OTHER_DESCRIPTORS;
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= wanted) {
        return Ok(());
    }
    if let Some(maximum) = limit.maximum {
        ensure!(
            wanted <= maximum,
            "{wanted} descriptors are needed, but the hard limit is {maximum}: \
             raise it (ulimit -Hn) or run a smaller fleet"
        );
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(wanted), maximum: limit.maximum })
        .with_context(|| format!("raising the limit on descriptors to {wanted}"))
}

/// Measures the resource usage of this process over an interval.
pub struct UsageMeter {
    since_unix_ms: u64,
    cpu_ms: f64,
    resident_kb: u64,
    traffic: Traffic,
    /// Memory that the subscribers of this process took at their start, KB.
    start_growth_kb: u64,
}

impl UsageMeter {
    /// Starts measuring in a process whose subscribers took `start_growth_kb` of memory at their start.
    pub fn start(start_growth_kb: u64) -> UsageMeter {
        let mut meter = UsageMeter {
            since_unix_ms: 0,
            cpu_ms: 0.0,
            resident_kb: 0,
            traffic: Traffic::default(),
            start_growth_kb,
        };
        meter.begin(Traffic::default());
        meter
    }

    /// Starts a new measurement; `traffic` is that of the connections so far.
    pub fn begin(&mut self, traffic: Traffic) {
        self.since_unix_ms = unix_ms();
        self.cpu_ms = cpu_ms();
        self.resident_kb = resident_kb();
        self.traffic = traffic;
    }

    /// Returns the usage since the measurement began; `traffic` is that of the connections in total.
    pub fn read(&self, traffic: Traffic) -> Usage {
        let resident_kb = resident_kb();
        Usage {
            wall_ms: unix_ms().saturating_sub(self.since_unix_ms),
            cpu_ms: cpu_ms() - self.cpu_ms,
            resident_kb,
            subscribers_kb: self.start_growth_kb + resident_kb.saturating_sub(self.resident_kb),
            traffic: traffic.since(self.traffic),
        }
    }
}

/// Returns the resident memory, KB; 0 if it can't be read.
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
