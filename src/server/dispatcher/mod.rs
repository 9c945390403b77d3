//! The module's actor. It owns the ledger of requests, the table of keys with their results, and what was last
//! asked of the worker pool for each request; it hands every event to the module at once and in order, and carries
//! out what the module answers. It alone gives final answers, exactly one for each request, whatever races. It must
//! never wait for a peer, never run a keyed request again within its window, and never speak a protocol's words.

mod actions;
mod billing;
mod events;

use crate::admission::AdmissionController;
use crate::admission::*;
use crate::config::{Bounds, Config};
use crate::server::messages::*;
use crate::server::timer_wheel::{Clock, TimerWheel};
use crate::server::usage::billing::{Billing, FromLedger, Used};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use dunlinspread_idempotency::{
    Bounds as KeyBounds, IdempotencyTable, KeyWindow, Lookup, ReuseOutcome, RunResult,
};
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
    handle: Option<ReplyHandle>,
    stage: Stage,
    /// What was asked of the worker pool since its last word on this request: asked again on a new link.
    asked: Vec<PoolCommand>,
}

impl Request {
    /// Its start was asked, and the worker pool has said nothing of it since.
    fn start_asked(&self) -> bool {
        matches!(self.asked.first(), Some(PoolCommand::Run { .. }))
    }
}

/// The mailboxes of the other actors.
pub struct Peers {
    /// The worker pool's link.
    pub pool: Sender<WorkerPoolMessage>,
    /// The index; the last tier has none.
    pub index: Option<Sender<UpstreamMessage>>,
    /// The catalog.
    pub catalog: Sender<RegistryMessage>,
    /// The list of connections.
    pub list: Sender<ListenerMessage>,
}

/// The module's actor.
pub struct Dispatcher {
    set: Settings,
    bounds: Bounds,
    gauge_names: Vec<String>,
    policy: Option<AdmissionController>,
    clock: Clock,
    wheel: Rc<TimerWheel>,
    executor: Rc<LocalExecutor<'static>>,
    own: Sender<DispatcherMessage>,
    peers: Peers,
    log: Logger,
    requests: BTreeMap<RequestId, Request>,
    calls: HashMap<u64, RequestId>,
    /// Makes marks of bodies that nobody outside can foresee.
    prints: RandomState,
    keys: IdempotencyTable<Rc<[u8]>>,
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

impl Dispatcher {
    /// An actor that has heard nothing yet.
    pub fn new(
        config: &Config,
        clock: Clock,
        wheel: Rc<TimerWheel>,
        executor: Rc<LocalExecutor<'static>>,
        own: Sender<DispatcherMessage>,
        peers: Peers,
        log: Logger,
    ) -> Self {
        let bounds = KeyBounds { keys: config.bounds.keys, result_bytes: config.bounds.result_bytes };
        let span = |c: &Class| KeyWindow {
            window_ms: c.key_window_ms,
            max_read_delay_ms: c.client_timeout_ms + READ_LATE_MS,
        };
        let spans = config.settings.classes.iter().map(span).collect();
        Dispatcher {
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
            keys: IdempotencyTable::new(bounds, spans),
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
    pub async fn run(mut self, inbox: Receiver<DispatcherMessage>) {
        self.later(SWEEP_MS, DispatcherMessage::SweepKeys);
        if self.ledger.is_some() {
            self.later(self.ledger_tick_ms, DispatcherMessage::UsageTick);
        }
        let mut inbox = pin!(inbox);
        while let Some(message) = inbox.next().await {
            self.take(message);
            if self.ledger.is_some() {
                self.turn_ledger();
            }
        }
    }

    fn take(&mut self, message: DispatcherMessage) {
        match message {
            DispatcherMessage::Request(incoming) => self.on_arrive(*incoming),
            DispatcherMessage::InvalidRequest(handle) => self.send(handle, Response::Invalid),
            DispatcherMessage::HealthCheck(handle) => self.send(handle, Response::Health(self.health())),
            DispatcherMessage::ClientGone(id) => self.on_gone(id),
            DispatcherMessage::Pool(report) => self.on_report(report),
            DispatcherMessage::UpstreamCallEnded { id, outcome, body, took_ms } => {
                self.on_call_ended(id, outcome, body, took_ms)
            }
            DispatcherMessage::Timer(token) => self.on_timer(token),
            DispatcherMessage::GaugesTimedOut(tag) => self.fire(tag, Gauges::default()),
            DispatcherMessage::Drain { stop_at } => {
                self.start(None);
                self.tell(Event::Drain { stop_at });
            }
            DispatcherMessage::Reconfigured(reconfigured) => self.on_reconfigured(*reconfigured),
            DispatcherMessage::SweepKeys => self.on_sweep(),
            DispatcherMessage::Usage(from) => self.on_ledger(*from),
            DispatcherMessage::UsageTick => {
                self.later(self.ledger_tick_ms, DispatcherMessage::UsageTick);
                let now = self.clock.now();
                self.with_ledger(|ledger| ledger.tick(now));
            }
            DispatcherMessage::CloseUsage(to) => {
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
            self.set.cold_start = cold;
            born -= ago_ms;
        }
        self.policy = Some(AdmissionController::new(born, self.set.clone()));
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

    fn later(&self, ms: f64, message: DispatcherMessage) {
        let (sleep, own) = (self.wheel.sleep(ms), self.own.clone());
        let wake = async move {
            sleep.await;
            // The mailbox closes only when the program ends.
            let _ = own.send(message).await;
        };
        self.executor.spawn(wake).detach();
    }

    fn send(&self, handle: ReplyHandle, answer: Response) {
        let message =
            ConnectionMessage::Response { tag: handle.tag, response: answer, advertised_share: self.said };
        if let Err(async_channel::TrySendError::Full(_)) = handle.mailbox.try_send(message) {
            // A reader this slow would grow memory without bound: its connection ends.
            handle.mailbox.close();
        }
    }

    /// Gives the final answer, if it is still owed.
    fn answer(&mut self, id: RequestId, answer: Response) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(handle) = request.handle.take() {
            self.finally(id, handle, answer, 0.0);
            self.stop_call(id);
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
            let sent = index.try_send(UpstreamMessage::Cancel(id));
            debug_assert!(!matches!(sent, Err(async_channel::TrySendError::Full(_))));
        }
    }

    /// Asks something of the worker pool. While there is no link it waits in the ledger.
    fn ask(&mut self, id: RequestId, command: PoolCommand) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.asked.push(command.clone());
        if let Some(link) = self.link {
            self.order(LinkCommand { link, command });
        }
    }

    fn order(&self, order: LinkCommand) {
        // The mailbox has no bound of its own: a link that does not take commands ends, and nothing is sent then.
        let sent = self.peers.pool.try_send(WorkerPoolMessage::Command(order));
        debug_assert!(!matches!(sent, Err(async_channel::TrySendError::Full(_))));
    }
}
