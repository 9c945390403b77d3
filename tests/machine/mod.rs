//! A small model of a machine around the controller: cores, a table of keys, upstream calls and clients with
//! timeouts. It checks the four rules from the controller's actions alone. Time advances in the ticks of the
//! settings, and everything that happens follows from the seed.
#![allow(dead_code)]

mod actions;

use dunlinspread::{AdmissionController, Arrival, Event, Gauges, Outcome, RequestId, RetrySafety, Settings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Length of the simulation, ms.
const SIMULATION_MS: f64 = 12_000.0;
/// Time from the shutdown request to the end of the simulation, ms.
const SHUTDOWN_MS: f64 = 2_500.0;
/// Mean work of a run, ms of one core.
const WORK_MS: f64 = 60.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Queued,
    Running,
    AtCall,
    /// An upstream call is in progress until this time, and will end with this outcome.
    Calling(f64, Outcome),
    Suspended,
    Reusing,
}

struct MachineRequest {
    class: usize,
    key: Option<u64>,
    duplicate_of: Option<RequestId>,
    arrived_at: f64,
    deadline: f64,
    request_kb: f64,
    stage: Stage,
    work_ms: f64,
    done_ms: f64,
    since: f64,
    calls: u32,
    answered: bool,
    ran: bool,
    preempted: bool,
}

struct Entry {
    holder: RequestId,
    until: f64,
    ran: bool,
    succeeded: Option<bool>,
}

/// One instance of the controller on its machine.
pub struct Machine {
    controller: AdmissionController,
    settings: Settings,
    rng: ChaCha8Rng,
    now: f64,
    next: RequestId,
    requests: BTreeMap<RequestId, MachineRequest>,
    entries: BTreeMap<u64, Entry>,
    /// All keys used so far, independent of the controller's table.
    keys: Vec<u64>,
    /// The requests of each key that ran, with their times of arrival.
    runs: BTreeMap<u64, Vec<(RequestId, f64)>>,
    timers: Vec<(f64, u64)>,
    events: Vec<Event>,
    shutdown_at: Option<f64>,
    stall: (f64, f64),
    failing: (f64, f64),
    flood: (f64, f64),
    /// Whether stated deadlines are withheld from the controller.
    pub hides_deadlines: bool,
    /// Number of requests served by their deadlines.
    pub served: u32,
    /// Number of those requests that were served after the stall, by class.
    pub served_after: Vec<u32>,
    /// Descriptions of the rules that were broken.
    pub violations: Vec<String>,
}

impl Machine {
    pub fn new(seed: u64, settings: Settings) -> Machine {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut span = |len: f64| {
            let from = rng.random_range(1000.0..SIMULATION_MS - 2000.0);
            (from, from + len)
        };
        let (stall, failing, flood) = (span(900.0), span(1500.0), span(2000.0));
        let served_after = vec![0; settings.classes.len()];
        let mut machine = Machine {
            controller: AdmissionController::new(0.0, Settings { seed, ..settings.clone() }),
            settings,
            rng,
            now: 0.0,
            next: 0,
            requests: BTreeMap::new(),
            entries: BTreeMap::new(),
            keys: Vec::new(),
            runs: BTreeMap::new(),
            timers: Vec::new(),
            events: vec![Event::Start],
            shutdown_at: None,
            stall,
            failing,
            flood,
            hides_deadlines: false,
            served: 0,
            served_after,
            violations: Vec::new(),
        };
        machine.dispatch_events();
        machine
    }

    /// Makes runs stall from the start for this time, without other faults.
    pub fn stall_from_start(&mut self, ms: f64) {
        (self.stall, self.failing, self.flood) = ((0.0, ms), (0.0, 0.0), (0.0, 0.0));
    }

    fn serve(&mut self, class: usize) {
        self.served += 1;
        self.served_after[class] += u32::from(self.now > self.stall.1);
    }

    /// Runs the simulation to its end, and checks that every request was answered.
    pub fn play(&mut self) {
        while self.now < SIMULATION_MS {
            self.now += self.settings.tick_ms;
            self.advance_runs();
            self.arrivals();
            if self.shutdown_at.is_none() && self.now >= SIMULATION_MS - SHUTDOWN_MS {
                self.shutdown_at = Some(self.now);
                self.events.push(Event::Drain { stop_at: SIMULATION_MS });
            }
            let now = self.now;
            let fired: Vec<u64> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            for token in fired {
                let gauges = self.gauges();
                self.events.push(Event::Timer { token, gauges });
            }
            self.dispatch_events();
            self.check_rules();
        }
        let open = self.requests.values().filter(|request| !request.answered).count();
        if open > 0 {
            self.violations.push(format!("drain: {open} without an answer at the stop"));
        }
    }

    fn within(&self, span: (f64, f64)) -> bool {
        (span.0..span.1).contains(&self.now)
    }

    fn on_cores(&self) -> usize {
        self.requests.values().filter(|request| request.stage == Stage::Running).count()
    }

    fn gauges(&self) -> Gauges {
        let on = self.on_cores() as f64;
        let busy = (on / self.settings.cores).min(1.0);
        Gauges { busy: Some(busy), run_queue: Some(on), memory: Some(0.5), connections: Some(10.0) }
    }

    fn speed(&self) -> f64 {
        let warmed = (self.now / self.settings.warm_up_ms).min(1.0);
        if self.settings.cold_start {
            self.settings.cold_start_speed + (1.0 - self.settings.cold_start_speed) * warmed
        } else {
            1.0
        }
    }

    /// Advances the runs by one tick of work, shared among them, and generates events for ends and calls.
    fn advance_runs(&mut self) {
        let on = self.on_cores() as f64;
        let each = self.settings.tick_ms * self.speed() * (self.settings.cores / on.max(self.settings.cores));
        let (stalled, fails) = (self.within(self.stall), self.within(self.failing));
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            match request.stage {
                Stage::Running if !stalled => {
                    request.done_ms += each;
                    let fails = fails && request.done_ms > 5.0;
                    if fails || request.done_ms >= request.work_ms {
                        let outcome = if fails { Outcome::Error } else { Outcome::Ok };
                        self.end(id, outcome);
                    } else if self.settings.classes[request.class].makes_upstream_calls
                        && request.calls == 0
                        && request.done_ms > request.work_ms / 2.0
                    {
                        request.calls += 1;
                        request.stage = Stage::AtCall;
                        if request.answered {
                            self.end(id, Outcome::Cancelled);
                        } else {
                            self.events.push(Event::UpstreamCallNeeded(id));
                        }
                    }
                }
                Stage::Calling(until, outcome) if until <= self.now => {
                    request.stage = if outcome == Outcome::Ok { Stage::Running } else { Stage::AtCall };
                    self.events.push(Event::UpstreamCallEnded { id, outcome, took_ms: 20.0 });
                }
                _ => {}
            }
        }
    }

    /// Ends a run with its answer, and ends the requests that wait to reuse its result.
    fn end(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.remove(&id) else { return };
        let took_ms = self.now - request.since;
        self.events.push(Event::RunEnded { id, outcome, took_ms });
        if outcome == Outcome::Ok && !request.answered {
            self.serve(request.class);
        }
        let Some(entry) = request.key.and_then(|key| self.entries.get_mut(&key)) else { return };
        entry.succeeded = Some(outcome == Outcome::Ok);
        let waiting = self
            .requests
            .iter()
            .filter(|(_, other)| other.stage == Stage::Reusing && other.key == request.key);
        for waiting in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.end_reuse(waiting, outcome == Outcome::Ok);
        }
    }

    fn end_reuse(&mut self, id: RequestId, succeeded: bool) {
        if let Some(request) = self.requests.remove(&id) {
            let outcome = if succeeded { Outcome::Ok } else { Outcome::Error };
            if succeeded && !request.answered {
                self.serve(request.class);
            }
            self.events.push(Event::RunEnded { id, outcome, took_ms: self.now - request.since });
        }
    }

    fn arrivals(&mut self) {
        // About the capacity of the cores outside of the flood, and three times that from one tenant during
        // it.
        let flood = self.within(self.flood);
        let chance =
            1.1 * self.settings.tick_ms * self.settings.cores / WORK_MS * if flood { 3.0 } else { 1.0 };
        let mut left = chance;
        while left > 0.0 {
            if self.rng.random_bool(left.min(1.0)) {
                self.arrive(flood);
            }
            left -= 1.0;
        }
    }

    fn arrive(&mut self, flood: bool) {
        let class = self.rng.random_range(0..self.settings.classes.len());
        let stated = self.settings.classes[class].clone();
        let age_ms: f64 = self.rng.random_range(0.0..20.0);
        let arrived_at = self.now - age_ms;
        let part: f64 = self.rng.random_range(0.1..1.0);
        let waits = if self.settings.passes_deadline { part } else { 1.0 } * stated.client_timeout_ms;
        // A third of the keyed requests are retries of a recent key.
        let keyed = stated.retry_safety == RetrySafety::IdempotencyKey;
        let is_retry = keyed && self.rng.random_bool(0.33);
        let known = self.keys.len();
        let key = match known {
            n if is_retry && n > 0 => Some(self.keys[self.rng.random_range(n.saturating_sub(20)..n)]),
            _ => keyed.then_some(self.next + 1),
        };
        let original = key
            .and_then(|key| self.entries.get(&key))
            .filter(|entry| arrived_at <= entry.until)
            .map(|entry| entry.holder);
        self.next += 1;
        let id = self.next;
        self.keys.extend(key.filter(|key| *key == id));
        let (request_kb, priority) = (self.rng.random_range(5.0..60.0), self.rng.random_range(0.0..1.0));
        let tenant =
            if flood { 0 } else { self.rng.random_range(0..self.settings.tenant_quotas.len().max(1)) };
        let work_ms = WORK_MS * self.rng.random_range(0.3..1.7);
        let request = MachineRequest {
            class,
            key,
            duplicate_of: original,
            arrived_at,
            deadline: (arrived_at + waits).max(self.now),
            request_kb,
            stage: Stage::Queued,
            work_ms,
            done_ms: 0.0,
            since: self.now,
            calls: 0,
            answered: false,
            ran: false,
            preempted: false,
        };
        self.requests.insert(id, request);
        let deadline = (self.settings.passes_deadline && !self.hides_deadlines).then_some(arrived_at + waits);
        self.events.push(Event::Arrival(Arrival {
            id,
            class,
            tenant,
            deadline,
            request_kb,
            priority,
            age_ms,
            duplicate_of: original,
            ..Arrival::default()
        }));
    }

    fn dispatch_events(&mut self) {
        while !self.events.is_empty() {
            let mut actions = Vec::new();
            for event in std::mem::take(&mut self.events) {
                self.controller.on_event(self.now, event, &mut actions);
            }
            for action in actions {
                self.carry_out(action);
            }
        }
    }

    fn record_violation(&mut self, what: String) {
        self.violations.push(format!("{:.0} ms: {what}", self.now));
    }

    /// Checks the rules that hold at all times.
    fn check_rules(&mut self) {
        let slack = self.settings.response_slack_ms;
        let late = self
            .requests
            .iter_mut()
            .filter(|(_, request)| !request.answered && self.now > request.deadline + slack);
        let late: Vec<RequestId> = late
            .map(|(id, request)| {
                request.answered = true;
                *id
            })
            .collect();
        for id in late {
            self.record_violation(format!("no answer to {id} by its due time"));
        }
        let max_runs =
            self.settings.cores * (1.0 + (self.settings.survivable_runs_per_core - 1.0) * self.speed());
        if self.on_cores() as f64 > max_runs {
            self.record_violation(format!(
                "{} runs are on the cores, more than the survivable number",
                self.on_cores()
            ));
        }
        let memory_kb = |request: &MachineRequest| match request.stage {
            Stage::Queued | Stage::Reusing => request.request_kb,
            _ => request.request_kb * self.settings.run_memory_factor,
        };
        self.entries.retain(|_, entry| {
            entry.until > self.now || !entry.ran && self.requests.contains_key(&entry.holder)
        });
        let memory = self.requests.values().map(memory_kb).sum::<f64>()
            + self.entries.len() as f64 * self.settings.key_memory_kb;
        if memory > self.settings.memory_kb {
            self.record_violation(format!("{memory:.0} kB are in use, more than the limit"));
        }
    }
}
