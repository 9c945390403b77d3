//! The machine of a worker pool: its runs and the cores that they share.

use crate::platform::{PlatformSettings, RequestClass};
use crate::run_result::run_result;
use crate::worker_pool::faults::WorkerPoolFaults;
use crate::worker_pool::notices::Notices;
use crate::worker_pool::occupancy::PoolUsage;
use crate::worker_pool::shared_machine::SharedMachine;
use async_channel::Sender;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Range of the work of a run, as a fraction of its class's mean.
const WORK_SPREAD: Range<f64> = 0.4..1.6;
/// Fraction of a run's work that is done before its upstream call.
const WORK_FRACTION_BEFORE_CALL: f64 = 0.5;
/// Minimum remaining work of a suspended run, ms.
const MIN_REMAINING_WORK_MS: f64 = 0.1;
/// Number of runs that fill the machine's memory.
const RUNS_IN_MEMORY: f64 = 1000.0;
/// Value of the `links` gauge.
const LINKS: u32 = 4;

enum RunState {
    Running {
        since: Instant,
        generation: u64,
    },
    /// Waiting for its upstream call; holds the number of the notice that reported it.
    Blocked(u64),
    Paused,
}

struct Run {
    class: usize,
    body: Vec<u8>,
    remaining_ms: f64,
    used_ms: f64,
    /// Number of upstream calls that the run has made.
    calls_made: u32,
    /// Number of upstream calls that the run is still to make.
    calls_left: u32,
    state: RunState,
}

/// Timer for the upstream call or the end of a run. It has no effect if the run is suspended before it fires.
pub(crate) struct RunTimer {
    /// Id of the run.
    pub id: String,
    /// Generation of the run for which the timer was set; it changes whenever a run is started or resumed.
    pub generation: u64,
    /// Time until the timer fires.
    pub delay: Duration,
}

/// Command that resumes a run waiting for its upstream call.
#[derive(Clone, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// This reply has arrived.
    Replied(Vec<u8>),
    /// The run continues without the call that was reported in the notice of this number.
    Skipped(Option<u64>),
}

/// The runs of one worker pool, with its handles on the shared state of its machine.
pub(crate) struct Machine {
    platform: PlatformSettings,
    /// Faults that are injected.
    pub faults: WorkerPoolFaults,
    /// Random number generator of the work of runs and of the faults.
    pub rng: ChaCha8Rng,
    /// Notices to the server.
    pub notices: Notices,
    started_at: Instant,
    runs: HashMap<String, Run>,
    generations: u64,
    shared: SharedMachine,
    /// Channel that receives the ids of ended requests whose runs wait at an upstream call.
    ended_requests: Sender<String>,
}

impl Machine {
    /// Returns a machine without runs.
    pub fn new(
        platform: PlatformSettings,
        seed: u64,
        faults: WorkerPoolFaults,
        shared: SharedMachine,
        ended_requests: Sender<String>,
    ) -> Machine {
        Machine {
            platform,
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
            notices: Notices::default(),
            started_at: Instant::now(),
            runs: HashMap::new(),
            generations: 0,
            shared,
            ended_requests,
        }
    }

    /// Drops all runs, all notices and the link, as after a restart of the worker pool.
    pub fn restart(&mut self) {
        self.notices.disconnect();
        self.runs.clear();
        self.notices.clear();
        self.started_at = Instant::now();
        self.report_usage();
    }

    /// Connects a server that has received the notices up to the number `after`.
    pub fn connect(&mut self, link: Sender<String>, after: u64) {
        if after == 0 {
            // The server process has just started: notices are numbered from 1 again, and the runs of the
            // previous process have no owner.
            self.notices.clear();
            self.runs.clear();
            self.report_usage();
        }
        let uptime_ms = self.started_at.elapsed().as_millis() as u64;
        let bound = json!({"op": "bound", "end": "old", "ms": uptime_ms});
        let _ = link.try_send(format!("{bound}\n"));
        self.notices.connect(link, after);
    }

    fn running(&self) -> usize {
        self.runs.values().filter(|run| matches!(run.state, RunState::Running { .. })).count()
    }

    /// Updates the usage of this worker pool in the shared state of the machine.
    fn report_usage(&self) {
        self.shared.occupancy.report(PoolUsage { running: self.running(), in_memory: self.runs.len() });
    }

    /// Returns the gauges of the whole machine, in the order of the platform's configuration.
    pub fn gauges(&self) -> Value {
        let PoolUsage { running, in_memory } = self.shared.occupancy.total();
        let core_use = running as f64 / self.platform.cores as f64;
        let memory_use = in_memory as f64 / RUNS_IN_MEMORY;
        json!([core_use.min(1.0), running, memory_use.min(1.0), LINKS])
    }

    /// Returns whether there is a run with this id.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.contains_key(id)
    }

    /// Returns whether the request has ended; if so, notifies the server that no run is started for it.
    pub fn notify_if_ended(&mut self, id: &str) -> bool {
        let has_ended = self.shared.request_ends.has_ended(id);
        if has_ended {
            self.notify(json!({"op": "finished", "id": id, "end": "gone", "ms": 0.0}));
        }
        has_ended
    }

    /// Starts a run; returns `None` if the class is unknown.
    pub fn spawn(&mut self, id: &str, class: &Value, body: Vec<u8>) -> Option<RunTimer> {
        let class = self.platform.classes.iter().position(|known| class == known.name)?;
        let RequestClass { work_ms, makes_upstream_calls, .. } = self.platform.classes[class];
        let remaining_ms = work_ms * self.rng.random_range(WORK_SPREAD);
        self.shared.run_log.add(id, self.platform.classes[class].name, &body);
        let second_call = self.faults.second_call > 0.0 && self.rng.random::<f64>() < self.faults.second_call;
        let calls_left = if makes_upstream_calls { 1 + u32::from(second_call) } else { 0 };
        let state = RunState::Paused;
        let run = Run { class, body, remaining_ms, used_ms: 0.0, calls_made: 0, calls_left, state };
        self.runs.insert(id.to_owned(), run);
        self.run_to_next_step(id)
    }

    /// Suspends a run and returns whether the run exists. Has no effect on a run that waits for its call or
    /// is paused.
    pub fn suspend(&mut self, id: &str) -> bool {
        let Some(run) = self.runs.get_mut(id) else { return false };
        let RunState::Running { since, .. } = run.state else { return true };
        let ran_ms = since.elapsed().as_secs_f64() * 1000.0;
        run.remaining_ms = (run.remaining_ms - ran_ms).max(MIN_REMAINING_WORK_MS);
        run.used_ms += ran_ms;
        run.state = RunState::Paused;
        let used_ms = run.used_ms;
        self.report_usage();
        self.notify(json!({"op": "finished", "id": id, "end": "cut", "ms": used_ms}));
        true
    }

    /// Resumes a suspended run; returns `None` if there is no suspended run with this id.
    pub fn resume(&mut self, id: &str) -> Option<RunTimer> {
        let run = self.runs.get(id)?;
        if !matches!(run.state, RunState::Paused) {
            return None;
        }
        self.run_to_next_step(id)
    }

    /// Returns whether a run is running and will make an upstream call.
    pub fn is_before_call(&self, id: &str) -> bool {
        let is_before_call = |run: &Run| run.calls_left > 0 && matches!(run.state, RunState::Running { .. });
        self.runs.get(id).is_some_and(is_before_call)
    }

    /// Resumes a run that waits for its call; returns `None` if no run with this id waits for the call that
    /// ended. A reply is taken for the one to the call that the run waits for, and logged if it is another.
    pub fn end_call(&mut self, id: &str, end: CallEnd) -> Option<RunTimer> {
        let run = self.runs.get(id)?;
        let RunState::Blocked(notice) = run.state else { return None };
        match end {
            CallEnd::Replied(reply) => {
                let call = self.call_body(id, run);
                if reply != call.as_bytes() {
                    self.shared.run_log.add_wrong_reply(&call, &reply);
                }
            }
            CallEnd::Skipped(skipped) if skipped == Some(notice) => {}
            CallEnd::Skipped(_) => return None,
        }
        self.shared.request_ends.unregister_waiting_run(id);
        self.run_to_next_step(id)
    }

    /// Starts or resumes a run, until its call if one is pending, else until its end. The time until then is
    /// computed from the number of runs that currently share the cores.
    fn run_to_next_step(&mut self, id: &str) -> Option<RunTimer> {
        let runs_per_core = (self.shared.occupancy.total().running + 1) as f64 / self.platform.cores as f64;
        self.generations += 1;
        let generation = self.generations;
        let run = self.runs.get_mut(id)?;
        run.state = RunState::Running { since: Instant::now(), generation };
        let fraction = if run.calls_left > 0 { WORK_FRACTION_BEFORE_CALL } else { 1.0 };
        let ms = run.remaining_ms * fraction * runs_per_core.max(1.0);
        self.report_usage();
        Some(RunTimer { id: id.to_owned(), generation, delay: Duration::from_secs_f64(ms / 1000.0) })
    }

    /// Begins the pending call of a run or finishes the run, unless it was suspended since the timer was set.
    pub fn on_timer(&mut self, id: &str, generation: u64) {
        let Some(run) = self.runs.get_mut(id) else { return };
        let RunState::Running { since, generation: current } = run.state else { return };
        if current != generation {
            return;
        }
        run.used_ms += since.elapsed().as_secs_f64() * 1000.0;
        if run.calls_left > 0 {
            self.begin_call(id);
        } else {
            self.finish(id);
        }
    }

    /// Aborts a run that waits for its call, because its request has ended.
    pub fn on_request_end(&mut self, id: &str) {
        if self.runs.get(id).is_some_and(|run| matches!(run.state, RunState::Blocked(_))) {
            self.abort(id);
        }
    }

    /// Ends a run without a result and notifies the server.
    fn abort(&mut self, id: &str) {
        let Some(run) = self.runs.remove(id) else { return };
        self.report_usage();
        self.notify(json!({"op": "finished", "id": id, "end": "cut", "ms": run.used_ms}));
    }

    /// Returns the body of the last call of a run, which no other call has. The upstream service replies with
    /// the body of the call.
    fn call_body(&self, id: &str, run: &Run) -> String {
        format!("{} call {} of {id}", self.platform.classes[run.class].name, run.calls_made)
    }

    fn begin_call(&mut self, id: &str) {
        if self.shared.request_ends.register_waiting_run(id, &self.ended_requests) {
            return self.abort(id);
        }
        let notice = self.notices.next_number();
        let Some(run) = self.runs.get_mut(id) else { return };
        run.calls_made += 1;
        run.calls_left -= 1;
        run.remaining_ms *= 1.0 - WORK_FRACTION_BEFORE_CALL;
        run.state = RunState::Blocked(notice);
        self.report_usage();
        let Some(run) = self.runs.get(id) else { return };
        let body = BASE64.encode(self.call_body(id, run));
        // Sent without faults: a `chatter` notice before it would take the number stored in
        // `RunState::Blocked`.
        self.notices.send(json!({"op": "blocked", "id": id, "body": body}));
    }

    fn finish(&mut self, id: &str) {
        let Some(run) = self.runs.remove(id) else { return };
        self.report_usage();
        let failed = self.rng.random::<f64>() < self.faults.bad;
        let notice = if failed {
            json!({"op": "finished", "id": id, "end": "bad", "ms": run.used_ms})
        } else {
            let result = BASE64.encode(run_result(&run.body));
            json!({"op": "finished", "id": id, "end": "good", "ms": run.used_ms, "body": result})
        };
        self.notify(notice);
    }

    fn notify(&mut self, notice: Value) {
        self.notices.send_with_faults(notice, &self.faults, &mut self.rng);
    }
}
