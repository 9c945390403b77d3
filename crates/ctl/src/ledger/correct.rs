//! `ledger correct`: enters a correction of an earlier line.

use crate::ledger::location::{LedgerLocation, OpenLedger};
use crate::ledger::operator_requests::{RequestOptions, submit};
use crate::ledger::replay::replay_lines;
use anyhow::{Context as _, Result, bail, ensure};
use clap::Args;
use dunlinspread_ledger::operator_request::OperatorRequest;
use dunlinspread_ledger::{Correction, Line, LineId, LineKind, Outcome};
use std::process::ExitCode;

/// Settings of `correct`.
#[derive(Args)]
pub struct Correct {
    #[command(flatten)]
    location: LedgerLocation,
    /// The line that is corrected, as `show --lines` names it: SERVER/START/NUMBER.
    #[arg(long)]
    line: String,
    /// The society.
    #[arg(long = "society", value_name = "SOCIETY")]
    tenant: String,
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
    /// Checks the correction against the line that it names, and enters it.
    ///
    /// # Errors
    /// If an option is invalid, the line has no such usage, or the ledger does not take the correction.
    pub fn run(&self) -> Result<ExitCode> {
        let ledger = self.location.open()?;
        let server = &ledger.server;
        let id = LineId::parse(&self.line).with_context(|| {
            format!("--line: {} is no line id such as {server}/1764576000000/17", self.line)
        })?;
        ensure!(id.server == *server, "--line: this ledger is {server}'s; correct {} in its own", id.server);
        let outcome = Outcome::parse(&self.outcome).with_context(|| {
            format!("--outcome: {} is none of {}", self.outcome, Outcome::ALL.map(Outcome::as_str).join(", "))
        })?;
        self.check_line(&ledger, &id, outcome)?;
        let correction = Correction {
            period: 0,
            corrects: id,
            tenant: self.tenant.clone(),
            class: self.class.clone(),
            outcome: outcome as i32,
            requests: self.requests,
            pool_us: (self.pool_ms * 1000.0).round() as i64,
            reason: self.reason.clone(),
            token: String::new(),
        };
        let options = RequestOptions { token: self.token.as_deref(), json: self.json };
        submit(&self.location.directory, &ledger, OperatorRequest::Correct(correction), options)
    }

    /// Fails unless the ledger has the line, with usage that the correction may change.
    fn check_line(&self, ledger: &OpenLedger, id: &LineId, outcome: Outcome) -> Result<()> {
        let (mut start, mut classes, mut matches) = (0, Vec::new(), None);
        replay_lines(ledger, |number, line| {
            if let Some(LineKind::Start(started)) = &line.kind {
                (start, classes) = (started.start, started.classes.clone());
            }
            if number == id.number && start == id.start {
                matches = Some(self.matches_line(line, &classes, outcome));
            }
        })?;
        match matches {
            Some(true) => Ok(()),
            Some(false) => bail!(
                "--line: {} has no use by {} in {} with outcome {}",
                self.line,
                self.tenant,
                self.class,
                self.outcome
            ),
            None => bail!("--line: there is no line {}", self.line),
        }
    }

    /// Returns whether the line has usage of the corrected tenant, class and outcome.
    fn matches_line(&self, line: &Line, classes: &[String], outcome: Outcome) -> bool {
        match &line.kind {
            Some(LineKind::Usage(usage)) => usage.entries.iter().any(|entry| {
                entry.tenant == self.tenant
                    && classes.get(entry.class as usize) == Some(&self.class)
                    && entry.outcome == outcome as i32
            }),
            Some(LineKind::Correction(correction)) => {
                correction.tenant == self.tenant
                    && correction.class == self.class
                    && correction.outcome == outcome as i32
            }
            _ => false,
        }
    }
}
