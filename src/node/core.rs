//! The module's actor. It owns the ledger of requests, the table of keys with their results, and what was last
//! asked of the worker pool for each request; it hands every event to the module at once and in order, and carries
//! out what the module answers. It alone gives final answers, exactly one for each request, whatever races. It must
//! never wait for a peer, never run a keyed request again within its window, and never speak a protocol's words.

use super::ledger::{Billing, FromLedger, Used};
use super::messages::*;
use super::wheel::{Clock, Wheel};
use crate::config::{Bounds, Config};
use crate::interface::*;
use crate::policy::Policy;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use dunlinspread_keyed::{Bounds as KeyBounds, Ending, Known, Reuse, Span, Table};
use dunlinspread_ledger::Outcome as Billed;
use futures_lite::StreamExt;
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::pin::pin;
use std::rc::Rc;

/// How long a timer waits for the gauges before it fires without them, ms.
const GAUGES_LATE_MS: f64 = 20.0;
/// How long a key's entry stays past its end, beside the class's give-up time, for tries that arrived before that
/// end and are read late, ms.
const READ_LATE_MS: f64 = 5000.0;
/// How often ended entries are swept out, ms.
const SWEEP_MS: f64 = 1000.0;
/// The furthest that a stamp may lie ahead of the clock, ms. One far ahead would hold its key's entry for as long.
const AHEAD_MS: f64 = 1000.0;
/// Callers turned away since nothing can be billed are told to come back after this long, ms: the disk is tried again
/// several times in that time.
const UNBILLED_RETRY_MS: f64 = 1000.0;
/// The most log lines of one kind between two sweeps: the module's notes, and commands not carried out.
const MAX_NOTES: u32 = 5;

#[derive(Debug)]
enum Stage {
    Held,
    Running,
    Paused,
    /// At a call that is not made: the notice that asked for it, and the call's body.
    AtCall(u64, Rc<[u8]>),
    /// The call is out.
    Calling(u64, Rc<[u8]>),
    /// Waits for the result of another try.
    Reusing(f64),
}

struct Request {
    call: u64,
    class: usize,
    key: Option<Rc<[u8]>>,
    /// The mark of its body, if it has a key.
    print: u64,
    reached: f64,
    body: Rc<[u8]>,
    account: Option<Rc<str>>,
    /// It runs without a call that belongs to it.
    poorer: bool,
    /// How it was billed, once it was.
    billed: Option<Billed>,
    /// Where the one final answer goes; taken when it is given, or no longer owed.
    handle: Option<Handle>,
    stage: Stage,
    /// What was asked of the worker pool since its last word on this request: asked again on a new link.
    asked: Vec<Command>,
}

/// The mailboxes of the other actors.
pub struct Peers {
    /// The worker pool's link.
    pub pool: Sender<ToPool>,
    /// The index; the last tier has none.
    pub index: Option<Sender<ToIndex>>,
    /// The catalog.
    pub catalog: Sender<ToCatalog>,
    /// The list of connections.
    pub list: Sender<ToList>,
}

/// The module's actor.
pub struct Core {
    set: Settings,
    bounds: Bounds,
    gauge_names: Vec<String>,
    policy: Option<Policy>,
    clock: Clock,
    wheel: Rc<Wheel>,
    executor: Rc<LocalExecutor<'static>>,
    own: Sender<ToCore>,
    peers: Peers,
    log: Logger,
    requests: BTreeMap<RequestId, Request>,
    calls: HashMap<u64, RequestId>,
    /// Makes marks of bodies that nobody outside can foresee.
    prints: RandomState,
    keys: Table<Rc<[u8]>>,
    /// Events that carrying out actions brought about.
    events: VecDeque<Event>,
    /// The generation of the link to the worker pool, while it is up.
    link: Option<u64>,
    /// The timer that waits for gauges, by the tag of the asking.
    asking: Option<(u64, u64)>,
    tags: u64,
    healthy: bool,
    said: Option<f64>,
    notes: u32,
    not_done: u32,
    ledger: Option<Box<Billing>>,
    /// How often time passes for the ledger, ms.
    ledger_tick_ms: f64,
}

impl Core {
    /// An actor that has heard nothing yet.
    pub fn new(
        config: &Config,
        clock: Clock,
        wheel: Rc<Wheel>,
        executor: Rc<LocalExecutor<'static>>,
        own: Sender<ToCore>,
        peers: Peers,
        log: Logger,
    ) -> Self {
        let bounds = KeyBounds { keys: config.bounds.keys, result_bytes: config.bounds.result_bytes };
        let span = |c: &Class| Span { window_ms: c.window_ms, read_late_ms: c.give_up_ms + READ_LATE_MS };
        let spans = config.settings.classes.iter().map(span).collect();
        Core {
            set: config.settings.clone(),
            bounds: config.bounds,
            gauge_names: config.gauges.clone(),
            policy: None,
            clock,
            wheel,
            executor,
            own,
            peers,
            log,
            requests: BTreeMap::new(),
            calls: HashMap::new(),
            prints: RandomState::new(),
            keys: Table::new(bounds, spans),
            events: VecDeque::new(),
            link: None,
            asking: None,
            tags: 0,
            healthy: true,
            said: None,
            notes: 0,
            not_done: 0,
            ledger: None,
            ledger_tick_ms: 0.0,
        }
    }

    /// Bills every final answer from now on; `tick_ms` is how often time passes for the ledger.
    pub fn bill_by(&mut self, ledger: Billing, tick_ms: f64) {
        (self.ledger, self.ledger_tick_ms) = (Some(Box::new(ledger)), tick_ms);
    }

    /// Reads the mailbox until it closes.
    pub async fn run(mut self, inbox: Receiver<ToCore>) {
        self.later(SWEEP_MS, ToCore::Sweep);
        if self.ledger.is_some() {
            self.later(self.ledger_tick_ms, ToCore::LedgerTick);
        }
        let mut inbox = pin!(inbox);
        while let Some(message) = inbox.next().await {
            self.take(message);
            if self.ledger.is_some() {
                self.turn_ledger();
            }
        }
    }

    fn take(&mut self, message: ToCore) {
        match message {
            ToCore::Arrive(incoming) => self.on_arrive(*incoming),
            ToCore::Invalid(handle) => self.send(handle, Answer::Invalid),
            ToCore::Check(handle) => self.send(handle, Answer::Health(self.health())),
            ToCore::Gone(id) => self.on_gone(id),
            ToCore::Pool(report) => self.on_report(report),
            ToCore::CallEnded { id, outcome, body, took_ms } => {
                self.on_call_ended(id, outcome, body, took_ms)
            }
            ToCore::Timer(token) => self.on_timer(token),
            ToCore::GaugesLate(tag) => self.fire(tag, Gauges::default()),
            ToCore::Drain { stop_at } => {
                self.start(None);
                self.tell(Event::Drain { stop_at });
            }
            ToCore::Sweep => self.on_sweep(),
            ToCore::Ledger(from) => self.on_ledger(*from),
            ToCore::LedgerTick => {
                self.later(self.ledger_tick_ms, ToCore::LedgerTick);
                let now = self.clock.now();
                self.with_ledger(|ledger| ledger.tick(now));
            }
            ToCore::LedgerEnd(to) => {
                let now = self.clock.now();
                if let Some(ledger) = self.ledger.take() {
                    // Whoever asked waits for it.
                    let _ = to.try_send(ledger.end(now));
                }
            }
        }
    }

    /// Starts the module, once; `pool` is how the worker pool started, and how long ago. Told before the first
    /// request, it says better than the settings how warm the machine is.
    fn start(&mut self, pool: Option<(bool, f64)>) {
        if self.policy.is_some() {
            return;
        }
        let mut born = self.clock.now();
        if let Some((cold, ago_ms)) = pool {
            self.set.cold = cold;
            born -= ago_ms;
        }
        self.policy = Some(Policy::new(born, self.set.clone()));
        self.tell(Event::Start);
    }

    /// Hands an event to the module and carries out its answer, and what that brings about in turn.
    fn tell(&mut self, event: Event) {
        self.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let now = self.clock.now();
            if let Some(policy) = &mut self.policy {
                policy.on_event(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
        }
    }

    fn later(&self, ms: f64, message: ToCore) {
        let (sleep, own) = (self.wheel.sleep(ms), self.own.clone());
        let wake = async move {
            sleep.await;
            // The mailbox closes only when the program ends.
            let _ = own.send(message).await;
        };
        self.executor.spawn(wake).detach();
    }

    fn send(&self, handle: Handle, answer: Answer) {
        let message = ToCaller::Answer { tag: handle.tag, answer, said: self.said };
        if let Err(async_channel::TrySendError::Full(_)) = handle.mailbox.try_send(message) {
            // A reader this slow would grow memory without bound: its connection ends.
            handle.mailbox.close();
        }
    }

    /// Gives the final answer, if it is still owed.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(handle) = request.handle.take() {
            self.finally(id, handle, answer, 0.0);
            self.stop_call(id);
        }
    }

    /// Sends the final answer, by way of the ledger if there is one.
    fn finally(&mut self, id: RequestId, handle: Handle, answer: Answer, pool_ms: f64) {
        if self.ledger.is_none() {
            return self.send(handle, answer);
        }
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else { return self.send(handle, answer) };
        let late = now - request.reached > self.set.classes[request.class].aim_ms;
        let (outcome, bytes_out) = match &answer {
            Answer::Served(body) if request.poorer => (Billed::Poorer, body.len()),
            Answer::Served(body) if late => (Billed::Late, body.len()),
            Answer::Served(body) => (Billed::Served, body.len()),
            Answer::Refused { .. } => (Billed::Refused, 0),
            Answer::Failed | Answer::Invalid | Answer::Health(_) => (Billed::Failed, 0),
        };
        request.billed = Some(outcome);
        let used = Used { class: request.class, outcome, pool_ms, bytes_in: request.body.len(), bytes_out };
        let account = request.account.clone();
        self.bill(account.as_ref(), &used, handle, answer);
    }

    /// Sends an answer once it is billed, if answers are.
    fn bill(&mut self, account: Option<&Rc<str>>, used: &Used, handle: Handle, answer: Answer) {
        let now = self.clock.now();
        let free = match &mut self.ledger {
            Some(ledger) => ledger.bill(now, account, used, handle, answer),
            None => Some((handle, answer)),
        };
        if let Some((handle, answer)) = free {
            self.send(handle, answer);
        }
    }

    /// Bills what has no answer: a request that was withdrawn, or with none what its run used after it was billed.
    fn bill_silent(&mut self, id: RequestId, withdrawn: bool, pool_ms: f64) {
        let (now, Some(ledger)) = (self.clock.now(), &mut self.ledger) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let outcome = if withdrawn { Billed::Withdrawn } else { request.billed.unwrap_or(Billed::Withdrawn) };
        request.billed = Some(outcome);
        let bytes_in = if withdrawn { request.body.len() } else { 0 };
        let used = Used { class: request.class, outcome, pool_ms, bytes_in, bytes_out: 0 };
        ledger.bill_silent(now, request.account.as_ref(), &used, u64::from(withdrawn));
    }

    fn on_ledger(&mut self, from: FromLedger) {
        let now = self.clock.now();
        self.with_ledger(|ledger| match from {
            FromLedger::Progress(progress) => ledger.progress(now, progress),
            FromLedger::Enter { kind, tag } => ledger.enter(now, kind, tag),
            FromLedger::Forget { before, sum } => ledger.forget(before, sum),
            FromLedger::Close { tag } => ledger.close_early(now, tag),
        });
    }

    /// Does something with the ledger; health follows if it no longer takes lines, or does again.
    fn with_ledger(&mut self, act: impl FnOnce(&mut Billing)) {
        let Some(ledger) = &mut self.ledger else { return };
        let before = ledger.serving();
        act(ledger);
        if ledger.serving() != before {
            let health = self.health();
            let _ = self.peers.catalog.try_send(ToCatalog::Health(health));
        }
    }

    /// After each event: what was billed goes to the store if that has nothing to do, and what the store has let go
    /// leaves.
    fn turn_ledger(&mut self) {
        let (now, Some(ledger)) = (self.clock.now(), &mut self.ledger) else { return };
        ledger.turn(now);
        let free: Vec<(Handle, Answer)> = ledger.free().collect();
        for (handle, answer) in free {
            self.send(handle, answer);
        }
    }

    fn health(&self) -> bool {
        self.healthy && self.ledger.as_ref().is_none_or(|l| l.serving())
    }

    /// A call for a request that is over is of no use: what lies below hears so.
    fn stop_call(&mut self, id: RequestId) {
        if let (Some(Request { stage: Stage::Calling(..), .. }), Some(index)) =
            (self.requests.get(&id), &self.peers.index)
        {
            let sent = index.try_send(ToIndex::Stop(id));
            debug_assert!(!matches!(sent, Err(async_channel::TrySendError::Full(_))));
        }
    }

    /// Asks something of the worker pool. While there is no link it waits in the ledger.
    fn ask(&mut self, id: RequestId, command: Command) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.asked.push(command.clone());
        if let Some(link) = self.link {
            self.order(Order { link, command });
        }
    }

    fn order(&self, order: Order) {
        // The mailbox has no bound of its own: a link that does not take commands ends, and nothing is sent then.
        let sent = self.peers.pool.try_send(ToPool::Order(order));
        debug_assert!(!matches!(sent, Err(async_channel::TrySendError::Full(_))));
    }

    // -----------------------------------------------------------------------------------------------------
    // Events
    // -----------------------------------------------------------------------------------------------------

    fn on_arrive(&mut self, incoming: Incoming) {
        self.start(None);
        let now = self.clock.now();
        let Incoming {
            id,
            call,
            class,
            reached,
            held_kb,
            rank,
            key,
            waits,
            tenant,
            account,
            subject,
            body,
            handle,
        } = incoming;
        let reached = reached.min(now + AHEAD_MS);
        // A try's name is new with every try; the same name again can't be told apart in the worker pool.
        if self.calls.contains_key(&call) {
            return self.send(handle, Answer::Invalid);
        }
        let key: Option<Rc<[u8]>> = key.map(Rc::from);
        let room = key.as_ref().is_none_or(|k| self.keys.has_room(k));
        let full = self.requests.len() >= self.bounds.requests || !room;
        let billable = self.ledger.as_ref().is_none_or(|l| l.serving());
        if full || !billable {
            let again = if billable || !self.set.retry_after { 0.0 } else { UNBILLED_RETRY_MS };
            let retry_after_ms = again.min(self.set.max_retry_after_ms);
            let used =
                Used { class, outcome: Billed::Refused, pool_ms: 0.0, bytes_in: body.len(), bytes_out: 0 };
            let answer = Answer::Refused { retry_after_ms, last: false };
            return self.bill(account.as_ref(), &used, handle, answer);
        }
        let print = key.as_ref().map_or(0, |_| self.prints.hash_one(&body));
        let prior = match key.as_ref().map(|k| self.keys.arrive(k, class, print, id, reached)) {
            None | Some(Known::New) => None,
            Some(Known::Repeats(prior)) => Some(prior),
            // All tries of one request carry the same body. A key with another body is no try of it: that run's
            // result is not this one's answer, and to run it would break the promise of the key.
            Some(Known::OtherBody) => return self.send(handle, Answer::Invalid),
            // It came in the window of a run and was read long after: it may not run, and that run's result is gone.
            Some(Known::Covered) => {
                let used =
                    Used { class, outcome: Billed::Failed, pool_ms: 0.0, bytes_in: body.len(), bytes_out: 0 };
                return self.bill(account.as_ref(), &used, handle, Answer::Failed);
            }
        };
        let request = Request {
            call,
            class,
            key,
            print,
            reached,
            body: body.into(),
            account,
            poorer: false,
            billed: None,
            handle: Some(handle),
            stage: Stage::Held,
            asked: Vec::new(),
        };
        self.requests.insert(id, request);
        self.calls.insert(call, id);
        self.tell(Event::Arrive(Arrival {
            id,
            class,
            subject,
            held_kb,
            rank,
            age_ms: (now - reached).max(0.0),
            tenant,
            deadline: waits.map(|waits| reached + waits),
            prior,
            ..Arrival::default()
        }));
    }

    fn on_gone(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.handle.take().is_none() {
            return;
        }
        if self.ledger.is_some() {
            self.bill_silent(id, true, 0.0);
        }
        self.stop_call(id);
        self.drop_idle(id);
        self.tell(Event::Gone(id));
    }

    /// A request that is over and holds no core and stands at no call leaves the ledger at once.
    fn drop_idle(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if matches!(request.stage, Stage::Held | Stage::Paused | Stage::Reusing(_)) {
            self.remove(id);
        }
    }

    /// Takes a request out of the ledger; the entry of one that never ran goes with it.
    fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.calls.remove(&request.call);
        if let Some(key) = &request.key {
            self.keys.over(key, id);
        }
        Some(request)
    }

    fn on_report(&mut self, report: Report) {
        match report {
            Report::Bound { cold, ago_ms } => self.start(Some((cold, ago_ms))),
            Report::Up(link) => self.on_link(link),
            Report::Down => self.link = None,
            Report::Polled { tag, values } => {
                let mut gauges = Gauges::default();
                for (name, value) in self.gauge_names.iter().zip(values) {
                    crate::config::set_gauge(&mut gauges, name, value);
                }
                self.fire(tag, gauges);
            }
            Report::Blocked { call, seq, body } => {
                let Some(id) = self.known(call) else { return };
                if let Some(request) = self.requests.get_mut(&id) {
                    request.asked.clear();
                    request.stage = Stage::AtCall(seq, body.into());
                    self.tell(Event::CallNeeded(id));
                }
            }
            Report::Finished { call, end, took_ms, body } => {
                let Some(id) = self.known(call) else { return };
                self.on_finished(id, end, took_ms, body);
            }
            Report::Unknown { command, call } => {
                self.not_done += 1;
                if self.not_done <= MAX_NOTES {
                    warn!(self.log, "worker pool did not carry out a command"; "command" => command.as_str());
                }
                let id = self
                    .calls
                    .get(&call)
                    .copied()
                    .filter(|_| matches!(command.as_str(), "spawn" | "proceed"));
                if let Some(id) = id {
                    // It will never end by itself. What the pool does not know never ran: it is no failing run, by
                    // which the module would take the machine for sick, and leaves its key free for true tries.
                    let end = if command == "spawn" { End::Gone } else { End::Bad };
                    self.on_finished(id, end, 0.0, Vec::new());
                }
            }
        }
    }

    fn known(&self, call: u64) -> Option<RequestId> {
        // What was given up while it was paused is no longer in the ledger.
        self.calls.get(&call).copied()
    }

    /// A new link: all that may have been lost with the old one is asked again.
    fn on_link(&mut self, link: u64) {
        self.link = Some(link);
        let asked: Vec<Command> = self.requests.values().flat_map(|r| r.asked.iter().cloned()).collect();
        info!(self.log, "worker pool link is up"; "asked_again" => asked.len());
        asked.into_iter().for_each(|command| self.order(Order { link, command }));
    }

    fn on_finished(&mut self, id: RequestId, end: End, took_ms: f64, body: Vec<u8>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        // "Nothing was started" says that a run never was only while its start is the last thing asked: what was cut at
        // a call and asked to go on has run, and its key must not be free for a second run.
        let start_asked = matches!(request.asked.first(), Some(Command::Spawn { .. }));
        let end = if end == End::Gone && !start_asked { End::Bad } else { end };
        request.asked.clear();
        let owed = request.handle.is_some();
        if end == End::Cut && owed && self.set.preemption != Preemption::Off {
            let held = self.set.preemption == Preemption::Abort;
            request.stage = if held { Stage::Held } else { Stage::Paused };
            return self.tell(Event::Ended { id, outcome: Outcome::Cancelled, took_ms });
        }
        let handle = request.handle.take();
        self.stop_call(id);
        let result: Option<Rc<[u8]>> = (end == End::Good).then(|| body.into());
        let (outcome, answer) = match (&result, end) {
            (Some(body), _) => (Outcome::Ok, Answer::Served(body.clone())),
            (None, End::Gone) => (Outcome::TooLate, Answer::Failed),
            (None, End::Cut) => (Outcome::Cancelled, Answer::Failed),
            (None, _) => (Outcome::Error, Answer::Failed),
        };
        match handle {
            Some(handle) => self.finally(id, handle, answer, took_ms),
            None if self.ledger.is_some() => self.bill_silent(id, false, took_ms),
            None => {}
        }
        if let Some(key) = self.requests.get(&id).and_then(|r| r.key.clone()) {
            let ending = match result {
                Some(result) => Ending::Result(result),
                None if end == End::Gone => Ending::NeverRan,
                None => Ending::Failed,
            };
            let ended = self.keys.ended(&key, id, ending);
            ended.waiting.into_iter().for_each(|w| self.end_reuse(w, ended.result.clone()));
        }
        self.remove(id);
        self.tell(Event::Ended { id, outcome, took_ms });
    }

    /// A try that waited for another's result gets it, or the failure.
    fn end_reuse(&mut self, id: RequestId, result: Option<Rc<[u8]>>) {
        let now = self.clock.now();
        let since = match self.requests.get(&id).map(|r| &r.stage) {
            Some(Stage::Reusing(since)) => *since,
            _ => return,
        };
        let outcome = if result.is_some() { Outcome::Ok } else { Outcome::Error };
        self.answer(id, result.map_or(Answer::Failed, Answer::Served));
        self.remove(id);
        self.events.push_back(Event::Ended { id, outcome, took_ms: now - since });
    }

    fn on_call_ended(&mut self, id: RequestId, outcome: Outcome, body: Vec<u8>, took_ms: f64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Stage::Calling(seq, ask) = &request.stage else { return };
        if outcome == Outcome::Ok {
            request.stage = Stage::Running;
            let call = request.call;
            self.ask(id, Command::Supply { call, body: body.into() });
        } else {
            request.stage = Stage::AtCall(*seq, ask.clone());
        }
        self.tell(Event::CallEnded { id, outcome, took_ms });
    }

    /// A timer comes with the gauges. If those are late, or there is no link, it still comes.
    fn on_timer(&mut self, token: u64) {
        self.tags += 1;
        let tag = self.tags;
        if let Some((older, _)) = self.asking {
            self.fire(older, Gauges::default());
        }
        self.asking = Some((tag, token));
        match self.link {
            Some(link) => {
                self.order(Order { link, command: Command::Poll { tag } });
                self.later(GAUGES_LATE_MS, ToCore::GaugesLate(tag));
            }
            None => self.fire(tag, Gauges::default()),
        }
    }

    fn fire(&mut self, tag: u64, gauges: Gauges) {
        if let Some((_, token)) = self.asking.take_if(|(asked, _)| *asked == tag) {
            self.tell(Event::Timer { token, gauges });
        }
    }

    /// Frees the entries whose time is up, once no try that they cover can still be read.
    fn on_sweep(&mut self) {
        self.later(SWEEP_MS, ToCore::Sweep);
        (self.notes, self.not_done) = (0, 0);
        self.keys.sweep(self.clock.now());
    }

    // -----------------------------------------------------------------------------------------------------
    // Actions
    // -----------------------------------------------------------------------------------------------------

    fn carry_out(&mut self, now: f64, action: Action) {
        match action {
            Action::Run(id) => self.run_request(id),
            Action::Refuse { id, retry_after_ms, last } => {
                // Once run, a request with an effect can't be turned away: that would promise that it never ran.
                let ran = self.requests.get(&id).is_some_and(|r| {
                    !matches!(r.stage, Stage::Held) && self.set.classes[r.class].effect != Effect::Safe
                });
                let refused = Answer::Refused { retry_after_ms, last };
                self.answer(id, if ran { Answer::Failed } else { refused });
                self.drop_idle(id);
            }
            Action::Fail(id) => {
                self.answer(id, Answer::Failed);
                self.drop_idle(id);
            }
            Action::Reuse(id) => self.reuse(now, id),
            Action::Preempt(id) => {
                if let Some(Request { call, stage: Stage::Running, .. }) = self.requests.get(&id) {
                    let call = *call;
                    self.ask(id, Command::Suspend { call });
                }
            }
            Action::Keep { id, ttl_ms } => self.keep(now, id, ttl_ms),
            Action::Forget(id) => self.forget(id),
            Action::Call { id, limit_ms } => self.call(id, limit_ms),
            Action::SkipCall(id) => {
                let Some(request) = self.requests.get_mut(&id) else { return };
                if let Stage::AtCall(seq, _) = request.stage {
                    let call = request.call;
                    request.stage = Stage::Running;
                    request.poorer = true;
                    self.ask(id, Command::Pass { call, seq });
                }
            }
            Action::Say(value) => self.said = Some(value),
            Action::Health(good) => {
                if good != self.healthy {
                    info!(self.log, "health changed"; "good" => good);
                }
                self.healthy = good;
                let health = self.health();
                let _ = self.peers.catalog.try_send(ToCatalog::Health(health));
            }
            Action::IdleLimit(ms) => drop(self.peers.list.try_send(ToList::IdleLimit(ms))),
            Action::Timer { token, delay_ms } => self.later(delay_ms, ToCore::Timer(token)),
            Action::Log(text) => {
                self.notes += 1;
                if self.notes <= MAX_NOTES {
                    info!(self.log, "module says"; "text" => text);
                }
            }
        }
    }

    fn run_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (call, body) = (request.call, request.body.clone());
        match request.stage {
            Stage::Paused => {
                request.stage = Stage::Running;
                self.ask(id, Command::Proceed { call });
            }
            Stage::Held => {
                if let Some(key) = request.key.clone() {
                    let run = self.keys.run(&key, request.print, id, request.reached);
                    if let Ok(left) = run {
                        // They wait for a run that outlasted its own window, and would no longer be found.
                        left.into_iter().for_each(|w| self.end_reuse(w, None));
                    } else {
                        warn!(self.log, "a second run of a key was asked for and not made");
                        self.answer(id, Answer::Failed);
                        self.remove(id);
                        return self.events.push_back(Event::Ended {
                            id,
                            outcome: Outcome::Error,
                            took_ms: 0.0,
                        });
                    }
                }
                if let Some(request) = self.requests.get_mut(&id) {
                    request.stage = Stage::Running;
                    let class = request.class;
                    self.ask(id, Command::Spawn { call, class, body });
                }
            }
            _ => {}
        }
    }

    fn reuse(&mut self, now: f64, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Reusing(now);
        match request.key.as_ref().map_or(Reuse::Unrun, |k| self.keys.reuse(k, id, request.reached)) {
            Reuse::Now(result) => self.end_reuse(id, result),
            Reuse::Waits => {}
            // What it repeats was dropped unrun.
            Reuse::Unrun => self.end_reuse(id, None),
        }
    }

    /// The request stands for its key from now on, also as heir of an earlier try.
    fn keep(&mut self, now: f64, id: RequestId, ttl_ms: f64) {
        let Some(Request { key: Some(key), print, reached, .. }) = self.requests.get(&id) else { return };
        self.keys.keep(key, *print, id, *reached, now + ttl_ms);
    }

    /// Gives an entry back, unless its try has run: that one outlasts everything.
    fn forget(&mut self, id: RequestId) {
        if let Some(key) = self.requests.get(&id).and_then(|r| r.key.as_ref()) {
            self.keys.forget(key, id);
        }
    }

    fn call(&mut self, id: RequestId, limit_ms: f64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Stage::AtCall(seq, body) = &request.stage else { return };
        let (seq, body) = (*seq, body.clone());
        let limit_ms = if limit_ms > 0.0 { limit_ms } else { self.set.classes[request.class].give_up_ms };
        request.stage = Stage::Calling(seq, body.clone());
        let once = self.set.classes[request.class].effect != Effect::Safe;
        let call = Call { id, parent: request.call, limit_ms, body: body.clone(), once };
        let sent = self.peers.index.as_ref().is_some_and(|i| i.try_send(ToIndex::Call(call)).is_ok());
        if !sent {
            // No index, or its mailbox is full: nothing ran.
            request.stage = Stage::AtCall(seq, body);
            self.events.push_back(Event::CallEnded { id, outcome: Outcome::Unreachable, took_ms: 0.0 });
        }
    }
}
