//! The decision module.
//!
//! Mechanism ("The IN SCP's overload protection mechanism (synchronization of call gapping)"): a periodic
//! timer reads the instance's gauges and steps an overload level between 0 and 3 with hysteresis. Each level
//! has one fixed share of the usual traffic, which goes out on every reply so that callers gap the excess.
//! Above level 0 a rank cut rises a step a timer, at level 0 it falls a step a timer; arrivals ranked under
//! it are refused. Around that stand the hold's order, the run limit and the guards of the four rules.

mod action;
mod answers;
mod callers;
mod calls;
mod clamp;
mod event;
mod events;
mod level;
mod order;
mod settings;

use crate::decaying_counts::DecayingCounts;
pub use action::Action;
use clamp::clamp_finite;
pub use event::{Arrival, Event, Gauges, Outcome, RequestId};
pub use settings::{
    Class, ClassLimitChange, Preemption, QuotaChange, Reconfiguration, RetrySafety, Settings, Signal,
};
use std::collections::BTreeMap;

/// Period of the one timer, ms: short against every aim, long against a round of events.
const TIMER_MS: f64 = 50.0;
/// The token of that timer.
const TIMER: u64 = 1;
/// Part of the memory, and of the share of calls, that is ever used.
const ROOM_USED: f64 = 0.9;
/// Weight of a new reading in the moving averages.
const BLEND: f64 = 0.1;
/// A run's expected time before any was seen, as a part of its class's aim.
const FIRST_GUESS: f64 = 0.12;
/// Span over which the rate of arrivals is averaged, ms: long enough for some tens of arrivals a core.
const RATE_SPAN_MS: f64 = 10_000.0;

type Actions = Vec<Action>;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Held,
    Running,
    /// Needs a call that is not made yet, or not before this time.
    AtCall(f64),
    Calling,
    Paused,
    Reusing,
}

/// A request that was read and is not over.
#[derive(Debug)]
struct Request {
    class: usize,
    request_kb: f64,
    priority: f64,
    priority_weight: f64,
    arrived: f64,
    aim: f64,
    due: f64,
    state: State,
    duplicate_of: Option<RequestId>,
    /// Its final answer was given, or its caller is gone.
    answered: bool,
    call_tries: i32,
}

/// What is known of a class beside its settings.
struct Learned {
    /// Usual time of a run, ms.
    usual: f64,
    /// Share of the arrivals.
    part: f64,
    /// Runs seen.
    seen: u32,
}

/// A mean over a span of time, whatever the rate: sum and count fade alike, and one reading of 0 more keeps a
/// few readings from saying much.
#[derive(Default)]
struct Mean {
    sum: f64,
    count: f64,
}

impl Mean {
    fn add(&mut self, reading: f64) {
        self.sum += reading;
        self.count += 1.0;
    }

    /// One timer on.
    fn fade(&mut self, span_ms: f64) {
        let part = (-TIMER_MS / span_ms).exp();
        self.sum *= part;
        self.count *= part;
    }

    fn value(&self) -> f64 {
        self.sum / (self.count + 1.0)
    }
}

/// The decisions of one instance.
#[derive(Default)]
pub struct AdmissionController {
    settings: Settings,
    born: f64,
    requests: BTreeMap<RequestId, Request>,
    entries: BTreeMap<RequestId, f64>,
    /// Calls of the window: whose, since when, and until when they may be in the dependency's hands.
    call_reservations: Vec<(RequestId, f64, f64)>,
    /// Usual time of a call, ms.
    usual_call: f64,
    learned: Vec<Learned>,
    /// Arrivals of each tenant over the span, fading.
    tenant_arrivals: DecayingCounts,
    /// Each tenant's saved part of an arrival within its allowance.
    tenant_credits: Vec<f64>,
    /// The sum of all allowances.
    all_allowances: f64,
    /// Notice to leave: when it came and when the process stops.
    leaving: Option<(f64, f64)>,
    level: usize,
    calm: u32,
    /// Time that what stands here takes to clear, as of the last timer, ms.
    clear_ms: f64,
    cut: f64,
    said: f64,
    /// Recent run time over the usual one.
    pace: f64,
    /// Runs that wait for disk, averaged.
    off_core: f64,
    /// What wants a core beside runs, past its usual measure, averaged.
    other_work: f64,
    /// Part of the runs that fail; it fades by itself, so that a little traffic finds out whether it is over.
    failing: Mean,
    /// When a run last ended or came to a call, or began on idle cores, and the gaps between such signs.
    progress: f64,
    gaps: Mean,
    /// When the runs last stood still.
    stood_still: f64,
    /// When the timer last came.
    timer_at: f64,
    healthy: bool,
    /// Arrivals over the span, those over an allowance, and the time watched, all fading.
    arrivals: f64,
    over_allowance_arrivals: f64,
    watched_ms: f64,
    idle_limit: f64,
    /// How old requests are when they are read, averaged, ms.
    age: Mean,
}

impl AdmissionController {
    /// A new instance; absurd settings are brought into a safe range.
    pub fn new(now: f64, settings: Settings) -> Self {
        let settings = settings.sanitized();
        let guess = |c: &Class| Learned {
            usual: c.latency_objective_ms * FIRST_GUESS,
            part: 1.0 / settings.classes.len() as f64,
            seen: 0,
        };
        AdmissionController {
            learned: settings.classes.iter().map(guess).collect(),
            tenant_arrivals: DecayingCounts::new(settings.tenant_quotas.len()),
            tenant_credits: vec![0.0; settings.tenant_quotas.len()],
            all_allowances: settings.tenant_quotas.iter().sum(),
            born: now,
            idle_limit: settings.client_idle_timeout_ms,
            settings,
            said: 1.0,
            pace: 1.0,
            progress: now,
            stood_still: f64::NEG_INFINITY,
            timer_at: now,
            healthy: true,
            ..AdmissionController::default()
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn on_event(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => self.on_start(actions),
            Event::Arrival(arrival) => self.on_arrive(now, arrival, actions),
            Event::UpstreamCallNeeded(id) => {
                self.note_progress(now);
                self.set_state(id, State::AtCall(now));
            }
            Event::UpstreamCallEnded { id, outcome, took_ms } => {
                self.on_call_ended(now, id, outcome, took_ms, actions)
            }
            Event::RunEnded { id, outcome, took_ms } => self.on_ended(now, id, outcome, took_ms, actions),
            Event::ClientGone(id) => self.on_gone(now, id, actions),
            Event::Drain { stop_at } => self.on_drain(now, stop_at, actions),
            Event::Reconfigured(changes) => self.on_reconfigured(&changes),
            Event::Timer { token, gauges } if token == TIMER => self.on_timer(now, gauges, actions),
            Event::Timer { .. } => {}
        }
        self.expire(now, actions);
        self.make_calls(now, actions);
        self.start_runs(now, actions);
    }

    /// The level as of the last timer, 0 to 3.
    pub fn level(&self) -> usize {
        self.level
    }

    /// The rank under which arrivals are refused.
    pub fn cut(&self) -> f64 {
        self.cut
    }

    fn count(&self, state: State) -> usize {
        self.requests.values().filter(|r| r.state == state).count()
    }

    fn set_state(&mut self, id: RequestId, state: State) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.state = state;
        }
    }

    /// Memory that held, running, paused and kept requests need, kB.
    fn memory_used(&self) -> f64 {
        let of = |r: &Request| match r.state {
            State::Held | State::Reusing => r.request_kb,
            _ => r.request_kb * self.settings.run_memory_factor,
        };
        self.requests.values().map(of).sum::<f64>() + self.entries.len() as f64 * self.settings.key_memory_kb
    }
}
