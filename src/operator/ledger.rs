//! The block `ledger`: where and how use is billed.

use super::duration::{humantime_text, range_ms, text};
use dunlinspread_ledger::{DurabilityMode, FailurePolicy};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Where closed periods are exported to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExportTarget {
    /// A folder.
    Folder(String),
    /// A collector that listens there.
    Collector(SocketAddr),
}

/// The block `peers` of a ledger: other round servers that it may talk to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Where others may ask.
    pub listen: Option<SocketAddr>,
    /// Whom to ask.
    pub ask: Vec<SocketAddr>,
    /// How often, ms.
    pub every_ms: u64,
}

/// The block `ledger`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerConfig {
    /// The block's label.
    pub name: String,
    /// Where its store lies.
    pub directory: String,
    /// The length of a period, ms.
    pub period_ms: u64,
    /// How long after its end a period is closed, ms.
    pub grace_ms: u64,
    /// When answers may leave.
    pub mode: DurabilityMode,
    /// What happens while the disk fails.
    pub on_failure: FailurePolicy,
    /// Where closed periods go; they stay in the store without one.
    pub export: Option<ExportTarget>,
    /// Lines in one batch at most.
    pub batch_lines: usize,
    /// How long lines are kept, ms, once they are exported (or closed, if nothing is).
    pub keep_ms: u64,
    /// Other round servers to exchange digests with; none on a platform where they may not talk.
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
    /// The settings, or the key that is faulty and why.
    pub(super) fn check(self, name: &str) -> Result<LedgerConfig, (&'static str, String)> {
        let period_ms = range_ms("period", self.period, 900_000, 100, 31 * 86_400_000)?;
        let grace_ms = range_ms("grace", self.grace, period_ms.min(5000), 0, period_ms)?;
        let keep_ms = range_ms("keep", self.keep, 400 * 86_400_000, 1000, 20 * 366 * 86_400_000)?;
        let mode = match self.mode {
            RawMode::Strict if self.interval.is_some() => {
                return Err(("interval", "belongs to mode \"interval\"".to_owned()));
            }
            RawMode::Strict if self.at_risk.is_some() => {
                return Err(("at_risk", "belongs to mode \"interval\"".to_owned()));
            }
            RawMode::Strict => DurabilityMode::Strict,
            RawMode::Interval => {
                let every_ms = range_ms("interval", self.interval, 50, 1, 60_000)?;
                let at_risk = self.at_risk.unwrap_or(1000);
                if at_risk == 0 {
                    return Err((
                        "at_risk",
                        "with 0 no answer could leave; mode \"strict\" is that".to_owned(),
                    ));
                }
                DurabilityMode::Interval { every_ms, at_risk }
            }
        };
        let export = match self.export.map(|e| (e.folder, e.collector)) {
            None => None,
            Some((Some(folder), None)) => Some(ExportTarget::Folder(folder)),
            Some((None, Some(address))) => Some(ExportTarget::Collector(address)),
            Some(_) => return Err(("export", "takes either `folder` or `collector`".to_owned())),
        };
        let peers = match self.peers {
            None => None,
            Some(raw) if raw.listen.is_none() && raw.ask.is_empty() => {
                return Err(("peers", "names neither `listen` nor whom to `ask`".to_owned()));
            }
            Some(raw) if raw.ask.len() > 64 => return Err(("peers", "asks more than 64".to_owned())),
            Some(raw) => {
                let every_ms = range_ms("peers", raw.every, 30_000, 100, 86_400_000)?;
                Some(PeerSettings { listen: raw.listen, ask: raw.ask, every_ms })
            }
        };
        let batch_lines = self.batch_lines.unwrap_or(10_000);
        if !(1..=100_000).contains(&batch_lines) {
            return Err(("batch_lines", format!("{batch_lines} is not within 1 and 100000")));
        }
        if self.directory.is_empty() {
            return Err(("directory", "is empty".to_owned()));
        }
        Ok(LedgerConfig {
            name: name.to_owned(),
            directory: self.directory,
            period_ms,
            grace_ms,
            mode,
            on_failure: match self.on_failure {
                RawOnFailure::Refuse => FailurePolicy::Reject,
                RawOnFailure::Continue => FailurePolicy::Continue,
            },
            export,
            batch_lines: batch_lines as usize,
            keep_ms,
            peers,
        })
    }
}

impl fmt::Display for LedgerConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "ledger \"{}\" {{\n  directory   = {:?}", self.name, self.directory)?;
        writeln!(
            f,
            "  period      = \"{}\"\n  grace       = \"{}\"",
            text(self.period_ms),
            text(self.grace_ms)
        )?;
        match self.mode {
            DurabilityMode::Strict => writeln!(f, "  mode        = \"strict\"")?,
            DurabilityMode::Interval { every_ms, at_risk } => writeln!(
                f,
                "  mode        = \"interval\"\n  interval    = \"{}\"\n  at_risk     = {at_risk}",
                text(every_ms)
            )?,
        }
        let on_failure = if self.on_failure == FailurePolicy::Reject { "refuse" } else { "continue" };
        writeln!(f, "  on_failure  = \"{on_failure}\"\n  batch_lines = {}", self.batch_lines)?;
        writeln!(f, "  keep        = \"{}\"", text(self.keep_ms))?;
        match &self.export {
            None => {}
            Some(ExportTarget::Folder(folder)) => writeln!(f, "  export {{\n    folder = {folder:?}\n  }}")?,
            Some(ExportTarget::Collector(at)) => writeln!(f, "  export {{\n    collector = \"{at}\"\n  }}")?,
        }
        if let Some(peers) = &self.peers {
            writeln!(f, "  peers {{")?;
            peers.listen.iter().try_for_each(|l| writeln!(f, "    listen = \"{l}\""))?;
            let ask: Vec<String> = peers.ask.iter().map(|a| format!("\"{a}\"")).collect();
            writeln!(
                f,
                "    ask    = [{}]\n    every  = \"{}\"\n  }}",
                ask.join(", "),
                text(peers.every_ms)
            )?;
        }
        writeln!(f, "}}")
    }
}
