//! The machine of a worker pool: its runs, and the cores that they share.

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

/// The work of a run, as a part of its class's mean.
const WORK_SPREAD: Range<f64> = 0.4..1.6;
/// The part of a run's work that is done before its upstream call.
const WORK_BEFORE_CALL: f64 = 0.5;
/// The least work that a suspended run has left, ms.
const MIN_WORK_LEFT_MS: f64 = 0.1;
/// Runs that fill the machine's memory.
const RUNS_IN_MEMORY: f64 = 1000.0;
/// The links that the gauge reports.
const LINKS: u32 = 4;

enum RunState {
    Running {
        since: Instant,
        generation: u64,
    },
    /// Waits for its upstream call, with the number of the notice that said so.
    Blocked(u64),
    Paused,
}

struct Run {
    class: usize,
    body: Vec<u8>,
    left_ms: f64,
    used_ms: f64,
    call_due: bool,
    state: RunState,
}

/// When a run comes to its call or its end, unless it is stopped before.
pub(crate) struct RunTimer {
    /// The run.
    pub id: String,
    /// The stretch of the run that the timer belongs to.
    pub generation: u64,
    /// Time from now.
    pub after: Duration,
}

/// What resumes a run that waits for its upstream call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// The call's reply.
    Supplied,
    /// Going on without the call that this notice asked for.
    Passed(Option<u64>),
}

/// The runs of one machine.
pub(crate) struct Machine {
    platform: PlatformSettings,
    /// Its faults.
    pub faults: WorkerPoolFaults,
    /// Where chance comes from.
    pub rng: ChaCha8Rng,
    /// Its notices.
    pub notices: Notices,
    started_at: Instant,
    runs: HashMap<String, Run>,
    generations: u64,
    shared: SharedMachine,
    /// By which the machine hears of the ends of requests whose runs wait.
    request_ended: Sender<String>,
}

impl Machine {
    /// Returns an idle machine.
    pub fn new(
        platform: PlatformSettings,
        seed: u64,
        faults: WorkerPoolFaults,
        shared: SharedMachine,
        request_ended: Sender<String>,
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
            request_ended,
        }
    }

    /// Loses all runs, notices and the link, as a machine that was started anew.
    pub fn restart(&mut self) {
        self.notices.disconnect();
        self.runs.clear();
        self.notices.clear();
        self.started_at = Instant::now();
        self.report_usage();
    }

    /// Connects a server that has the notices up to `after`.
    pub fn connect(&mut self, link: Sender<String>, after: u64) {
        if after == 0 {
            // A server that starts: its notices begin at 1, and what ran for the one before is nobody's.
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

    /// Reports what this pool uses of the machine.
    fn report_usage(&self) {
        self.shared.occupancy.report(PoolUsage { running: self.running(), held: self.runs.len() });
    }

    /// Returns the gauges of the whole machine, in the order of the platform's configuration.
    pub fn gauges(&self) -> Value {
        let PoolUsage { running, held } = self.shared.occupancy.total();
        let core_use = running as f64 / self.platform.cores as f64;
        let memory_use = held as f64 / RUNS_IN_MEMORY;
        json!([core_use.min(1.0), running, memory_use.min(1.0), LINKS])
    }

    /// Returns whether there is a run of that id.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.contains_key(id)
    }

    /// Notifies that nothing is started for a request that is over; returns whether it is.
    pub fn is_gone(&mut self, id: &str) -> bool {
        let is_over = self.shared.request_ends.is_over(id);
        if is_over {
            self.notify(json!({"op": "finished", "id": id, "end": "gone", "ms": 0.0}));
        }
        is_over
    }

    /// Starts a run; `None` if there is no such class.
    pub fn spawn(&mut self, id: &str, class: &Value, body: Vec<u8>) -> Option<RunTimer> {
        let class = self.platform.classes.iter().position(|known| class == known.name)?;
        let RequestClass { work_ms, makes_upstream_calls, .. } = self.platform.classes[class];
        let left_ms = work_ms * self.rng.random_range(WORK_SPREAD);
        self.shared.run_log.add(id, self.platform.classes[class].name, &body);
        let call_due = makes_upstream_calls;
        let run = Run { class, body, left_ms, used_ms: 0.0, call_due, state: RunState::Paused };
        self.runs.insert(id.to_owned(), run);
        self.go_on(id)
    }

    /// Suspends a run; returns whether there is one. What waits at a call or is paused already has nothing to stop.
    pub fn suspend(&mut self, id: &str) -> bool {
        let Some(run) = self.runs.get_mut(id) else { return false };
        let RunState::Running { since, .. } = run.state else { return true };
        let ran_ms = since.elapsed().as_secs_f64() * 1000.0;
        run.left_ms = (run.left_ms - ran_ms).max(MIN_WORK_LEFT_MS);
        run.used_ms += ran_ms;
        run.state = RunState::Paused;
        let used_ms = run.used_ms;
        self.report_usage();
        self.notify(json!({"op": "finished", "id": id, "end": "cut", "ms": used_ms}));
        true
    }

    /// Resumes a suspended run; `None` if there is none.
    pub fn resume(&mut self, id: &str) -> Option<RunTimer> {
        let run = self.runs.get(id)?;
        if !matches!(run.state, RunState::Paused) {
            return None;
        }
        self.go_on(id)
    }

    /// Resumes a run that waits for its call; `None` if there is none.
    pub fn end_call(&mut self, id: &str, end: CallEnd) -> Option<RunTimer> {
        let RunState::Blocked(notice) = self.runs.get(id)?.state else { return None };
        if end != CallEnd::Supplied && end != CallEnd::Passed(Some(notice)) {
            return None;
        }
        self.shared.request_ends.stop_awaiting(id);
        self.go_on(id)
    }

    /// Sets a run going: to its call if one is due, else to its end. The cores are shared by all that run now.
    fn go_on(&mut self, id: &str) -> Option<RunTimer> {
        let runs_per_core = (self.shared.occupancy.total().running + 1) as f64 / self.platform.cores as f64;
        self.generations += 1;
        let generation = self.generations;
        let run = self.runs.get_mut(id)?;
        run.state = RunState::Running { since: Instant::now(), generation };
        let part = if run.call_due { WORK_BEFORE_CALL } else { 1.0 };
        let ms = run.left_ms * part * runs_per_core.max(1.0);
        self.report_usage();
        Some(RunTimer { id: id.to_owned(), generation, after: Duration::from_secs_f64(ms / 1000.0) })
    }

    /// Takes a run to its call or its end, unless it was stopped since the timer was set.
    pub fn on_timer(&mut self, id: &str, generation: u64) {
        let Some(run) = self.runs.get_mut(id) else { return };
        let RunState::Running { since, generation: current } = run.state else { return };
        if current != generation {
            return;
        }
        run.used_ms += since.elapsed().as_secs_f64() * 1000.0;
        if run.call_due {
            self.begin_call(id);
        } else {
            self.finish(id);
        }
    }

    /// Ends a run that waits at its call, as its request is over.
    pub fn on_request_end(&mut self, id: &str) {
        if self.runs.get(id).is_some_and(|run| matches!(run.state, RunState::Blocked(_))) {
            self.cut(id);
        }
    }

    /// Ends a run without a result.
    fn cut(&mut self, id: &str) {
        let Some(run) = self.runs.remove(id) else { return };
        self.report_usage();
        self.notify(json!({"op": "finished", "id": id, "end": "cut", "ms": run.used_ms}));
    }

    fn begin_call(&mut self, id: &str) {
        if self.shared.request_ends.await_end(id, &self.request_ended) {
            return self.cut(id);
        }
        let notice = self.notices.next_number();
        let Some(run) = self.runs.get_mut(id) else { return };
        run.call_due = false;
        run.left_ms *= 1.0 - WORK_BEFORE_CALL;
        run.state = RunState::Blocked(notice);
        let class = run.class;
        self.report_usage();
        let body = BASE64.encode(self.platform.classes[class].name);
        // The remark that may stand before a notice would take its number.
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
