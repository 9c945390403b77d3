//! Which requests have to be answered now, because they are due or will miss a latency objective that is all.

use super::event::RequestId;
use super::request_table::{Request, RequestState, RequestTable};
use super::run_estimates::RunEstimates;
use super::settings::{Class, Preemption, RetrySafety, Settings};
use super::shutdown::Shutdown;
use super::timing::TIMER_PERIOD_MS;

/// Ticks by which a request is answered before its deadline, beside a timer period.
const MARGIN_TICKS: f64 = 2.0;

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
}

impl DeadlineCheck<'_> {
    /// Returns the requests that have to be answered now, in the order of their ids.
    pub(super) fn overdue(&self) -> Vec<RequestId> {
        let unanswered = self.requests.iter().filter(|(_, request)| !request.answered);
        let overdue = unanswered.filter(|(_, request)| self.is_hopeless(request) || self.is_due(request));
        overdue.map(|(id, _)| id).collect()
    }

    fn is_due(&self, request: &Request) -> bool {
        self.now + self.margin_ms() >= request.deadline
    }

    /// Returns whether waiting longer cannot lead to a response of any weight.
    fn is_hopeless(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        match request.state {
            RequestState::Queued => self.is_hopeless_in_queue(request, class),
            RequestState::Running => {
                self.settings.preemption != Preemption::Off && self.is_worthless(request, class)
            }
            RequestState::AwaitingCall(_) => self.is_worthless(request, class),
            _ => false,
        }
    }

    fn is_hopeless_in_queue(&self, request: &Request, class: &Class) -> bool {
        let too_late_to_run =
            self.shutdown.is_some_and(|shutdown| shutdown.is_after_grace(request.arrived_at));
        if too_late_to_run && !self.requests.waits_for_original(request) {
            return true;
        }
        let missed = self.estimates.misses_objective(self.now, request, self.idle);
        missed && (class.late_weight <= 0.0 || self.overloaded)
    }

    /// Returns whether a request in progress may be stopped and has no weight after its latency objective,
    /// now due.
    fn is_worthless(&self, request: &Request, class: &Class) -> bool {
        class.late_weight <= 0.0
            && self.now + self.margin_ms() > request.objective_at
            && class.retry_safety == RetrySafety::Idempotent
    }

    /// Time by which a request is answered early, ms: it covers the lateness of the timer.
    fn margin_ms(&self) -> f64 {
        TIMER_PERIOD_MS + MARGIN_TICKS * self.settings.tick_ms
    }
}
