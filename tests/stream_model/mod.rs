//! A small model of a machine around the controller: it carries out actions and checks the invariants of the
//! four rules after every event.

mod events;

use crate::common::{class, settings};
use dunlinspread::{Action, AdmissionController, Event, Outcome, Preemption, RetrySafety, Settings};
use std::collections::{BTreeMap, VecDeque};

/// Index of the idempotent class.
const IDEMPOTENT: usize = 0;
/// Index of the class with idempotency keys.
const KEYED: usize = 1;
/// Time of a step of the model, ms.
pub const STEP_MS: f64 = 5.0;
/// Time at which the process stops, ms.
pub const STOP_AT: f64 = 60_000.0;
/// Time after the shutdown request after which nothing that arrives is run, ms.
const GRACE_MS: f64 = 1000.0;
/// Memory of a queued request, kB.
const QUEUED_KB: f64 = 20.0;
/// Memory of a running request, kB.
const RUNNING_KB: f64 = 80.0;
/// Memory of a reserved key, kB.
const KEY_KB: f64 = 50.0;
/// Time over which upstream calls are averaged, ms.
const CALL_WINDOW_MS: f64 = 5000.0;
/// Time that an abandoned call occupies the upstream service, ms.
const LINGER_MS: f64 = 200.0;
/// Time after its deadline at which a request without a response counts as lost, ms.
const SLACK_MS: f64 = 80.0;
/// Time for which the result of a read may be shared in models that share results, ms.
pub const SHARED_MS: f64 = 1000.0;

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % bound
    }

    fn pick(&mut self, ids: &[u64]) -> Option<u64> {
        if ids.is_empty() { None } else { ids.get(self.below(ids.len() as u64) as usize).copied() }
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum RequestState {
    Queued,
    Running,
    Calling,
    Ended,
}

struct ModelRequest {
    class: usize,
    /// Id of the first attempt with the same key.
    root: u64,
    arrived_at: f64,
    deadline: f64,
    state: RequestState,
    answers: u32,
    client_gone: bool,
}

struct ModelCall {
    request: u64,
    from: f64,
    /// Latest time until which the call occupies the upstream service.
    until: f64,
    in_progress: bool,
}

impl ModelCall {
    fn end(&mut self, until: f64) {
        (self.until, self.in_progress) = (until, false);
    }

    /// Returns the fraction of the averaging window in which the call was in progress.
    fn share(&self, now: f64) -> f64 {
        (self.until.min(now) - self.from.max(now - CALL_WINDOW_MS)).max(0.0) / CALL_WINDOW_MS
    }
}

/// A kind of machine: how it can preempt runs, its share of upstream calls if one is stated, the time for
/// which reads may share a result, and its cores.
#[derive(Clone, Copy)]
pub struct Kind {
    pub preemption: Preemption,
    pub share: Option<f64>,
    pub shared_result_ttl_ms: f64,
    pub cores: f64,
}

impl Kind {
    fn settings(self) -> Settings {
        Settings {
            preemption: self.preemption,
            has_upstream: true,
            upstream_call_share: self.share,
            upstream_window_ms: CALL_WINDOW_MS,
            shared_result_ttl_ms: self.shared_result_ttl_ms,
            cores: self.cores,
            survivable_runs_per_core: 3.0,
            memory_kb: 2500.0,
            tenant_quotas: vec![10.0, 100.0],
            over_quota_weight: 0.1,
            classes: vec![
                class(RetrySafety::Idempotent),
                class(RetrySafety::IdempotencyKey),
                class(RetrySafety::AtMostOnce),
            ],
            ..settings()
        }
    }
}

pub struct Model {
    kind: Kind,
    memory_kb: f64,
    controller: AdmissionController,
    random: Random,
    pub now: f64,
    timer_at: f64,
    last_id: u64,
    shutdown_requested_at: Option<f64>,
    events: VecDeque<Event>,
    requests: BTreeMap<u64, ModelRequest>,
    /// Number of runs of each first attempt.
    runs: BTreeMap<u64, u32>,
    /// Reserved requests, each with the time until which it is reserved.
    reserved: BTreeMap<u64, f64>,
    /// Completed requests, each with the time of its completion.
    completed: BTreeMap<u64, f64>,
    calls: Vec<ModelCall>,
    shared_results: u32,
    pub log: Vec<Action>,
}

impl Model {
    pub fn new(seed: u64, kind: Kind) -> Model {
        let settings = kind.settings();
        Model {
            kind,
            memory_kb: settings.memory_kb,
            controller: AdmissionController::new(0.0, settings),
            random: Random(seed),
            now: 0.0,
            timer_at: 0.0,
            last_id: 0,
            shutdown_requested_at: None,
            events: VecDeque::from([Event::Start]),
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            reserved: BTreeMap::new(),
            completed: BTreeMap::new(),
            calls: Vec::new(),
            shared_results: 0,
            log: Vec::new(),
        }
    }

    /// Checks the invariants at the end of a stream.
    pub fn check_end(&self) {
        let answered = |request: &ModelRequest| request.answers == 1 || request.client_gone;
        assert!(self.requests.values().all(answered), "unanswered at the stop");
        let (arrivals, runs, shared) = (self.last_id, self.runs.len(), self.shared_results);
        assert!(arrivals > 1000 && runs > 2, "{arrivals} {runs}");
        assert_eq!(shared > 0, self.kind.shared_result_ttl_ms > 0.0, "{shared} reads shared a result");
    }

    fn request(&mut self, id: u64) -> &mut ModelRequest {
        self.requests.get_mut(&id).expect("a known request")
    }

    pub fn dispatch_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = Vec::new();
            self.controller.on_event(self.now, event, &mut actions);
            for action in &actions {
                self.carry_out(action, &actions);
            }
            self.log.extend(actions);
            self.check_invariants();
        }
    }

    /// Carries out an action; `all` are the actions of the same event.
    fn carry_out(&mut self, action: &Action, all: &[Action]) {
        match action {
            Action::Run(id) => self.run(*id),
            Action::Reject { id, .. } => self.reject(*id),
            Action::Fail(id) => self.answer(*id),
            Action::ReserveKey { id, ttl_ms } => self.reserve(*id, *ttl_ms),
            Action::ReleaseKey(id) => drop(self.reserved.remove(id)),
            Action::CallUpstream { id, timeout_ms } => {
                let until = self.now + timeout_ms;
                self.calls.push(ModelCall { request: *id, from: self.now, until, in_progress: true });
            }
            Action::ReuseResult(id) => self.reuse_result(*id, all),
            Action::SetTimer { delay_ms, .. } => self.timer_at = self.now + delay_ms,
            Action::SkipUpstreamCall(_) => panic!("a call was skipped, but no class may skip calls"),
            _ => {}
        }
    }

    fn run(&mut self, id: u64) {
        let shutdown_requested_at = self.shutdown_requested_at;
        let request = self.requests.get_mut(&id).expect("a known request");
        assert_eq!(request.state, RequestState::Queued);
        if let Some(requested_at) = shutdown_requested_at {
            assert!(request.arrived_at <= requested_at + GRACE_MS, "run after the grace");
        }
        if request.class != IDEMPOTENT {
            let count = self.runs.entry(request.root).or_insert(0);
            *count += 1;
            assert_eq!(*count, 1, "a request that must run once ran twice: {id}");
        }
        if request.class == KEYED {
            assert!(self.reserved.contains_key(&id), "run before it was reserved: {id}");
        }
        request.state = RequestState::Running;
    }

    fn reject(&mut self, id: u64) {
        let request = self.requests.get(&id).expect("a known request");
        let never_ran = request.state == RequestState::Queued && !self.runs.contains_key(&request.root);
        assert!(request.class == IDEMPOTENT || never_ran, "rejected after a run");
        self.answer(id);
    }

    /// Counts a final response without a result.
    fn answer(&mut self, id: u64) {
        let request = self.request(id);
        request.answers += 1;
        if request.state == RequestState::Queued {
            request.state = RequestState::Ended;
        }
    }

    /// Reserves a request; a reservation of an older attempt with the same key is transferred to it.
    fn reserve(&mut self, id: u64, ttl_ms: f64) {
        let root = self.request(id).root;
        let requests = &self.requests;
        self.reserved.retain(|other, _| requests.get(other).is_none_or(|request| request.root != root));
        self.reserved.insert(id, self.now + ttl_ms);
    }

    /// Ends the request with the reused result at once.
    fn reuse_result(&mut self, id: u64, all: &[Action]) {
        let answers = |action: &Action| matches!(action, Action::Fail(other) | Action::Reject { id: other, .. } if *other == id);
        let answered = all.iter().any(answers);
        let request = self.request(id);
        request.state = RequestState::Ended;
        request.answers += u32::from(!answered);
        self.shared_results += u32::from(self.requests[&id].class == IDEMPOTENT);
        self.events.push_back(Event::RunEnded { id, outcome: Outcome::Ok, took_ms: 1.0 });
    }

    fn check_invariants(&mut self) {
        let now = self.now;
        self.reserved.retain(|_, until| *until > now);
        let kb = |request: &ModelRequest| match request.state {
            RequestState::Queued => QUEUED_KB,
            RequestState::Running | RequestState::Calling => RUNNING_KB,
            RequestState::Ended => 0.0,
        };
        let requests_kb: f64 = self.requests.values().map(kb).sum();
        assert!(requests_kb + KEY_KB * self.reserved.len() as f64 <= self.memory_kb, "memory");
        let running = self.requests.values().filter(|request| request.state == RequestState::Running).count();
        assert!(running as f64 <= (3.0 * self.kind.cores).max(1.0), "{running} run at once");
        self.check_calls();
        for (id, request) in &self.requests {
            assert!(request.answers <= 1, "two answers: {id}");
            let in_time = request.answers == 1 || request.client_gone || now <= request.deadline + SLACK_MS;
            assert!(in_time, "lost: {id} {:?} at {now}", request.state);
        }
    }

    /// Marks calls whose requests have ended as abandoned, so that they linger, and checks that all calls
    /// stay within the share.
    fn check_calls(&mut self) {
        let now = self.now;
        for call in self.calls.iter_mut().filter(|call| call.in_progress) {
            let request = self.requests.get(&call.request);
            if request.is_none_or(|request| request.state != RequestState::Calling) {
                call.end(call.until.min(now) + LINGER_MS);
            }
        }
        let mean = self.calls.iter().map(|call| call.share(now)).sum::<f64>();
        assert!(self.kind.share.is_none_or(|share| mean <= share + 1e-9), "{mean} calls in progress");
    }
}
