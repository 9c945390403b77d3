//! Billing of final answers: the ledger's book on the serving thread, its store on a thread of its own. Answers that may
//! not leave yet wait here. It decides nothing about a request; it must never wait for the disk, and never let an answer
//! go that the book holds.

use crate::operator::LedgerConfig;
use crate::server::messages::{ReplyHandle, Response};
use dunlinspread_ledger::{
    AccountName, Action, LedgerGauges, LedgerSettings, LedgerState, Line, LineKind, Notice, Outcome,
    RecoveredLedger, ReplyDecision, UsageAccumulator, UsageRecord,
};
use dunlinspread_store::{
    Log, Options, Progress, RealDisk, ReplayItem, ReplayRejection, WriteFailure, Writer, WriterGauges,
    WriterOptions,
};
use slog::{Logger, error, info, warn};
use std::collections::VecDeque;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

/// Records that may wait for the disk while serving goes on without it.
const RECORDS: usize = 1024;
/// Records that the store's thread may be handed at a time. The book sends one at a time but for spills, which the
/// requests that may be taken on bound.
const MAILBOX: usize = 1 << 16;
/// The longest record, in bytes: the book makes them of at most 4,096 entries.
const MAX_RECORD: usize = 2 << 20;

/// What is used by one request.
#[derive(Clone, Copy, Debug)]
pub struct Used {
    /// The class, by position.
    pub class: usize,
    /// What became of it.
    pub outcome: Outcome,
    /// Time in the worker pool, ms.
    pub pool_ms: f64,
    /// Bytes of the body.
    pub bytes_in: usize,
    /// Bytes of the result.
    pub bytes_out: usize,
}

/// What the ledger's threads tell the core.
#[derive(Debug)]
pub enum FromLedger {
    /// Progress of the store.
    Progress(Progress),
    /// The clerk has a line to be entered.
    Enter {
        /// The line.
        kind: LineKind,
        /// Comes back once it is durable.
        tag: u64,
    },
    /// The lines before that number may go; their sum stays.
    Forget {
        /// The first line that stays.
        before: u64,
        /// The sum of all before it.
        sum: Vec<u8>,
    },
    /// All up to now is to be closed. If it is, that is told as [`ToClerk::Closed`], else under the tag.
    Close {
        /// The tag.
        tag: u64,
    },
}

/// What the clerk is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToClerk {
    /// The close line with this number is durable.
    Closed(u64),
    /// The line it entered with this tag is durable, or could not be entered.
    Entered {
        /// The tag.
        tag: u64,
        /// The line's start and number, none if it was not entered.
        line: Option<(u64, u64)>,
    },
    /// The program ends.
    Stop,
}

/// What opening the ledger found, for the clerk.
#[derive(Clone, Debug)]
pub struct Opened {
    /// The sum of all lines at the opening.
    pub state: LedgerState,
    /// The number of the first line that is there.
    pub first: u64,
    /// The sum of all lines before that.
    pub base: LedgerState,
}

/// The ledger of one server.
pub struct Billing {
    accumulator: UsageAccumulator,
    writer: Writer,
    /// The last ticket whose fate was told.
    told: u64,
    generation: u64,
    held: VecDeque<(u64, ReplyHandle, Response)>,
    free: Vec<(ReplyHandle, Response)>,
    actions: Vec<Action>,
    clerk: Option<std::sync::mpsc::Sender<ToClerk>>,
    log: Logger,
    reported: bool,
    broken: bool,
}

/// The open ledger before it is put to use.
pub struct Store {
    log: Log,
    next: u64,
    clean: bool,
    /// What was found.
    pub opened: Opened,
}

impl Store {
    /// Opens the store in the directory and reads all that is in it. This waits for the disk.
    ///
    /// # Errors
    /// As text that names the file and what to do.
    pub fn open(settings: &LedgerConfig, server: &str, now_ms: u64, log: &Logger) -> Result<Store, String> {
        let what = |e: &dyn std::fmt::Display| format!("ledger \"{}\": {e}", settings.name);
        let disk = RealDisk::new(Path::new(&settings.directory)).map_err(|e| what(&e))?;
        let options = Options { max_record: MAX_RECORD, now_ms, ..Options::new(server) };
        let (mut state, mut base, mut first) = (LedgerState::default(), LedgerState::default(), 1);
        let opening = Log::open(Arc::new(disk), options, |visit| match visit {
            ReplayItem::Snapshot(before, bytes) => {
                state = prost::Message::decode(bytes).map_err(|e: prost::DecodeError| e.to_string())?;
                (base, first) = (state.clone(), before);
                Ok(())
            }
            ReplayItem::Record(number, bytes) => {
                let line = Line::parse(bytes).map_err(|e| e.to_string())?;
                state.apply(number, &line).map_err(ReplayRejection::new)
            }
        });
        let (store, recovery) = opening.map_err(|e| what(&e))?;
        info!(log, "ledger is open"; "lines" => recovery.records, "bytes" => recovery.bytes_read,
            "clean" => recovery.closed_cleanly, "closed_to" => state.closed_to);
        if let Some(cut) = &recovery.torn_tail {
            warn!(log, "ledger: the last commit before a crash was in pieces and is cut";
                "file" => cut.file.as_str(), "offset" => cut.offset, "bytes" => cut.bytes);
        }
        let opened = Opened { state, first, base };
        Ok(Store { log: store, next: recovery.next_record, clean: recovery.closed_cleanly, opened })
    }
}

impl Billing {
    /// Puts an open ledger to use. `told` is called with the store's progress, on its thread.
    ///
    /// # Errors
    /// If there can be no thread.
    pub fn start(
        store: Store,
        settings: &LedgerConfig,
        classes: &[String],
        cells: usize,
        now_ms: u64,
        told: impl FnMut(Progress) + Send + 'static,
        log: Logger,
    ) -> Result<Billing, String> {
        let settings = LedgerSettings {
            period_ms: settings.period_ms,
            grace_ms: settings.grace_ms,
            mode: settings.mode,
            on_failure: settings.on_failure,
            classes: classes.to_vec(),
            cells,
            records: RECORDS,
        };
        let mut actions = Vec::new();
        let recovered =
            RecoveredLedger { state: store.opened.state, next_line: store.next, closed_cleanly: store.clean };
        let accumulator = UsageAccumulator::start(now_ms, settings, recovered, &mut actions);
        let broken = acknowledges_early();
        let interval = std::time::Duration::from_millis(if broken { 400 } else { 0 });
        let options = WriterOptions {
            queue_records: MAILBOX,
            queue_bytes: usize::MAX,
            max_batch_delay: interval,
            ..WriterOptions::default()
        };
        let writer = Writer::start(store.log, options, told).map_err(|e| format!("ledger: {e}"))?;
        let mut billing = Billing {
            accumulator,
            writer,
            told: 0,
            generation: 0,
            held: VecDeque::new(),
            free: Vec::new(),
            actions,
            clerk: None,
            log,
            reported: false,
            broken,
        };
        billing.carry_out();
        Ok(billing)
    }

    /// The mark of the ledger: its first start, which a new one has by now.
    pub fn ledger_id(&self) -> u64 {
        self.accumulator.state().ledger_id
    }

    /// Where the clerk listens.
    pub fn clerk_is(&mut self, clerk: std::sync::mpsc::Sender<ToClerk>) {
        self.clerk = Some(clerk);
    }

    /// Bills an answer. It comes back if it may leave at once; else it waits for its line.
    pub fn bill(
        &mut self,
        now_ms: f64,
        account: Option<&Rc<str>>,
        used: &Used,
        to: ReplyHandle,
        answer: Response,
    ) -> Option<(ReplyHandle, Response)> {
        match self.enter_use(now_ms, account, used, 1) {
            ReplyDecision::SendNow => Some((to, answer)),
            ReplyDecision::HoldUntil(mark) => {
                self.held.push_back((mark, to, answer));
                None
            }
        }
    }

    /// Bills what needs no answer: a request withdrawn, or what a run still used after its answer (`requests` 0).
    pub fn bill_silent(&mut self, now_ms: f64, account: Option<&Rc<str>>, used: &Used, requests: u64) {
        self.enter_use(now_ms, account, used, requests);
    }

    fn enter_use(
        &mut self,
        now_ms: f64,
        account: Option<&Rc<str>>,
        used: &Used,
        requests: u64,
    ) -> ReplyDecision {
        // The front lets no other names through.
        let account = account.and_then(|a| AccountName::parse(a).ok()).unwrap_or(AccountName::unattributed());
        let used = UsageRecord {
            requests,
            account,
            class: used.class as u16,
            outcome: used.outcome,
            pool_us: (used.pool_ms.max(0.0) * 1000.0) as u64,
            bytes_in: used.bytes_in as u64,
            bytes_out: used.bytes_out as u64,
        };
        let verdict = self.accumulator.bill(now_ms as u64, &used, &mut self.actions);
        if !self.actions.is_empty() {
            self.carry_out();
        }
        verdict
    }

    /// After the answers of one event were billed: has the store work if it has none.
    pub fn turn(&mut self, now_ms: f64) {
        self.accumulator.flush_if_due(now_ms as u64, &mut self.actions);
        self.carry_out();
    }

    /// Time passes.
    pub fn tick(&mut self, now_ms: f64) {
        self.accumulator.tick(now_ms as u64, &mut self.actions);
        self.carry_out();
    }

    /// The store's thread tells of its progress.
    pub fn progress(&mut self, now_ms: f64, progress: Progress) {
        match progress {
            // Only where it was acknowledged early.
            Progress::Durable { through, .. } if through <= self.told => {}
            Progress::Durable { through, .. } => {
                let count = through - self.told;
                self.told = through;
                self.accumulator.on_durable(now_ms as u64, count as usize, &mut self.actions);
            }
            Progress::Failed { through, reason, generation, .. } => {
                let count = through - self.told;
                (self.told, self.generation) = (through, generation);
                let (why, for_good) = match &reason {
                    WriteFailure::NoSpace => ("the disk is full".to_owned(), false),
                    WriteFailure::NotAttempted => ("an earlier line was not written".to_owned(), false),
                    WriteFailure::Poisoned(why) => (why.to_string(), true),
                };
                if for_good && !self.reported {
                    self.reported = true;
                    error!(self.log, "ledger: the disk failed; only a restart can tell what is there"; "why" => why.as_str());
                }
                self.accumulator.on_failed(&why, count as usize, &mut self.actions);
            }
            Progress::Snapshot { before, failure: None } => {
                info!(self.log, "ledger: old lines may go"; "before" => before);
            }
            Progress::Snapshot { before, failure: Some(why) } => {
                warn!(self.log, "ledger: old lines can't go yet"; "before" => before, "why" => format!("{why:?}"));
            }
        }
        self.carry_out();
    }

    /// Enters a line for the clerk, which hears of it.
    pub fn enter(&mut self, now_ms: f64, kind: LineKind, tag: u64) {
        if self.accumulator.append_entry(now_ms as u64, kind, tag, &mut self.actions).is_err() {
            self.tell_clerk(ToClerk::Entered { tag, line: None });
        }
        self.carry_out();
    }

    /// Lets old lines go.
    pub fn forget(&mut self, before: u64, sum: Vec<u8>) {
        if !self.writer.snapshot(before, sum) {
            warn!(self.log, "ledger: old lines can't go yet"; "before" => before, "why" => "the store is busy");
        }
    }

    /// Closes all up to now before its time, or tells the thread that it can't be.
    pub fn close_early(&mut self, now_ms: f64, tag: u64) {
        if self.accumulator.close_early(now_ms as u64, &mut self.actions).is_err() {
            self.tell_clerk(ToClerk::Entered { tag, line: None });
        }
        self.carry_out();
    }

    /// The answers that may leave now.
    pub fn free(&mut self) -> std::vec::Drain<'_, (ReplyHandle, Response)> {
        self.free.drain(..)
    }

    /// Whether new requests may be taken on.
    pub fn serving(&self) -> bool {
        self.accumulator.accepts_requests()
    }

    /// The figures now.
    pub fn figures(&self) -> (LedgerGauges, WriterGauges) {
        (self.accumulator.gauges(), self.writer.gauges())
    }

    /// Has all written that waits, and gives the writer, to be closed where waiting is allowed.
    pub fn end(mut self, now_ms: f64) -> Writer {
        self.accumulator.finish(now_ms as u64, &mut self.actions);
        self.carry_out();
        self.tell_clerk(ToClerk::Stop);
        self.writer
    }

    fn tell_clerk(&self, message: ToClerk) {
        if let Some(clerk) = &self.clerk {
            // Its thread ends before the program does only if it failed, which it says itself.
            let _ = clerk.send(message);
        }
    }

    fn carry_out(&mut self) {
        let (mut actions, mut early) = (std::mem::take(&mut self.actions), None);
        for action in actions.drain(..) {
            match action {
                Action::Append(record) => {
                    // The mailbox holds more than the book ever has out.
                    let ticket = self.writer.append(record);
                    assert!(ticket.is_ok(), "the writer's mailbox holds more than the book ever has out");
                    if let (true, Ok(through)) = (self.broken, ticket) {
                        early = Some(through);
                    }
                }
                Action::Resume => self.writer.resume(self.generation),
                Action::Release(mark) => {
                    while self.held.front().is_some_and(|(held, ..)| *held <= mark) {
                        self.free.extend(self.held.pop_front().map(|(_, to, answer)| (to, answer)));
                    }
                }
                Action::AcceptRequests(good) => {
                    info!(self.log, "ledger: taking on new requests"; "good" => good)
                }
                Action::PeriodsClosed(number) => self.tell_clerk(ToClerk::Closed(number)),
                Action::EntryDurable { tag, number } => {
                    let start = self.accumulator.state().start.as_ref().map_or(0, |s| s.start);
                    self.tell_clerk(ToClerk::Entered { tag, line: Some((start, number)) });
                }
                Action::Notify(note) => self.say(&note),
            }
        }
        self.actions = actions;
        if let Some(through) = early {
            self.progress(0.0, Progress::Durable { through, next: 0 });
        }
    }

    fn say(&self, note: &Notice) {
        match note {
            Notice::StoreFailing(why) => {
                warn!(self.log, "ledger: lines can't be written"; "why" => why.as_str())
            }
            Notice::StoreRecovered { unbilled } => {
                info!(self.log, "ledger: lines are written again"; "unbilled" => unbilled);
            }
            Notice::UncleanShutdown { at_most } => {
                let at_most = at_most.map_or("unknown".to_owned(), |n| n.to_string());
                warn!(self.log, "ledger: the last end was not a good one, answers may be unbilled";
                    "at_most" => at_most);
            }
            Notice::ClosedLate { from, to } => {
                warn!(self.log, "ledger: closing periods that ended while the server was down";
                    "from_ms" => from, "to_ms" => to);
            }
            Notice::ClockBehind(ms) => {
                warn!(self.log, "ledger: the clock is behind the last line"; "ms" => ms);
            }
        }
    }
}

/// Whether this is the deliberately broken build that acknowledges before it commits: only tests have the feature, and
/// only one that shows that the drill notices sets the variable.
fn acknowledges_early() -> bool {
    cfg!(feature = "test-faults") && std::env::var_os("DUNLINSPREAD_ACKNOWLEDGE_EARLY").is_some()
}
