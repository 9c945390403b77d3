//! The state machine between the replies and the store: it decides what is written when, and when a reply may be sent.
//!
//! [`UsageAccumulator`] takes the usage of each final reply, aggregates it, makes lines of it, closes periods, and keeps
//! going while the store is slow, full or gone. It does no I/O and reads no clock: time comes with each call, and what
//! is to be done goes out as [`Action`]s.

mod action;
mod line_sequence;
mod record_queue;
mod recovery;
mod release_marks;
mod settings;
mod unbilled;
mod usage_lines;

pub use action::{Action, CloseRejected, EntryRejected, LedgerGauges, Notice, ReplyDecision, UsageRecord};
pub use recovery::RecoveredLedger;
pub use settings::{DurabilityMode, FailurePolicy, LedgerSettings};

use crate::line::{Amount, Close, LineKind};
use crate::outcome::Outcome;
use crate::state::LedgerState;
use crate::usage_table::{UsageKey, UsageTable};
use line_sequence::LineSequence;
use record_queue::{OnDurable, PendingRecord, RecordQueue};
use release_marks::ReleaseMarks;
use unbilled::UnbilledRequests;

/// The state machine of one ledger.
///
/// # Invariants
/// - In strict mode a reply is released once its line is durable, unless the store fails under
///   [`FailurePolicy::Continue`].
/// - In interval mode the replies sent before their line is durable are at most those that the start line states.
/// - Each request is counted once: in a usage line, or in an unbilled line.
/// - Periods are closed in order, none is skipped, and no line is added to a closed one, wherever the clock goes.
///
/// # Panics
/// Its methods panic if the accumulator itself makes a line that contradicts those before it.
#[derive(Debug)]
pub struct UsageAccumulator {
    settings: LedgerSettings,
    lines: LineSequence,
    table: UsageTable,
    marks: ReleaseMarks,
    /// Requests in the table or in records that are not durable.
    at_risk: u64,
    store_fails: bool,
    accepts_requests: bool,
    unbilled: UnbilledRequests,
    /// When the table is written next in interval mode, Unix ms.
    next_flush_ms: u64,
    spills: u64,
}

impl UsageAccumulator {
    /// Returns an accumulator that goes on from what reading the store found, and appends the first lines of its start.
    pub fn start(
        now_ms: u64,
        settings: LedgerSettings,
        recovered: RecoveredLedger,
        actions: &mut Vec<Action>,
    ) -> UsageAccumulator {
        let RecoveredLedger { state, next_line, closed_cleanly } = recovered;
        let mut lines = LineSequence { state, queue: RecordQueue::new(next_line) };
        recovery::append_first_lines(&mut lines, now_ms, &settings, closed_cleanly, actions);
        lines.queue.hand_over_all(actions);
        UsageAccumulator {
            table: UsageTable::new(settings.cells),
            settings,
            lines,
            marks: ReleaseMarks::default(),
            at_risk: 0,
            store_fails: false,
            accepts_requests: true,
            unbilled: UnbilledRequests::default(),
            next_flush_ms: 0,
            spills: 0,
        }
    }

    /// Returns the state that the lines made so far imply.
    pub fn state(&self) -> &LedgerState {
        &self.lines.state
    }

    /// Returns the present figures.
    pub fn gauges(&self) -> LedgerGauges {
        LedgerGauges {
            cells: self.table.len(),
            bytes: self.table.bytes() + self.lines.queue.bytes(),
            records: self.lines.queue.len(),
            at_risk: self.at_risk,
            unbilled: self.unbilled.total(),
            spills: self.spills,
        }
    }

    /// Returns whether new requests may be admitted.
    pub fn accepts_requests(&self) -> bool {
        self.accepts_requests
    }

    /// Bills the usage of a final reply, and returns whether the reply may be sent.
    pub fn bill(&mut self, now_ms: u64, usage: &UsageRecord<'_>, actions: &mut Vec<Action>) -> ReplyDecision {
        let rejected_by_ledger = !self.accepts_requests && usage.outcome == Outcome::Rejected;
        if rejected_by_ledger || !self.aggregate(now_ms, usage, actions) {
            self.unbilled.count(self.lines.time(now_ms), usage.requests);
            return ReplyDecision::SendNow;
        }
        self.at_risk += usage.requests;
        if usage.requests == 0 || !self.reply_waits() {
            return ReplyDecision::SendNow;
        }
        ReplyDecision::HoldUntil(self.marks.give())
    }

    /// Adds usage to the open aggregates; returns whether there was room, if need be after writing them early.
    fn aggregate(&mut self, now_ms: u64, usage: &UsageRecord<'_>, actions: &mut Vec<Action>) -> bool {
        let key = UsageKey {
            period: self.lines.open_period(now_ms),
            tenant: usage.account.as_str(),
            class: usage.class,
            outcome: usage.outcome,
        };
        let amount = Amount {
            requests: usage.requests,
            pool_us: usage.pool_us,
            bytes_in: usage.bytes_in,
            bytes_out: usage.bytes_out,
        };
        if self.table.add(key, &amount) {
            return true;
        }
        self.spill(now_ms, actions);
        self.table.add(key, &amount)
    }

    /// Writes all aggregates early for want of room; they are merged when the period is exported.
    fn spill(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.spills += 1;
        // While replies wait for their lines, the admitted requests bound the records. They do not only where the store
        // fails and replies are sent all the same.
        let requests_bound_records = !self.continues_without_store();
        if requests_bound_records || self.lines.queue.len() < self.settings.records {
            self.flush(now_ms);
            self.hand_over_records(actions);
        }
    }

    /// Returns whether the store fails and replies are sent all the same.
    fn continues_without_store(&self) -> bool {
        self.store_fails && self.settings.on_failure == FailurePolicy::Continue
    }

    /// Returns whether the reply to the request billed last has to wait for its line.
    fn reply_waits(&self) -> bool {
        self.at_risk > self.settings.mode.max_at_risk() && !self.continues_without_store()
    }

    /// Writes the aggregates if the store is idle and, in interval mode, they are due or waited for. Called after one or
    /// more replies were billed.
    pub fn flush_if_due(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.table.is_empty() || !self.lines.queue.store_is_idle() || self.store_fails {
            return;
        }
        if let DurabilityMode::Interval { every_ms, .. } = self.settings.mode {
            if now_ms < self.next_flush_ms && self.at_risk < self.settings.mode.max_at_risk() {
                return;
            }
            self.next_flush_ms = now_ms + every_ms;
        }
        self.flush(now_ms);
        self.hand_over_records(actions);
    }

    /// Advances the time: closes periods that are over, and retries a failed store. Called at the interval of commits,
    /// or a few times a second.
    pub fn tick(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.store_fails {
            self.retry_store(actions);
            return;
        }
        self.flush_if_due(now_ms, actions);
        let past_grace_ms = self.lines.time(now_ms).saturating_sub(self.settings.grace_ms);
        let ended_by = past_grace_ms - past_grace_ms % self.lines.state.period_ms();
        if ended_by > self.lines.state.closed_to {
            self.close_periods(now_ms, ended_by, actions);
        }
    }

    /// Lets the store try the oldest record again, once it has reported on each record that it had.
    fn retry_store(&mut self, actions: &mut Vec<Action>) {
        if self.lines.queue.store_is_idle() && self.lines.queue.len() > 0 {
            actions.push(Action::Resume);
            self.lines.queue.hand_over_first(actions);
        }
    }

    /// Closes all periods up to now before their time; the rest of the open one goes on as a period of its own.
    ///
    /// # Errors
    /// If the store fails or nothing is open; nothing was changed.
    pub fn close_early(&mut self, now_ms: u64, actions: &mut Vec<Action>) -> Result<(), CloseRejected> {
        if self.store_fails {
            return Err(CloseRejected::StoreFailing);
        }
        let (closed_to, time_ms) = (self.lines.state.closed_to, self.lines.time(now_ms));
        if time_ms <= closed_to {
            return Err(CloseRejected::NothingOpen { closed_to });
        }
        self.close_periods(now_ms, time_ms, actions);
        Ok(())
    }

    /// Closes the periods up to a time; what was billed in them is written before.
    fn close_periods(&mut self, now_ms: u64, to: u64, actions: &mut Vec<Action>) {
        self.flush(now_ms);
        let close = Close { from: self.lines.state.closed_to, to, late: false };
        self.lines.append_record(now_ms, LineKind::Close(close), 0, OnDurable::PeriodsClosed);
        self.hand_over_records(actions);
    }

    /// Appends a line made by others; [`Action::EntryDurable`] tells with this tag that it is durable. A correction is
    /// entered in the period that is open now.
    ///
    /// # Errors
    /// If it contradicts the lines before it, the store fails or too much waits for it; nothing was changed.
    pub fn append_entry(
        &mut self,
        now_ms: u64,
        mut kind: LineKind,
        tag: u64,
        actions: &mut Vec<Action>,
    ) -> Result<(), EntryRejected> {
        if let LineKind::Correction(correction) = &mut kind {
            correction.period = self.lines.open_period(now_ms);
        }
        self.lines.check(now_ms, &kind)?;
        if self.store_fails {
            return Err(EntryRejected::StoreFailing);
        }
        let waiting = self.lines.queue.len();
        if waiting >= self.settings.records {
            return Err(EntryRejected::QueueFull(waiting));
        }
        self.lines.append_record(now_ms, kind, 0, OnDurable::Entry(tag));
        self.hand_over_records(actions);
        Ok(())
    }

    /// Writes all that waits, before a clean shutdown.
    pub fn finish(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.flush(now_ms);
        self.hand_over_records(actions);
    }

    /// Takes note that the store made the oldest `count` records durable.
    pub fn on_durable(&mut self, now_ms: u64, count: usize, actions: &mut Vec<Action>) {
        for _ in 0..count {
            let Some(record) = self.lines.queue.pop_durable() else { break };
            self.on_record_durable(&record, actions);
        }
        if std::mem::take(&mut self.store_fails) {
            self.on_store_recovered(now_ms, actions);
        }
        self.flush_if_due(now_ms, actions);
    }

    fn on_record_durable(&mut self, record: &PendingRecord, actions: &mut Vec<Action>) {
        self.at_risk -= record.requests;
        self.marks.release(record.release_mark, actions);
        actions.extend(record.on_durable.action(record.number));
    }

    fn on_store_recovered(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let unbilled = self.unbilled.pending();
        actions.push(Action::Notify(Notice::StoreRecovered { unbilled }));
        if let Some(line) = self.unbilled.take(self.lines.time(now_ms)) {
            self.lines.append_record(now_ms, LineKind::Unbilled(line), 0, OnDurable::Nothing);
        }
        if !std::mem::replace(&mut self.accepts_requests, true) {
            actions.push(Action::AcceptRequests(true));
        }
        self.hand_over_records(actions);
    }

    /// Takes note that the store did not write `count` of the records that it has, from the oldest on. They wait for the
    /// next [`UsageAccumulator::tick`]; the store fails until one of them is durable.
    pub fn on_failed(&mut self, reason: &str, count: usize, actions: &mut Vec<Action>) {
        self.lines.queue.take_back(count);
        if !std::mem::replace(&mut self.store_fails, true) {
            actions.push(Action::Notify(Notice::StoreFailing(reason.to_owned())));
        }
        match self.settings.on_failure {
            FailurePolicy::Reject => {
                if std::mem::replace(&mut self.accepts_requests, false) {
                    actions.push(Action::AcceptRequests(false));
                }
            }
            // Their usage stays on its way to the store; the replies do not wait for it.
            FailurePolicy::Continue => self.marks.release_all(actions),
        }
    }

    /// Makes records of all aggregates.
    fn flush(&mut self, now_ms: u64) {
        if self.table.is_empty() {
            return;
        }
        let open_period = self.lines.open_period(now_ms);
        let usage_lines = usage_lines::take_usage_lines(
            &mut self.table,
            self.settings.cells,
            &self.lines.state,
            open_period,
        );
        for usage in usage_lines {
            let requests = usage.entries.iter().map(|entry| entry.amount.requests).sum();
            self.lines.append_record(now_ms, LineKind::Usage(usage), requests, OnDurable::Nothing);
        }
        // Only the last of them releases replies: a reply may be billed in any of the records.
        self.lines.queue.set_last_release_mark(self.marks.last_given());
    }

    /// Hands the store the records that it does not have, unless it fails.
    fn hand_over_records(&mut self, actions: &mut Vec<Action>) {
        if !self.store_fails {
            self.lines.queue.hand_over_all(actions);
        }
    }
}
