//! The state machine between replies and the store. It decides which lines are written when, and when a reply
//! may be sent.
//!
//! [`UsageAccumulator`] aggregates the usage of each final reply, creates lines from the aggregates, closes
//! periods, and continues to work while the store is slow, full or unavailable. It performs no I/O and reads
//! no clock: the time is passed with each call, and [`Action`]s describe the work for the caller.

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

/// The accumulator of one ledger: a state machine that turns the usage of replies into lines.
///
/// # Invariants
/// - In strict mode a reply is released only after its line is durable, unless the store fails under
///   [`FailurePolicy::Continue`].
/// - In interval mode the number of replies sent before their line is durable never exceeds the limit in the
///   start line.
/// - Each request is counted exactly once: in a usage line or in an unbilled line.
/// - Periods are closed in order without gaps, and no line is added to a closed period, even if the clock
///   jumps.
///
/// # Panics
/// The methods panic if the accumulator itself creates a line that contradicts earlier lines.
#[derive(Debug)]
pub struct UsageAccumulator {
    settings: LedgerSettings,
    lines: LineSequence,
    table: UsageTable,
    marks: ReleaseMarks,
    /// Number of requests in the table or in records that are not durable yet.
    at_risk: u64,
    store_is_failing: bool,
    accepts_requests: bool,
    unbilled: UnbilledRequests,
    /// Due time of the next write of the table in interval mode, in Unix ms.
    next_flush_ms: u64,
    spills: u64,
}

impl UsageAccumulator {
    /// Returns an accumulator that continues the recovered ledger, and appends the lines of the new start.
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
            store_is_failing: false,
            accepts_requests: true,
            unbilled: UnbilledRequests::default(),
            next_flush_ms: 0,
            spills: 0,
        }
    }

    /// Returns the ledger state after all lines created so far.
    pub fn state(&self) -> &LedgerState {
        &self.lines.state
    }

    /// Returns the current gauges.
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

    /// Bills the usage of a final reply, and returns when the reply may be sent.
    pub fn bill(&mut self, now_ms: u64, usage: &UsageRecord<'_>, actions: &mut Vec<Action>) -> ReplyDecision {
        let rejected_by_ledger = !self.accepts_requests && usage.outcome == Outcome::Rejected;
        if rejected_by_ledger || !self.aggregate(now_ms, usage, actions) {
            self.unbilled.count(self.lines.time(now_ms), usage.requests);
            return ReplyDecision::SendNow;
        }
        self.at_risk += usage.requests;
        if usage.requests == 0 || !self.reply_must_wait() {
            return ReplyDecision::SendNow;
        }
        ReplyDecision::HoldUntil(self.marks.next_mark())
    }

    /// Adds usage to the open aggregates, and writes them early if the table is full. Returns false if there
    /// is still no room.
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

    /// Writes all aggregates early because the table is full. Usage lines of the same period are merged when
    /// it is exported.
    fn spill(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.spills += 1;
        // While replies wait for their lines, the number of admitted requests bounds the number of records.
        // This bound is only missing while the store is failing and replies are sent without waiting for it.
        let requests_bound_records = !self.continues_without_store();
        if requests_bound_records || self.lines.queue.len() < self.settings.records {
            self.flush(now_ms);
            self.hand_over_records(actions);
        }
    }

    /// Returns whether the store is failing and replies are sent without waiting for it.
    fn continues_without_store(&self) -> bool {
        self.store_is_failing && self.settings.on_failure == FailurePolicy::Continue
    }

    /// Returns whether the reply to the most recently billed request has to wait until its line is durable.
    fn reply_must_wait(&self) -> bool {
        self.at_risk > self.settings.mode.max_at_risk() && !self.continues_without_store()
    }

    /// Writes the aggregates if the store is idle and, in interval mode, if the interval has elapsed or the
    /// limit of replies sent early has been reached. Called after one or more replies have been billed.
    pub fn flush_if_due(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.table.is_empty() || !self.lines.queue.store_is_idle() || self.store_is_failing {
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

    /// Advances the time: closes periods that have ended, and retries a failing store. Called once per commit
    /// interval, or a few times per second.
    pub fn tick(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.store_is_failing {
            self.retry_store(actions);
            return;
        }
        self.flush_if_due(now_ms, actions);
        let past_grace_ms = self.lines.time(now_ms).saturating_sub(self.settings.grace_ms);
        let closable_to = past_grace_ms - past_grace_ms % self.lines.state.period_ms();
        if closable_to > self.lines.state.closed_to {
            self.close_periods(now_ms, closable_to, actions);
        }
    }

    /// Retries the oldest record after the store has reported the result of every record handed over to it.
    fn retry_store(&mut self, actions: &mut Vec<Action>) {
        if self.lines.queue.store_is_idle() && self.lines.queue.len() > 0 {
            actions.push(Action::Resume);
            self.lines.queue.hand_over_first(actions);
        }
    }

    /// Closes all periods up to the current time, including the open one. The rest of the open period becomes
    /// a separate period.
    ///
    /// # Errors
    /// Returns [`CloseRejected::StoreFailing`] if the store is failing, or [`CloseRejected::NothingOpen`] if
    /// all time up to the present is closed. The ledger is unchanged in both cases.
    pub fn close_early(&mut self, now_ms: u64, actions: &mut Vec<Action>) -> Result<(), CloseRejected> {
        if self.store_is_failing {
            return Err(CloseRejected::StoreFailing);
        }
        let (closed_to, time_ms) = (self.lines.state.closed_to, self.lines.time(now_ms));
        if time_ms <= closed_to {
            return Err(CloseRejected::NothingOpen { closed_to });
        }
        self.close_periods(now_ms, time_ms, actions);
        Ok(())
    }

    /// Closes the periods up to a time, after writing the usage billed in them.
    fn close_periods(&mut self, now_ms: u64, to: u64, actions: &mut Vec<Action>) {
        self.flush(now_ms);
        let close = Close { from: self.lines.state.closed_to, to, late: false };
        self.lines.append_record(now_ms, LineKind::Close(close), 0, OnDurable::PeriodsClosed);
        self.hand_over_records(actions);
    }

    /// Appends a line that was not created by the accumulator. [`Action::EntryDurable`] with this tag reports
    /// that the line is durable. A correction is entered in the currently open period.
    ///
    /// # Errors
    /// Returns [`EntryRejected::Invalid`] if the line contradicts earlier lines,
    /// [`EntryRejected::StoreFailing`] if the store is failing, or [`EntryRejected::QueueFull`] if too many
    /// records are waiting for it. The ledger is unchanged in all cases.
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
        if self.store_is_failing {
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

    /// Writes all open aggregates and waiting records before a clean shutdown.
    pub fn finish(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.flush(now_ms);
        self.hand_over_records(actions);
    }

    /// Records that the oldest `count` records are durable in the store.
    pub fn on_durable(&mut self, now_ms: u64, count: usize, actions: &mut Vec<Action>) {
        for _ in 0..count {
            let Some(record) = self.lines.queue.pop_durable() else { break };
            self.on_record_durable(&record, actions);
        }
        if std::mem::take(&mut self.store_is_failing) {
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

    /// Records that the store failed to write the `count` oldest records handed over to it. They are retried
    /// by the next [`UsageAccumulator::tick`], and the store counts as failing until one of them is durable.
    pub fn on_failed(&mut self, reason: &str, count: usize, actions: &mut Vec<Action>) {
        self.lines.queue.take_back(count);
        if !std::mem::replace(&mut self.store_is_failing, true) {
            actions.push(Action::Notify(Notice::StoreFailing(reason.to_owned())));
        }
        match self.settings.on_failure {
            FailurePolicy::Reject => {
                if std::mem::replace(&mut self.accepts_requests, false) {
                    actions.push(Action::AcceptRequests(false));
                }
            }
            // The usage of these replies is still written to the store later; the replies do not wait for it.
            FailurePolicy::Continue => self.marks.release_all(actions),
        }
    }

    /// Creates records from all aggregates.
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
        // Only the last record releases replies, because the usage of a reply may be in any of the records.
        self.lines.queue.set_last_release_mark(self.marks.last_mark());
    }

    /// Hands over all waiting records to the store, unless the store is failing.
    fn hand_over_records(&mut self, actions: &mut Vec<Action>) {
        if !self.store_is_failing {
            self.lines.queue.hand_over_all(actions);
        }
    }
}
