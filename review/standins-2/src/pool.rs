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
}

#[derive(Clone, Debug)]
pub struct StartedRun {
    pub id: String,
    pub class: String,
    pub at: u64,
}

#[derive(Clone, PartialEq)]
enum Phase {
    Running,
    Paused,
}

struct Run {
    class: String,
    body: Vec<u8>,
    phase: Phase,
    generation: u64,
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
}

#[derive(Clone)]
pub struct Pool {
    pub state: Arc<Mutex<PoolState>>,
    pub address: SocketAddr,
    settings: PoolSettings,
    started_at: Instant,
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
        {
            let mut state = lock(&self.state);
            let ms = self.started_at.elapsed().as_millis();
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
            let text =
                format!("{{\"op\":\"polled\",\"tag\":\"{tag}\",\"values\":[{busy},{running},0.1,10]}}\n");
            state.write(&text);
            return Some(());
        }
        let id = json_value(line, "id")?;
        let is_known = match op.as_str() {
            "spawn" => self.spawn(state, &id, line),
            "suspend" => self.suspend(state, &id),
            "proceed" => {
                state.runs.get(&id).is_some_and(|run| run.phase == Phase::Paused) && self.go_on(state, &id)
            }
            _ => false,
        };
        if !is_known {
            state.write(&format!("{{\"op\":\"unknown\",\"end\":\"{op}\",\"id\":\"{id}\"}}\n"));
        }
        Some(())
    }

    fn spawn(&self, state: &mut PoolState, id: &str, line: &str) -> bool {
        // No request with such an id came to this process.
        if id.starts_with("bad") {
            return false;
        }
        if state.runs.contains_key(id) {
            return true;
        }
        if state.over.contains(id) {
            state.notice(&format!("\"op\":\"finished\",\"id\":\"{id}\",\"end\":\"gone\",\"ms\":0"));
            return true;
        }
        let (Some(class), Some(body)) = (json_value(line, "class"), json_value(line, "body")) else {
            return false;
        };
        let body = unbase64(&body);
        let run = StartedRun { id: id.to_owned(), class: class.clone(), at: now_ms() };
        state.started.push(run);
        let remaining_ms = (self.settings.run_ms)(&class, id);
        let run =
            Run { class, body, phase: Phase::Paused, generation: 0, began: Instant::now(), remaining_ms };
        state.runs.insert(id.to_owned(), run);
        self.go_on(state, id)
    }

    fn go_on(&self, state: &mut PoolState, id: &str) -> bool {
        state.generations += 1;
        let generation = state.generations;
        let Some(run) = state.runs.get_mut(id) else { return false };
        (run.phase, run.generation, run.began) = (Phase::Running, generation, Instant::now());
        let at = Instant::now() + Duration::from_millis(run.remaining_ms);
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
        while state.timers.peek().is_some_and(|timer| timer.0 .0 <= Instant::now()) {
            let Some(std::cmp::Reverse((_, generation, id))) = state.timers.pop() else { return };
            self.step(&mut state, &id, generation);
        }
    }

    fn step(&self, state: &mut PoolState, id: &str, generation: u64) {
        let Some(run) = state.runs.get(id) else { return };
        if run.phase != Phase::Running || run.generation != generation {
            return;
        }
        let Some(run) = state.runs.remove(id) else { return };
        let body = base64(&[b"done:", run.body.as_slice()].concat());
        let ms = (self.settings.run_ms)(&run.class, id);
        state.notice(&format!(
            "\"op\":\"finished\",\"id\":\"{id}\",\"end\":\"good\",\"ms\":{ms},\"body\":\"{body}\""
        ));
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
