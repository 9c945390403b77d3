//! Client proxies: an open-loop load on real connections. What is to be sent, and when, is drawn ahead and waits for no
//! answer; latency counts from the time at which a request should have been sent. Each try is counted once, by what
//! became of it as the proxy saw it: this is the truth that a server's own counts are held against.

use crate::fake_server::{FakeServer, Tasks};
use crate::platform::PlatformSettings;
use crate::unix_ms;
use crate::worker_pool::result_of;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rmpv::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Requests open on one connection at most.
const OPEN: usize = 32;
/// The longest latency that is told from longer ones, µs.
const MAX_US: u64 = 600_000_000;
/// A withdrawal is taken for read after this long on a connection that stands.
const SURELY_READ: Duration = Duration::from_secs(1);
/// A request that crosses a close within this long of its sending is sent again, once.
const CROSSED: Duration = Duration::from_millis(50);

/// What became of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// Served within the aim.
    Served,
    /// Served after it.
    Late,
    /// Turned away.
    Refused,
    /// Answered with an error.
    Failed,
    /// The proxy gave up and said so.
    Withdrawn,
    /// Written, and the connection ended with no answer.
    Cut,
    /// Never written: no connection could be had.
    Unsent,
}

impl AttemptOutcome {
    /// All of them, in order.
    pub const ALL: [AttemptOutcome; 7] = [
        AttemptOutcome::Served,
        AttemptOutcome::Late,
        AttemptOutcome::Refused,
        AttemptOutcome::Failed,
        AttemptOutcome::Withdrawn,
        AttemptOutcome::Cut,
        AttemptOutcome::Unsent,
    ];
}

/// Tries by outcome.
pub type OutcomeCounts = [u64; AttemptOutcome::ALL.len()];

/// What is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Requests a second, in the mean.
    pub rate: f64,
    /// Requests in all.
    pub requests: u64,
    /// The societies that send, evenly; none for requests that name none.
    pub societies: Vec<Option<String>>,
    /// Chance comes from here.
    pub seed: u64,
}

/// How the proxies behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientBehavior {
    /// Connections to one round server at most.
    pub connections: usize,
    /// Further tries after one that was refused, failed or cut.
    pub retries: u32,
    /// Wait before each.
    pub retry_after: Duration,
}

impl Default for ClientBehavior {
    fn default() -> Self {
        ClientBehavior { connections: 32, retries: 0, retry_after: Duration::from_millis(50) }
    }
}

/// What the proxies counted.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Tries by class, by position, and society.
    pub counts: BTreeMap<(usize, Option<String>), OutcomeCounts>,
    /// The latency of what was served, µs, by class.
    pub latency: Vec<Option<Histogram<u64>>>,
    /// Answers 'served' with what no run made of the request.
    pub wrong: u64,
    /// Second answers to one request.
    pub doubled: u64,
    /// The furthest that a sending was behind its time, ms.
    pub behind_ms: f64,
}

impl Tally {
    /// The sum over all classes and societies that `of` picks.
    pub fn sum(&self, of: impl Fn(usize, Option<&str>) -> bool) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        for ((class, society), count) in &self.counts {
            if of(*class, society.as_deref()) {
                sum.iter_mut().zip(count).for_each(|(s, c)| *s += c);
            }
        }
        sum
    }
}

/// How far a load is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Requests begun.
    pub begun: u64,
    /// Requests over, with all their tries.
    pub over: u64,
}

/// Running proxies.
pub struct FakeClients {
    party: FakeServer,
    progress: Arc<[AtomicU64; 2]>,
    tally: Receiver<Tally>,
}

impl FakeClients {
    /// Sends a load to round servers at these addresses, in turn.
    ///
    /// # Errors
    /// If there is no thread.
    pub fn start(
        site: &PlatformSettings,
        targets: Vec<SocketAddr>,
        load: Load,
        habits: ClientBehavior,
    ) -> io::Result<FakeClients> {
        let progress = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
        let (done, tally) = async_channel::bounded(1);
        let (site, seen) = (site.clone(), progress.clone());
        let party = FakeServer::start("proxies", move |tasks| {
            let targets =
                targets.into_iter().map(|address| Target { address, connections: RefCell::default() });
            let latency = site.classes.iter().map(|_| None).collect();
            let all = Rc::new(All {
                site,
                habits,
                targets: targets.collect(),
                turn: Cell::new(0),
                tally: RefCell::new(Tally { latency, ..Tally::default() }),
                doubled: Rc::default(),
                tasks: tasks.clone(),
                progress: seen,
            });
            tasks.spawn(async move {
                send_all(&all, &load).await;
                let tally = Tally { doubled: all.doubled.get(), ..all.tally.take() };
                let _ = done.send(tally).await;
            });
        })?;
        Ok(FakeClients { party, progress, tally })
    }

    /// How far it is.
    pub fn progress(&self) -> Progress {
        let [begun, over] = &*self.progress;
        Progress { begun: begun.load(Ordering::Relaxed), over: over.load(Ordering::Relaxed) }
    }

    /// Waits for the last answer.
    pub fn finish(self) -> Tally {
        let tally = self.tally.recv_blocking().unwrap_or_default();
        drop(self.party);
        tally
    }
}

struct All {
    site: PlatformSettings,
    habits: ClientBehavior,
    targets: Vec<Target>,
    turn: Cell<usize>,
    tally: RefCell<Tally>,
    doubled: Rc<Cell<u64>>,
    tasks: Tasks,
    progress: Arc<[AtomicU64; 2]>,
}

struct Target {
    address: SocketAddr,
    connections: RefCell<Vec<Rc<Connection>>>,
}

struct Connection {
    outbox: Sender<Vec<u8>>,
    waiting: RefCell<HashMap<u64, Sender<Value>>>,
    answered: RefCell<HashSet<u64>>,
    ids: Cell<u64>,
    /// It said `shutdown`.
    told: Cell<bool>,
    /// It said so, or ended.
    closing: Cell<bool>,
    ended: Cell<bool>,
    /// It ended after it said `shutdown`, with nothing open.
    left: Cell<bool>,
}

/// One request, the same in all its tries.
struct Wish {
    class: usize,
    society: Option<String>,
    key: Option<String>,
    body: Vec<u8>,
    rank: f64,
    heap: f64,
    due: Instant,
}

async fn send_all(all: &Rc<All>, load: &Load) {
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let began = Instant::now();
    let mut at = 0.0;
    let (over, all_over) = async_channel::unbounded();
    for n in 0..load.requests {
        at += -(1.0 - rng.random::<f64>()).ln() / load.rate;
        let due = began + Duration::from_secs_f64(at);
        let mut dice = rng.random::<f64>();
        let class = all.site.classes.iter().position(|c| {
            dice -= c.share;
            dice < 0.0
        });
        let class = class.unwrap_or(0);
        let keyed = all.site.classes[class].window_ms.is_some();
        let key = keyed.then(|| format!("{:016x}{:016x}", load.seed, rng.random::<u64>()));
        let society = match load.societies.len() {
            0 => None,
            len => load.societies[rng.random_range(0..len)].clone(),
        };
        let body =
            format!("{}/{n}/{}", all.site.classes[class].name, key.as_deref().unwrap_or("-")).into_bytes();
        let (rank, heap) = (rng.random::<f64>(), rng.random_range(18.0..60.0));
        let wish = Wish { class, society, key, body, rank, heap, due };
        let calls: Vec<u64> = (0..=all.habits.retries).map(|_| rng.random()).collect();
        Timer::at(due).await;
        let behind = due.elapsed().as_secs_f64() * 1000.0;
        let mut tally = all.tally.borrow_mut();
        tally.behind_ms = tally.behind_ms.max(behind);
        drop(tally);
        all.progress[0].fetch_add(1, Ordering::Relaxed);
        let (inner, over) = (all.clone(), over.clone());
        let request = async move {
            inner.request(&wish, &calls).await;
            inner.progress[1].fetch_add(1, Ordering::Relaxed);
            drop(over);
        };
        all.tasks.spawn(request);
    }
    drop(over);
    // Nothing is ever sent on it: it closes when the last request is over.
    let _: Result<(), _> = all_over.recv().await;
}

impl All {
    async fn request(&self, wish: &Wish, calls: &[u64]) {
        for (nth, call) in calls.iter().enumerate() {
            let outcome = self.a_try(wish, *call).await;
            self.count(wish, outcome);
            let again = matches!(
                outcome,
                AttemptOutcome::Refused
                    | AttemptOutcome::Failed
                    | AttemptOutcome::Cut
                    | AttemptOutcome::Unsent
            );
            if !again || nth + 1 == calls.len() {
                return;
            }
            Timer::after(self.habits.retry_after).await;
        }
    }

    fn count(&self, wish: &Wish, outcome: AttemptOutcome) {
        let mut tally = self.tally.borrow_mut();
        let at = AttemptOutcome::ALL.iter().position(|o| *o == outcome).unwrap_or(0);
        tally.counts.entry((wish.class, wish.society.clone())).or_default()[at] += 1;
        if matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Late) {
            let us = wish.due.elapsed().as_micros() as u64;
            let new = || Histogram::new_with_max(MAX_US, 3).ok();
            if tally.latency[wish.class].is_none() {
                tally.latency[wish.class] = new();
            }
            if let Some(histogram) = &mut tally.latency[wish.class] {
                histogram.saturating_record(us);
            }
        }
    }

    async fn a_try(&self, wish: &Wish, call: u64) -> AttemptOutcome {
        let plan = &self.site.classes[wish.class];
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let target = &self.targets[turn % self.targets.len()];
        let since = Instant::now();
        let recv = unix_ms();
        // Twice only if the first crossed a close in good order.
        for again in [true, false] {
            let Some(connection) = self.connection(target).await else { return AttemptOutcome::Unsent };
            let id = connection.ids.get() + 1;
            connection.ids.set(id);
            let (answer, answered) = async_channel::bounded(1);
            connection.waiting.borrow_mut().insert(id, answer);
            let sent = Instant::now();
            let _ = connection.outbox.try_send(encode(id, plan.name, wish, call, recv));
            let left = Duration::from_secs_f64(plan.give_up_ms / 1000.0).saturating_sub(since.elapsed());
            let got = or(async { Some(answered.recv().await) }, async {
                Timer::after(left).await;
                None
            });
            match got.await {
                None => {
                    connection.waiting.borrow_mut().remove(&id);
                    let _ = connection.outbox.try_send(forget(id));
                    // If the connection ends before that was surely read, nobody knows what the round server made of it.
                    Timer::after(SURELY_READ).await;
                    let cut = connection.ended.get() && !connection.left.get();
                    return if cut { AttemptOutcome::Cut } else { AttemptOutcome::Withdrawn };
                }
                Some(Ok(message)) => return self.judge(wish, &message, since, plan.aim_ms),
                // One that was only cut off may have run and been billed: it counts, and is no crossing.
                Some(Err(_)) if again && connection.told.get() && sent.elapsed() < CROSSED => {}
                Some(Err(_)) => return AttemptOutcome::Cut,
            }
        }
        AttemptOutcome::Cut
    }

    fn judge(&self, wish: &Wish, message: &Value, since: Instant, aim_ms: f64) -> AttemptOutcome {
        let error = &message[2];
        if error.is_nil() {
            if message[3][0].as_slice() != Some(&result_of(&wish.body)[..]) {
                self.tally.borrow_mut().wrong += 1;
            }
            let late = since.elapsed().as_secs_f64() * 1000.0 > aim_ms;
            return if late { AttemptOutcome::Late } else { AttemptOutcome::Served };
        }
        if error[0].as_str() == Some("Backoff") { AttemptOutcome::Refused } else { AttemptOutcome::Failed }
    }

    /// One that has room, or a new one.
    async fn connection(&self, target: &Target) -> Option<Rc<Connection>> {
        let room = |c: &&Rc<Connection>| !c.closing.get() && c.waiting.borrow().len() < OPEN;
        {
            let mut connections = target.connections.borrow_mut();
            connections.retain(|c| !c.ended.get());
            // The emptiest first: one slow connection holds up the fewest.
            let found = connections.iter().filter(room).min_by_key(|c| c.waiting.borrow().len());
            let few = connections.len() < self.habits.connections.min(4);
            if let Some(found) = found.filter(|_| !few) {
                return Some(found.clone());
            }
            if connections.len() >= self.habits.connections {
                return found.cloned();
            }
        }
        let stream = Async::<TcpStream>::connect(target.address).await.ok()?;
        let _ = stream.get_ref().set_nodelay(true);
        let (outbox, letters) = async_channel::unbounded();
        let connection = Rc::new(Connection {
            outbox,
            waiting: RefCell::default(),
            answered: RefCell::default(),
            ids: Cell::new(0),
            told: Cell::new(false),
            closing: Cell::new(false),
            ended: Cell::new(false),
            left: Cell::new(false),
        });
        target.connections.borrow_mut().push(connection.clone());
        let inner = connection.clone();
        let doubled = self.doubled.clone();
        let serve = async move {
            inner.serve(&stream, letters, &doubled).await;
            inner.left.set(inner.closing.get() && inner.waiting.borrow().is_empty());
            inner.closing.set(true);
            inner.ended.set(true);
            // Whoever waits learns that no answer comes.
            inner.waiting.borrow_mut().clear();
            inner.outbox.close();
        };
        self.tasks.spawn(serve);
        Some(connection)
    }
}

impl Connection {
    async fn serve(&self, stream: &Async<TcpStream>, letters: Receiver<Vec<u8>>, doubled: &Cell<u64>) {
        let writer = async {
            let mut out = stream;
            while let Ok(bytes) = letters.recv().await {
                if out.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        let reader = async {
            let (mut kept, mut chunk, mut input) = (Vec::new(), vec![0; 16 * 1024], stream);
            loop {
                match input.read(&mut chunk).await {
                    Ok(n) if n > 0 => kept.extend_from_slice(&chunk[..n]),
                    _ => return,
                }
                loop {
                    let mut rest = &kept[..];
                    let Ok(message) = rmpv::decode::read_value(&mut rest) else { break };
                    let used = kept.len() - rest.len();
                    kept.drain(..used);
                    self.take(message, doubled);
                }
                if self.closing.get() && self.waiting.borrow().is_empty() {
                    return;
                }
            }
        };
        or(reader, writer).await;
    }

    fn take(&self, message: Value, doubled: &Cell<u64>) {
        match (message[0].as_u64(), message[1].as_u64()) {
            (Some(1), Some(id)) => {
                if !self.answered.borrow_mut().insert(id) {
                    doubled.set(doubled.get() + 1);
                }
                // One answer to what was forgotten does no harm.
                if let Some(answer) = self.waiting.borrow_mut().remove(&id) {
                    let _ = answer.try_send(message);
                }
            }
            (Some(2), _) if message[1].as_str() == Some("shutdown") => {
                self.told.set(true);
                self.closing.set(true);
            }
            _ => {}
        }
    }
}

fn encode(id: u64, class: &str, wish: &Wish, call: u64, recv: u64) -> Vec<u8> {
    let mut fields = vec![
        ("call", format!("{call:016x}")),
        ("recv", recv.to_string()),
        ("src", "1".to_owned()),
        ("heap", format!("{:.1}", wish.heap)),
        ("crit", format!("{:.4}", wish.rank.min(0.9999))),
    ];
    fields.extend(wish.key.iter().map(|key| ("dedupe", key.clone())));
    fields.extend(wish.society.iter().map(|society| ("org", society.clone())));
    let fields = fields.into_iter().map(|(k, v)| (Value::from(k), Value::from(v))).collect();
    let arguments = Value::Array(vec![Value::Map(fields), Value::Binary(wish.body.clone())]);
    bytes_of(&Value::Array(vec![0.into(), id.into(), class.into(), arguments]))
}

fn forget(id: u64) -> Vec<u8> {
    bytes_of(&Value::Array(vec![2.into(), "forget".into(), Value::Array(vec![id.into()])]))
}

fn bytes_of(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory does not fail.
    let _ = rmpv::encode::write_value(&mut out, value);
    out
}
