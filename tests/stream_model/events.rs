//! The events of the model: at most one random event per step.

use super::{
    CALL_WINDOW_MS, IDEMPOTENT, KEYED, LINGER_MS, Model, ModelRequest, QUEUED_KB, RequestState, SHARED_MS,
    STOP_AT,
};
use dunlinspread::{Arrival, Event, Gauges, Outcome};

/// Time at which shutdown is requested, ms.
const SHUTDOWN_AT: f64 = 50_000.0;

impl Model {
    /// Generates at most one event.
    pub fn step(&mut self) {
        self.requests.retain(|_, request| request.state != RequestState::Ended);
        if self.now > SHUTDOWN_AT && self.shutdown_requested_at.is_none() {
            self.request_shutdown();
        }
        if self.time_out_call() {
            return;
        }
        let now = self.now;
        self.calls.retain(|call| call.until > now - CALL_WINDOW_MS);
        if self.timer_at <= now {
            return self.fire_timer();
        }
        let in_progress = self.requests.iter().filter(|(_, request)| request.state != RequestState::Queued);
        let in_progress: Vec<u64> = in_progress.map(|(id, _)| *id).collect();
        let picked = self.random.pick(&in_progress);
        match (self.random.below(5), picked) {
            (0 | 1, _) => self.arrive(),
            (2, Some(id)) => self.complete(id),
            (3, Some(id)) => self.begin_or_end_call(id),
            (4, Some(id)) if self.random.below(10) == 0 => {
                self.request(id).client_gone = true;
                self.events.push_back(Event::ClientGone(id));
            }
            _ => {}
        }
    }

    fn request_shutdown(&mut self) {
        self.shutdown_requested_at = Some(self.now);
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(STOP_AT);
        }
        self.events.push_back(Event::Drain { stop_at: STOP_AT });
    }

    /// Ends one call whose timeout is over; returns whether there was one.
    fn time_out_call(&mut self) -> bool {
        let now = self.now;
        let Some(call) = self.calls.iter_mut().find(|call| call.in_progress && call.until <= now) else {
            return false;
        };
        call.end(call.until + LINGER_MS);
        let (id, took_ms) = (call.request, now - call.from);
        self.events.push_back(Event::UpstreamCallEnded { id, outcome: Outcome::TimedOut, took_ms });
        true
    }

    fn fire_timer(&mut self) {
        let busy = Some(self.random.below(11) as f64 / 10.0);
        let run_queue = Some(self.random.below(30) as f64);
        let gauges = Gauges { busy, run_queue, ..Gauges::default() };
        self.events.push_back(Event::Timer { token: 1, gauges });
    }

    /// Returns the reserved requests that a new request of the class may duplicate.
    fn possible_originals(&self, class: usize, id: u64) -> Vec<u64> {
        let is_shared = |original: &u64| {
            let in_progress = self.requests.get(original).is_some_and(|request| request.class == IDEMPOTENT);
            in_progress || self.completed.get(original).is_some_and(|at| self.now - at < SHARED_MS)
        };
        let is_keyed = |original: &u64| {
            self.runs.contains_key(original)
                || self.requests.get(original).is_some_and(|request| request.class == KEYED)
        };
        let allowed = |original: &u64| match class {
            IDEMPOTENT => self.kind.shared_result_ttl_ms > 0.0 && is_shared(original),
            _ => is_keyed(original),
        };
        self.reserved.keys().copied().filter(|original| *original != id && allowed(original)).collect()
    }

    fn arrive(&mut self) {
        self.last_id += 1;
        let id = self.last_id;
        let class = self.random.below(3) as usize;
        let age_ms = self.random.below(100) as f64;
        let originals = self.possible_originals(class, id);
        let duplicates = class <= KEYED && !originals.is_empty() && self.random.below(3) == 0;
        let duplicate_of = if duplicates { self.random.pick(&originals) } else { None };
        let root_of = |original| self.requests.get(&original).map_or(original, |request| request.root);
        let root = duplicate_of.map_or(id, root_of);
        let states_deadline = self.random.below(2) == 0;
        let stated = states_deadline.then(|| self.now + self.random.below(2000) as f64);
        let arrived_at = self.now - age_ms;
        let deadline = stated.filter(|deadline| *deadline > 0.0).unwrap_or(arrived_at + 3000.0);
        let deadline = if self.shutdown_requested_at.is_some() { deadline.min(STOP_AT) } else { deadline };
        let state = RequestState::Queued;
        let request =
            ModelRequest { class, root, arrived_at, deadline, state, answers: 0, client_gone: false };
        self.requests.insert(id, request);
        self.events.push_back(Event::Arrival(Arrival {
            id,
            class,
            tenant: self.random.below(3) as usize,
            deadline: stated,
            request_kb: QUEUED_KB,
            priority: self.random.below(100) as f64 / 100.0,
            age_ms,
            duplicate_of,
            shareable: class == IDEMPOTENT,
            ..Arrival::default()
        }));
    }

    fn complete(&mut self, id: u64) {
        let request = self.request(id);
        if request.state != RequestState::Running {
            return;
        }
        (request.state, request.answers) = (RequestState::Ended, 1);
        self.completed.insert(id, self.now);
        self.events.push_back(Event::RunEnded { id, outcome: Outcome::Ok, took_ms: 50.0 });
    }

    fn begin_or_end_call(&mut self, id: u64) {
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("a known request");
        if request.state == RequestState::Running && request.answers == 0 {
            request.state = RequestState::Calling;
            return self.events.push_back(Event::UpstreamCallNeeded(id));
        }
        if request.state != RequestState::Calling {
            return;
        }
        if let Some(call) = self.calls.iter_mut().find(|call| call.in_progress && call.request == id) {
            call.end(now);
            request.state = RequestState::Running;
            self.events.push_back(Event::UpstreamCallEnded { id, outcome: Outcome::Ok, took_ms: 10.0 });
        }
    }
}
