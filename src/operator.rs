//! The operator file: every setting that is the operators' own rather than the platform's, in HCL, one block a
//! subsystem. Without a file everything is off and the daemon behaves as its platform file says. A faulty file must
//! never half apply: it is read and checked whole, and the fault names file, line, block and key.

use dunlinspread_ledger::{Mode, OnFailure};
use hcl_edit::Span as _;
use hcl_edit::structure::{Block, Body};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

/// What is wrong in an operator file, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct OperatorFault {
    /// The file, as it was named.
    pub file: String,
    /// The line, from 1, where it is known.
    pub line: Option<usize>,
    /// The block with its label, if the fault is in one.
    pub block: Option<String>,
    /// The key, if the fault is one key's.
    pub key: Option<String>,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for OperatorFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(block) = &self.block {
            write!(f, ": {block}")?;
        }
        if let Some(key) = &self.key {
            write!(f, ": `{key}`")?;
        }
        write!(f, ": {}", self.what)
    }
}

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The least important lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only failures that need someone.
    Error,
    /// Those, and what may need someone.
    Warning,
    /// Those, and changes of state.
    #[default]
    Info,
}

/// The block `log`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The form of the lines; `--log-format` overrides it.
    pub format: LogFormat,
    /// The least important lines written.
    pub level: LogLevel,
}

/// Where closed periods are exported to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExportTo {
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
pub struct LedgerSettings {
    /// The block's label.
    pub name: String,
    /// Where its store lies.
    pub directory: String,
    /// The length of a period, ms.
    pub period_ms: u64,
    /// How long after its end a period is closed, ms.
    pub grace_ms: u64,
    /// When answers may leave.
    pub mode: Mode,
    /// What happens while the disk fails.
    pub on_failure: OnFailure,
    /// Where closed periods go; they stay in the store without one.
    pub export: Option<ExportTo>,
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
struct RawLedger {
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

/// Lengths of time as text: `50ms`, `15m`, `1h 30m`.
mod humantime_text {
    use serde::{Deserialize, Deserializer, de::Error};
    use std::time::Duration;

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Duration>, D::Error> {
        let text = String::deserialize(from)?;
        let read = humantime::parse_duration(&text);
        read.map(Some)
            .map_err(|e| D::Error::custom(format!("`{text}` is no length of time such as 50ms or 15m: {e}")))
    }
}

impl RawLedger {
    /// The settings, or the key that is faulty and why.
    fn check(self, name: &str) -> Result<LedgerSettings, (&'static str, String)> {
        let span = |key, value: Option<Duration>, default: u64, least: u64, most: u64| {
            let ms = value.map_or(default, |d| d.as_millis().min(u128::from(u64::MAX)) as u64);
            let text = |ms| humantime::format_duration(Duration::from_millis(ms)).to_string();
            if (least..=most).contains(&ms) {
                Ok(ms)
            } else {
                Err((key, format!("{} is not within {} and {}", text(ms), text(least), text(most))))
            }
        };
        let period_ms = span("period", self.period, 900_000, 100, 31 * 86_400_000)?;
        let grace_ms = span("grace", self.grace, period_ms.min(5000), 0, period_ms)?;
        let keep_ms = span("keep", self.keep, 400 * 86_400_000, 1000, 20 * 366 * 86_400_000)?;
        let mode = match self.mode {
            RawMode::Strict if self.interval.is_some() => {
                return Err(("interval", "belongs to mode \"interval\"".to_owned()));
            }
            RawMode::Strict if self.at_risk.is_some() => {
                return Err(("at_risk", "belongs to mode \"interval\"".to_owned()));
            }
            RawMode::Strict => Mode::Strict,
            RawMode::Interval => {
                let every_ms = span("interval", self.interval, 50, 1, 60_000)?;
                let at_risk = self.at_risk.unwrap_or(1000);
                if at_risk == 0 {
                    return Err((
                        "at_risk",
                        "with 0 no answer could leave; mode \"strict\" is that".to_owned(),
                    ));
                }
                Mode::Interval { every_ms, at_risk }
            }
        };
        let export = match self.export.map(|e| (e.folder, e.collector)) {
            None => None,
            Some((Some(folder), None)) => Some(ExportTo::Folder(folder)),
            Some((None, Some(address))) => Some(ExportTo::Collector(address)),
            Some(_) => return Err(("export", "takes either `folder` or `collector`".to_owned())),
        };
        let peers = match self.peers {
            None => None,
            Some(raw) if raw.listen.is_none() && raw.ask.is_empty() => {
                return Err(("peers", "names neither `listen` nor whom to `ask`".to_owned()));
            }
            Some(raw) if raw.ask.len() > 64 => return Err(("peers", "asks more than 64".to_owned())),
            Some(raw) => {
                let every_ms = span("peers", raw.every, 30_000, 100, 86_400_000)?;
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
        Ok(LedgerSettings {
            name: name.to_owned(),
            directory: self.directory,
            period_ms,
            grace_ms,
            mode,
            on_failure: match self.on_failure {
                RawOnFailure::Refuse => OnFailure::Refuse,
                RawOnFailure::Continue => OnFailure::Continue,
            },
            export,
            batch_lines: batch_lines as usize,
            keep_ms,
            peers,
        })
    }
}

impl fmt::Display for LedgerSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |ms| humantime::format_duration(Duration::from_millis(ms)).to_string();
        writeln!(f, "ledger \"{}\" {{\n  directory   = {:?}", self.name, self.directory)?;
        writeln!(
            f,
            "  period      = \"{}\"\n  grace       = \"{}\"",
            text(self.period_ms),
            text(self.grace_ms)
        )?;
        match self.mode {
            Mode::Strict => writeln!(f, "  mode        = \"strict\"")?,
            Mode::Interval { every_ms, at_risk } => writeln!(
                f,
                "  mode        = \"interval\"\n  interval    = \"{}\"\n  at_risk     = {at_risk}",
                text(every_ms)
            )?,
        }
        let on_failure = if self.on_failure == OnFailure::Refuse { "refuse" } else { "continue" };
        writeln!(f, "  on_failure  = \"{on_failure}\"\n  batch_lines = {}", self.batch_lines)?;
        writeln!(f, "  keep        = \"{}\"", text(self.keep_ms))?;
        match &self.export {
            None => {}
            Some(ExportTo::Folder(folder)) => writeln!(f, "  export {{\n    folder = {folder:?}\n  }}")?,
            Some(ExportTo::Collector(at)) => writeln!(f, "  export {{\n    collector = \"{at}\"\n  }}")?,
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

/// All that an operator file sets. [`Operator::default`] is what holds without one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// The daemon's log.
    pub log: LogSettings,
    /// The ledger; off without one.
    pub ledger: Option<LedgerSettings>,
}

/// The blocks there are, for the message about one that isn't.
const BLOCKS: &str = "log, ledger";

impl Operator {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// If the file can't be read, is no HCL, or has a block, key or value that does not belong there.
    pub fn load(path: &Path) -> Result<Operator, OperatorFault> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| OperatorFault {
            file: file.clone(),
            line: None,
            block: None,
            key: None,
            what: format!("can't be read: {e}"),
        })?;
        Operator::read(&text, &file)
    }

    /// Reads the text of an operator file; `file` is its name in messages.
    ///
    /// # Errors
    /// As [`Operator::load`].
    pub fn read(text: &str, file: &str) -> Result<Operator, OperatorFault> {
        let source = Source { text, file };
        let body = hcl_edit::parser::parse_body(text).map_err(|e| OperatorFault {
            file: file.to_owned(),
            line: Some(e.location().line()),
            block: None,
            key: None,
            what: e.message().to_owned(),
        })?;
        let mut operator = Operator::default();
        let mut seen: Vec<&str> = Vec::new();
        if let Some(attribute) = body.attributes().next() {
            let what = format!("settings stand in blocks; the blocks are: {BLOCKS}");
            return Err(source.fault(attribute.span(), None, Some(attribute.key.as_str()), what));
        }
        for block in body.blocks() {
            let name = block.ident.as_str();
            if seen.contains(&name) {
                return Err(source.fault(
                    block.span(),
                    Some(block),
                    None,
                    "stands here a second time".to_owned(),
                ));
            }
            seen.push(name);
            match name {
                "log" => {
                    if !block.labels.is_empty() {
                        return Err(source.fault(
                            block.span(),
                            Some(block),
                            None,
                            "takes no label".to_owned(),
                        ));
                    }
                    operator.log = source.block(block)?;
                }
                "ledger" => {
                    let [label] = &block.labels[..] else {
                        let what = "takes one label, its name: ledger \"rounds\" {".to_owned();
                        return Err(source.fault(block.span(), Some(block), None, what));
                    };
                    let raw: RawLedger = source.block(block)?;
                    let settings = raw.check(label.as_str()).map_err(|(key, what)| {
                        let span = key_span(&block.body, key).or_else(|| block.span());
                        source.fault(span, Some(block), Some(key), what)
                    })?;
                    operator.ledger = Some(settings);
                }
                _ => {
                    let what = format!("is no block; the blocks are: {BLOCKS}");
                    return Err(source.fault(block.span(), Some(block), None, what));
                }
            }
        }
        Ok(operator)
    }
}

impl fmt::Display for Operator {
    /// What is in force, as an operator file that would set it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (format, level) = (self.log.format, self.log.level);
        let word = |w: &dyn fmt::Debug| format!("{w:?}").to_lowercase();
        writeln!(f, "log {{\n  format = \"{}\"\n  level  = \"{}\"\n}}", word(&format), word(&level))?;
        self.ledger.iter().try_for_each(|ledger| write!(f, "\n{ledger}"))
    }
}

/// The text that faults are found in.
struct Source<'a> {
    text: &'a str,
    file: &'a str,
}

impl Source<'_> {
    fn line(&self, span: Option<Range<usize>>) -> Option<usize> {
        let before = self.text.as_bytes().get(..span?.start)?;
        Some(before.iter().filter(|b| **b == b'\n').count() + 1)
    }

    fn fault(
        &self,
        span: Option<Range<usize>>,
        block: Option<&Block>,
        key: Option<&str>,
        what: String,
    ) -> OperatorFault {
        OperatorFault {
            file: self.file.to_owned(),
            line: self.line(span),
            block: block.map(title),
            key: key.map(str::to_owned),
            what,
        }
    }

    /// A block's settings. Keys that don't belong and values of another kind are faults.
    fn block<T: DeserializeOwned>(&self, block: &Block) -> Result<T, OperatorFault> {
        let body = hcl::Body::from(block.body.clone());
        let de = hcl::de::Deserializer::from_body(body);
        serde_path_to_error::deserialize(de).map_err(|e| {
            let path = e.path().to_string();
            let key = (path != ".").then_some(path);
            let span = key.as_deref().and_then(|k| key_span(&block.body, k)).or_else(|| block.span());
            self.fault(span, Some(block), key.as_deref(), e.into_inner().to_string())
        })
    }
}

/// A block as its first line names it.
fn title(block: &Block) -> String {
    let labels = block.labels.iter().map(|l| format!(" \"{}\"", l.as_str()));
    format!("{}{}", block.ident.as_str(), labels.collect::<String>())
}

/// Where a key stands, by its dotted path.
fn key_span(body: &Body, path: &str) -> Option<Range<usize>> {
    let (first, rest) = path.split_once('.').map_or((path, None), |(first, rest)| (first, Some(rest)));
    if let Some(attribute) = body.get_attribute(first) {
        return attribute.span();
    }
    let block = body.get_blocks(first).next()?;
    rest.and_then(|rest| key_span(&block.body, rest)).or_else(|| block.span())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fault(text: &str) -> String {
        Operator::read(text, "op.hcl").expect_err("it is faulty").to_string()
    }

    #[test]
    fn an_empty_file_sets_nothing() {
        assert_eq!(Operator::read("# nothing\n", "op.hcl"), Ok(Operator::default()));
    }

    #[test]
    fn what_is_in_force_reads_back() {
        let operator =
            Operator::read("log {\n  format = \"json\"\n  level = \"warning\"\n}\n", "op.hcl").expect("good");
        assert_eq!(operator.log, LogSettings { format: LogFormat::Json, level: LogLevel::Warning });
        assert_eq!(Operator::read(&operator.to_string(), "printed"), Ok(operator));
    }

    #[test]
    fn a_ledger_reads_back() {
        let text = "ledger \"rounds\" {\n  directory = \"/var/lib/x\"\n  period = \"1h\"\n  mode = \"interval\"\n  \
                    export {\n    collector = \"127.0.0.1:9000\"\n  }\n  peers {\n    listen = \"127.0.0.1:9001\"\n    \
                    ask = [\"127.0.0.1:9002\"]\n  }\n}\n";
        let operator = Operator::read(text, "op.hcl").expect("good");
        let ledger = operator.ledger.as_ref().expect("a ledger");
        assert_eq!((ledger.period_ms, ledger.grace_ms), (3_600_000, 5000));
        assert_eq!(ledger.mode, Mode::Interval { every_ms: 50, at_risk: 1000 });
        assert_eq!(Operator::read(&operator.to_string(), "printed"), Ok(operator));
    }

    #[test]
    fn faults_name_file_line_block_and_key() {
        assert_eq!(
            fault("\nlog {\n  form = \"json\"\n}\n"),
            "op.hcl:3: log: `form`: unknown field `form`, expected `format` or `level`"
        );
        let other = fault("log {\n  level = \"loud\"\n}\n");
        assert!(other.starts_with("op.hcl:2: log: `level`: unknown variant `loud`"), "{other}");
        let other = fault("log {\n\n  format = 7\n}\n");
        assert!(other.starts_with("op.hcl:3: log: `format`: "), "{other}");
        assert_eq!(fault("lag {}\n"), "op.hcl:1: lag: is no block; the blocks are: log, ledger");
        assert_eq!(fault("a = 1\n"), "op.hcl:1: `a`: settings stand in blocks; the blocks are: log, ledger");
        assert_eq!(fault("log {}\n\nlog {}\n"), "op.hcl:3: log: stands here a second time");
        assert_eq!(fault("log \"x\" {}\n"), "op.hcl:1: log \"x\": takes no label");
        assert_eq!(
            fault("ledger \"r\" {\n  directory = \"/x\"\n  interval = \"50ms\"\n}\n"),
            "op.hcl:3: ledger \"r\": `interval`: belongs to mode \"interval\""
        );
        assert_eq!(
            fault("ledger \"r\" {\n  directory = \"/x\"\n  grace = \"1h\"\n}\n"),
            "op.hcl:3: ledger \"r\": `grace`: 1h is not within 0s and 15m"
        );
        let other = fault("ledger \"r\" {\n  directory = \"/x\"\n  period = \"soon\"\n}\n");
        assert!(
            other.starts_with("op.hcl:3: ledger \"r\": `period`: `soon` is no length of time"),
            "{other}"
        );
        let other = fault("ledger \"r\" {\n  directory = \"/x\"\n  export {\n    folders = \"/y\"\n  }\n}\n");
        assert!(other.starts_with("op.hcl:4: ledger \"r\": `export.folders`: unknown field"), "{other}");
        assert!(fault("ledger {\n}\n").starts_with("op.hcl:1: ledger: takes one label"));
        assert!(fault("ledger \"r\" {\n}\n").contains("missing field `directory`"));
        assert!(fault("log {\n").starts_with("op.hcl:"), "{}", fault("log {\n"));
    }
}
