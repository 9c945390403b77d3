//! A worker pool as the protocol page describes it: numbered notices, the last 4,000 kept, one link at a
//! time, `bound` once it is up. Runs share no cores: each takes the time that the case sets.

use crate::wire::{base64, json_value, unbase64};
use crate::{lock, now_ms};
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the case sets.
#[derive(Clone, Copy)]
pub struct PoolSettings {
    /// Time of a run, ms.
    pub run_ms: fn(class: &str, id: &str) -> u64,
    /// Number of calls of a run.
    pub calls: fn(class: &str, id: &str) -> u32,
    /// Length that results are filled up to, bytes.
    pub result_bytes: usize,
    /// Time after which the worker pool is up, ms.
    pub up_after_ms: u64,
}

#[derive(Clone, Debug)]
pub struct StartedRun {
    pub id: String,
    pub class: String,
    pub body: Vec<u8>,
    pub at: u64,
}

#[derive(Clone, PartialEq)]
enum Phase {
    Running,
    Paused,
    /// Waits for the call of the notice with this number.
    Blocked(u64),
}

struct Run {
    class: String,
    body: Vec<u8>,
    phase: Phase,
    generation: u64,
    calls_left: u32,
    calls_made: u32,
    began: Instant,
    remaining_ms: u64,
}

#[derive(Default)]
pub struct PoolState {
    runs: HashMap<String, Run>,
    kept: VecDeque<(u64, String)>,
    last_seq: u64,
    link: Option<TcpStream>,
    generations: u64,
    timers: BinaryHeap<std::cmp::Reverse<(Instant, u64, String)>>,
    /// Requests that are over.
    pub over: HashSet<String>,
    pub started: Vec<StartedRun>,
    /// Calls and the replies that were supplied for them.
    pub supplied: Vec<(String, Vec<u8>, Vec<u8>)>,
    pub results: HashMap<String, Vec<u8>>,
}

#[derive(Clone)]
pub struct Pool {
    pub state: Arc<Mutex<PoolState>>,
    pub address: SocketAddr,
    settings: PoolSettings,
    started_at: Instant,
}

/// The body of a call, which no other call has.
pub fn call_body(id: &str, number: u32) -> Vec<u8> {
    format!("call {number} of {id}").into_bytes()
}

/// The reply of the next tier to a call with this body.
pub fn call_reply(body: &[u8]) -> Vec<u8> {
    [b"reply to ", body].concat()
}

impl Pool {
    pub fn start(settings: PoolSettings) -> Pool {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let pool = Pool { state: Arc::default(), address, settings, started_at: Instant::now() };
        let accepting = pool.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let pool = accepting.clone();
                thread::spawn(move || pool.serve(stream));
            }
        });
        let timing = pool.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(1));
            timing.fire_timers();
        });
        pool
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        let bind = lines.next()?.ok()?;
        let after: u64 = json_value(&bind, "seq")?.parse().ok()?;
        let up_at = self.started_at + Duration::from_millis(self.settings.up_after_ms);
        thread::sleep(up_at.saturating_duration_since(Instant::now()));
        {
            let mut state = lock(&self.state);
            let ms = Instant::now().saturating_duration_since(up_at).as_millis();
            let mut text = format!("{{\"op\":\"bound\",\"end\":\"old\",\"ms\":{ms}}}\n");
            for (seq, line) in &state.kept {
                if *seq > after {
                    text.push_str(line);
                }
            }
            let mut writer = stream.try_clone().ok()?;
            writer.write_all(text.as_bytes()).ok()?;
            if let Some(earlier) = state.link.replace(writer) {
                let _ = earlier.shutdown(std::net::Shutdown::Both);
            }
        }
        for line in lines {
            self.command(&mut lock(&self.state), &line.ok()?);
        }
        Some(())
    }

    fn command(&self, state: &mut PoolState, line: &str) -> Option<()> {
        let op = json_value(line, "op")?;
        if op == "poll" {
            let tag = json_value(line, "tag")?;
            let running = state.runs.values().filter(|run| run.phase == Phase::Running).count();
            let busy = (running as f64 / 6.0).min(1.0);
            let text = format!("{{\"op\":\"polled\",\"tag\":\"{tag}\",\"values\":[{busy},{running},0.1,10]}}\n");
            state.write(&text);
            return Some(());
        }
        let id = json_value(line, "id")?;
        let is_known = match op.as_str() {
            "spawn" => self.spawn(state, &id, line),
            "suspend" => self.suspend(state, &id),
            "proceed" => state.runs.get(&id).is_some_and(|run| run.phase == Phase::Paused) && self.go_on(state, &id),
            "supply" => {
                let reply = unbase64(&json_value(line, "body")?);
                let run = state.runs.get(&id).filter(|run| matches!(run.phase, Phase::Blocked(_)));
                let call = run.map(|run| call_body(&id, run.calls_made));
                call.is_some_and(|call| {
                    state.supplied.push((id.clone(), call, reply));
                    self.go_on(state, &id)
                })
            }
            "pass" => {
                let seq = json_value(line, "seq")?.parse().ok()?;
                let waits = state.runs.get(&id).is_some_and(|run| run.phase == Phase::Blocked(seq));
                waits && self.go_on(state, &id)
            }
            _ => false,
        };
        if !is_known {
            state.write(&format!("{{\"op\":\"unknown\",\"end\":\"{op}\",\"id\":\"{id}\"}}\n"));
        }
        Some(())
    }

    fn spawn(&self, state: &mut PoolState, id: &str, line: &str) -> bool {
        if state.runs.contains_key(id) {
            return true;
        }
        if state.over.contains(id) {
            state.notice(&format!("\"op\":\"finished\",\"id\":\"{id}\",\"end\":\"gone\",\"ms\":0"));
            return true;
        }
        let (Some(class), Some(body)) = (json_value(line, "class"), json_value(line, "body")) else { return false };
        let body = unbase64(&body);
        let run = StartedRun { id: id.to_owned(), class: class.clone(), body: body.clone(), at: now_ms() };
        state.started.push(run);
        let (calls_left, work) = ((self.settings.calls)(&class, id), (self.settings.run_ms)(&class, id));
        let (phase, began) = (Phase::Paused, Instant::now());
        let run =
            Run { class, body, phase, generation: 0, calls_left, calls_made: 0, began, remaining_ms: work };
        state.runs.insert(id.to_owned(), run);
        self.go_on(state, id)
    }

    fn go_on(&self, state: &mut PoolState, id: &str) -> bool {
        state.generations += 1;
        let generation = state.generations;
        let Some(run) = state.runs.get_mut(id) else { return false };
        (run.phase, run.generation, run.began) = (Phase::Running, generation, Instant::now());
        let part = run.remaining_ms / u64::from(run.calls_left + 1);
        let at = Instant::now() + Duration::from_millis(part);
        state.timers.push(std::cmp::Reverse((at, generation, id.to_owned())));
        true
    }

    fn suspend(&self, state: &mut PoolState, id: &str) -> bool {
        let Some(run) = state.runs.get_mut(id) else { return false };
        if run.phase == Phase::Running {
            run.phase = Phase::Paused;
            run.remaining_ms = run.remaining_ms.saturating_sub(run.began.elapsed().as_millis() as u64).max(1);
            state.notice(&format!("\"op\":\"finished\",\"id\":\"{id}\",\"end\":\"cut\",\"ms\":1"));
            if state.over.contains(id) {
                state.runs.remove(id);
            }
        }
        true
    }

    fn fire_timers(&self) {
        let mut state = lock(&self.state);
        while state.timers.peek().is_some_and(|timer| timer.0.0 <= Instant::now()) {
            let Some(std::cmp::Reverse((_, generation, id))) = state.timers.pop() else { return };
            self.step(&mut state, &id, generation);
        }
        let ended: Vec<String> = state
            .runs
            .iter()
            .filter(|(id, run)| matches!(run.phase, Phase::Blocked(_)) && state.over.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            state.runs.remove(&id);
            state.notice(&format!("\"op\":\"finished\",\"id\":\"{id}\",\"end\":\"cut\",\"ms\":1"));
        }
    }

    fn step(&self, state: &mut PoolState, id: &str, generation: u64) {
        let next_seq = state.last_seq + 1;
        let Some(run) = state.runs.get_mut(id) else { return };
        if run.phase != Phase::Running || run.generation != generation {
            return;
        }
        if run.calls_left > 0 {
            run.remaining_ms -= run.remaining_ms / u64::from(run.calls_left + 1);
            run.calls_left -= 1;
            run.calls_made += 1;
            run.phase = Phase::Blocked(next_seq);
            let body = base64(&call_body(id, run.calls_made));
            return state.notice(&format!("\"op\":\"blocked\",\"id\":\"{id}\",\"body\":\"{body}\""));
        }
        let Some(run) = state.runs.remove(id) else { return };
        let mut result = [b"done:", run.body.as_slice()].concat();
        result.resize(result.len().max(self.settings.result_bytes), b'.');
        let (body, class) = (base64(&result), run.class);
        let ms = (self.settings.run_ms)(&class, id);
        state.results.insert(id.to_owned(), result);
        state.notice(&format!("\"op\":\"finished\",\"id\":\"{id}\",\"end\":\"good\",\"ms\":{ms},\"body\":\"{body}\""));
    }
}

impl PoolState {
    fn notice(&mut self, fields: &str) {
        self.last_seq += 1;
        let line = format!("{{\"seq\":{},{fields}}}\n", self.last_seq);
        self.kept.push_back((self.last_seq, line.clone()));
        if self.kept.len() > 4000 {
            self.kept.pop_front();
        }
        self.write(&line);
    }

    fn write(&mut self, text: &str) {
        if self.link.as_mut().is_some_and(|link| link.write_all(text.as_bytes()).is_err()) {
            self.link = None;
        }
    }
}
