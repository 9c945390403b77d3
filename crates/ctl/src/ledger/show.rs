//! `ledger show`: usage by tenant, class and outcome, or the lines themselves.

use crate::ledger::format::{period_text, sum_json};
use crate::ledger::location::Place;
use crate::ledger::replay::walk;
use crate::table::table;
use anyhow::Result;
use clap::Args;
use dunlinspread_ledger::batch::hex;
use dunlinspread_ledger::{Line, LineId, LineIdText, LineKind, NetUsage, Outcome, read_lines, totals};
use dunlinspread_store::RealDisk;
use serde_json::json;
use std::process::ExitCode;

/// Sums held at a time by commands.
const CELLS: usize = 1_000_000;

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
    /// Runs it.
    pub fn run(&self) -> Result<ExitCode> {
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
