//! Selection of requests to answer now because they are due or will miss a latency objective without which a
//! response has no use.

use super::due_index::{Phase, PhaseGroup};
use super::event::RequestId;
use super::request_table::RequestTable;
use super::run_estimates::RunEstimates;
use super::settings::{Class, Preemption, RetrySafety, Settings};
use super::shutdown::Shutdown;
use super::timing::TIMER_PERIOD_MS;

/// Number of ticks by which a request is answered before its deadline, in addition to a timer period.
const MARGIN_TICKS: f64 = 2.0;
/// Number of timer lags by which a request is answered before its deadline, if that is more than the ticks:
/// one for the late timer and one for the late write of the response.
const MARGIN_LAGS: f64 = 2.0;

/// Selects the requests to answer at one point in time.
pub(super) struct DeadlineCheck<'a> {
    /// The time at which deadlines and objectives are checked.
    pub(super) now: f64,
    /// Whether no request runs.
    pub(super) idle: bool,
    /// Whether the overload level is above 0.
    pub(super) overloaded: bool,
    /// The settings of the instance.
    pub(super) settings: &'a Settings,
    /// Estimates of run times.
    pub(super) estimates: &'a RunEstimates,
    /// All requests of the instance.
    pub(super) requests: &'a RequestTable,
    /// The shutdown, if one was requested.
    pub(super) shutdown: Option<Shutdown>,
    /// The lag of the timer, ms.
    pub(super) timer_lag_ms: f64,
}

impl DeadlineCheck<'_> {
    /// Returns the requests that have to be answered now, ordered by id.
    pub(super) fn overdue(&self) -> Vec<RequestId> {
        let due = self.requests.due();
        let mut overdue: Vec<RequestId> =
            due.with_deadline_by(self.now + answer_lead_ms(self.settings, self.timer_lag_ms)).collect();
        for group in due.groups() {
            if let Some(cutoff) = self.objective_cutoff(group) {
                overdue.extend(due.with_objective_before(group, cutoff));
            }
        }
        if let Some(shutdown) = self.shutdown {
            overdue.extend(self.unanswered_arrivals_after(shutdown.latest_arrival()));
        }
        overdue.sort_unstable();
        overdue.dedup();
        overdue
    }

    /// Returns the time such that requests of the group with an earlier latency objective are answered now;
    /// `None` if the group's requests are not answered because of their objectives.
    fn objective_cutoff(&self, group: PhaseGroup) -> Option<f64> {
        let class = &self.settings.classes[group.class];
        let no_late_weight = class.late_weight <= 0.0;
        match group.phase {
            Phase::Queued => {
                let expected_end = self.estimates.expected_end(self.now, group.class, self.idle);
                (no_late_weight || self.overloaded).then_some(expected_end)
            }
            Phase::Running if self.settings.preemption == Preemption::Off => None,
            Phase::Running | Phase::AwaitingCall => {
                let answered_by = self.now + (TIMER_PERIOD_MS + margin_ms(self.settings));
                (no_late_weight && is_idempotent(class)).then_some(answered_by)
            }
        }
    }

    /// Returns the unanswered queued requests that arrived after `time` and do not wait for an original.
    fn unanswered_arrivals_after(&self, time: f64) -> impl Iterator<Item = RequestId> {
        let is_unanswered = |id: &RequestId| self.requests.get(*id).is_some_and(|request| !request.answered);
        self.requests.ready().arrived_after(time).filter(is_unanswered)
    }
}

/// Returns how long before its deadline a request is answered, ms: a timer period and a margin for the lag of
/// the timer and of the response.
pub(super) fn answer_lead_ms(settings: &Settings, timer_lag_ms: f64) -> f64 {
    TIMER_PERIOD_MS + margin_ms(settings).max(MARGIN_LAGS * timer_lag_ms)
}

/// Returns the margin for the lag of the timer on a machine with idle CPU time, ms.
fn margin_ms(settings: &Settings) -> f64 {
    MARGIN_TICKS * settings.tick_ms
}

/// Returns whether runs of the class are idempotent and may therefore be stopped.
fn is_idempotent(class: &Class) -> bool {
    class.retry_safety == RetrySafety::Idempotent
}
