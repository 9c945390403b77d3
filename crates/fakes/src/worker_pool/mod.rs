//! The worker pool: owns the cores of one machine, runs what it is told to, and tells of it in numbered notices.

use crate::fake_server::{FakeServer, Tasks};
use crate::platform::PlatformSettings;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Notices that are kept for a link that comes later.
const KEPT: usize = 4000;
/// Commands waiting to be written on one link; a slower reader loses its link.
const MAILBOX: usize = 100_000;

/// What goes wrong on the link, beside what is asked for by hand.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerPoolFaults {
    /// A notice is written twice, as a part of all.
    pub duplicate: f64,
    /// A notice is written in two pieces with a pause between.
    pub split: f64,
    /// A remark stands before a notice.
    pub chatter: f64,
    /// The link breaks after a notice, in the middle of it.
    pub reset: f64,
    /// A run fails.
    pub bad: f64,
}

enum State {
    Running { since: Instant, generation: u64 },
    Blocked(u64),
    Paused,
}

struct Run {
    class: usize,
    body: Vec<u8>,
    left_ms: f64,
    used_ms: f64,
    call_due: bool,
    state: State,
}

struct Machine {
    site: PlatformSettings,
    faults: WorkerPoolFaults,
    rng: ChaCha8Rng,
    started: Instant,
    runs: HashMap<String, Run>,
    generations: u64,
    notices: VecDeque<(u64, String)>,
    seq: u64,
    link: Option<Sender<String>>,
    links: u64,
    ran: Arc<Mutex<HashMap<Vec<u8>, u32>>>,
}

enum Hand {
    Reset,
    Stall(Duration),
    Break,
}

/// A running worker pool.
pub struct FakeWorkerPool {
    _server: FakeServer,
    address: SocketAddr,
    hand: Sender<Hand>,
    ran: Arc<Mutex<HashMap<Vec<u8>, u32>>>,
}

impl FakeWorkerPool {
    /// Starts one for a machine of that site.
    ///
    /// # Errors
    /// If there is no port or thread.
    pub fn start(site: &PlatformSettings, seed: u64, faults: WorkerPoolFaults) -> io::Result<FakeWorkerPool> {
        let (hand, hands) = async_channel::unbounded();
        let ran = Arc::new(Mutex::new(HashMap::new()));
        let (site, shared) = (site.clone(), ran.clone());
        let (party, address) = FakeServer::listen("worker pool", move |tasks| {
            let machine = Rc::new(RefCell::new(Machine {
                site,
                faults,
                rng: ChaCha8Rng::seed_from_u64(seed),
                started: Instant::now(),
                runs: HashMap::new(),
                generations: 0,
                notices: VecDeque::new(),
                seq: 0,
                link: None,
                links: 0,
                ran: shared,
            }));
            tasks.spawn(by_hand(machine.clone(), hands));
            let tasks = tasks.clone();
            move |stream| serve(machine.clone(), tasks.clone(), stream)
        })?;
        Ok(FakeWorkerPool { _server: party, address, hand, ran })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Kills it and starts it anew, cold: all runs and notices are gone.
    pub fn kill(&self) {
        let _ = self.hand.try_send(Hand::Reset);
    }

    /// Stands still for that long: runs go on, nothing is read or written.
    pub fn stall(&self, time: Duration) {
        let _ = self.hand.try_send(Hand::Stall(time));
    }

    /// Breaks the link.
    pub fn break_link(&self) {
        let _ = self.hand.try_send(Hand::Break);
    }

    /// How often each body was begun to run.
    pub fn ran(&self) -> HashMap<Vec<u8>, u32> {
        self.ran.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn by_hand(machine: Rc<RefCell<Machine>>, hands: Receiver<Hand>) {
    while let Ok(hand) = hands.recv().await {
        match hand {
            Hand::Break => machine.borrow_mut().link = None,
            Hand::Reset => {
                let mut machine = machine.borrow_mut();
                machine.link = None;
                machine.runs.clear();
                machine.notices.clear();
                (machine.seq, machine.started) = (0, Instant::now());
            }
            // All tasks of the party share this thread.
            Hand::Stall(time) => std::thread::sleep(time),
        }
    }
}

/// The result that a run makes of a body.
pub(crate) fn result_of(body: &[u8]) -> Vec<u8> {
    [b"done:", body].concat()
}

async fn serve(machine: Rc<RefCell<Machine>>, tasks: Tasks, stream: Async<TcpStream>) {
    let mut lines = Lines { bytes: Vec::new(), stream: &stream };
    let Some(first) = lines.next().await.filter(|v| v["op"] == "bind") else { return };
    let Some(after) = first["seq"].as_u64() else { return };
    let (link, letters) = async_channel::bounded(MAILBOX);
    {
        let mut m = machine.borrow_mut();
        if after == 0 {
            // A round server that starts: its notices begin at 1, and what ran for the one before is nobody's.
            m.notices.clear();
            m.runs.clear();
            m.seq = 0;
        }
        let bound = json!({"op": "bound", "end": "old", "ms": m.started.elapsed().as_millis() as u64});
        let _ = link.try_send(format!("{bound}\n"));
        for (seq, line) in &m.notices {
            if *seq > after {
                let _ = link.try_send(line.clone());
            }
        }
        m.links += 1;
        // The link before ends as its mailbox is dropped.
        m.link = Some(link);
    }
    let reader = async {
        while let Some(command) = lines.next().await {
            if !command_taken(&machine, &tasks, &command) {
                return;
            }
        }
    };
    let writer = async {
        let mut out = &stream;
        while let Ok(line) = letters.recv().await {
            let (split, reset) = {
                let mut m = machine.borrow_mut();
                let notice = line.contains("\"seq\"");
                let (split, reset) = (m.faults.split, m.faults.reset);
                (m.rng.random::<f64>() < split, notice && m.rng.random::<f64>() < reset)
            };
            let middle = line.len() / 2;
            if out.write_all(&line.as_bytes()[..middle]).await.is_err() || reset {
                return;
            }
            if split {
                Timer::after(Duration::from_millis(2)).await;
            }
            if out.write_all(&line.as_bytes()[middle..]).await.is_err() {
                return;
            }
        }
    };
    or(reader, writer).await;
}

struct Lines<'a> {
    bytes: Vec<u8>,
    stream: &'a Async<TcpStream>,
}

impl Lines<'_> {
    /// The next line as JSON; none at the end, or for what is no JSON.
    async fn next(&mut self) -> Option<Value> {
        let mut chunk = vec![0; 8192];
        loop {
            if let Some(end) = self.bytes.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.bytes.drain(..=end).collect();
                return serde_json::from_slice(&line).ok();
            }
            match self.stream.read(&mut chunk).await {
                Ok(n) if n > 0 => self.bytes.extend_from_slice(&chunk[..n]),
                _ => return None,
            }
        }
    }
}

/// Carries out a command; false for what is none.
fn command_taken(machine: &Rc<RefCell<Machine>>, tasks: &Tasks, command: &Value) -> bool {
    let m = &mut *machine.borrow_mut();
    let (Some(op), id) = (command["op"].as_str(), command["id"].as_str().unwrap_or("")) else { return false };
    let body = || command["body"].as_str().and_then(|b| BASE64.decode(b).ok());
    if op == "poll" {
        let running = m.running();
        let share = running as f64 / m.site.cores as f64;
        let values = json!([share.min(1.0), running, (m.runs.len() as f64 / 1000.0).min(1.0), 4]);
        let polled = json!({"op": "polled", "tag": command["tag"], "values": values});
        return m.say(format!("{polled}\n"));
    }
    let done = match op {
        "spawn" => m.spawn(machine, tasks, command, id, body()),
        "suspend" => match m.runs.get_mut(id) {
            Some(run) => {
                // What waits at a call or is paused already has nothing to stop.
                if let State::Running { since, .. } = run.state {
                    let ran = since.elapsed().as_secs_f64() * 1000.0;
                    run.left_ms = (run.left_ms - ran).max(0.1);
                    run.used_ms += ran;
                    run.state = State::Paused;
                    let ms = run.used_ms;
                    m.notice(json!({"op": "finished", "id": id, "end": "cut", "ms": ms}));
                }
                true
            }
            None => false,
        },
        "proceed" => {
            let paused = matches!(m.runs.get(id).map(|r| &r.state), Some(State::Paused));
            paused && m.go_on(machine, tasks, id)
        }
        "supply" | "pass" => {
            let waits = matches!(m.runs.get(id).map(|r| &r.state), Some(State::Blocked(seq))
                if op == "supply" || command["seq"].as_u64() == Some(*seq));
            waits && m.go_on(machine, tasks, id)
        }
        _ => return false,
    };
    if !done {
        let unknown = json!({"op": "unknown", "end": op, "id": id});
        m.say(format!("{unknown}\n"));
    }
    true
}

impl Machine {
    fn running(&self) -> usize {
        self.runs.values().filter(|r| matches!(r.state, State::Running { .. })).count()
    }

    /// Writes a line on the link, if there is one. A link that does not take it has ended.
    fn say(&mut self, line: String) -> bool {
        if self.link.as_ref().is_some_and(|link| link.try_send(line).is_err()) {
            self.link = None;
        }
        true
    }

    fn notice(&mut self, notice: Value) {
        let chatter = self.faults.chatter;
        if self.rng.random::<f64>() < chatter {
            self.numbered(json!({"op": "chatter", "end": "all is well"}));
        }
        let duplicate = self.faults.duplicate;
        let again = self.rng.random::<f64>() < duplicate;
        let line = self.numbered(notice);
        if again {
            self.say(line);
        }
    }

    fn numbered(&mut self, mut notice: Value) -> String {
        self.seq += 1;
        notice["seq"] = json!(self.seq);
        let line = format!("{notice}\n");
        self.notices.push_back((self.seq, line.clone()));
        if self.notices.len() > KEPT {
            self.notices.pop_front();
        }
        self.say(line.clone());
        line
    }

    fn spawn(
        &mut self,
        machine: &Rc<RefCell<Machine>>,
        tasks: &Tasks,
        command: &Value,
        id: &str,
        body: Option<Vec<u8>>,
    ) -> bool {
        if self.runs.contains_key(id) {
            return true;
        }
        let class = self.site.classes.iter().position(|c| command["class"] == c.name);
        let (Some(class), Some(body)) = (class, body) else { return false };
        let plan = &self.site.classes[class];
        let left_ms = plan.work_ms * self.rng.random_range(0.4..1.6);
        let mut ran = self.ran.lock().unwrap_or_else(PoisonError::into_inner);
        *ran.entry(body.clone()).or_insert(0) += 1;
        drop(ran);
        let run = Run { class, body, left_ms, used_ms: 0.0, call_due: plan.calls, state: State::Paused };
        self.runs.insert(id.to_owned(), run);
        self.go_on(machine, tasks, id)
    }

    /// Sets a run going: to its call if one is due, else to its end. The cores are shared by all that run now.
    fn go_on(&mut self, machine: &Rc<RefCell<Machine>>, tasks: &Tasks, id: &str) -> bool {
        let crowd = (self.running() + 1) as f64 / self.site.cores as f64;
        self.generations += 1;
        let generation = self.generations;
        let Some(run) = self.runs.get_mut(id) else { return false };
        run.state = State::Running { since: Instant::now(), generation };
        let part = if run.call_due { 0.5 } else { 1.0 };
        let ms = run.left_ms * part * crowd.max(1.0);
        let (machine, id) = (machine.clone(), id.to_owned());
        let due = async move {
            Timer::after(Duration::from_secs_f64(ms / 1000.0)).await;
            machine.borrow_mut().due(&id, generation);
        };
        tasks.spawn(due);
        true
    }

    /// A run has come to its call or its end, unless it was stopped meanwhile.
    fn due(&mut self, id: &str, generation: u64) {
        let seq = self.seq + 1;
        let Some(run) = self.runs.get_mut(id) else { return };
        let State::Running { since, generation: now } = run.state else { return };
        if now != generation {
            return;
        }
        run.used_ms += since.elapsed().as_secs_f64() * 1000.0;
        if run.call_due {
            run.call_due = false;
            run.left_ms *= 0.5;
            let body = BASE64.encode(self.site.classes[run.class].name);
            run.state = State::Blocked(seq);
            // The remark that may stand before a notice would take its number.
            self.numbered(json!({"op": "blocked", "id": id, "body": body}));
            return;
        }
        let (bad, ms) = (self.faults.bad, run.used_ms);
        let result = BASE64.encode(result_of(&run.body));
        self.runs.remove(id);
        let notice = if self.rng.random::<f64>() < bad {
            json!({"op": "finished", "id": id, "end": "bad", "ms": ms})
        } else {
            json!({"op": "finished", "id": id, "end": "good", "ms": ms, "body": result})
        };
        self.notice(notice);
    }
}
