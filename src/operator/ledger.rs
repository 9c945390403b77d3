//! The block `ledger` of the operator file: where and how usage is billed.

use super::duration::{humantime_text, range_ms, text};
use super::error::KeyError;
use dunlinspread_ledger::{DurabilityMode, FailurePolicy};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The length of a period where none is set, and its range, ms.
const DEFAULT_PERIOD_MS: u64 = 15 * 60_000;
const MIN_PERIOD_MS: u64 = 100;
const MAX_PERIOD_MS: u64 = 31 * DAY_MS;
/// The grace after a period's end where none is set, ms, if the period is not shorter.
const DEFAULT_GRACE_MS: u64 = 5000;
/// How long lines are kept where nothing is set, and its range, ms.
const DEFAULT_KEEP_MS: u64 = 400 * DAY_MS;
const MIN_KEEP_MS: u64 = 1000;
const MAX_KEEP_MS: u64 = 20 * 366 * DAY_MS;
/// The time between commits in interval mode where none is set, and its range, ms.
const DEFAULT_INTERVAL_MS: u64 = 50;
const MIN_INTERVAL_MS: u64 = 1;
const MAX_INTERVAL_MS: u64 = 60_000;
/// Replies sent before their line is durable in interval mode, at most, where nothing is set.
const DEFAULT_AT_RISK: u64 = 1000;
/// The time between questions to peers where none is set, and its range, ms.
const DEFAULT_PEER_INTERVAL_MS: u64 = 30_000;
const MIN_PEER_INTERVAL_MS: u64 = 100;
const MAX_PEER_INTERVAL_MS: u64 = DAY_MS;
/// Peers that are asked at most.
const MAX_PEERS_ASKED: usize = 64;
/// Items of a batch at most where nothing is set, and the range of that.
const DEFAULT_BATCH_LINES: u64 = 10_000;
const BATCH_LINES: std::ops::RangeInclusive<u64> = 1..=100_000;
/// A day, ms.
const DAY_MS: u64 = 86_400_000;

/// Where closed periods are exported to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExportTarget {
    /// A folder.
    Folder(String),
    /// A collector that listens at this address.
    Collector(SocketAddr),
}

/// The block `peers` of a ledger: other servers that it may talk to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// The address at which others may ask.
    pub listen: Option<SocketAddr>,
    /// The servers to ask.
    pub ask: Vec<SocketAddr>,
    /// How often, ms.
    pub every_ms: u64,
}

/// The block `ledger`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerConfig {
    /// The block's label.
    pub name: String,
    /// The directory of its store.
    pub directory: String,
    /// The length of a period, ms.
    pub period_ms: u64,
    /// How long after its end a period is closed, ms.
    pub grace_ms: u64,
    /// When replies may be sent.
    pub mode: DurabilityMode,
    /// What happens while the store fails.
    pub on_failure: FailurePolicy,
    /// Where closed periods go; they stay in the store without one.
    pub export: Option<ExportTarget>,
    /// Items of a batch at most.
    pub batch_lines: usize,
    /// How long lines are kept, ms, once they are exported (or closed, if nothing is).
    pub keep_ms: u64,
    /// Other servers to exchange digests with; none on a platform where they may not talk.
    pub peers: Option<PeerSettings>,
}

/// The block `ledger` as it stands in the file.
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
    /// Returns the settings of the block, which has this label.
    ///
    /// # Errors
    /// With the first key that is faulty.
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
    /// Returns the mode with its two keys, which belong to interval mode alone.
    fn check(self, interval: Option<Duration>, at_risk: Option<u64>) -> Result<DurabilityMode, KeyError> {
        match self {
            RawMode::Strict if interval.is_some() => {
                Err(KeyError::new("interval", "belongs to mode \"interval\""))
            }
            RawMode::Strict if at_risk.is_some() => {
                Err(KeyError::new("at_risk", "belongs to mode \"interval\""))
            }
            RawMode::Strict => Ok(DurabilityMode::Strict),
            RawMode::Interval => {
                let every_ms =
                    range_ms("interval", interval, DEFAULT_INTERVAL_MS, MIN_INTERVAL_MS, MAX_INTERVAL_MS)?;
                let at_risk = at_risk.unwrap_or(DEFAULT_AT_RISK);
                if at_risk == 0 {
                    let what = "with 0 no answer could leave; mode \"strict\" is that";
                    return Err(KeyError::new("at_risk", what));
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
            _ => Err(KeyError::new("export", "takes either `folder` or `collector`")),
        }
    }
}

impl RawPeers {
    fn check(self) -> Result<PeerSettings, KeyError> {
        if self.listen.is_none() && self.ask.is_empty() {
            return Err(KeyError::new("peers", "names neither `listen` nor whom to `ask`"));
        }
        if self.ask.len() > MAX_PEERS_ASKED {
            return Err(KeyError::new("peers", format!("asks more than {MAX_PEERS_ASKED}")));
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
    let (least, most) = (BATCH_LINES.start(), BATCH_LINES.end());
    Err(KeyError::new("batch_lines", format!("{batch_lines} is not within {least} and {most}")))
}

impl fmt::Display for LedgerConfig {
    /// Writes the block as it would stand in an operator file.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "ledger \"{}\" {{", self.name)?;
        writeln!(f, "  directory   = {:?}", self.directory)?;
        writeln!(f, "  period      = \"{}\"", text(self.period_ms))?;
        writeln!(f, "  grace       = \"{}\"", text(self.grace_ms))?;
        write_mode(f, self.mode)?;
        writeln!(f, "  on_failure  = \"{}\"", failure_policy_word(self.on_failure))?;
        writeln!(f, "  batch_lines = {}", self.batch_lines)?;
        writeln!(f, "  keep        = \"{}\"", text(self.keep_ms))?;
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
            writeln!(f, "  interval    = \"{}\"", text(every_ms))?;
            writeln!(f, "  at_risk     = {at_risk}")
        }
    }
}

fn failure_policy_word(policy: FailurePolicy) -> &'static str {
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
    writeln!(f, "    every  = \"{}\"", text(peers.every_ms))?;
    writeln!(f, "  }}")
}
