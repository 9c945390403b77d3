//! The only file here that names the types of the library.
//!
//! Streams, formatting and recordings use the neutral types below and in `plan.rs`, so that a rename of a library
//! type or field changes the conversions in this file and nothing else.

use super::plan::{Class, Outcome, Plan, Repeat, ShareTold, Stopping};
use dunlinspread::{
    Action, AdmissionController, Arrival, Class as StatedClass, ClassLimitChange, Event, Gauges,
    Outcome as StatedOutcome, Preemption, QuotaChange, Reconfiguration, RetrySafety, Settings, Signal,
};

/// Readings of the gauges with one timer.
#[derive(Clone, Copy, Default)]
pub struct Readings {
    pub busy: Option<f64>,
    pub run_queue: Option<f64>,
    pub memory: Option<f64>,
    pub connections: Option<f64>,
}

/// A request that arrives.
#[derive(Clone, Default)]
pub struct Arriving {
    pub id: u64,
    pub class: usize,
    pub tenant: usize,
    pub subject: bool,
    pub deadline: Option<f64>,
    pub cost_ms: Option<f64>,
    pub queued_kb: f64,
    pub priority: f64,
    pub retry: bool,
    pub age_ms: f64,
    pub prior: Option<u64>,
}

/// An event.
#[derive(Clone)]
pub enum Input {
    Start,
    Arrive(Arriving),
    CallNeeded(u64),
    CallEnded { id: u64, outcome: Outcome, took_ms: f64 },
    Ended { id: u64, outcome: Outcome, took_ms: f64 },
    Gone(u64),
    Drain { stop_at: f64 },
    Reconfigured { quotas: Vec<(usize, Option<f64>)>, limits: Vec<(usize, Option<usize>)> },
    Timer { token: u64, readings: Readings },
}

/// An action.
#[derive(Clone)]
pub enum Output {
    Run(u64),
    Refuse { id: u64, retry_after_ms: f64, last: bool },
    Fail(u64),
    Reuse(u64),
    Preempt(u64),
    Keep { id: u64, ttl_ms: f64 },
    Forget(u64),
    Call { id: u64, limit_ms: f64 },
    SkipCall(u64),
    Share(f64),
    Health(bool),
    IdleLimit(f64),
    Timer { token: u64, delay_ms: f64 },
    Log(String),
}

/// An instance of the decision module.
pub struct Module {
    policy: AdmissionController,
}

impl Module {
    pub fn new(now: f64, seed: u64, plan: &Plan) -> Module {
        Module { policy: AdmissionController::new(now, settings(seed, plan)) }
    }

    pub fn take(&mut self, now: f64, input: &Input) -> Vec<Output> {
        let mut actions = Vec::new();
        self.policy.on_event(now, event(input.clone()), &mut actions);
        actions.into_iter().map(output).collect()
    }

    pub fn level(&self) -> usize {
        self.policy.level()
    }

    pub fn cut(&self) -> f64 {
        self.policy.priority_threshold()
    }
}

fn event(input: Input) -> Event {
    match input {
        Input::Start => Event::Start,
        Input::Arrive(a) => Event::Arrival(Arrival {
            id: a.id,
            class: a.class,
            tenant: a.tenant,
            shareable: a.subject,
            deadline: a.deadline,
            cost_ms: a.cost_ms,
            request_kb: a.queued_kb,
            priority: a.priority,
            is_retry: a.retry,
            age_ms: a.age_ms,
            duplicate_of: a.prior,
        }),
        Input::CallNeeded(id) => Event::UpstreamCallNeeded(id),
        Input::CallEnded { id, outcome, took_ms } => {
            Event::UpstreamCallEnded { id, outcome: stated_outcome(outcome), took_ms }
        }
        Input::Ended { id, outcome, took_ms } => {
            Event::RunEnded { id, outcome: stated_outcome(outcome), took_ms }
        }
        Input::Gone(id) => Event::ClientGone(id),
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
            let Readings { busy, run_queue, memory, connections } = r;
            Event::Timer { token, gauges: Gauges { busy, run_queue, memory, connections } }
        }
    }
}

fn output(action: Action) -> Output {
    match action {
        Action::Run(id) => Output::Run(id),
        Action::Reject { id, retry_after_ms, do_not_retry: last } => {
            Output::Refuse { id, retry_after_ms, last }
        }
        Action::Fail(id) => Output::Fail(id),
        Action::ReuseResult(id) => Output::Reuse(id),
        Action::Preempt(id) => Output::Preempt(id),
        Action::ReserveKey { id, ttl_ms } => Output::Keep { id, ttl_ms },
        Action::ReleaseKey(id) => Output::Forget(id),
        Action::CallUpstream { id, timeout_ms: limit_ms } => Output::Call { id, limit_ms },
        Action::SkipUpstreamCall(id) => Output::SkipCall(id),
        Action::AdvertiseShare(share) => Output::Share(share),
        Action::SetHealth(good) => Output::Health(good),
        Action::SetIdleTimeout(ms) => Output::IdleLimit(ms),
        Action::SetTimer { token, delay_ms } => Output::Timer { token, delay_ms },
        Action::Log(text) => Output::Log(text),
    }
}

fn stated_outcome(outcome: Outcome) -> StatedOutcome {
    match outcome {
        Outcome::Ok => StatedOutcome::Ok,
        Outcome::Error => StatedOutcome::Error,
        Outcome::Refused => StatedOutcome::Rejected,
        Outcome::TimedOut => StatedOutcome::TimedOut,
        Outcome::Unreachable => StatedOutcome::Unreachable,
        Outcome::CutOff => StatedOutcome::ConnectionLost,
        Outcome::Cancelled => StatedOutcome::Cancelled,
        Outcome::TooLate => StatedOutcome::NotStarted,
    }
}

fn stated_class(class: &Class) -> StatedClass {
    StatedClass {
        retry_safety: match class.repeat {
            Repeat::Safe => RetrySafety::Idempotent,
            Repeat::Keyed => RetrySafety::IdempotencyKey,
            Repeat::Never => RetrySafety::AtMostOnce,
        },
        latency_objective_ms: class.aim_ms,
        objective_per_cost: class.aim_stretch,
        client_timeout_ms: class.give_up_ms,
        key_window_ms: class.window_ms,
        priority_weight: class.worth,
        late_weight: class.late_worth,
        makes_upstream_calls: class.calls,
        degraded_weight: class.skip_worth,
    }
}

fn settings(seed: u64, plan: &Plan) -> Settings {
    Settings {
        seed,
        server_count: plan.servers,
        cores: plan.cores,
        tick_ms: plan.tick_ms,
        cold_start: plan.cold,
        cold_start_speed: plan.cold_share,
        warm_up_ms: plan.cold_ms,
        response_slack_ms: plan.answer_slack_ms,
        drain_grace_ms: plan.drain_grace_ms,
        survivable_runs_per_core: plan.survivable_per_core,
        overload_window_ms: plan.crowd_window_ms,
        memory_kb: plan.memory_kb,
        run_memory_factor: plan.run_factor,
        key_memory_kb: plan.key_kb,
        signal: match plan.share_told {
            ShareTold::Off => Signal::Off,
            ShareTold::Share => Signal::Share,
            ShareTold::Other => Signal::Other,
        },
        preemption: match plan.stopping {
            Stopping::Off => Preemption::Off,
            Stopping::Abort => Preemption::Abort,
            Stopping::Suspend => Preemption::Suspend,
        },
        has_upstream: plan.upstream,
        upstream_call_share: plan.upstream_share,
        upstream_window_ms: plan.upstream_window_ms,
        call_linger_ms: plan.linger_ms,
        shared_result_ttl_ms: plan.fresh_ms,
        retry_after: plan.retry_after,
        max_retry_after_ms: plan.max_retry_after_ms,
        passes_deadline: plan.tells_deadline,
        client_count: plan.callers,
        client_idle_timeout_ms: plan.idle_max_ms,
        over_quota_weight: plan.over_quota_worth,
        classes: plan.classes.iter().map(stated_class).collect(),
        tenant_quotas: plan.quotas.clone(),
        class_limits: plan.class_limits.iter().copied().collect(),
    }
}
