//! A small model of a machine in a closed loop with the controller: cores, queued and running requests,
//! duplicates, upstream calls and clients. Time advances in ticks of whole milliseconds, and all random
//! numbers are integers; each seed gives one stream.

mod actions;
mod arrivals;
mod oddities;
mod work;

use super::cases::Cases;
use super::module::{GaugeReadings, Input, Module, Output};
use super::plan::{GaugeKind, Outcome, Plan, PreemptionKind, Script, Span, Stream, TimerKind};
use super::random::Random;
use std::collections::{BTreeMap, VecDeque};

/// Length of a tick, ms.
const TICK_MS: u64 = 5;
/// Mean work of a run, ms of one core.
const WORK_MS: u64 = 60;

/// An event, the controller's actions, and the controller's state after it.
pub struct Step {
    pub now: f64,
    pub input: Input,
    pub outputs: Vec<Output>,
    pub level: usize,
    pub priority_threshold: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Queued,
    Running,
    AtCall,
    Calling { since: u64, until: u64, outcome: Outcome },
    Suspended,
    Reusing,
}

struct Request {
    class: usize,
    tenant: usize,
    /// The idempotency key, or the subject of a read.
    group: Option<u64>,
    request_kb: u64,
    stage: Stage,
    /// Remaining work, microseconds of one core.
    work_left: u64,
    /// Total work, microseconds of one core.
    work: u64,
    /// Whether the run makes an upstream call when half of its work is done.
    call_ahead: bool,
    since: u64,
    answered: bool,
    /// Time until which the run makes no progress.
    hung_until: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Queued,
    Running,
    Ended { at: u64, good: bool },
}

/// A request with a reserved key.
struct Reservation {
    class: usize,
    group: u64,
    until: f64,
    phase: Phase,
}

struct Machine<'a> {
    module: Module,
    plan: &'a Plan,
    script: &'a Script,
    random: Random,
    now: u64,
    last_id: u64,
    requests: BTreeMap<u64, Request>,
    reserved: BTreeMap<u64, Reservation>,
    /// The request that last reserved the key or subject, by class and key or subject.
    holders: BTreeMap<(usize, u64), u64>,
    /// Keys used so far, by class.
    keys: BTreeMap<usize, Vec<u64>>,
    timers: Vec<(u64, u64)>,
    inputs: VecDeque<Input>,
    /// Times of the shutdown request and of the stop.
    shutdown: Option<(u64, u64)>,
    cases: &'a mut Cases,
}

/// Plays a stream to its end, and passes each step to `observe`.
pub fn play(stream: &Stream, cases: &mut Cases, mut observe: impl FnMut(&Step)) {
    let mut machine = Machine {
        module: Module::new(0.0, stream.seed, &stream.plan),
        plan: &stream.plan,
        script: &stream.script,
        random: Random::new(stream.seed),
        now: 0,
        last_id: 0,
        requests: BTreeMap::new(),
        reserved: BTreeMap::new(),
        holders: BTreeMap::new(),
        keys: BTreeMap::new(),
        timers: Vec::new(),
        inputs: VecDeque::from([Input::Start]),
        shutdown: None,
        cases,
    };
    machine.count_settings();
    let mut events = 0;
    loop {
        while let Some(input) = machine.inputs.pop_front() {
            let step = machine.deliver(input);
            observe(&step);
            machine.cases.watch(&step);
            machine.carry_out(step);
            events += 1;
            if events == stream.script.events {
                return;
            }
        }
        if machine.shutdown.is_some_and(|(_, stop)| machine.now > stop + 500) {
            return;
        }
        machine.tick();
    }
}

impl Machine<'_> {
    fn count_settings(&mut self) {
        let plan = self.plan;
        let mut count_if = |holds: bool, case: &'static str| {
            if holds {
                self.cases.count(case);
            }
        };
        count_if(plan.cold_start, "settings: cold start");
        count_if(plan.preemption == PreemptionKind::Off, "settings: no preemption");
        count_if(plan.preemption == PreemptionKind::Abort, "settings: preemption by abort");
        count_if(plan.preemption == PreemptionKind::Suspend, "settings: preemption by suspension");
        count_if(plan.cores.is_nan() || plan.memory_kb.is_nan(), "settings: NaN");
        count_if(plan.cores.is_infinite() || plan.memory_kb.is_infinite(), "settings: infinite");
        count_if(plan.cores < 0.0 || plan.run_memory_factor < 0.0, "settings: negative");
        count_if(
            plan.classes.iter().any(|c| !c.latency_objective_ms.is_finite()),
            "settings: class with absurd times",
        );
    }

    fn deliver(&mut self, input: Input) -> Step {
        let outputs = self.module.process(self.now as f64, &input);
        let (level, priority_threshold) = (self.module.level(), self.module.priority_threshold());
        Step { now: self.now as f64, input, outputs, level, priority_threshold }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        let now = self.now;
        self.reserved.retain(|_, reserved| reserved.until > now as f64);
        self.work();
        self.end_calls();
        self.end_reuses();
        self.arrivals();
        self.disconnect_client();
        self.oddities();
        self.request_shutdown();
        self.reconfigure();
        self.timers();
        let queued = self.requests.values().any(|r| r.stage == Stage::Queued);
        if queued && self.running() as u64 >= self.script.cores {
            self.cases.count("rule: queued behind full cores");
        }
    }

    fn running(&self) -> usize {
        self.requests.values().filter(|r| r.stage == Stage::Running).count()
    }

    /// Returns the memory in use by the machine's own count, kB.
    fn memory_kb(&self) -> f64 {
        let of = |r: &Request| match r.stage {
            Stage::Queued | Stage::Reusing => r.request_kb as f64,
            _ => r.request_kb as f64 * self.plan.run_memory_factor,
        };
        self.requests.values().map(of).sum::<f64>() + self.reserved.len() as f64 * self.plan.key_memory_kb
    }

    fn request_shutdown(&mut self) {
        let Some((requested_at, stop)) = self.script.drain else { return };
        if self.shutdown.is_none() && self.now >= requested_at {
            self.shutdown = Some((requested_at, stop));
            self.cases.count(if self.plan.drain_grace_ms > 0.0 { "drain: grace" } else { "drain: no grace" });
            self.inputs.push_back(Input::Drain { stop_at: stop as f64 });
        }
    }

    fn timers(&mut self) {
        let now = self.now;
        let (due, later) = self.timers.iter().copied().partition(|(at, _)| *at <= now);
        self.timers = later;
        let due: Vec<(u64, u64)> = due;
        for (_, token) in due {
            let readings = self.readings();
            self.inputs.push_back(Input::Timer { token, readings });
        }
    }

    /// Returns the time at which a timer with this delay fires; `None` if it never does.
    fn timer_at(&mut self, delay_ms: u64) -> Option<u64> {
        let at = self.now + delay_ms;
        match self.script.timers {
            TimerKind::Late if self.random.percent(30) => {
                self.cases.count("timer: late");
                Some(at + self.random.below(400))
            }
            TimerKind::Absent if self.random.percent(3) => {
                self.cases.count("timer: absent for seconds");
                Some(at + 1500 + self.random.below(1500))
            }
            TimerKind::StopAt(stop) if at >= stop => {
                self.cases.count("timer: never again");
                None
            }
            _ => Some(at),
        }
    }

    fn readings(&mut self) -> GaugeReadings {
        let on = self.running() as u64;
        let mut busy = on.min(self.script.cores) * 100 / self.script.cores;
        let mut others = self.random.below(3);
        if self.within(self.script.other_work) {
            self.cases.count("gauges: other work");
            busy = 80 + self.random.below(21);
            others = self.random.below(16 * self.script.cores);
        }
        let good = GaugeReadings {
            busy: Some(busy as f64 / 100.0),
            run_queue: Some((on + others) as f64),
            memory: Some(0.5),
            connections: Some(self.random.below(60) as f64),
        };
        match self.script.gauges {
            GaugeKind::Good => good,
            GaugeKind::Missing if self.random.percent(20) => {
                self.cases.count("gauges: all missing");
                GaugeReadings::default()
            }
            GaugeKind::Missing => {
                self.cases.count("gauges: some missing");
                GaugeReadings {
                    busy: good.busy.filter(|_| self.random.percent(50)),
                    run_queue: good.run_queue.filter(|_| self.random.percent(50)),
                    ..GaugeReadings::default()
                }
            }
            GaugeKind::Absurd if self.random.percent(40) => {
                self.cases.count("gauges: absurd");
                let absurd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 1e9, 1.5, 200.0, 0.0];
                GaugeReadings {
                    busy: Some(self.random.pick(&absurd)),
                    run_queue: Some(self.random.pick(&absurd)),
                    memory: Some(self.random.pick(&absurd)),
                    connections: Some(self.random.pick(&absurd)),
                }
            }
            GaugeKind::Absurd => good,
        }
    }

    fn within(&self, span: Option<Span>) -> bool {
        Span::holds(span, self.now)
    }
}
