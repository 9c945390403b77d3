//! Which requests have to be answered now, because they are due or will miss a latency objective that is all.

use super::due_index::{Phase, PhaseGroup};
use super::event::RequestId;
use super::request_table::RequestTable;
use super::run_estimates::RunEstimates;
use super::settings::{Class, Preemption, RetrySafety, Settings};
use super::shutdown::Shutdown;
use super::timing::TIMER_PERIOD_MS;

/// Ticks by which a request is answered before its deadline, beside a timer period.
const MARGIN_TICKS: f64 = 2.0;
/// Lags of the timer by which a request is answered before its deadline, where they are more than the ticks:
/// the timer comes late, and the response is written late.
const MARGIN_LAGS: f64 = 2.0;

/// The deadlines at one moment.
pub(super) struct DeadlineCheck<'a> {
    /// The moment.
    pub(super) now: f64,
    /// Whether no request runs.
    pub(super) idle: bool,
    /// Whether the overload level is above 0.
    pub(super) overloaded: bool,
    /// The settings.
    pub(super) settings: &'a Settings,
    /// How long runs take.
    pub(super) estimates: &'a RunEstimates,
    /// All requests.
    pub(super) requests: &'a RequestTable,
    /// The shutdown, if one was requested.
    pub(super) shutdown: Option<Shutdown>,
    /// The lag of the timer, ms.
    pub(super) timer_lag_ms: f64,
}

impl DeadlineCheck<'_> {
    /// Returns the requests that have to be answered now, in the order of their ids.
    pub(super) fn overdue(&self) -> Vec<RequestId> {
        let due = self.requests.due();
        let mut overdue: Vec<RequestId> =
            due.with_deadline_by(self.now + answer_lead_ms(self.settings, self.timer_lag_ms)).collect();
        for group in due.groups() {
            if let Some(time) = self.hopeless_before(group) {
                overdue.extend(due.with_objective_before(group, time));
            }
        }
        if let Some(shutdown) = self.shutdown {
            overdue.extend(self.unanswered_arrivals_after(shutdown.latest_arrival()));
        }
        overdue.sort_unstable();
        overdue.dedup();
        overdue
    }

    /// Returns the latency objective below which a request of the group has no use of waiting longer; `None`
    /// where it has some whatever its objective.
    fn hopeless_before(&self, group: PhaseGroup) -> Option<f64> {
        let class = &self.settings.classes[group.class];
        let worthless_late = class.late_weight <= 0.0;
        match group.phase {
            Phase::Queued => {
                let expected_end = self.estimates.expected_end(self.now, group.class, self.idle);
                (worthless_late || self.overloaded).then_some(expected_end)
            }
            Phase::Running if self.settings.preemption == Preemption::Off => None,
            Phase::Running | Phase::AwaitingCall => {
                let answered_by = self.now + (TIMER_PERIOD_MS + margin_ms(self.settings));
                (worthless_late && is_idempotent(class)).then_some(answered_by)
            }
        }
    }

    /// Returns the queued requests that arrived after `time` and wait for no original.
    fn unanswered_arrivals_after(&self, time: f64) -> impl Iterator<Item = RequestId> {
        let is_unanswered = |id: &RequestId| self.requests.get(*id).is_some_and(|request| !request.answered);
        self.requests.ready().arrived_after(time).filter(is_unanswered)
    }
}

/// Returns how long before its deadline a request is answered, ms: a period of the timer, and a margin for
/// the lag of the timer and of the response.
pub(super) fn answer_lead_ms(settings: &Settings, timer_lag_ms: f64) -> f64 {
    TIMER_PERIOD_MS + margin_ms(settings).max(MARGIN_LAGS * timer_lag_ms)
}

/// Returns the margin for the lateness of a timer on a machine that has time, ms.
fn margin_ms(settings: &Settings) -> f64 {
    MARGIN_TICKS * settings.tick_ms
}

/// Returns whether a run of the class may be stopped.
fn is_idempotent(class: &Class) -> bool {
    class.retry_safety == RetrySafety::Idempotent
}
