//! The block `ledger` of the operator file: settings of the usage ledger, which bills requests.

use super::duration::{format_ms, humantime_text, range_ms};
use super::error::KeyError;
use dunlinspread_ledger::{DurabilityMode, FailurePolicy};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Default length of a period, and its range, ms.
const DEFAULT_PERIOD_MS: u64 = 15 * 60_000;
const MIN_PERIOD_MS: u64 = 100;
const MAX_PERIOD_MS: u64 = 31 * DAY_MS;
/// Default grace after a period's end, ms; a period that is shorter than this is the default instead.
const DEFAULT_GRACE_MS: u64 = 5000;
/// Default time for which lines are kept, and its range, ms.
const DEFAULT_KEEP_MS: u64 = 400 * DAY_MS;
const MIN_KEEP_MS: u64 = 1000;
const MAX_KEEP_MS: u64 = 20 * 366 * DAY_MS;
/// Default time between commits in interval mode, and its range, ms.
const DEFAULT_INTERVAL_MS: u64 = 50;
const MIN_INTERVAL_MS: u64 = 1;
const MAX_INTERVAL_MS: u64 = 60_000;
/// Default maximum number of replies sent before their line is durable, in interval mode.
const DEFAULT_AT_RISK: u64 = 1000;
/// Default time between digest requests to peers, and its range, ms.
const DEFAULT_PEER_INTERVAL_MS: u64 = 30_000;
const MIN_PEER_INTERVAL_MS: u64 = 100;
const MAX_PEER_INTERVAL_MS: u64 = DAY_MS;
/// Maximum number of peers in `ask`.
const MAX_ASKED_PEERS: usize = 64;
/// Default maximum number of items in a batch, and its range.
const DEFAULT_BATCH_LINES: u64 = 10_000;
const BATCH_LINES: std::ops::RangeInclusive<u64> = 1..=100_000;
/// Length of a day, ms.
const DAY_MS: u64 = 86_400_000;

/// Target to which closed periods are exported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExportTarget {
    /// Path of a folder.
    Folder(String),
    /// Address of a collector.
    Collector(SocketAddr),
}

/// The block `peers` of a ledger: other servers with which it exchanges digests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Address on which digest requests of other servers are accepted.
    pub listen: Option<SocketAddr>,
    /// Addresses of the servers from which digests are requested.
    pub ask: Vec<SocketAddr>,
    /// Time between digest requests, ms.
    pub every_ms: u64,
}

/// The block `ledger`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerConfig {
    /// Label of the block.
    pub name: String,
    /// Directory of the ledger's store.
    pub directory: String,
    /// Length of a period, ms.
    pub period_ms: u64,
    /// Time from the end of a period until it is closed, ms.
    pub grace_ms: u64,
    /// Durability mode, which determines when replies may be sent.
    pub mode: DurabilityMode,
    /// Handling of requests while the store fails.
    pub on_failure: FailurePolicy,
    /// Target to which closed periods are exported; without one they stay in the store.
    pub export: Option<ExportTarget>,
    /// Maximum number of items in a batch.
    pub batch_lines: usize,
    /// Time for which lines are kept after their export, ms; after their close, if nothing is exported.
    pub keep_ms: u64,
    /// Exchange of digests with other servers; `None` on a platform whose servers must not communicate.
    pub peers: Option<PeerSettings>,
}

/// The block `ledger` as written in the operator file, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawLedger {
    directory: String,
    #[serde(default, with = "humantime_text")]
    period: Option<Duration>,
    #[serde(default, with = "humantime_text")]
    grace: Option<Duration>,
    #[serde(default)]
    mode: RawMode,
    #[serde(default, with = "humantime_text")]
    interval: Option<Duration>,
    at_risk: Option<u64>,
    #[serde(default)]
    on_failure: RawOnFailure,
    batch_lines: Option<u64>,
    #[serde(default, with = "humantime_text")]
    keep: Option<Duration>,
    export: Option<RawExport>,
    peers: Option<RawPeers>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawMode {
    #[default]
    Strict,
    Interval,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawOnFailure {
    #[default]
    Refuse,
    Continue,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawExport {
    folder: Option<String>,
    collector: Option<SocketAddr>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPeers {
    listen: Option<SocketAddr>,
    #[serde(default)]
    ask: Vec<SocketAddr>,
    #[serde(default, with = "humantime_text")]
    every: Option<Duration>,
}

impl RawLedger {
    /// Validates the block, whose label is `name`, and returns its settings.
    ///
    /// # Errors
    /// Returns the [`KeyError`] of the first invalid key.
    pub(super) fn check(self, name: &str) -> Result<LedgerConfig, KeyError> {
        let period_ms = range_ms("period", self.period, DEFAULT_PERIOD_MS, MIN_PERIOD_MS, MAX_PERIOD_MS)?;
        let default_grace_ms = period_ms.min(DEFAULT_GRACE_MS);
        let grace_ms = range_ms("grace", self.grace, default_grace_ms, 0, period_ms)?;
        let keep_ms = range_ms("keep", self.keep, DEFAULT_KEEP_MS, MIN_KEEP_MS, MAX_KEEP_MS)?;
        let mode = self.mode.check(self.interval, self.at_risk)?;
        let export = self.export.map(RawExport::check).transpose()?;
        let peers = self.peers.map(RawPeers::check).transpose()?;
        let batch_lines = check_batch_lines(self.batch_lines)?;
        if self.directory.is_empty() {
            return Err(KeyError::new("directory", "is empty"));
        }
        Ok(LedgerConfig {
            name: name.to_owned(),
            directory: self.directory,
            period_ms,
            grace_ms,
            mode,
            on_failure: self.on_failure.policy(),
            export,
            batch_lines,
            keep_ms,
            peers,
        })
    }
}

impl RawMode {
    /// Returns the mode with its two keys, which are valid only in interval mode.
    fn check(self, interval: Option<Duration>, at_risk: Option<u64>) -> Result<DurabilityMode, KeyError> {
        match self {
            RawMode::Strict if interval.is_some() => {
                Err(KeyError::new("interval", "is valid only in mode \"interval\""))
            }
            RawMode::Strict if at_risk.is_some() => {
                Err(KeyError::new("at_risk", "is valid only in mode \"interval\""))
            }
            RawMode::Strict => Ok(DurabilityMode::Strict),
            RawMode::Interval => {
                let every_ms =
                    range_ms("interval", interval, DEFAULT_INTERVAL_MS, MIN_INTERVAL_MS, MAX_INTERVAL_MS)?;
                let at_risk = at_risk.unwrap_or(DEFAULT_AT_RISK);
                if at_risk == 0 {
                    let reason =
                        "must be at least 1; mode \"strict\" sends no reply before its line is durable";
                    return Err(KeyError::new("at_risk", reason));
                }
                Ok(DurabilityMode::Interval { every_ms, at_risk })
            }
        }
    }
}

impl RawOnFailure {
    fn policy(self) -> FailurePolicy {
        match self {
            RawOnFailure::Refuse => FailurePolicy::Reject,
            RawOnFailure::Continue => FailurePolicy::Continue,
        }
    }
}

impl RawExport {
    fn check(self) -> Result<ExportTarget, KeyError> {
        match (self.folder, self.collector) {
            (Some(folder), None) => Ok(ExportTarget::Folder(folder)),
            (None, Some(address)) => Ok(ExportTarget::Collector(address)),
            _ => Err(KeyError::new("export", "requires exactly one of `folder` and `collector`")),
        }
    }
}

impl RawPeers {
    fn check(self) -> Result<PeerSettings, KeyError> {
        if self.listen.is_none() && self.ask.is_empty() {
            return Err(KeyError::new("peers", "sets neither `listen` nor `ask`"));
        }
        if self.ask.len() > MAX_ASKED_PEERS {
            return Err(KeyError::new(
                "peers",
                format!("has more than {MAX_ASKED_PEERS} addresses in `ask`"),
            ));
        }
        let every_ms = range_ms(
            "peers",
            self.every,
            DEFAULT_PEER_INTERVAL_MS,
            MIN_PEER_INTERVAL_MS,
            MAX_PEER_INTERVAL_MS,
        )?;
        Ok(PeerSettings { listen: self.listen, ask: self.ask, every_ms })
    }
}

fn check_batch_lines(batch_lines: Option<u64>) -> Result<usize, KeyError> {
    let batch_lines = batch_lines.unwrap_or(DEFAULT_BATCH_LINES);
    if BATCH_LINES.contains(&batch_lines) {
        return Ok(batch_lines as usize);
    }
    let (min, max) = (BATCH_LINES.start(), BATCH_LINES.end());
    Err(KeyError::new("batch_lines", format!("{batch_lines} is not between {min} and {max}")))
}

impl fmt::Display for LedgerConfig {
    /// Writes the block as it would appear in an operator file.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "ledger \"{}\" {{", self.name)?;
        writeln!(f, "  directory   = {:?}", self.directory)?;
        writeln!(f, "  period      = \"{}\"", format_ms(self.period_ms))?;
        writeln!(f, "  grace       = \"{}\"", format_ms(self.grace_ms))?;
        write_mode(f, self.mode)?;
        writeln!(f, "  on_failure  = \"{}\"", failure_policy_name(self.on_failure))?;
        writeln!(f, "  batch_lines = {}", self.batch_lines)?;
        writeln!(f, "  keep        = \"{}\"", format_ms(self.keep_ms))?;
        if let Some(export) = &self.export {
            write_export(f, export)?;
        }
        if let Some(peers) = &self.peers {
            write_peers(f, peers)?;
        }
        writeln!(f, "}}")
    }
}

fn write_mode(f: &mut fmt::Formatter<'_>, mode: DurabilityMode) -> fmt::Result {
    match mode {
        DurabilityMode::Strict => writeln!(f, "  mode        = \"strict\""),
        DurabilityMode::Interval { every_ms, at_risk } => {
            writeln!(f, "  mode        = \"interval\"")?;
            writeln!(f, "  interval    = \"{}\"", format_ms(every_ms))?;
            writeln!(f, "  at_risk     = {at_risk}")
        }
    }
}

fn failure_policy_name(policy: FailurePolicy) -> &'static str {
    match policy {
        FailurePolicy::Reject => "refuse",
        FailurePolicy::Continue => "continue",
    }
}

fn write_export(f: &mut fmt::Formatter<'_>, target: &ExportTarget) -> fmt::Result {
    writeln!(f, "  export {{")?;
    match target {
        ExportTarget::Folder(folder) => writeln!(f, "    folder = {folder:?}")?,
        ExportTarget::Collector(address) => writeln!(f, "    collector = \"{address}\"")?,
    }
    writeln!(f, "  }}")
}

fn write_peers(f: &mut fmt::Formatter<'_>, peers: &PeerSettings) -> fmt::Result {
    writeln!(f, "  peers {{")?;
    if let Some(listen) = peers.listen {
        writeln!(f, "    listen = \"{listen}\"")?;
    }
    let ask: Vec<String> = peers.ask.iter().map(|address| format!("\"{address}\"")).collect();
    writeln!(f, "    ask    = [{}]", ask.join(", "))?;
    writeln!(f, "    every  = \"{}\"", format_ms(peers.every_ms))?;
    writeln!(f, "  }}")
}
