//! `ledger correct`: enters a correction of an earlier line.

use crate::ledger::location::Place;
use crate::ledger::operator_requests::ask;
use crate::ledger::replay::walk;
use anyhow::{Context as _, Result, bail, ensure};
use clap::Args;
use dunlinspread_ledger::operator_request::OperatorRequest;
use dunlinspread_ledger::{Correction, Line, LineId, LineKind, Outcome};
use std::process::ExitCode;

/// Settings of `correct`.
#[derive(Args)]
pub struct Correct {
    #[command(flatten)]
    place: Place,
    /// The line that is corrected, as `show --lines` names it: SERVER/START/NUMBER.
    #[arg(long)]
    line: String,
    /// The society.
    #[arg(long)]
    society: String,
    /// The class.
    #[arg(long)]
    class: String,
    /// The outcome: served, late, poorer, refused, failed or withdrawn.
    #[arg(long)]
    outcome: String,
    /// Requests, more or fewer.
    #[arg(long, allow_hyphen_values = true, default_value_t = 0)]
    requests: i64,
    /// Time in the worker pool, ms, more or less.
    #[arg(long, allow_hyphen_values = true, default_value_t = 0.0)]
    pool_ms: f64,
    /// Why, in your words; it goes on the bill.
    #[arg(long)]
    reason: String,
    /// Makes asking again harmless: one token is entered once. Drawn by itself without it.
    #[arg(long)]
    token: Option<String>,
    /// Answer as JSON.
    #[arg(long)]
    json: bool,
}

impl Correct {
    /// Checks it against the line that it names, and enters it.
    pub fn run(&self) -> Result<ExitCode> {
        let (disk, server) = self.place.open()?;
        let id = LineId::parse(&self.line).with_context(|| {
            format!("--line: {} is no line id such as {server}/1764576000000/17", self.line)
        })?;
        ensure!(id.server == server, "--line: this ledger is {server}'s; correct {} in its own", id.server);
        let outcome = Outcome::parse(&self.outcome).with_context(|| {
            format!("--outcome: {} is none of {}", self.outcome, Outcome::ALL.map(Outcome::as_str).join(", "))
        })?;
        let (mut start, mut classes, mut found) = (0, Vec::new(), None);
        walk(&disk, &server, |number, line| {
            if let Some(LineKind::Start(s)) = &line.kind {
                (start, classes) = (s.start, s.classes.clone());
            }
            if number == id.number && start == id.start {
                found = Some(self.is_in(line, &classes, outcome));
            }
        })?;
        match found {
            Some(true) => {}
            Some(false) => bail!(
                "--line: {} has no use by {} in {} with outcome {}",
                self.line,
                self.society,
                self.class,
                self.outcome
            ),
            None => bail!("--line: there is no line {}", self.line),
        }
        let correction = Correction {
            period: 0,
            corrects: id,
            tenant: self.society.clone(),
            class: self.class.clone(),
            outcome: outcome as i32,
            requests: self.requests,
            pool_us: (self.pool_ms * 1000.0).round() as i64,
            reason: self.reason.clone(),
            token: String::new(),
        };
        ask(
            &self.place,
            &disk,
            &server,
            OperatorRequest::Correct(correction),
            self.token.as_deref(),
            self.json,
        )
    }

    /// Whether the line has what is corrected.
    fn is_in(&self, line: &Line, classes: &[String], outcome: Outcome) -> bool {
        match &line.kind {
            Some(LineKind::Usage(usage)) => usage.entries.iter().any(|e| {
                e.tenant == self.society
                    && classes.get(e.class as usize) == Some(&self.class)
                    && e.outcome == outcome as i32
            }),
            Some(LineKind::Correction(c)) => {
                c.tenant == self.society && c.class == self.class && c.outcome == outcome as i32
            }
            _ => false,
        }
    }
}
