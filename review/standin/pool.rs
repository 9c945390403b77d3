//! A worker pool that follows the protocol page. Runs take the time of their work: the pool has room.
//!
//! It knows of each request whether it is over (answered, or given up by its client), as a platform does, and
//! keeps neither results nor keys.

use crate::record::Record;
use crate::wire::{from_base64, member, to_base64};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The pool handles what has come in once a tick, of the length that the settings name.
const TICK: Duration = Duration::from_millis(5);
/// Commands that came so long before a break of the link may be lost with it.
const MAY_BE_LOST: Duration = Duration::from_millis(50);

/// What a run of a request does: stretches of work, with a call between each two of them.
#[derive(Clone, Debug)]
pub struct Plan {
    pub class: String,
    pub body: Vec<u8>,
    pub stretches_ms: Vec<f64>,
    /// The request's key in a keyed class.
    pub key: Option<String>,
    /// The society that the request is billed to.
    pub org: Option<String>,
}

enum RunState {
    Running {
        since: Instant,
        generation: u64,
    },
    /// Waits for the call that the notice of this number asked for.
    Blocked(u64),
    Paused,
}

struct Run {
    /// When the reply to each call so far was taken.
    supplied_at: Vec<Instant>,
    stretch: usize,
    remaining_ms: f64,
    used_ms: f64,
    state: RunState,
}

#[derive(Default)]
struct State {
    plans: HashMap<String, Plan>,
    over: HashSet<String>,
    runs: HashMap<String, Run>,
    notices: Vec<String>,
    link: Option<(u64, TcpStream)>,
    links: u64,
    /// When the link was broken last.
    broken_at: Option<Instant>,
    generations: u64,
    timers: BinaryHeap<Reverse<(Instant, u64, String)>>,
    /// Starts of runs by request id, and by key.
    starts: HashMap<String, u64>,
    key_starts: HashMap<String, Vec<String>>,
    results: HashMap<String, Vec<u8>>,
    /// Commands that were read and are carried out at the next tick.
    pending: Vec<(u64, String)>,
}

pub struct Pool {
    pub address: SocketAddr,
    started: Instant,
    record: Arc<Record>,
    /// The share of runs that are on the cores.
    pub on_cores_percent: AtomicUsize,
    state: Mutex<State>,
    /// Bound waits until the worker pool is up.
    is_up: Mutex<bool>,
    came_up: Condvar,
}

/// The body of call number `call` of a request.
pub fn call_body(id: &str, call: usize) -> Vec<u8> {
    format!("call {call} of {id}").into_bytes()
}

/// The reply of the index to a call with this body.
pub fn call_reply(body: &[u8]) -> Vec<u8> {
    [b"reply to ", body].concat()
}

impl Pool {
    /// Starts a worker pool; with `up` false the link is accepted, and `bound` waits for [`Pool::come_up`].
    pub fn start(record: Arc<Record>, up: bool) -> Arc<Pool> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let pool = Arc::new(Pool {
            address: listener.local_addr().expect("an address"),
            started: Instant::now(),
            record,
            on_cores_percent: AtomicUsize::new(100),
            state: Mutex::default(),
            is_up: Mutex::new(up),
            came_up: Condvar::new(),
        });
        let accepting = pool.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let pool = accepting.clone();
                std::thread::spawn(move || pool.serve(stream));
            }
        });
        let timing = pool.clone();
        std::thread::spawn(move || timing.tick());
        pool
    }

    pub fn come_up(&self) {
        *self.is_up.lock().unwrap() = true;
        self.came_up.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Makes a request known, before a client writes it.
    pub fn expect(&self, id: &str, plan: Plan) {
        self.lock().plans.insert(id.to_owned(), plan);
    }

    /// The request is over: its answer was read, or its client has given it up.
    pub fn request_over(&self, id: &str) {
        let mut state = self.lock();
        state.over.insert(id.to_owned());
        if state.runs.get(id).is_some_and(|run| matches!(run.state, RunState::Blocked(_))) {
            self.end(&mut state, id, "cut", None);
        } else if state.runs.get(id).is_some_and(|run| matches!(run.state, RunState::Paused)) {
            state.runs.remove(id);
        }
    }

    /// The result of the run of a request, if it ended well.
    pub fn result_of(&self, id: &str) -> Option<Vec<u8>> {
        self.lock().results.get(id).cloned()
    }

    pub fn start_count(&self) -> u64 {
        self.lock().starts.values().sum()
    }

    /// Breaks the link.
    pub fn break_link(&self) {
        let mut state = self.lock();
        state.broken_at = Some(Instant::now());
        if let Some((number, stream)) = state.link.take() {
            self.record.line(&format!("pool link {number} broken"));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 || member(&line, "op") != Some("bind") {
            return;
        }
        let after: usize = member(&line, "seq").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut is_up = self.is_up.lock().unwrap();
        while !*is_up {
            is_up = self.came_up.wait(is_up).unwrap();
        }
        drop(is_up);
        let number = self.bind(stream, after);
        loop {
            line.clear();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                break;
            }
            let mut state = self.lock();
            if state.link.as_ref().is_none_or(|(current, _)| *current != number) {
                return;
            }
            state.pending.push((number, line.clone()));
        }
        let mut state = self.lock();
        if state.link.as_ref().is_some_and(|(current, _)| *current == number) {
            state.link = None;
        }
    }

    fn bind(&self, stream: TcpStream, after: usize) -> u64 {
        let mut state = self.lock();
        if let Some((_, old)) = state.link.take() {
            let _ = old.shutdown(Shutdown::Both);
        }
        state.links += 1;
        let number = state.links;
        self.record.line(&format!("pool link {number} bound after notice {after}"));
        let ms = self.started.elapsed().as_millis();
        let mut text = format!("{{\"op\":\"bound\",\"end\":\"old\",\"ms\":{ms}}}\n");
        state.notices.iter().skip(after).for_each(|notice| text.push_str(notice));
        state.link = Some((number, stream));
        write(&mut state, &text);
        number
    }

    fn execute(&self, state: &mut State, link: u64, line: &str) -> bool {
        let (Some(op), id) = (member(line, "op"), member(line, "id").unwrap_or("")) else { return false };
        let done = match op {
            "poll" => {
                let (tag, running) = (member(line, "tag").unwrap_or(""), state.runs.len());
                if tag.parse::<u64>().is_err() {
                    self.record.line(&format!("pool poll {tag}"));
                }
                // Of the runs, so many are on the cores; the others wait for disk.
                let on_cores = running * self.on_cores_percent.load(Ordering::Relaxed) / 100;
                let busy = (on_cores as f64 / 8.0).min(1.0);
                let text = format!(
                    "{{\"op\":\"polled\",\"tag\":\"{tag}\",\"values\":[{busy:.2},{on_cores},0.2,8]}}\n"
                );
                if state.link.as_ref().is_some_and(|(current, _)| *current == link) {
                    write(state, &text);
                }
                return true;
            }
            "spawn" => self.spawn(state, id, line),
            "suspend" => self.suspend(state, id),
            "proceed" => self.proceed(state, id),
            "supply" => self.supply(state, id, &from_base64(member(line, "body").unwrap_or(""))),
            "pass" => self.pass(state, id, member(line, "seq").unwrap_or("")),
            _ => return false,
        };
        if !done {
            self.record.line(&format!("pool unknown {op} {id}"));
            write(state, &format!("{{\"op\":\"unknown\",\"end\":\"{op}\",\"id\":\"{id}\"}}\n"));
        }
        true
    }

    /// Runs the request, unless it runs already or is over.
    fn spawn(&self, state: &mut State, id: &str, line: &str) -> bool {
        let Some(plan) = state.plans.get(id).cloned() else { return false };
        let (class, body) =
            (member(line, "class").unwrap_or(""), from_base64(member(line, "body").unwrap_or("")));
        if class != plan.class || body != plan.body {
            self.record.violation(&format!("lost: class or body of {id} reached the worker pool changed"));
            return false;
        }
        if state.runs.contains_key(id) {
            self.record.line(&format!("pool spawn {id}, which runs already"));
            return true;
        }
        if state.over.contains(id) || state.results.contains_key(id) {
            self.record.line(&format!("pool spawn {id}, which is over"));
            self.notify(state, &format!("\"op\":\"finished\",\"id\":\"{id}\",\"end\":\"gone\",\"ms\":0"));
            return true;
        }
        let starts = state.starts.entry(id.to_owned()).or_default();
        *starts += 1;
        let starts = *starts;
        self.record.line(&format!("pool run {id} {class} begins, start {starts}"));
        if let Some(key) = &plan.key {
            let attempts = state.key_starts.entry(key.clone()).or_default();
            attempts.push(id.to_owned());
            if attempts.len() > 1 {
                let text = format!("duplicate: key {key} was run {} times, by {attempts:?}", attempts.len());
                self.record.violation(&text);
            }
        }
        let run = Run {
            supplied_at: Vec::new(),
            stretch: 0,
            remaining_ms: plan.stretches_ms[0],
            used_ms: 0.0,
            state: RunState::Paused,
        };
        state.runs.insert(id.to_owned(), run);
        self.go_on(state, id);
        true
    }

    fn go_on(&self, state: &mut State, id: &str) {
        state.generations += 1;
        let generation = state.generations;
        let Some(run) = state.runs.get_mut(id) else { return };
        let now = Instant::now();
        run.state = RunState::Running { since: now, generation };
        let at = now + Duration::from_secs_f64(run.remaining_ms / 1000.0);
        state.timers.push(Reverse((at, generation, id.to_owned())));
    }

    fn suspend(&self, state: &mut State, id: &str) -> bool {
        if !state.plans.contains_key(id) {
            return false;
        }
        let Some(run) = state.runs.get_mut(id) else { return true };
        let RunState::Running { since, .. } = run.state else { return true };
        let ran_ms = since.elapsed().as_secs_f64() * 1000.0;
        run.remaining_ms = (run.remaining_ms - ran_ms).max(0.1);
        run.used_ms += ran_ms;
        run.state = RunState::Paused;
        let used_ms = run.used_ms;
        if state.over.contains(id) {
            state.runs.remove(id);
        }
        self.record.line(&format!("pool run {id} cut"));
        self.notify(
            state,
            &format!("\"op\":\"finished\",\"id\":\"{id}\",\"end\":\"cut\",\"ms\":{used_ms:.1}"),
        );
        true
    }

    fn proceed(&self, state: &mut State, id: &str) -> bool {
        if state.runs.get(id).is_some_and(|run| matches!(run.state, RunState::Paused)) {
            self.go_on(state, id);
            return true;
        }
        state.runs.contains_key(id)
    }

    /// The reply to the call that the run waits for. A reply while the run waits for none has no effect.
    fn supply(&self, state: &mut State, id: &str, body: &[u8]) -> bool {
        if !state.plans.contains_key(id) {
            return false;
        }
        let Some(run) = state.runs.get_mut(id) else { return true };
        if !matches!(run.state, RunState::Blocked(_)) {
            self.record.line(&format!("pool supply {id}, which waits for no call"));
            return true;
        }
        let (call, text) = (run.stretch, String::from_utf8_lossy(body).into_owned());
        self.record.line(&format!("pool supply {id} call {call}: {text}"));
        if body != call_reply(&call_body(id, call)) {
            self.judge_wrong_reply(state, id, call, body);
        }
        if let Some(run) = state.runs.get_mut(id) {
            run.supplied_at.push(Instant::now());
        }
        self.next_stretch(state, id);
        true
    }

    /// A reply to another call breaks the rule; but if it was taken for its own call within the last 50 ms before
    /// the link broke, the server had to reckon with its loss: that is recorded and not counted.
    fn judge_wrong_reply(&self, state: &State, id: &str, call: usize, body: &[u8]) {
        let earlier = (0..call).find(|earlier| body == call_reply(&call_body(id, *earlier)));
        let taken_at = earlier.and_then(|earlier| state.runs.get(id)?.supplied_at.get(earlier).copied());
        let before_break = taken_at.and_then(|at| Some(state.broken_at?.saturating_duration_since(at)));
        let text = format!("call {call} of {id} was supplied with `{}`", String::from_utf8_lossy(body));
        let text = match before_break {
            Some(before) => format!("{text}, taken {} ms before the break", before.as_millis()),
            None => text,
        };
        match before_break {
            Some(before) if before <= MAY_BE_LOST => self.record.line(&format!("not counted: {text}")),
            _ => self.record.violation(&format!("lost: {text}")),
        }
    }

    fn pass(&self, state: &mut State, id: &str, notice: &str) -> bool {
        if !state.plans.contains_key(id) {
            return false;
        }
        let blocked = match state.runs.get(id).map(|run| &run.state) {
            Some(RunState::Blocked(number)) => Some(*number),
            _ => None,
        };
        if blocked.is_some_and(|number| number.to_string() == notice) {
            self.next_stretch(state, id);
        }
        true
    }

    fn next_stretch(&self, state: &mut State, id: &str) {
        let Some(stretches_ms) = state.plans.get(id).map(|plan| plan.stretches_ms.clone()) else { return };
        let Some(run) = state.runs.get_mut(id) else { return };
        run.stretch += 1;
        run.remaining_ms = stretches_ms[run.stretch];
        self.go_on(state, id);
    }

    fn end(&self, state: &mut State, id: &str, end: &str, result: Option<Vec<u8>>) {
        let Some(run) = state.runs.remove(id) else { return };
        let body = result.as_ref().map_or(String::new(), |body| format!(",\"body\":\"{}\"", to_base64(body)));
        if let Some(result) = result {
            state.results.insert(id.to_owned(), result);
        }
        self.record.line(&format!("pool run {id} ends {end}"));
        let ms = run.used_ms;
        let text = format!("\"op\":\"finished\",\"id\":\"{id}\",\"end\":\"{end}\",\"ms\":{ms:.1}{body}");
        self.notify(state, &text);
    }

    fn notify(&self, state: &mut State, members: &str) {
        let number = state.notices.len() + 1;
        let notice = format!("{{\"seq\":{number},{members}}}\n");
        state.notices.push(notice.clone());
        write(state, &notice);
    }

    /// Every tick: first the runs whose work is done, then the commands that have come.
    fn tick(&self) {
        let mut next = Instant::now();
        loop {
            next += TICK;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            let mut state = self.lock();
            let now = Instant::now();
            while state.timers.peek().is_some_and(|Reverse((at, _, _))| *at <= now) {
                let Some(Reverse((_, generation, id))) = state.timers.pop() else { break };
                self.stretch_done(&mut state, generation, &id);
            }
            for (link, line) in std::mem::take(&mut state.pending) {
                if state.link.as_ref().is_none_or(|(current, _)| *current != link) {
                    continue;
                }
                if !self.execute(&mut state, link, &line) {
                    self.record.line(&format!("pool reads no command: {line}"));
                    if let Some((_, stream)) = state.link.take() {
                        let _ = stream.shutdown(Shutdown::Both);
                    }
                }
            }
        }
    }

    fn stretch_done(&self, state: &mut State, generation: u64, id: &str) {
        let next_notice = state.notices.len() as u64 + 1;
        let is_over = state.over.contains(id);
        let Some(stretches) = state.plans.get(id).map(|plan| plan.stretches_ms.len()) else { return };
        let Some(run) = state.runs.get_mut(id) else { return };
        let RunState::Running { since, generation: current } = run.state else { return };
        if current != generation {
            return;
        }
        run.used_ms += since.elapsed().as_secs_f64() * 1000.0;
        let call = run.stretch;
        if call + 1 == stretches {
            return self.end(state, id, "good", Some(format!("result of {id}").into_bytes()));
        }
        if is_over {
            return self.end(state, id, "cut", None);
        }
        run.state = RunState::Blocked(next_notice);
        self.record.line(&format!("pool run {id} waits for call {call}"));
        let body = to_base64(&call_body(id, call));
        self.notify(state, &format!("\"op\":\"blocked\",\"id\":\"{id}\",\"body\":\"{body}\""));
    }
}

fn write(state: &mut State, text: &str) {
    if let Some((_, stream)) = &mut state.link {
        if stream.write_all(text.as_bytes()).is_err() {
            state.link = None;
        }
    }
}
