//! The admission controller: passes each event to its components and turns their results into actions.

use super::action::Action;
use super::backpressure::{Backpressure, Rejection, slow_start_share};
use super::concurrency_limit::{Capacity, ConcurrencyLimit, SaturatedClasses};
use super::deadlines::answer_lead_ms;
use super::event::{Event, RequestId};
use super::external_load::ExternalLoad;
use super::fault_detection::{FaultDetector, FaultReading, RunActivity};
use super::idempotency::IdempotencyReservations;
use super::idle_timeout::IdleTimeout;
use super::memory::MemoryBudget;
use super::overload_level::OverloadDetector;
use super::priority_threshold::PriorityThreshold;
use super::request_table::RequestTable;
use super::request_totals::RunCounts;
use super::run_estimates::RunEstimates;
use super::scheduling::Scheduler;
use super::settings::{Reconfiguration, Settings};
use super::shutdown::Shutdown;
use super::slow_start::SlowStart;
use super::tenant_quota::TenantQuota;
use super::timer_lag::TimerLag;
use super::timing::{TIMER_PERIOD_MS, TIMER_TOKEN};
use super::traffic::RecentTraffic;
use super::upstream_calls::UpstreamCallBudget;

/// The admission decisions of one instance.
///
/// It has no clock, thread or I/O: the embedder passes the time with each event and carries out the actions.
pub struct AdmissionController {
    pub(super) settings: Settings,
    pub(super) requests: RequestTable,
    pub(super) reservations: IdempotencyReservations,
    pub(super) memory: MemoryBudget,
    pub(super) overload: OverloadDetector,
    pub(super) faults: FaultDetector,
    pub(super) timer_lag: TimerLag,
    pub(super) threshold: PriorityThreshold,
    pub(super) traffic: RecentTraffic,
    pub(super) tenant_quota: TenantQuota,
    pub(super) backpressure: Backpressure,
    pub(super) idle_timeout: IdleTimeout,
    pub(super) slow_start: SlowStart,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) estimates: RunEstimates,
    pub(super) upstream_calls: UpstreamCallBudget,
    pub(super) shutdown: Option<Shutdown>,
    pub(super) external_load: ExternalLoad,
    pub(super) starts_suspended: bool,
}

impl AdmissionController {
    /// Creates the controller of an instance that starts at `now`; settings out of range are clamped.
    pub fn new(now: f64, settings: Settings) -> Self {
        let settings = settings.sanitized();
        AdmissionController {
            requests: RequestTable::default(),
            reservations: IdempotencyReservations::new(&settings),
            memory: MemoryBudget::new(&settings),
            overload: OverloadDetector::default(),
            faults: FaultDetector::new(now),
            timer_lag: TimerLag::default(),
            threshold: PriorityThreshold::default(),
            traffic: RecentTraffic::default(),
            tenant_quota: TenantQuota::new(&settings),
            backpressure: Backpressure::new(&settings),
            idle_timeout: IdleTimeout::new(&settings),
            slow_start: SlowStart::new(now, &settings),
            concurrency: ConcurrencyLimit::new(&settings),
            estimates: RunEstimates::new(&settings.classes),
            upstream_calls: UpstreamCallBudget::new(&settings),
            shutdown: None,
            external_load: ExternalLoad::default(),
            starts_suspended: false,
            settings,
        }
    }

    /// Handles an event at the time `now`, ms, and appends the resulting actions to `actions`.
    pub fn on_event(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => self.on_start(actions),
            Event::Arrival(arrival) => self.on_arrival(now, &arrival, actions),
            Event::UpstreamCallNeeded(id) => self.on_call_needed(now, id),
            Event::UpstreamCallEnded { id, outcome, took_ms } => {
                self.on_call_end(now, id, outcome, took_ms, actions);
            }
            Event::RunEnded { id, outcome, took_ms } => self.on_run_end(now, id, outcome, took_ms, actions),
            Event::RunInDoubt(id) => self.on_run_in_doubt(id),
            Event::ClientGone(id) => self.on_client_gone(now, id, actions),
            Event::Drain { stop_at } => self.on_drain(now, stop_at, actions),
            Event::SuspendStarts(suspended) => self.starts_suspended = suspended,
            Event::ExternalLoad { runs, memory_kb } => {
                self.external_load = ExternalLoad::new(runs, memory_kb);
            }
            Event::Reconfigured(changes) => self.on_reconfigured(&changes),
            Event::GaugesRequested => self.faults.record_gauges_request(now),
            Event::CommandsDelayed { waited_ms } => self.faults.record_command_delay(now, waited_ms),
            Event::Timer { token: TIMER_TOKEN, gauges } => self.on_timer(now, gauges, actions),
            Event::Timer { .. } => {}
        }
        self.answer_overdue(now, actions);
        self.make_calls(now, actions);
        self.start_runs(now, actions);
    }

    /// Returns the overload level as of the last timer, 0 to 3.
    pub fn level(&self) -> usize {
        self.overload.level()
    }

    /// Returns the priority quantile, 0 to 1, below which arrivals are rejected.
    pub fn priority_threshold(&self) -> f64 {
        self.threshold.value()
    }

    /// Returns how long before its deadline a request is answered, ms.
    pub fn answer_lead_ms(&self) -> f64 {
        answer_lead_ms(&self.settings, self.timer_lag.ms())
    }

    /// Returns the measurements from which the health in [`Action::SetHealth`] is derived.
    ///
    /// A shutdown sets the health to bad independently of them.
    pub fn fault_reading(&self) -> FaultReading {
        self.faults.reading()
    }

    fn on_start(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetHealth(true));
        let speed = self.slow_start.speed(self.slow_start.started_at());
        self.backpressure.advertise_first_share(slow_start_share(speed), actions);
        actions.push(Action::SetTimer { token: TIMER_TOKEN, delay_ms: TIMER_PERIOD_MS });
    }

    fn on_reconfigured(&mut self, changes: &Reconfiguration) {
        self.settings.reconfigure(changes);
        self.tenant_quota.reconfigure(&self.settings.tenant_quotas, &changes.quotas);
    }

    /// Returns the action that rejects a request.
    pub(super) fn reject(&self, id: RequestId, rejection: Rejection) -> Action {
        self.backpressure.reject(id, rejection, &self.traffic)
    }

    /// Reserves the idempotency key of a request, or the subject of a shareable read.
    pub(super) fn reserve_key(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let class = &self.settings.classes[request.class];
        actions.push(self.reservations.reserve(now, id, request.arrived_at, class));
    }

    /// Returns whether a request that arrived at `arrived_at` is past the grace time of a requested shutdown.
    pub(super) fn is_after_grace(&self, arrived_at: f64) -> bool {
        self.shutdown.is_some_and(|shutdown| shutdown.is_after_grace(arrived_at))
    }

    /// Returns the free memory, kB.
    pub(super) fn free_memory_kb(&self) -> f64 {
        self.memory.free_kb(self.requests.totals(), self.reservations.len()) - self.external_load.memory_kb()
    }

    /// Returns the counts of running requests and of those at an upstream call.
    ///
    /// The runs of another process on the machine are included.
    pub(super) fn run_counts(&self) -> RunCounts {
        self.external_load.added_to(self.requests.totals().runs())
    }

    /// Returns the number of runs in progress and the usual time of a run at the present speed.
    pub(super) fn run_activity(&self, now: f64) -> RunActivity {
        let usual_run = self.estimates.usual_run(&self.settings.classes);
        RunActivity {
            running: self.requests.running(),
            usual_run_ms: usual_run.run_ms / self.slow_start.speed(now),
        }
    }

    /// Returns the quantities that the limit of concurrent runs depends on.
    pub(super) fn capacity(&self, now: f64) -> Capacity {
        Capacity { speed: self.slow_start.speed(now), runs_off_core: self.overload.runs_off_core() }
    }

    /// Returns whether no request runs.
    pub(super) fn is_idle(&self) -> bool {
        self.requests.running() == 0
    }

    /// Returns the scheduler, which orders requests by their value at `now`.
    pub(super) fn scheduler(&self, now: f64) -> Scheduler<'_> {
        Scheduler {
            now,
            idle: self.is_idle(),
            classes: &self.settings.classes,
            estimates: &self.estimates,
            requests: &self.requests,
            reservations: &self.reservations,
        }
    }

    /// Returns the number of queued requests, without those of classes at their limit of concurrent runs.
    pub(super) fn queued(&self) -> usize {
        let requests = self.requests.totals();
        let saturated = SaturatedClasses::new(requests, &self.settings.class_limits);
        requests.queued() - saturated.queued()
    }
}
