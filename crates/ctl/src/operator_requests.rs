//! Asking something of a ledger: of the round server that has it open, by a file in its folder, or else of the store
//! itself, for as long as that takes.

use crate::ledger::{Place, walk};
use anyhow::{Context as _, Result, bail, ensure};
use clap::Args;
use dunlinspread_ledger::operator_request::{self, OperatorRequest, RequestFile};
use dunlinspread_ledger::{
    Action, Correction, DurabilityMode, FailurePolicy, LedgerSettings, LedgerState, Line, LineId, LineIdText,
    LineKind, Outcome, RecoveredLedger, UsageAccumulator,
};
use dunlinspread_store::{Disk as _, Log, Options, RealDisk, ReplayItem, StoreError};
use prost::Message as _;
use serde_json::json;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a round server may take to answer.
const ANSWER: Duration = Duration::from_secs(15);

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

/// Settings of `close`.
#[derive(Args)]
pub struct CloseNow {
    #[command(flatten)]
    place: Place,
    /// Answer as JSON.
    #[arg(long)]
    json: bool,
}

impl CloseNow {
    /// Closes.
    pub fn run(&self) -> Result<ExitCode> {
        let (disk, server) = self.place.open()?;
        ask(&self.place, &disk, &server, OperatorRequest::Close(now_ms()), None, self.json)
    }
}

fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// A token that nobody used before.
fn new_token() -> String {
    use std::hash::{BuildHasher as _, RandomState};
    format!("{:016x}{:016x}", now_ms(), RandomState::new().hash_one(std::process::id()))
}

fn ask(
    place: &Place,
    disk: &RealDisk,
    server: &str,
    wish: OperatorRequest,
    token: Option<&str>,
    as_json: bool,
) -> Result<ExitCode> {
    let token = token.map_or_else(new_token, str::to_owned);
    let (name, _) = RequestFile::file_names(&token);
    ensure!(RequestFile::token(&name).is_some(), "--token: {token} is not made of letters and digits");
    let request = RequestFile { request: Some(wish) };
    // What the round server would refuse is refused here, with the same words.
    let wish = RequestFile::parse(&request.encode_to_vec())?;
    let answer = match disk.lock() {
        Ok(()) => {
            disk.unlock();
            by_hand(&place.directory, server, wish, &token)?
        }
        Err(StoreError::Locked { .. }) => by_request(&place.directory, &request, &token)?,
        Err(e) => return Err(e.into()),
    };
    let good = answer.starts_with("done");
    if as_json {
        println!("{}", json!({"ok": good, "answer": answer, "token": token}));
    } else {
        println!("{answer}");
    }
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Leaves a request for the round server that has the ledger open, and waits for its answer.
fn by_request(directory: &Path, request: &RequestFile, token: &str) -> Result<String> {
    let folder = directory.join(operator_request::REQUESTS_FOLDER);
    let (name, answer) = RequestFile::file_names(token);
    let (path, answer) = (folder.join(name), folder.join(answer));
    let making = path.with_extension("tmp");
    std::fs::write(&making, request.encode_to_vec())
        .with_context(|| format!("writing {}", making.display()))?;
    std::fs::rename(&making, &path).with_context(|| format!("writing {}", path.display()))?;
    let since = Instant::now();
    while since.elapsed() < ANSWER {
        if let Ok(text) = std::fs::read_to_string(&answer) {
            let _ = std::fs::remove_file(&answer);
            return Ok(text);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    bail!("the round server has not answered yet; ask again with --token {token}: it is entered once at most")
}

/// Does it without a round server, as a start of its own.
fn by_hand(directory: &Path, server: &str, wish: OperatorRequest, token: &str) -> Result<String> {
    let disk = Arc::new(RealDisk::new(directory)?);
    let now = now_ms();
    let (mut state, mut start, mut entered) = (LedgerState::default(), 0, None);
    let options = Options { now_ms: now, max_record: 2 << 20, ..Options::new(server) };
    let (mut log, recovery) = Log::open(disk, options, |visit| {
        match visit {
            ReplayItem::Snapshot(_, bytes) => {
                state = LedgerState::decode(bytes).map_err(|e| e.to_string())?;
            }
            ReplayItem::Record(number, bytes) => {
                let line = Line::parse(bytes).map_err(|e| e.to_string())?;
                state.apply(number, &line).map_err(|e| e.to_string())?;
                match line.kind {
                    Some(LineKind::Start(s)) => start = s.start,
                    Some(LineKind::Correction(c)) if c.token == token => {
                        entered = Some(LineId { server: server.to_owned(), start, number });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    })?;
    if let Some(line) = entered {
        log.close()?;
        return Ok(format!("done {}", LineIdText(&line)));
    }
    let before = state.start.clone().context("this ledger was never used")?;
    let settings = LedgerSettings {
        period_ms: before.period_ms,
        grace_ms: 0,
        mode: DurabilityMode::Strict,
        on_failure: FailurePolicy::Reject,
        classes: before.classes,
        cells: 1,
        records: 64,
    };
    let mut actions = Vec::new();
    let recovered =
        RecoveredLedger { state, next_line: recovery.next_record, closed_cleanly: recovery.closed_cleanly };
    let mut accumulator = UsageAccumulator::start(now, settings, recovered, &mut actions);
    let accepted = match wish {
        OperatorRequest::Correct(mut correction) => {
            token.clone_into(&mut correction.token);
            accumulator.append_entry(now, LineKind::Correction(correction), 1, &mut actions).is_ok()
        }
        OperatorRequest::Close(_) => accumulator.close_early(now, &mut actions).is_ok(),
    };
    let mut line = None;
    while !actions.is_empty() {
        let records: Vec<Vec<u8>> = actions
            .drain(..)
            .filter_map(|action| match action {
                Action::Append(record) => Some(record),
                Action::EntryDurable { number, .. } | Action::PeriodsClosed(number) => {
                    line = Some(number);
                    None
                }
                _ => None,
            })
            .collect();
        if !records.is_empty() {
            log.commit(&records)?;
            accumulator.on_durable(now, records.len(), &mut actions);
        }
    }
    log.close()?;
    let start = accumulator.state().start.as_ref().map_or(0, |s| s.start);
    match line.filter(|_| accepted) {
        Some(number) => {
            let id = LineId { server: server.to_owned(), start, number };
            Ok(format!("done {}", LineIdText(&id)))
        }
        None => Ok("error: the ledger does not take this".to_owned()),
    }
}
