//! `dunlinspreadctl ledger`: the operators' commands over ledgers and their exports.

use crate::crash_drill::CrashDrill;
use crate::export::{Export, Reconcile};
use crate::operator_requests::{CloseNow, Correct};
use crate::table::table;
use anyhow::{Context as _, Result, bail};
use clap::{Args, Subcommand};
use dunlinspread_ledger::batch::hex;
use dunlinspread_ledger::{
    LedgerState, Line, LineId, LineIdText, LineKind, NetUsage, Outcome, UsageGroup, read_lines, totals,
};
use dunlinspread_store::{Disk as _, Log, RealDisk, ReplayItem};
use indicatif::ProgressBar;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Sums held at a time by commands.
const CELLS: usize = 1_000_000;

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Show what was used, by society, class and outcome. The ledger may be in use.
    Show(Show),
    /// Walk over a whole store and check every line against those before it.
    Verify(Verify),
    /// Enter a correction: a new line that names the one it corrects. The ledger may be in use.
    Correct(Correct),
    /// Close all periods up to now before their time. The ledger may be in use.
    Close(CloseNow),
    /// Write what was used in closed periods to a file, from a ledger or from a folder of exports.
    Export(Export),
    /// Add up what several servers exported, and say who is awaited and what disagrees.
    Reconcile(Reconcile),
    /// Kill round servers under load and interrupt their exports, then hold every count against the proxies' own.
    Drill(CrashDrill),
}

impl Command {
    /// Runs it.
    pub fn run(&self) -> Result<ExitCode> {
        match self {
            Command::Show(show) => show.run(),
            Command::Verify(verify) => verify.run(),
            Command::Correct(correct) => correct.run(),
            Command::Close(close) => close.run(),
            Command::Export(export) => export.run(),
            Command::Reconcile(reconcile) => reconcile.run(),
            Command::Drill(drill) => drill.run(),
        }
    }
}

/// Where a ledger lies.
#[derive(Args)]
pub struct Place {
    /// The ledger's directory.
    pub directory: PathBuf,
    /// The server it belongs to; found out from the files without it.
    #[arg(long)]
    pub server: Option<String>,
}

impl Place {
    /// The disk and the server's name.
    pub fn open(&self) -> Result<(RealDisk, String)> {
        if !self.directory.is_dir() {
            bail!("{} is no directory", self.directory.display());
        }
        let disk = RealDisk::new(&self.directory)?;
        let server = match &self.server {
            Some(server) => server.clone(),
            None => owner(&disk, &self.directory)?,
        };
        Ok((disk, server))
    }
}

/// Whose store it is, by the header of one of its files.
fn owner(disk: &RealDisk, directory: &Path) -> Result<String> {
    let names = disk.list().with_context(|| format!("listing {}", directory.display()))?;
    let name = names.iter().find(|n| dunlinspread_store::format::parse_file_name(n).is_some());
    let name = name.with_context(|| format!("{} holds no ledger", directory.display()))?;
    let bytes = std::fs::read(directory.join(name)).with_context(|| format!("reading {name}"))?;
    match dunlinspread_store::format::FileHeader::decode(&bytes) {
        Ok(header) => Ok(header.owner),
        Err(e) => bail!("{name}: {e:?}"),
    }
}

/// What a walk over a store found.
#[derive(Default)]
pub struct Walked {
    /// The sum of all lines.
    pub state: LedgerState,
    /// The number of the first line that is there.
    pub first: u64,
    /// Lines by kind.
    pub lines: BTreeMap<&'static str, u64>,
    /// Requests that lines say are in none, and those that may be.
    pub unbilled: (u64, u64),
}

/// Walks over all lines, checking each against those before it.
pub fn walk(disk: &RealDisk, server: &str, mut show: impl FnMut(u64, &Line)) -> Result<Walked> {
    let mut walked = Walked::default();
    Log::read(disk, server, |visit| {
        match visit {
            ReplayItem::Snapshot(before, bytes) => {
                walked.first = before;
                walked.state =
                    prost::Message::decode(bytes).map_err(|e: prost::DecodeError| e.to_string())?;
            }
            ReplayItem::Record(number, bytes) => {
                let line = Line::parse(bytes).map_err(|e| e.to_string())?;
                walked.state.apply(number, &line).map_err(|e| e.to_string())?;
                walked.first = if walked.first == 0 { number } else { walked.first };
                let word = match &line.kind {
                    Some(LineKind::Start(_)) => "start",
                    Some(LineKind::Usage(_)) => "usage",
                    Some(LineKind::Correction(_)) => "correction",
                    Some(LineKind::Close(_)) => "close",
                    Some(LineKind::Export(_)) => "export",
                    Some(LineKind::Unbilled(u)) => {
                        walked.unbilled.0 += u.requests;
                        walked.unbilled.1 += u.at_most;
                        "unbilled"
                    }
                    None => "unknown",
                };
                *walked.lines.entry(word).or_default() += 1;
                show(number, &line);
            }
        }
        Ok(())
    })?;
    Ok(walked)
}

/// Settings of `show`.
#[derive(Args)]
pub struct Show {
    #[command(flatten)]
    place: Place,
    /// Only this society.
    #[arg(long)]
    society: Option<String>,
    /// Only periods from this time on, Unix ms.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// Only periods before this time, Unix ms.
    #[arg(long, default_value_t = u64::MAX)]
    to: u64,
    /// The lines themselves, each with its id, instead of sums.
    #[arg(long)]
    lines: bool,
    /// One JSON object a sum or line.
    #[arg(long)]
    json: bool,
}

impl Show {
    fn run(&self) -> Result<ExitCode> {
        let (disk, server) = self.place.open()?;
        if self.lines {
            return self.show_lines(&disk, &server);
        }
        // The last line that is there now: a ledger in use goes on growing.
        let mut end = 0;
        let first = walk(&disk, &server, |number, _| end = number)?.first.max(1);
        let mut rows =
            table(&["society", "period", "class", "outcome", "requests", "pool s", "kB in", "kB out"]);
        let mut all = NetUsage::default();
        totals(
            &[],
            CELLS,
            |show| read_lines(&disk, &server, first..end + 1, show),
            |period| period >= self.from && period < self.to,
            |sum, net| {
                if self.society.as_ref().is_some_and(|s| *s != sum.tenant) {
                    return;
                }
                all.requests += net.requests;
                all.pool_us += net.pool_us;
                if self.json {
                    println!("{}", sum_json(&sum, &net));
                } else {
                    rows.add_row([
                        sum.tenant.clone(),
                        period_text(sum.period),
                        sum.class.clone(),
                        sum.outcome.as_str().to_owned(),
                        net.requests.to_string(),
                        format!("{:.3}", net.pool_us as f64 / 1e6),
                        format!("{:.1}", net.bytes_in as f64 / 1e3),
                        format!("{:.1}", net.bytes_out as f64 / 1e3),
                    ]);
                }
            },
        )?;
        if !self.json {
            println!(
                "{rows}\n{} requests, {:.3} s in the worker pool",
                all.requests,
                all.pool_us as f64 / 1e6
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}

pub fn sum_json(sum: &UsageGroup, net: &NetUsage) -> serde_json::Value {
    json!({
        "society": sum.tenant, "period_ms": sum.period, "of_ms": sum.original_period, "class": sum.class,
        "outcome": sum.outcome.as_str(), "requests": net.requests as i64, "pool_us": net.pool_us as i64,
        "bytes_in": net.bytes_in as i64, "bytes_out": net.bytes_out as i64,
    })
}

impl Show {
    /// The lines as they stand, one a row.
    fn show_lines(&self, disk: &RealDisk, server: &str) -> Result<ExitCode> {
        let (mut start, mut classes) = (0, Vec::new());
        walk(disk, server, |number, line| {
            if let Some(LineKind::Start(s)) = &line.kind {
                (start, classes) = (s.start, s.classes.clone());
            }
            if line.at_ms < self.from || line.at_ms >= self.to {
                return;
            }
            let id = LineId { server: server.to_owned(), start, number };
            let Some(what) = self.describe(line, &classes) else { return };
            if self.json {
                let id = LineIdText(&id).to_string();
                println!("{}", json!({"id": id, "at_ms": line.at_ms, "line": what}));
            } else {
                println!("{} {} {what}", LineIdText(&id), period_text(line.at_ms));
            }
        })?;
        Ok(ExitCode::SUCCESS)
    }

    /// A line's content; none if it is not of the society that is looked for.
    fn describe(&self, line: &Line, classes: &[String]) -> Option<serde_json::Value> {
        let class = |at: u32| classes.get(at as usize).map_or("?", String::as_str);
        let outcome = |o: i32| Outcome::try_from(o).unwrap_or(Outcome::Unknown).as_str();
        let wanted = |society: &str| self.society.as_ref().is_none_or(|s| s == society);
        let what = match line.kind.as_ref()? {
            LineKind::Start(s) => json!({"start": s.start, "period_ms": s.period_ms, "classes": s.classes,
                "at_risk": s.at_risk, "serves_on": s.continues_on_failure}),
            LineKind::Usage(usage) => {
                let entries: Vec<_> = usage
                    .entries
                    .iter()
                    .filter(|e| wanted(&e.tenant))
                    .map(|e| {
                        json!({"society": e.tenant, "class": class(e.class), "outcome": outcome(e.outcome),
                            "requests": e.amount.requests, "pool_us": e.amount.pool_us})
                    })
                    .collect();
                if entries.is_empty() {
                    return None;
                }
                json!({"usage": entries, "period_ms": usage.period, "of_ms": usage.original_period})
            }
            LineKind::Correction(c) if !wanted(&c.tenant) => return None,
            LineKind::Correction(c) => json!({"correction": {"corrects": LineIdText(&c.corrects).to_string(),
                "society": c.tenant, "class": c.class, "outcome": outcome(c.outcome), "requests": c.requests,
                "pool_us": c.pool_us, "reason": c.reason, "token": c.token}, "period_ms": c.period}),
            LineKind::Close(c) => json!({"close": {"from_ms": c.from, "to_ms": c.to, "late": c.late}}),
            LineKind::Export(e) => {
                json!({"export": {"batch": e.batch, "digest": hex(&e.digest), "close": e.close,
                "last": e.last, "acknowledged": e.acknowledged}})
            }
            LineKind::Unbilled(u) => json!({"unbilled": {"requests": u.requests, "at_most": u.at_most,
                "unbounded": u.unbounded, "from_ms": u.from_ms, "to_ms": u.to_ms, "why": u.reason}}),
        };
        Some(what)
    }
}

/// A period's first ms as UTC.
pub fn period_text(ms: u64) -> String {
    let time = std::time::UNIX_EPOCH + std::time::Duration::from_millis(ms);
    humantime::format_rfc3339_millis(time).to_string()
}

/// Settings of `verify`.
#[derive(Args)]
pub struct Verify {
    #[command(flatten)]
    place: Place,
    /// One JSON object.
    #[arg(long)]
    json: bool,
}

impl Verify {
    fn run(&self) -> Result<ExitCode> {
        let (disk, server) = self.place.open()?;
        let bar = ProgressBar::new_spinner();
        let mut seen = 0u64;
        let walked = walk(&disk, &server, |_, _| {
            seen += 1;
            if seen % 10_000 == 0 {
                bar.set_message(format!("{seen} lines"));
                bar.tick();
            }
        });
        bar.finish_and_clear();
        let walked = match walked {
            Ok(walked) => walked,
            Err(e) => {
                if self.json {
                    println!("{}", json!({"ok": false, "server": server, "fault": format!("{e:#}")}));
                }
                return Err(e.context("the ledger is not in order"));
            }
        };
        let state = &walked.state;
        if self.json {
            println!(
                "{}",
                json!({
                    "ok": true, "server": server, "born": state.ledger_id, "first": walked.first, "lines": walked.lines,
                    "closed_to_ms": state.closed_to, "batches": state.last_batch,
                    "acknowledged": state.last_batch - u64::from(state.prepared_batch.is_some()),
                    "unbilled": walked.unbilled.0, "unbilled_at_most": walked.unbilled.1,
                })
            );
        } else {
            let mut rows = table(&["lines", "count"]);
            for (word, count) in &walked.lines {
                rows.add_row([(*word).to_owned(), count.to_string()]);
            }
            println!("{rows}\nserver {server}: in order; closed to {}", period_text(state.closed_to));
            println!(
                "batches prepared {}, acknowledged {}; requests known to be in no line {}, possibly up to {} more",
                state.last_batch,
                state.last_batch - u64::from(state.prepared_batch.is_some()),
                walked.unbilled.0,
                walked.unbilled.1
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Requests by society and outcome.
pub type BySociety = BTreeMap<(String, Outcome), u64>;

/// Requests in the lines of a ledger.
pub fn by_society(disk: &RealDisk, server: &str) -> Result<(BySociety, Walked)> {
    let mut sums = BTreeMap::new();
    let walked = walk(disk, server, |_, line| {
        if let Some(LineKind::Usage(usage)) = &line.kind {
            for entry in &usage.entries {
                let outcome = Outcome::try_from(entry.outcome).unwrap_or(Outcome::Unknown);
                *sums.entry((entry.tenant.clone(), outcome)).or_insert(0) += entry.amount.requests;
            }
        }
    })?;
    Ok((sums, walked))
}
