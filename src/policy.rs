//! The decision module. Its types, events and actions are in `src/interface.rs`.
//!
//! Mechanism ("The IN SCP's overload protection mechanism (synchronization of call gapping)"): a periodic
//! timer reads the instance's gauges and steps an overload level between 0 and 3 with hysteresis. Each level
//! has one fixed share of the usual traffic, which goes out on every reply so that callers gap the excess.
//! Above level 0 a rank cut rises a step a timer, at level 0 it falls a step a timer; arrivals ranked under
//! it are refused. Around that stand the hold's order, the run limit and the guards of the four rules.

use crate::interface::*;
use std::collections::BTreeMap;

// ---- Constants ---------------------------------------------------------------------------------------

/// Period of the one timer, ms: short against every aim, long against a round of events.
const TIMER_MS: f64 = 50.0;
/// The token of that timer.
const TIMER: u64 = 1;
/// Busy share of the cores from which they count as full; below it the level can't rise.
const BUSY_FULL: f64 = 0.9;
/// Timers in a row under a level's leave threshold before it falls a step.
const CALM_TIMERS: u32 = 3;
/// One step of the rank cut, in rank.
const CUT_STEP: f64 = 0.01;
/// The cut never rises past this part of what is within allowances: the better half is left to the hold.
const CUT_MAX: f64 = 0.5;
/// Usual run times that reads may be old on the average while the cut still rests beside idle cores.
const FRESH_RUNS: f64 = 2.0;
/// Runs a core meant to be on the cores; a little over one covers the gaps between runs.
const RUNS_PER_CORE: f64 = 1.25;
/// What else may want a core, a core, before it counts as crowding: a read and a little more.
const OTHER_WORK: f64 = 2.0;
/// The most crowding that counts, a core, so that one absurd reading fades soon.
const MAX_OTHERS: f64 = 10.0;
/// Part of the survivable crowd that is ever used, so that reads and late stops stay harmless.
const CROWD_USED: f64 = 0.7;
/// Part of the memory, and of the share of calls, that is ever used.
const ROOM_USED: f64 = 0.9;
/// Weight of a new reading in the moving averages.
const BLEND: f64 = 0.1;
/// Span over which the age of reads and the failing part of the runs are averaged, ms: a handful of readings
/// on a small machine, and over soon.
const SYMPTOM_SPAN_MS: f64 = 1000.0;
/// Weight of an arrival in the mix of classes.
const MIX_BLEND: f64 = 0.02;
/// A run's expected time before any was seen, as a part of its class's aim.
const FIRST_GUESS: f64 = 0.12;
/// Part of the expected time that must be left before the aim for a run to be worth starting.
const MUST_FIT: f64 = 0.7;
/// Part of the rank and worth that a marked further try keeps.
const RETRY_PART: f64 = 0.1;
/// Part of the runs failing from which the instance counts as sick, and down to which health stays bad.
const FAILING: f64 = 0.5;
const FAILING_STILL: f64 = 0.1;
/// Usual gaps between signs of progress (a run ends or comes to a call) without one, from which runs are
/// stalled: chance alone makes one in ten thousand so long.
const STALLED: f64 = 10.0;
/// Room a tenant has over its allowance, since callers spread unevenly, and standard deviations of chance.
const ALLOWANCE_SLACK: f64 = 1.1;
const ALLOWANCE_NOISE: f64 = 1.0;
/// Span over which the rate of arrivals is averaged, ms: long enough for some tens of arrivals a core.
const RATE_SPAN_MS: f64 = 10_000.0;
/// Uses of a caller's connection, within the callers' own idle limit, from which it is kept that long.
const USES_TO_KEEP: f64 = 1.0;
/// Idle limit for connections used less, ms: a prompt further request still finds its connection open.
const IDLE_SHORT_MS: f64 = 200.0;
/// Other work a core, past its usual measure, from which such connections are kept as long as the callers do.
const IDLE_CROWD: f64 = 1.0;
/// Largest step of that limit a timer, as a factor.
const IDLE_STEP: f64 = 1.25;
/// Part of the usual gap between a caller's arrivals that advice to stay away lasts at most.
const GAP_PART: f64 = 0.5;
/// Usual call times that must fit within a call's limit for it to be made.
const CALL_ROOM: f64 = 2.0;
/// First wait before a call is tried again, ms; it doubles with each try.
const CALL_RETRY_MS: f64 = 100.0;
/// Part of the time to the aim that a call of a tier may take where it can be left out: one that is never
/// answered leaves room to be made again.
const CALL_PART: f64 = 0.6;
/// Times that a safe call which broke off or was not answered in time is made again at once.
const CALLS_AGAIN: i32 = 2;

/// One overload level: the time that the run queue takes to clear, as a part of the usual aim, at which the
/// level is entered and left, and the share told to callers.
struct Level {
    enter: f64,
    leave: f64,
    share: f64,
}

/// The level table.
const LEVELS: [Level; 4] = [
    Level { enter: 0.0, leave: 0.0, share: 1.0 },
    Level { enter: 0.75, leave: 0.5, share: 0.3 },
    Level { enter: 0.95, leave: 0.75, share: 0.08 },
    Level { enter: 1.15, leave: 0.95, share: 0.01 },
];

// ---- State -------------------------------------------------------------------------------------------

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
    /// Arrivals of each tenant over the span, fading, and its saved part of one within its allowance.
    sent: Vec<(f64, f64)>,
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
    /// When the timer last came.
    timer_at: f64,
    healthy: bool,
    /// Arrivals over the span, those over an allowance, and the time watched, all fading.
    arrivals: f64,
    over: f64,
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
            sent: vec![(0.0, 0.0); set.tenants.len()],
            born: now,
            idle_limit: set.idle_max_ms,
            set,
            said: 1.0,
            pace: 1.0,
            progress: now,
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

    // ---- Events --------------------------------------------------------------------------------------

    fn on_start(&mut self, out: &mut Actions) {
        out.push(Action::Health(true));
        if self.set.signal == Signal::Share {
            out.push(Action::Say(self.said));
        }
        out.push(Action::Timer { token: TIMER, delay_ms: TIMER_MS });
    }

    fn on_arrive(&mut self, now: f64, a: Arrival, out: &mut Actions) {
        if self.requests.contains_key(&a.id) {
            return;
        }
        // A class past the list has no stated effect or aim: not running it is the one safe answer.
        let Some(class) = self.set.classes.get(a.class).cloned() else {
            return out.push(Action::Refuse { id: a.id, retry_after_ms: 0.0, last: true });
        };
        for (at, l) in self.learned.iter_mut().enumerate() {
            l.part += (if at == a.class { 1.0 } else { 0.0 } - l.part) * MIX_BLEND;
        }
        self.arrivals += 1.0;
        let age = sane(a.age_ms, 0.0, class.give_up_ms);
        self.age.add(age);
        let arrived = now - age;
        let told = a.deadline.filter(|d| d.is_finite() && *d > 0.0);
        let mut due = told.unwrap_or(arrived + class.give_up_ms).max(now);
        if let Some((_, stop)) = self.leaving {
            due = due.min(stop);
        }
        let cost = sane(a.cost_ms.unwrap_or(0.0), 0.0, 1e9);
        let over = self.over_allowance(a.tenant);
        self.over += f64::from(u8::from(over));
        // A further try has spent part of its aim, and refusing a first try only brings another one to read.
        let part =
            if over { self.set.over_share_worth } else { 1.0 } * if a.retry { RETRY_PART } else { 1.0 };
        let keyed = class.effect == Effect::Keyed;
        let shared = class.effect == Effect::Safe && a.subject && self.set.fresh_ms > 0.0;
        let prior = a.prior.filter(|p| keyed || shared && self.can_share(*p));
        let request = Request {
            class: a.class,
            held_kb: sane(a.held_kb, 0.0, 1e12),
            rank: self.place(sane(a.rank, 0.0, 1.0), over) * if a.retry { RETRY_PART } else { 1.0 },
            worth: class.worth * part,
            arrived,
            aim: (arrived + class.aim_ms + class.aim_stretch * cost).min(due),
            due,
            state: State::Held,
            prior,
            answered: false,
            call_tries: 0,
        };
        let prior_held = prior.and_then(|p| self.requests.get(&p)).is_some_and(|p| p.state == State::Held);
        if prior.is_some() {
            // A repeat is never refused or run once its first try ran: it takes that try's result. While
            // the first try is still held, it waits beside it. Reads of one subject share an answer alike.
            self.requests.insert(a.id, request);
            if self.memory_used() > self.set.memory_kb * ROOM_USED {
                self.requests.remove(&a.id);
                let refusal = self.refusal(a.id, self.clear_ms, false);
                out.push(if keyed { Action::Fail(a.id) } else { refusal });
            } else if !prior_held {
                self.set_state(a.id, State::Reusing);
                out.push(Action::Reuse(a.id));
            }
            return;
        }
        if self.is_after_grace(arrived) {
            return out.push(self.refusal(a.id, f64::INFINITY, false));
        }
        if self.is_sick(now) {
            return out.push(self.refusal(a.id, f64::INFINITY, false));
        }
        // Others are likely loaded too, and each one the caller walked to would pay for one more read. At
        // level 0 the cut is idle for first tries: what is held clears in time. Marked further tries stay
        // under it, or a storm of them would outlast its cause. The gauge is late: while a run could start,
        // the cut rests.
        let idle = self.count(State::Held) == 0
            && self.has_run_room(now)
            && !self.calls_block(now)
            && self.age.value() < FRESH_RUNS * self.usual_and_aim().0
            && self.failing.value() < FAILING;
        if request.rank < self.cut && (a.retry || self.level > 0 && !idle) {
            return out.push(self.refusal(a.id, self.clear_ms, true));
        }
        let need = request.held_kb * self.set.run_factor;
        let room = self.set.memory_kb * ROOM_USED - self.memory_used();
        if need + if keyed { self.set.key_kb } else { 0.0 } > room {
            return out.push(self.refusal(a.id, self.clear_ms, false));
        }
        self.requests.insert(a.id, request);
        if keyed || shared && need + self.set.key_kb <= room {
            self.keep(now, a.id, out);
        }
    }

    fn on_ended(&mut self, now: f64, id: RequestId, outcome: Outcome, took_ms: f64, out: &mut Actions) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if outcome == Outcome::Cancelled && !r.answered && self.set.preemption == Preemption::Suspend {
            r.state = State::Paused;
            return;
        }
        let (class, calling, reused) = (r.class, r.state == State::Calling, r.state == State::Reusing);
        let lost = outcome == Outcome::Cancelled && !r.answered;
        if !reused && matches!(outcome, Outcome::Ok | Outcome::Error) {
            let failed = f64::from(u8::from(outcome == Outcome::Error));
            self.failing.add(failed);
        }
        if !reused {
            self.note_progress(now);
        }
        if calling {
            self.call_over(id, now + self.set.linger_ms);
        }
        if outcome == Outcome::Ok && !reused {
            self.learn(now, class, sane(took_ms, 0.0, 1e9));
        }
        if lost {
            // A run we did not stop came back: it is answered, since it may have had its effect.
            out.push(Action::Fail(id));
        }
        if outcome == Outcome::TooLate {
            self.give_entry_back(now, id, out);
        } else if self.set.classes[class].effect == Effect::Safe {
            self.keep_fresh(now, id, outcome, out);
        }
        self.requests.remove(&id);
    }

    /// A read's answer serves others while it is fresh; one that ended otherwise serves none.
    fn keep_fresh(&mut self, now: f64, id: RequestId, outcome: Outcome, out: &mut Actions) {
        let Some(until) = self.entries.get_mut(&id) else { return };
        if outcome == Outcome::Ok {
            *until = until.min(now + self.set.fresh_ms);
        } else {
            self.entries.remove(&id);
            out.push(Action::Forget(id));
        }
    }

    fn on_gone(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.answered = true;
            self.let_go(now, id, out);
        }
    }

    fn on_call_ended(&mut self, now: f64, id: RequestId, outcome: Outcome, took_ms: f64, out: &mut Actions) {
        let never_ran = matches!(outcome, Outcome::Refused | Outcome::Unreachable);
        let linger = if never_ran || outcome == Outcome::Ok { 0.0 } else { self.set.linger_ms };
        self.call_over(id, now + linger);
        if !never_ran {
            self.usual_call += (sane(took_ms, 0.0, 1e9) - self.usual_call) * BLEND;
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        if outcome == Outcome::Ok {
            r.state = State::Running;
            return;
        }
        let class = &self.set.classes[r.class];
        let safe = class.effect == Effect::Safe;
        let again = safe && self.set.calls_share.is_none() && r.call_tries < CALLS_AGAIN;
        // A tier has other machines: a call that broke off or got no answer may find a better one. It guards
        // against spoilt and missing replies; it could hurt where all are slow, so it ends soon.
        if again && matches!(outcome, Outcome::CutOff | Outcome::TimedOut) {
            r.call_tries += 1;
            r.state = State::AtCall(now);
        // So may one that was refused.
        } else if class.skip_worth > 0.0 && !(never_ran && self.set.calls_share.is_none()) {
            r.state = State::Running;
            out.push(Action::SkipCall(id));
        } else if never_ran || safe {
            // Back off, doubling: a dependency in trouble is not helped by more calls.
            r.call_tries = (r.call_tries + 1).min(6);
            r.state = State::AtCall(now + CALL_RETRY_MS * f64::from(1 << r.call_tries));
        } else {
            r.state = State::AtCall(f64::INFINITY);
            self.answer(now, id, false, out);
        }
    }

    fn on_drain(&mut self, now: f64, stop_at: f64, out: &mut Actions) {
        let stop = sane(stop_at, now, f64::MAX);
        self.leaving = Some((now, stop));
        for r in self.requests.values_mut() {
            r.due = r.due.min(stop);
            r.aim = r.aim.min(stop);
        }
        out.push(Action::Health(false));
        self.say(0.0, out);
    }

    fn on_timer(&mut self, now: f64, gauges: Gauges, out: &mut Actions) {
        out.push(Action::Timer { token: TIMER, delay_ms: TIMER_MS });
        if self.set.fresh_ms > 0.0 {
            // Entries of reads end before the time they were asked for.
            let over = self.entries.iter().filter(|(_, until)| **until <= now);
            out.extend(over.map(|(id, _)| Action::Forget(*id)));
        }
        self.entries.retain(|_, until| *until > now);
        self.calls.retain(|(_, _, until)| *until > now - self.set.calls_window_ms);
        self.step_level(now, gauges);
        self.step_health(now, gauges == Gauges::default(), out);
        self.step_cut();
        let running = self.count(State::Running) as f64 / self.set.cores;
        self.step_idle_limit(gauges.busy.unwrap_or(running), out);
        if self.leaving.is_none() {
            self.say(LEVELS[self.level].share, out);
        }
    }

    // ---- Level and cut -------------------------------------------------------------------------------

    /// One step up at a time; down only after calm. A missing or absurd gauge gives way to our own counts.
    fn step_level(&mut self, now: f64, gauges: Gauges) {
        let running = self.count(State::Running) as f64;
        let gauge = gauges.run_queue.filter(|q| q.is_finite() && (0.0..1e6).contains(q));
        let off = gauge.map_or(0.0, |q| (running - q).max(0.0));
        let queue = (gauge.unwrap_or(running) + self.count(State::Held) as f64) / self.set.cores;
        let (usual, aim) = self.usual_and_aim();
        self.clear_ms = queue * usual / self.speed_share(now) + self.age.value();
        let clear = if queue > 1.0 { self.clear_ms / aim } else { 0.0 };
        self.age.fade(SYMPTOM_SPAN_MS);
        let busy = gauges.busy.filter(|b| (0.0..=1.01).contains(b));
        // Cores that idled while requests were held show runs that wait off the cores, which reads hide from
        // the queue. Work that hangs looks alike: the crowd bounds what that adds.
        let idled = if self.count(State::Held) > 0 { (1.0 - busy.unwrap_or(1.0)).max(0.0) } else { 0.0 };
        let seen = if idled > 0.0 { off.max(self.off_core) + idled * self.set.cores } else { off };
        self.off_core += (seen.min(self.set.cores) - self.off_core) * BLEND;
        // Other work in numbers: new connections in a storm of tries.
        let others = gauge.map_or(0.0, |q| q - running) - OTHER_WORK * self.set.cores;
        self.other_work += (others.clamp(0.0, MAX_OTHERS * self.set.cores) - self.other_work) * BLEND;
        let sick = self.is_sick(now);
        let clear = if sick { f64::INFINITY } else { clear };
        self.clear_ms = if sick { f64::INFINITY } else { self.clear_ms };
        let full = sick || busy.unwrap_or(running / self.set.cores) >= BUSY_FULL;
        self.failing.fade(SYMPTOM_SPAN_MS);
        if self.level + 1 < LEVELS.len() && full && clear >= LEVELS[self.level + 1].enter {
            self.level += 1;
            self.calm = 0;
        } else if self.level > 0 && (clear < LEVELS[self.level].leave || !full) {
            self.calm += 1;
            if self.calm >= CALM_TIMERS {
                self.level -= 1;
                self.calm = 0;
            }
        } else {
            self.calm = 0;
        }
    }

    /// Symptoms that no gauge names: runs that fail fast and so draw traffic in, and runs that make no
    /// progress while requests are read. What arrives is told at once, so that it may go elsewhere, and
    /// health says bad; the failing part fades, so that a little traffic finds out whether it is over. They
    /// raise the level like load. It guards against work that fails or stops here, whatever the cause, which
    /// overload alone does not. It could hurt where a class always fails or few long runs hold all cores.
    fn is_sick(&self, now: f64) -> bool {
        self.failing.value() > FAILING || self.is_stalled(now)
    }

    /// Whether the runs make no progress: none ended or came to a call for many of their usual gaps.
    fn is_stalled(&self, now: f64) -> bool {
        let usual = self.usual_and_aim().0 / self.speed_share(now);
        let gap = (self.gaps.sum + usual) / (self.gaps.count + 1.0);
        self.count(State::Running) > 0 && now - self.progress > usual.max(STALLED * gap)
    }

    fn note_progress(&mut self, now: f64) {
        self.gaps.add((now - self.progress).max(0.0));
        self.progress = now;
    }

    /// What is held can't be served while runs make no progress: it is told too. A process frozen as a whole
    /// reads nothing either, and its timer is late, or no gauge is to be had: that is no such time.
    fn step_health(&mut self, now: f64, blind: bool, out: &mut Actions) {
        if blind || now - self.timer_at > 2.0 * TIMER_MS {
            self.progress = (self.progress + now - self.timer_at).min(now);
        }
        self.timer_at = now;
        let stalled = self.is_stalled(now);
        if !stalled {
            self.gaps.fade(RATE_SPAN_MS);
        } else {
            let held =
                self.requests.iter().filter(|(_, r)| r.state == State::Held && !self.waits_for_prior(r));
            for id in held.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.answer(now, id, false, out);
            }
        }
        let failing = self.failing.value() > if self.healthy { FAILING } else { FAILING_STILL };
        let healthy = !stalled && !failing;
        if healthy != self.healthy && self.leaving.is_none() {
            self.healthy = healthy;
            out.push(Action::Health(healthy));
        }
    }

    /// The usual time of a run and the usual aim, over the classes as they arrive.
    fn usual_and_aim(&self) -> (f64, f64) {
        let classes = self.learned.iter().zip(&self.set.classes);
        let sum = classes.fold((0.0, 0.0), |(u, a), (l, c)| (u + l.part * l.usual, a + l.part * c.aim_ms));
        (sum.0, sum.1.max(1.0))
    }

    fn step_cut(&mut self) {
        let step = if self.level > 0 { CUT_STEP } else { -CUT_STEP };
        self.cut = (self.cut + step).clamp(0.0, self.place(CUT_MAX, false));
    }

    /// A rank's place among all that arrives, what is over an allowance below all else: a step of the cut
    /// refuses the same part of the traffic wherever it stands, and does not overshoot into what is within.
    fn place(&self, rank: f64, over: bool) -> f64 {
        let below = self.over / self.arrivals.max(1.0);
        if over { rank * below } else { below + rank * (1.0 - below) }
    }

    fn say(&mut self, share: f64, out: &mut Actions) {
        if self.set.signal == Signal::Share && share != self.said {
            self.said = share;
            out.push(Action::Say(share));
        }
    }

    /// Many callers that each come seldom fill the table with idle connections, at which others find no room
    /// and the cores pay for each: such connections close soon; where few callers come often, they stay. When
    /// opening them crowds the cores (a storm of tries), they are kept, the longer the worse it is: who holds
    /// one pays nothing, and a full table turns the rest away for nothing. The limit shrinks again only while
    /// cores idle. It could hurt where the crowd is of another kind.
    fn step_idle_limit(&mut self, busy: f64, out: &mut Actions) {
        let fade = (-TIMER_MS / RATE_SPAN_MS).exp();
        self.arrivals *= fade;
        self.over *= fade;
        self.sent.iter_mut().for_each(|t| t.0 *= fade);
        self.watched_ms = self.watched_ms * fade + TIMER_MS;
        let uses = self.arrivals / self.watched_ms * self.set.idle_max_ms / self.set.callers;
        let part = (self.other_work / self.set.cores / IDLE_CROWD).min(1.0);
        let target = (IDLE_SHORT_MS * (self.set.idle_max_ms / IDLE_SHORT_MS).powf(part)).round();
        let limit = if uses >= USES_TO_KEEP {
            self.set.idle_max_ms
        } else if target > self.idle_limit {
            target.min(self.idle_limit * IDLE_STEP)
        } else if busy < BUSY_FULL {
            target.max(self.idle_limit / IDLE_STEP)
        } else {
            self.idle_limit
        };
        if limit != self.idle_limit {
            self.idle_limit = limit;
            out.push(Action::IdleLimit(limit));
        }
    }

    /// Whether an arrival belongs to the part of its tenant's traffic that passes the allowance: an even part
    /// of the rate, or as much for it as the others send for theirs, past chance. The first spares one that
    /// sends while others don't; the second follows retries and an instance that callers lean on. The part
    /// within is saved up arrival by arrival, which holds at any rate. It guards against a tenant's flood or
    /// burst; it could hurt where a tenant's callers all come here.
    fn over_allowance(&mut self, tenant: usize) -> bool {
        let (Some(sent), Some(allowance)) = (self.sent.get_mut(tenant), self.set.tenants.get(tenant)) else {
            return false;
        };
        sent.0 += 1.0;
        let sent = sent.0;
        let all: f64 = self.set.tenants.iter().sum();
        if all <= 0.0 {
            return false;
        }
        let part = (self.sent.iter().map(|t| t.0).sum::<f64>() - sent) / (all - allowance).max(1e-9);
        let even = self.watched_ms / 1000.0 / self.set.servers;
        let expected = allowance * part.max(even);
        let within = expected * ALLOWANCE_SLACK + ALLOWANCE_NOISE * (expected + 1.0).sqrt();
        let credit = &mut self.sent[tenant].1;
        *credit = (*credit + within / sent).min(1.0);
        let over = *credit < 1.0;
        *credit -= f64::from(u8::from(!over));
        over
    }

    // ---- Hold and run order --------------------------------------------------------------------------

    /// Starts held requests, best first, while the run limit and the memory have room.
    fn start_runs(&mut self, now: f64, out: &mut Actions) {
        while self.has_run_room(now) {
            let blocked = self.calls_block(now);
            let must_call = |r: &Request| {
                let class = &self.set.classes[r.class];
                class.calls && class.skip_worth <= 0.0
            };
            let room = self.set.memory_kb * ROOM_USED - self.memory_used();
            let fits = |r: &Request| r.held_kb * (self.set.run_factor - 1.0) <= room;
            let waiting = |r: &Request| match r.state {
                State::Held => {
                    let free = !self.waits_for_prior(r) && !self.is_after_grace(r.arrived);
                    !r.answered && free && fits(r) && !(blocked && must_call(r))
                }
                State::Paused => true,
                _ => false,
            };
            let candidates = self.requests.iter().filter(|(_, r)| waiting(r));
            let best = candidates.map(|(id, r)| (*id, self.value_with_repeats(now, *id, r)));
            let idle = self.count(State::Running) == 0;
            let Some((id, _)) = best.max_by(|a, b| a.1.total_cmp(&b.1)) else { return };
            self.progress = if idle { now } else { self.progress };
            self.set_state(id, State::Running);
            out.push(Action::Run(id));
            let repeats = self.requests.iter().filter(|(_, r)| r.prior == Some(id) && r.state == State::Held);
            for repeat in repeats.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.set_state(repeat, State::Reusing);
                out.push(Action::Reuse(repeat));
            }
        }
    }

    /// It reached the machine too late after the notice to leave to be run, also as heir of an earlier try.
    fn is_after_grace(&self, arrived: f64) -> bool {
        self.leaving.is_some_and(|(notice, _)| arrived > notice + self.set.drain_grace_ms - 1.0)
    }

    fn waits_for_prior(&self, r: &Request) -> bool {
        r.prior.and_then(|p| self.requests.get(&p)).is_some_and(|p| p.state == State::Held)
    }

    /// Whether the answer to that read is fresh, or will come: one that is being stopped or was given up
    /// brings none, and safe work may just as well run for itself.
    fn can_share(&self, prior: RequestId) -> bool {
        self.requests.get(&prior).map_or(self.entries.contains_key(&prior), |p| !p.answered)
    }

    /// One run serves all that wait for its answer.
    fn value_with_repeats(&self, now: f64, id: RequestId, r: &Request) -> f64 {
        let waits = |x: &&Request| x.prior == Some(id) && !x.answered && self.entries.contains_key(&id);
        self.value(now, r) + self.requests.values().filter(waits).map(|x| self.value(now, x)).sum::<f64>()
    }

    /// Worth for the work, less where the aim can't be met; among equals the earlier aim first.
    fn value(&self, now: f64, r: &Request) -> f64 {
        let usual = self.learned[r.class].usual.max(1.0);
        let late = now + usual * self.pace * MUST_FIT > r.aim;
        let worth = if late { r.worth * self.set.classes[r.class].late_worth } else { r.worth };
        worth / usual - (r.aim - now).max(0.0) * 1e-12
    }

    /// Whether a run may start. Those at a call count to the survivable crowd, or all would crowd the cores
    /// when they come back together.
    fn has_run_room(&self, now: f64) -> bool {
        let (on, at_call) =
            (self.count(State::Running) as f64, self.waiting_calls() + self.count(State::Calling));
        on < self.run_limit(now) && on + (at_call as f64) < self.survivable(now).max(1.0)
    }

    /// Whether runs that wait for a call to be made take up the run limit. More of a class that can't do
    /// without would wait behind them, and in vain where what lies below is slow.
    fn calls_block(&self, now: f64) -> bool {
        (self.count(State::Running) + self.waiting_calls()) as f64 >= self.run_limit(now)
    }

    fn waiting_calls(&self) -> usize {
        self.requests.values().filter(|r| matches!(r.state, State::AtCall(_))).count()
    }

    /// Runs that the cores survive at the present speed, with a margin.
    fn survivable(&self, now: f64) -> f64 {
        let crowd = 1.0 + (self.set.survivable_per_core - 1.0) * self.speed_share(now);
        self.set.cores * crowd * CROWD_USED
    }

    /// Runs that may be on the cores at once: a little over one a core, plus those seen to wait for disk;
    /// never near the survivable crowd at the present speed, even if all come back to the cores at once.
    fn run_limit(&self, now: f64) -> f64 {
        let wanted = self.set.cores * RUNS_PER_CORE + self.off_core;
        wanted.min(self.survivable(now)).max(1.0).floor()
    }

    /// The share of its speed that the instance has at least.
    fn speed_share(&self, now: f64) -> f64 {
        if !self.set.cold || self.set.cold_ms <= 0.0 {
            return 1.0;
        }
        let warmed = ((now - self.born) / self.set.cold_ms).clamp(0.0, 1.0);
        self.set.cold_share + (1.0 - self.set.cold_share) * warmed
    }

    fn learn(&mut self, now: f64, class: usize, took_ms: f64) {
        let speed = self.speed_share(now);
        let Some(l) = self.learned.get_mut(class) else { return };
        l.seen = l.seen.saturating_add(1);
        let weight = (1.0 / f64::from(l.seen)).max(0.01);
        let ratio = sane(took_ms / l.usual.max(1.0), 0.0, 10.0);
        if l.seen > 10 {
            self.pace += (ratio - self.pace) * BLEND;
        }
        // Slow runs of a cold start must not pass for the usual ones once it is warm.
        l.usual += (took_ms * speed - l.usual) * weight;
    }

    // ---- Guards --------------------------------------------------------------------------------------

    /// Answers what is due or can no longer meet its aim; the margin covers the timer's own lateness.
    fn expire(&mut self, now: f64, out: &mut Actions) {
        let margin = TIMER_MS + 2.0 * self.set.tick_ms;
        let mut over = Vec::new();
        for (id, r) in self.requests.iter().filter(|(_, r)| !r.answered) {
            let class = &self.set.classes[r.class];
            let hopeless = match r.state {
                State::Held if self.is_after_grace(r.arrived) && !self.waits_for_prior(r) => true,
                State::Held => {
                    let late = now + self.learned[r.class].usual * self.pace * MUST_FIT > r.aim;
                    late && (class.late_worth <= 0.0 || self.level > 0)
                }
                State::Running | State::AtCall(_) => {
                    let stops = self.set.preemption != Preemption::Off || r.state != State::Running;
                    class.late_worth <= 0.0 && now + margin > r.aim && class.effect == Effect::Safe && stops
                }
                _ => false,
            };
            // A request can be due the moment it is read; it still gets its answer.
            if hopeless || now + margin >= r.due {
                over.push(*id);
            }
        }
        for id in over {
            self.answer(now, id, true, out);
        }
    }

    /// The final answer to a request that will not be served, whatever its state.
    fn answer(&mut self, now: f64, id: RequestId, last: bool, out: &mut Actions) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if r.answered {
            return;
        }
        r.answered = true;
        let (state, effect) = (r.state, self.set.classes[r.class].effect);
        // Safe work may be turned away even while it runs, which can ask for no further try; an error can't.
        let may_refuse = effect == Effect::Safe || state == State::Held && r.prior.is_none();
        if may_refuse {
            out.push(self.refusal(id, self.clear_ms, last));
        } else {
            out.push(Action::Fail(id));
        }
        self.let_go(now, id, out);
    }

    /// What becomes of a request that nobody waits for any longer.
    fn let_go(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        match self.requests.get(&id).map(|r| r.state) {
            Some(State::Held) => {
                self.give_entry_back(now, id, out);
                self.requests.remove(&id);
            }
            Some(State::Paused | State::Reusing) => drop(self.requests.remove(&id)),
            Some(State::Running) => self.stop_unwanted(id, out),
            Some(State::AtCall(_) | State::Calling) | None => {}
        }
    }

    /// A refusal that says when to come back, where that is passed on: once what stands here has cleared, but
    /// within a part of the usual gap between a caller's arrivals, since one of few callers carries much. It
    /// guards against refusals that draw traffic in, being the quickest answers; it could hurt where few
    /// heed.
    fn refusal(&self, id: RequestId, after_ms: f64, last: bool) -> Action {
        let longest = if self.set.retry_after { self.set.max_retry_after_ms } else { 0.0 };
        let gap = self.set.callers * self.watched_ms / self.arrivals.max(1.0);
        let after_ms = if after_ms.is_finite() { after_ms.min(gap * GAP_PART) } else { after_ms };
        Action::Refuse { id, retry_after_ms: after_ms.min(longest).round(), last }
    }

    /// Stops a run nobody waits for. A keyed one goes on: its repeats can take the result; so does a shared
    /// one.
    fn stop_unwanted(&self, id: RequestId, out: &mut Actions) {
        let Some(r) = self.requests.get(&id) else { return };
        let wanted = self.requests.values().any(|r| r.prior == Some(id) && !r.answered);
        let safe = self.set.classes[r.class].effect == Effect::Safe;
        if self.set.preemption != Preemption::Off && safe && !wanted {
            out.push(Action::Preempt(id));
        }
    }

    /// Remembers a keyed request for its window, counted from its arrival, before it can run; a read that
    /// others may share for as long as it may take.
    fn keep(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        let Some(r) = self.requests.get(&id) else { return };
        let class = &self.set.classes[r.class];
        let window = if class.effect == Effect::Keyed { class.window_ms } else { class.give_up_ms };
        let until = r.arrived + window + 2.0 * self.set.tick_ms + 1.0;
        let ttl_ms = (until - now).max(1.0);
        self.entries.insert(id, now + ttl_ms);
        out.push(Action::Keep { id, ttl_ms });
    }

    /// The request ends without having run: its entry goes to a waiting repeat, or back.
    fn give_entry_back(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        let had = self.entries.remove(&id).is_some();
        let repeats = self.requests.iter().filter(|(_, r)| r.prior == Some(id) && r.state == State::Held);
        let repeats: Vec<RequestId> = repeats.map(|(id, _)| *id).collect();
        for (at, repeat) in repeats.iter().enumerate() {
            if let Some(r) = self.requests.get_mut(repeat) {
                r.prior = if at == 0 { None } else { Some(repeats[0]) };
            }
        }
        match repeats.first() {
            Some(heir) => self.keep(now, *heir, out),
            None if had => out.push(Action::Forget(id)),
            None => {}
        }
    }

    /// Makes the calls that requests wait for: those that can't be left out first, then by value. Each
    /// books the longest time that it may be in the dependency's hands on what this instance may use over the
    /// window, so that its share holds whatever the dependency does; what a call did not use is free again.
    /// Without room, or when time runs short, the call is left out where that is allowed. It guards against a
    /// dependency that slows down, hangs or serves too many; it could hurt where calls are few and long.
    /// Where no share is stated (a tier that looks after itself), nothing is booked and time alone decides.
    fn make_calls(&mut self, now: f64, out: &mut Actions) {
        let mut waiting: Vec<(bool, f64, RequestId)> = Vec::new();
        for (id, r) in &self.requests {
            if matches!(r.state, State::AtCall(from) if from <= now) && !r.answered {
                waiting.push((self.set.classes[r.class].skip_worth > 0.0, self.value(now, r), *id));
            }
        }
        waiting.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        let all =
            self.set.calls_share.map_or(f64::INFINITY, |share| share * ROOM_USED * self.set.calls_window_ms);
        let part = if self.set.calls_share.is_none() { CALL_PART } else { 1.0 };
        for (skippable, _, id) in waiting {
            let left = all - self.calls.iter().map(|(_, from, until)| until - from).sum::<f64>();
            let Some(r) = self.requests.get_mut(&id) else { continue };
            let (time, room) =
                if skippable { ((r.aim - now) * part, left.min(all / 2.0)) } else { (r.due - now, left) };
            let limit_ms = (time - TIMER_MS).min(room - self.set.linger_ms);
            let enough = (CALL_ROOM * self.usual_call).min(all / 2.0 - self.set.linger_ms).max(1.0);
            if limit_ms >= enough {
                r.state = State::Calling;
                self.calls.push((id, now, now + limit_ms + self.set.linger_ms));
                out.push(Action::Call { id, limit_ms });
            } else if skippable {
                if time - TIMER_MS < enough {
                    // Calls left out for their length say nothing new: one is tried again before long.
                    self.usual_call *= 1.0 - BLEND;
                }
                r.state = State::Running;
                out.push(Action::SkipCall(id));
            }
        }
    }

    /// The call is in the dependency's hands until then at the latest.
    fn call_over(&mut self, id: RequestId, until: f64) {
        if let Some(call) = self.calls.iter_mut().rev().find(|c| c.0 == id) {
            call.2 = call.2.min(until);
        }
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
