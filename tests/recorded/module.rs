//! Conversions between the types of the streams and those of the library.
//!
//! This is the only file of the folder that names types of the library. Streams, formatting and recordings
//! use the types below and in `plan.rs`, so that a rename of a library type or field changes only the
//! conversions in this file.

use super::plan::{Class, Outcome, Plan, PreemptionKind, RetryKind, SignalKind};
use dunlinspread::{
    Action, AdmissionController, Arrival, Class as StatedClass, ClassLimitChange, Event, Gauges,
    Outcome as StatedOutcome, Preemption, QuotaChange, Reconfiguration, RetrySafety, Settings, Signal,
};

/// Gauge readings of a timer event.
#[derive(Clone, Copy, Default)]
pub struct GaugeReadings {
    pub busy: Option<f64>,
    pub run_queue: Option<f64>,
    pub memory: Option<f64>,
    pub connections: Option<f64>,
}

/// A request that arrives.
#[derive(Clone, Default)]
pub struct IncomingRequest {
    pub id: u64,
    pub class: usize,
    pub tenant: usize,
    pub shareable: bool,
    pub deadline: Option<f64>,
    pub cost_ms: Option<f64>,
    pub request_kb: f64,
    pub priority: f64,
    pub is_retry: bool,
    pub age_ms: f64,
    pub duplicate_of: Option<u64>,
}

/// An event.
#[derive(Clone)]
pub enum Input {
    Start,
    Arrive(IncomingRequest),
    CallNeeded(u64),
    CallEnded { id: u64, outcome: Outcome, took_ms: f64 },
    Ended { id: u64, outcome: Outcome, took_ms: f64 },
    ClientGone(u64),
    Drain { stop_at: f64 },
    Reconfigured { quotas: Vec<(usize, Option<f64>)>, limits: Vec<(usize, Option<usize>)> },
    Timer { token: u64, readings: GaugeReadings },
}

/// An action.
#[derive(Clone)]
pub enum Output {
    Run(u64),
    Reject { id: u64, retry_after_ms: f64, no_retry: bool },
    Fail(u64),
    Reuse(u64),
    Preempt(u64),
    ReserveKey { id: u64, ttl_ms: f64 },
    ReleaseKey(u64),
    Call { id: u64, limit_ms: f64 },
    SkipCall(u64),
    Share(f64),
    Health(bool),
    IdleTimeout(f64),
    Timer { token: u64, delay_ms: f64 },
    Log(String),
}

/// An instance of the admission controller.
pub struct Module {
    controller: AdmissionController,
}

impl Module {
    pub fn new(now: f64, seed: u64, plan: &Plan) -> Module {
        Module { controller: AdmissionController::new(now, settings(seed, plan)) }
    }

    pub fn process(&mut self, now: f64, input: &Input) -> Vec<Output> {
        let mut actions = Vec::new();
        self.controller.on_event(now, event(input.clone()), &mut actions);
        actions.into_iter().map(output).collect()
    }

    pub fn level(&self) -> usize {
        self.controller.level()
    }

    pub fn priority_threshold(&self) -> f64 {
        self.controller.priority_threshold()
    }
}

fn event(input: Input) -> Event {
    match input {
        Input::Start => Event::Start,
        Input::Arrive(a) => Event::Arrival(Arrival {
            id: a.id,
            class: a.class,
            tenant: a.tenant,
            shareable: a.shareable,
            deadline: a.deadline,
            cost_ms: a.cost_ms,
            request_kb: a.request_kb,
            priority: a.priority,
            is_retry: a.is_retry,
            age_ms: a.age_ms,
            duplicate_of: a.duplicate_of,
        }),
        Input::CallNeeded(id) => Event::UpstreamCallNeeded(id),
        Input::CallEnded { id, outcome, took_ms } => {
            Event::UpstreamCallEnded { id, outcome: stated_outcome(outcome), took_ms }
        }
        Input::Ended { id, outcome, took_ms } => {
            Event::RunEnded { id, outcome: stated_outcome(outcome), took_ms }
        }
        Input::ClientGone(id) => Event::ClientGone(id),
        Input::Drain { stop_at } => Event::Drain { stop_at },
        Input::Reconfigured { quotas, limits } => {
            let quota = |(tenant, per_second)| QuotaChange { tenant, per_second };
            let limit = |(class, max_running)| ClassLimitChange { class, max_running };
            Event::Reconfigured(Box::new(Reconfiguration {
                quotas: quotas.into_iter().map(quota).collect(),
                class_limits: limits.into_iter().map(limit).collect(),
            }))
        }
        Input::Timer { token, readings: r } => {
            let GaugeReadings { busy, run_queue, memory, connections } = r;
            Event::Timer { token, gauges: Gauges { busy, run_queue, memory, connections } }
        }
    }
}

fn output(action: Action) -> Output {
    match action {
        Action::Run(id) => Output::Run(id),
        Action::Reject { id, retry_after_ms, do_not_retry: no_retry } => {
            Output::Reject { id, retry_after_ms, no_retry }
        }
        Action::Fail(id) => Output::Fail(id),
        Action::ReuseResult(id) => Output::Reuse(id),
        Action::Preempt(id) => Output::Preempt(id),
        Action::ReserveKey { id, ttl_ms } => Output::ReserveKey { id, ttl_ms },
        Action::ReleaseKey(id) => Output::ReleaseKey(id),
        Action::CallUpstream { id, timeout_ms: limit_ms } => Output::Call { id, limit_ms },
        Action::SkipUpstreamCall(id) => Output::SkipCall(id),
        Action::AdvertiseShare(share) => Output::Share(share),
        Action::SetHealth(good) => Output::Health(good),
        Action::SetIdleTimeout(ms) => Output::IdleTimeout(ms),
        Action::SetTimer { token, delay_ms } => Output::Timer { token, delay_ms },
        Action::Log(text) => Output::Log(text),
    }
}

fn stated_outcome(outcome: Outcome) -> StatedOutcome {
    match outcome {
        Outcome::Ok => StatedOutcome::Ok,
        Outcome::Error => StatedOutcome::Error,
        Outcome::Rejected => StatedOutcome::Rejected,
        Outcome::TimedOut => StatedOutcome::TimedOut,
        Outcome::Unreachable => StatedOutcome::Unreachable,
        Outcome::ConnectionLost => StatedOutcome::ConnectionLost,
        Outcome::Cancelled => StatedOutcome::Cancelled,
        Outcome::NotStarted => StatedOutcome::NotStarted,
    }
}

fn stated_class(class: &Class) -> StatedClass {
    StatedClass {
        retry_safety: match class.retry_safety {
            RetryKind::Safe => RetrySafety::Idempotent,
            RetryKind::Keyed => RetrySafety::IdempotencyKey,
            RetryKind::Never => RetrySafety::AtMostOnce,
        },
        latency_objective_ms: class.latency_objective_ms,
        objective_per_cost: class.objective_per_cost,
        client_timeout_ms: class.client_timeout_ms,
        key_window_ms: class.key_window_ms,
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        makes_upstream_calls: class.makes_upstream_calls,
        degraded_weight: class.degraded_weight,
    }
}

fn settings(seed: u64, plan: &Plan) -> Settings {
    Settings {
        seed,
        server_count: plan.servers,
        cores: plan.cores,
        tick_ms: plan.tick_ms,
        cold_start: plan.cold_start,
        cold_start_speed: plan.cold_start_speed,
        warm_up_ms: plan.warm_up_ms,
        response_slack_ms: plan.response_slack_ms,
        drain_grace_ms: plan.drain_grace_ms,
        survivable_runs_per_core: plan.survivable_runs_per_core,
        overload_window_ms: plan.overload_window_ms,
        memory_kb: plan.memory_kb,
        run_memory_factor: plan.run_memory_factor,
        key_memory_kb: plan.key_memory_kb,
        signal: match plan.signal {
            SignalKind::Off => Signal::Off,
            SignalKind::Share => Signal::Share,
            SignalKind::Other => Signal::Other,
        },
        preemption: match plan.preemption {
            PreemptionKind::Off => Preemption::Off,
            PreemptionKind::Abort => Preemption::Abort,
            PreemptionKind::Suspend => Preemption::Suspend,
        },
        has_upstream: plan.has_upstream,
        upstream_call_share: plan.upstream_call_share,
        upstream_window_ms: plan.upstream_window_ms,
        call_linger_ms: plan.call_linger_ms,
        shared_result_ttl_ms: plan.shared_result_ttl_ms,
        retry_after: plan.retry_after,
        max_retry_after_ms: plan.max_retry_after_ms,
        passes_deadline: plan.passes_deadline,
        client_count: plan.client_count,
        client_idle_timeout_ms: plan.client_idle_timeout_ms,
        over_quota_weight: plan.over_quota_weight,
        classes: plan.classes.iter().map(stated_class).collect(),
        tenant_quotas: plan.quotas.clone(),
        class_limits: plan.class_limits.iter().copied().collect(),
    }
}
