//! The decision module. Its types, events and actions are in `src/interface.rs`.
//!
//! Mechanism ("The IN SCP's overload protection mechanism (synchronization of call gapping)"): a periodic
//! timer reads the instance's gauges and steps an overload level between 0 and 3 with hysteresis. Each level
//! has one fixed share of the usual traffic, which goes out on every reply so that callers gap the excess.
//! Above level 0 a rank cut rises a step a timer, at level 0 it falls a step a timer; arrivals ranked under
//! it are refused. Around that stand the hold's order, the run limit and the guards of the four rules.

mod answers;
mod callers;
mod calls;
mod events;
mod level;
mod order;

use crate::decaying_counts::DecayingCounts;
pub use crate::interface::{
    Action, AllowanceChange, Arrival, Class, ClassLimitChange, Effect, Event, Gauges, Outcome, Preemption,
    Reconfiguration, RequestId, Settings, Signal,
};
use callers::IDLE_SHORT_MS;
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
    held_kb: f64,
    rank: f64,
    worth: f64,
    arrived: f64,
    aim: f64,
    due: f64,
    state: State,
    prior: Option<RequestId>,
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
pub struct Policy {
    set: Settings,
    born: f64,
    requests: BTreeMap<RequestId, Request>,
    entries: BTreeMap<RequestId, f64>,
    /// Calls of the window: whose, since when, and until when they may be in the dependency's hands.
    calls: Vec<(RequestId, f64, f64)>,
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

/// `x` within the bounds; what is no number becomes the lower one.
fn sane(x: f64, low: f64, high: f64) -> f64 {
    if x.is_nan() { low } else { x.clamp(low, high) }
}

impl Policy {
    /// A new instance; absurd settings are brought into a safe range.
    pub fn new(now: f64, mut set: Settings) -> Self {
        let year = 3.2e10;
        set.servers = sane(set.servers, 1.0, 1e6);
        set.cores = sane(set.cores, 1.0, 1e5);
        set.tick_ms = sane(set.tick_ms, 0.0, 1e4);
        set.cold_share = sane(set.cold_share, 0.01, 1.0);
        set.cold_ms = sane(set.cold_ms, 0.0, year);
        set.survivable_per_core = sane(set.survivable_per_core, 1.0, 1e6);
        set.memory_kb = sane(set.memory_kb, 0.0, 1e15);
        set.run_factor = sane(set.run_factor, 1.0, 1e6);
        set.key_kb = sane(set.key_kb, 0.0, 1e12);
        set.calls_share = set.calls_share.map(|s| sane(s, 0.0, 1e9));
        set.calls_window_ms = sane(set.calls_window_ms, 1.0, year);
        set.linger_ms = sane(set.linger_ms, 0.0, year);
        set.drain_grace_ms = sane(set.drain_grace_ms, 0.0, year);
        set.fresh_ms = sane(set.fresh_ms, 0.0, year);
        set.max_retry_after_ms = sane(set.max_retry_after_ms, 0.0, year);
        set.callers = sane(set.callers, 1.0, 1e9);
        set.idle_max_ms = sane(set.idle_max_ms, IDLE_SHORT_MS, year);
        set.over_share_worth = sane(set.over_share_worth, 0.0, 1.0);
        set.tenants.iter_mut().for_each(|t| *t = sane(*t, 0.0, 1e9));
        for c in &mut set.classes {
            c.give_up_ms = sane(c.give_up_ms, 0.0, year);
            c.aim_ms = sane(c.aim_ms, 0.0, year);
            c.aim_stretch = sane(c.aim_stretch, 0.0, 1e6);
            c.window_ms = sane(c.window_ms, 0.0, year);
            c.worth = sane(c.worth, 0.0, 1e9);
            c.late_worth = sane(c.late_worth, 0.0, 1.0);
            c.skip_worth = sane(c.skip_worth, 0.0, 1.0);
        }
        let guess = |c: &Class| Learned {
            usual: c.aim_ms * FIRST_GUESS,
            part: 1.0 / set.classes.len() as f64,
            seen: 0,
        };
        Policy {
            learned: set.classes.iter().map(guess).collect(),
            tenant_arrivals: DecayingCounts::new(set.tenants.len()),
            tenant_credits: vec![0.0; set.tenants.len()],
            all_allowances: set.tenants.iter().sum(),
            born: now,
            idle_limit: set.idle_max_ms,
            set,
            said: 1.0,
            pace: 1.0,
            progress: now,
            stood_still: f64::NEG_INFINITY,
            timer_at: now,
            healthy: true,
            ..Policy::default()
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn on_event(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start => self.on_start(out),
            Event::Arrive(arrival) => self.on_arrive(now, arrival, out),
            Event::CallNeeded(id) => {
                self.note_progress(now);
                self.set_state(id, State::AtCall(now));
            }
            Event::CallEnded { id, outcome, took_ms } => self.on_call_ended(now, id, outcome, took_ms, out),
            Event::Ended { id, outcome, took_ms } => self.on_ended(now, id, outcome, took_ms, out),
            Event::Gone(id) => self.on_gone(now, id, out),
            Event::Drain { stop_at } => self.on_drain(now, stop_at, out),
            Event::Reconfigured(changes) => self.on_reconfigured(&changes),
            Event::Timer { token, gauges } if token == TIMER => self.on_timer(now, gauges, out),
            Event::Timer { .. } => {}
        }
        self.expire(now, out);
        self.make_calls(now, out);
        self.start_runs(now, out);
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
            State::Held | State::Reusing => r.held_kb,
            _ => r.held_kb * self.set.run_factor,
        };
        self.requests.values().map(of).sum::<f64>() + self.entries.len() as f64 * self.set.key_kb
    }
}
