//! What is written when: the state machine between the answers and the store. It takes each final answer, says whether
//! it may leave or has to wait for its line, makes lines, closes periods, and bears a disk that is slow, full or gone.
//! No I/O and no clock: time comes with each call, and what is to be done goes out as [`Action`]s.
//!
//! It must never let an answer leave in strict mode before its line is durable, never have more answers at risk in
//! interval mode than its start line states, never count a request twice or drop one in silence, and never reopen or
//! skip a period, wherever the clock goes.

use crate::account_name::AccountName;
use crate::line::{Amount, Close, Entry, Line, LineKind, Outcome, Start, Unbilled, Usage};
use crate::state::LedgerState;
use crate::usage_table::{UsageKey, UsageTable};
use prost::Message;
use std::collections::VecDeque;

/// When answers may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DurabilityMode {
    /// Once their line is durable.
    Strict,
    /// At once; lines are made durable every so many ms, and at most `at_risk` answers are out before theirs is.
    Interval {
        /// Between commits, ms.
        every_ms: u64,
        /// Answers out before their line is durable, past which further ones wait.
        at_risk: u64,
    },
}

/// What happens while the disk is full or fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailurePolicy {
    /// Nothing new is taken on, health is bad, and answers wait.
    Reject,
    /// Serving goes on; what can't be billed is counted, and said in a line once the disk is back.
    Continue,
}

/// How a ledger is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// The length of a period, ms.
    pub period_ms: u64,
    /// How long after its end a period is closed, ms.
    pub grace_ms: u64,
    /// When answers may leave.
    pub mode: DurabilityMode,
    /// What happens while the disk fails.
    pub on_failure: FailurePolicy,
    /// The classes, by position.
    pub classes: Vec<String>,
    /// Aggregates held open at most.
    pub cells: usize,
    /// Records made and not yet durable at most, beyond which aggregates stay in the table.
    pub records: usize,
}

/// A final answer, as it is billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRecord<'a> {
    /// 1 for an answer; 0 for what an answer billed before still used.
    pub requests: u64,
    /// The society.
    pub account: AccountName<'a>,
    /// The class, by position.
    pub class: u16,
    /// What became of the request.
    pub outcome: Outcome,
    /// Time in the worker pool, µs.
    pub pool_us: u64,
    /// Bytes of the body.
    pub bytes_in: u64,
    /// Bytes of the result.
    pub bytes_out: u64,
}

/// Whether an answer may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyDecision {
    /// At once.
    SendNow,
    /// Once a [`Action::Release`] reaches this mark.
    HoldUntil(u64),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append this record to the store, after all before.
    Append(Vec<u8>),
    /// The store is to write again after a failure; records follow once more from the first that failed.
    Resume,
    /// Answers held up to this mark may leave.
    Release(u64),
    /// Whether new requests may be taken on.
    AcceptRequests(bool),
    /// A close line with this number is durable.
    PeriodsClosed(u64),
    /// The line entered with this tag is durable, under this number.
    EntryDurable {
        /// The tag.
        tag: u64,
        /// The line's number.
        number: u64,
    },
    /// Something to be logged.
    Notify(Notice),
}

/// What operators should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The disk does not take lines; why.
    StoreFailing(String),
    /// It takes them again; so many requests are in no line.
    StoreRecovered {
        /// Requests in no line.
        unbilled: u64,
    },
    /// The start before ended without a good close: so many answers may be in no line, or nobody knows how many.
    UncleanShutdown {
        /// Answers at most, none if nothing bounds them.
        at_most: Option<u64>,
    },
    /// Periods are being closed that ended while the server was not there.
    ClosedLate {
        /// From, Unix ms.
        from: u64,
        /// To.
        to: u64,
    },
    /// The clock stands before the ledger's time, by so many ms: the ledger's stands still until it is past it.
    ClockBehind(u64),
}

/// A record on its way to the disk.
#[derive(Debug)]
struct Record {
    bytes: Vec<u8>,
    number: u64,
    /// Answers up to this mark may leave once it is durable.
    mark: u64,
    /// Requests counted in it.
    requests: u64,
    on_durable: OnDurable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OnDurable {
    Nothing,
    Closed,
    Entered(u64),
}

/// Figures for the log and the gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerGauges {
    /// Aggregates held open.
    pub cells: usize,
    /// Their bytes.
    pub bytes: usize,
    /// Records made and not yet durable.
    pub records: usize,
    /// Requests billed and not yet durable.
    pub at_risk: u64,
    /// Requests that are in no line, since the start.
    pub unbilled: u64,
    /// Times that aggregates were written early for want of room.
    pub spills: u64,
}

/// The state machine.
#[derive(Debug)]
pub struct UsageAccumulator {
    settings: LedgerSettings,
    state: LedgerState,
    table: UsageTable,
    /// Records from the oldest that is not durable on; the first `actions` are with the store.
    queue: VecDeque<Record>,
    actions: usize,
    /// The number of the next record to be made.
    next: u64,
    /// The last mark given, and the last released.
    release_mark: u64,
    released: u64,
    /// Requests in the table or in records.
    at_risk: u64,
    failing: Option<String>,
    serving: bool,
    /// What fits nowhere: known to be in no line, since when.
    lost: u64,
    lost_since: u64,
    /// When the table is next written, in interval mode.
    due_ms: u64,
    unbilled: u64,
    spills: u64,
}

/// No record holds more entries: it stays well below what a store takes.
const RECORD_ENTRIES: usize = 4096;

impl UsageAccumulator {
    /// Goes on from `state`, the sum of all lines in the store, in which the next has the number `next`. `clean` says
    /// that the store was closed in good order.
    pub fn start(
        now_ms: u64,
        settings: LedgerSettings,
        state: LedgerState,
        next: u64,
        clean: bool,
        actions: &mut Vec<Action>,
    ) -> UsageAccumulator {
        let (strict, continues_on_failure) =
            (settings.mode == DurabilityMode::Strict, settings.on_failure == FailurePolicy::Continue);
        let before = state.clone();
        let table = UsageTable::new(settings.cells);
        let mut book = UsageAccumulator {
            settings,
            state,
            table,
            queue: VecDeque::new(),
            actions: 0,
            next,
            release_mark: 0,
            released: 0,
            at_risk: 0,
            failing: None,
            serving: true,
            lost: 0,
            lost_since: 0,
            due_ms: 0,
            unbilled: 0,
            spills: 0,
        };
        if before.latest_ms > now_ms {
            actions.push(Action::Notify(Notice::ClockBehind(before.latest_ms - now_ms)));
        }
        let at_risk = match book.settings.mode {
            DurabilityMode::Strict => 0,
            DurabilityMode::Interval { at_risk, .. } => at_risk,
        };
        let start = Start {
            // With the time in it, it is unique also if the store before was lost.
            start: now_ms.max(before.start.as_ref().map_or(0, |s| s.start) + 1),
            period_ms: book.settings.period_ms.max(1),
            classes: book.settings.classes.clone(),
            at_risk: if strict { 0 } else { at_risk.max(1) },
            continues_on_failure,
        };
        book.append_record(now_ms, LineKind::Start(start), 0, OnDurable::Nothing);
        if let Some(last) = before.start.filter(|s| !clean && (s.at_risk > 0 || s.continues_on_failure)) {
            let at_most = (!last.continues_on_failure).then_some(last.at_risk);
            actions.push(Action::Notify(Notice::UncleanShutdown { at_most }));
            let unbilled = Unbilled {
                requests: 0,
                at_most: at_most.unwrap_or(0),
                unbounded: last.continues_on_failure,
                from_ms: before.latest_ms,
                to_ms: now_ms.max(before.latest_ms),
                reason: "the server did not end in good order".to_owned(),
            };
            book.append_record(now_ms, LineKind::Unbilled(unbilled), 0, OnDurable::Nothing);
        }
        // Periods that ended while nobody was there are closed as such, however long the grace.
        let there = book.time(now_ms);
        let ended = there - there % book.state.period_ms();
        if ended > book.state.closed_to && before.ledger_id != 0 {
            let (from, to) = (book.state.closed_to, ended);
            actions.push(Action::Notify(Notice::ClosedLate { from, to }));
            book.append_record(now_ms, LineKind::Close(Close { from, to, late: true }), 0, OnDurable::Closed);
        }
        book.send(actions);
        book
    }

    /// The sum of the lines made so far.
    pub fn state(&self) -> &LedgerState {
        &self.state
    }

    /// The figures now.
    pub fn gauges(&self) -> LedgerGauges {
        LedgerGauges {
            cells: self.table.len(),
            bytes: self.table.bytes() + self.queue.iter().map(|r| r.bytes.len()).sum::<usize>(),
            records: self.queue.len(),
            at_risk: self.at_risk,
            unbilled: self.unbilled,
            spills: self.spills,
        }
    }

    /// Whether new requests may be taken on.
    pub fn serving(&self) -> bool {
        self.serving
    }

    /// The ledger's time: the clock's, but never before that of a line.
    fn time(&self, now_ms: u64) -> u64 {
        now_ms.max(self.state.latest_ms)
    }

    /// Bills a final answer.
    pub fn bill(&mut self, now_ms: u64, used: &UsageRecord<'_>, actions: &mut Vec<Action>) -> ReplyDecision {
        let period = self.state.period(self.time(now_ms));
        let key =
            UsageKey { period, tenant: used.account.as_str(), class: used.class, outcome: used.outcome };
        let UsageRecord { requests, pool_us, bytes_in, bytes_out, .. } = *used;
        let amount = Amount { requests, pool_us, bytes_in, bytes_out };
        if !self.serving && used.outcome == Outcome::Rejected {
            // Turned away since nothing can be billed: it is told so at once, and counted.
            return self.unbilled(now_ms, requests);
        }
        if !self.table.add(key, &amount) {
            // No room for another aggregate: all are written early, and merged when the period is closed.
            self.spills += 1;
            // While answers wait for their lines, the requests that may be taken on bound the records; and while nothing
            // new is taken on, those that were.
            let bounded = self.failing.is_none() || self.settings.on_failure == FailurePolicy::Reject;
            if bounded || self.queue.len() < self.settings.records {
                self.flush(now_ms);
                self.send(actions);
            }
            if !self.table.add(key, &amount) {
                // Only while the disk fails and serving goes on all the same.
                return self.unbilled(now_ms, requests);
            }
        }
        self.at_risk += requests;
        let waits = match self.settings.mode {
            DurabilityMode::Strict => true,
            DurabilityMode::Interval { at_risk, .. } => self.at_risk > at_risk.max(1),
        };
        if self.failing.is_some() && self.settings.on_failure == FailurePolicy::Continue
            || !waits
            || requests == 0
        {
            return ReplyDecision::SendNow;
        }
        self.release_mark += 1;
        ReplyDecision::HoldUntil(self.release_mark)
    }

    /// Counts requests that will be in no line.
    fn unbilled(&mut self, now_ms: u64, requests: u64) -> ReplyDecision {
        self.lost_since = if self.lost == 0 { self.time(now_ms) } else { self.lost_since };
        self.lost += requests;
        self.unbilled += requests;
        ReplyDecision::SendNow
    }

    /// After one or more answers were billed: has the store work, if it has none. In interval mode only what is due or
    /// waited for is written.
    pub fn flush_if_due(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.table.is_empty() || self.actions > 0 || self.failing.is_some() {
            return;
        }
        let due = match self.settings.mode {
            DurabilityMode::Strict => true,
            DurabilityMode::Interval { at_risk, .. } => {
                now_ms >= self.due_ms || self.at_risk >= at_risk.max(1)
            }
        };
        if due {
            if let DurabilityMode::Interval { every_ms, .. } = self.settings.mode {
                self.due_ms = now_ms + every_ms;
            }
            self.flush(now_ms);
            self.send(actions);
        }
    }

    /// Time passes: a few times a second is enough, and as often as the interval.
    pub fn tick(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.failing.is_some() {
            // Once the store has said of each record what became of it, they may be tried again.
            if self.actions == 0 && !self.queue.is_empty() {
                actions.push(Action::Resume);
                self.send_first(actions);
            }
            return;
        }
        self.flush_if_due(now_ms, actions);
        let now = self.time(now_ms);
        let over = now.saturating_sub(self.settings.grace_ms);
        let to = over - over % self.state.period_ms();
        if to > self.state.closed_to {
            // All that was billed in these periods goes before.
            self.flush(now_ms);
            let from = self.state.closed_to;
            self.append_record(
                now_ms,
                LineKind::Close(Close { from, to, late: false }),
                0,
                OnDurable::Closed,
            );
            self.send(actions);
        }
    }

    /// Closes all up to now before its time. The period goes on as another one.
    pub fn close_early(&mut self, now_ms: u64, actions: &mut Vec<Action>) -> bool {
        let (from, to) = (self.state.closed_to, self.time(now_ms));
        if self.failing.is_some() || to <= from {
            return false;
        }
        self.flush(now_ms);
        self.append_record(now_ms, LineKind::Close(Close { from, to, late: false }), 0, OnDurable::Closed);
        self.send(actions);
        true
    }

    /// Enters a line of another's making; `tag` comes back once it is durable. False, and nothing is entered, if it does
    /// not fit the lines before it or too much waits for the disk.
    pub fn append_entry(
        &mut self,
        now_ms: u64,
        mut kind: LineKind,
        tag: u64,
        actions: &mut Vec<Action>,
    ) -> bool {
        if let LineKind::Correction(correction) = &mut kind {
            // It is entered in whatever period is open when it comes.
            correction.period = self.state.period(self.time(now_ms));
        }
        let line = Line { at_ms: self.time(now_ms), kind: Some(kind) };
        let fits =
            self.state.clone().apply(self.next, &line).is_ok() && Line::parse(&line.encode_to_vec()).is_ok();
        if !fits || self.failing.is_some() || self.queue.len() >= self.settings.records {
            return false;
        }
        if let Some(kind) = line.kind {
            self.append_record(now_ms, kind, 0, OnDurable::Entered(tag));
        }
        self.send(actions);
        true
    }

    /// Has everything written that waits: before a good end.
    pub fn finish(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.flush(now_ms);
        if self.failing.is_none() {
            self.send(actions);
        }
    }

    /// The store made the oldest `count` records durable.
    pub fn durable(&mut self, now_ms: u64, count: usize, actions: &mut Vec<Action>) {
        for _ in 0..count {
            let Some(record) = self.queue.pop_front() else { break };
            self.actions = self.actions.saturating_sub(1);
            self.at_risk -= record.requests;
            if record.mark > self.released {
                self.released = record.mark;
                actions.push(Action::Release(record.mark));
            }
            match record.on_durable {
                OnDurable::Nothing => {}
                OnDurable::Closed => actions.push(Action::PeriodsClosed(record.number)),
                OnDurable::Entered(tag) => actions.push(Action::EntryDurable { tag, number: record.number }),
            }
        }
        if self.failing.take().is_some() {
            self.recovered(now_ms, actions);
        }
        self.flush_if_due(now_ms, actions);
    }

    /// The disk takes lines again.
    fn recovered(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        actions.push(Action::Notify(Notice::StoreRecovered { unbilled: self.lost }));
        if self.lost > 0 {
            let unbilled = Unbilled {
                requests: std::mem::take(&mut self.lost),
                at_most: 0,
                unbounded: false,
                from_ms: self.lost_since,
                to_ms: self.time(now_ms),
                reason: "the disk did not take lines, and the server served on".to_owned(),
            };
            self.append_record(now_ms, LineKind::Unbilled(unbilled), 0, OnDurable::Nothing);
        }
        if !std::mem::replace(&mut self.serving, true) {
            actions.push(Action::AcceptRequests(true));
        }
        self.send(actions);
    }

    /// The store did not write `count` of the records that it has, from the oldest on. They wait for
    /// [`UsageAccumulator::tick`]; if it can't be told any more whether they are there, that does not come.
    pub fn failed(&mut self, why: &str, count: usize, actions: &mut Vec<Action>) {
        self.actions = self.actions.saturating_sub(count);
        if self.failing.is_none() {
            actions.push(Action::Notify(Notice::StoreFailing(why.to_owned())));
        }
        self.failing = Some(why.to_owned());
        match self.settings.on_failure {
            FailurePolicy::Reject => {
                if std::mem::replace(&mut self.serving, false) {
                    actions.push(Action::AcceptRequests(false));
                }
            }
            // Their use stays on its way to the disk; the answers do not wait for it.
            FailurePolicy::Continue => {
                if self.release_mark > self.released {
                    self.released = self.release_mark;
                    actions.push(Action::Release(self.release_mark));
                }
            }
        }
    }

    /// Makes records of the table, one for each period in it.
    fn flush(&mut self, now_ms: u64) {
        if self.table.is_empty() {
            return;
        }
        let mut lines: Vec<(u64, Vec<Entry>)> = Vec::new();
        let keep = self.settings.cells.min(1024);
        self.table.drain(keep, |key, amount| {
            let entry = Entry {
                tenant: key.tenant.to_owned(),
                class: u32::from(key.class),
                outcome: key.outcome as i32,
                amount: *amount,
            };
            match lines.last_mut() {
                Some((period, entries)) if *period == key.period && entries.len() < RECORD_ENTRIES => {
                    entries.push(entry);
                }
                _ => lines.push((key.period, vec![entry])),
            }
        });
        for (used_in, entries) in lines {
            let requests = entries.iter().map(|e| e.amount.requests).sum();
            // What was used in a period that has been closed since is a correction in the open one.
            let (period, original_period) = if used_in < self.state.closed_to {
                (self.state.period(self.time(now_ms)), Some(used_in))
            } else {
                (used_in, None)
            };
            self.append_record(
                now_ms,
                LineKind::Usage(Usage { period, entries, original_period }),
                requests,
                OnDurable::Nothing,
            );
        }
        // Only the last of them lets the answers go: they may be billed in any of the records.
        if let Some(last) = self.queue.back_mut() {
            last.mark = self.release_mark;
        }
    }

    /// Adds a line to the records.
    fn append_record(&mut self, now_ms: u64, kind: LineKind, requests: u64, on_durable: OnDurable) {
        let line = Line { at_ms: self.time(now_ms), kind: Some(kind) };
        let applied = self.state.apply(self.next, &line);
        assert!(applied.is_ok(), "a line that contradicts the ledger was made: {applied:?}, {line:?}");
        let bytes = line.encode_to_vec();
        self.queue.push_back(Record { bytes, number: self.next, mark: 0, requests, on_durable });
        self.next += 1;
    }

    /// Hands the store what it has not got yet.
    fn send(&mut self, actions: &mut Vec<Action>) {
        if self.failing.is_none() {
            actions.extend(self.queue.iter().skip(self.actions).map(|r| Action::Append(r.bytes.clone())));
            self.actions = self.queue.len();
        }
    }

    /// Tries whether it takes the oldest again.
    fn send_first(&mut self, actions: &mut Vec<Action>) {
        if let Some(first) = self.queue.front() {
            actions.push(Action::Append(first.bytes.clone()));
            self.actions = 1;
        }
    }
}
