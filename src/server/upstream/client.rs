//! The task that queues calls to the upstream service and starts them.

use super::call::CallContext;
use super::call_log::CallLog;
use super::connection_pool::ConnectionPool;
use super::error::CallError;
use crate::admission::RequestId;
use crate::server::messages::{DispatcherMessage, DispatcherSender, UpstreamCall, UpstreamMessage};
use crate::server::timer_wheel::{Clock, TimerWheel};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use futures_lite::StreamExt;
use futures_lite::future::{or, pending};
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

/// Settings and dependencies of an [`UpstreamClient`].
pub struct UpstreamClientSettings {
    /// Address of the upstream service.
    pub address: SocketAddr,
    /// Maximum number of connections, those of open calls and idle ones together.
    pub max_connections: usize,
    /// Sender to the dispatcher.
    pub dispatcher: DispatcherSender,
    /// Sender to the client's own queue, for the call tasks.
    pub sender: Sender<UpstreamMessage>,
    /// Executor of the call tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The clock.
    pub clock: Clock,
    /// The timers.
    pub wheel: Rc<TimerWheel>,
    /// The log.
    pub log: Logger,
}

/// A call that waits for a connection.
struct WaitingCall {
    /// Time at which the call was requested, ms.
    requested_at: f64,
    call: UpstreamCall,
}

impl WaitingCall {
    fn deadline(&self) -> f64 {
        self.requested_at + self.call.timeout_ms
    }
}

/// A call that was started. Dropping its task closes its connection, which abandons the call.
struct OpenCall {
    number: u64,
    _task: Task<()>,
}

/// The client of the upstream service.
///
/// # Invariants
/// - Each call is made once.
/// - [`Outcome::Unreachable`](crate::admission::Outcome::Unreachable) is reported only if the call provably
///   never ran.
pub struct UpstreamClient {
    context: Rc<CallContext>,
    dispatcher: DispatcherSender,
    sender: Sender<UpstreamMessage>,
    executor: Rc<LocalExecutor<'static>>,
    max_connections: usize,
    open: HashMap<RequestId, OpenCall>,
    waiting: VecDeque<WaitingCall>,
    last_number: u64,
}

impl UpstreamClient {
    /// Returns a client without connections.
    pub fn new(settings: UpstreamClientSettings) -> Self {
        let context = CallContext {
            address: Cell::new(settings.address),
            connections: RefCell::new(ConnectionPool::default()),
            clock: settings.clock,
            wheel: settings.wheel,
            log: CallLog::new(settings.log),
        };
        UpstreamClient {
            context: Rc::new(context),
            dispatcher: settings.dispatcher,
            sender: settings.sender,
            executor: settings.executor,
            max_connections: settings.max_connections,
            open: HashMap::new(),
            waiting: VecDeque::new(),
            last_number: 0,
        }
    }

    /// Handles messages until their queue is closed.
    pub async fn run(mut self, messages: Receiver<UpstreamMessage>) {
        let mut messages = pin!(messages);
        loop {
            let message = async { Some(messages.next().await) };
            let deadline_passed = async {
                self.wait_for_deadline().await;
                None
            };
            match or(message, deadline_passed).await {
                Some(Some(message)) => {
                    self.handle_message(message);
                    self.start_waiting();
                }
                Some(None) => return,
                None => self.on_deadline().await,
            }
        }
    }

    /// Sleeps until the first deadline of a waiting call, or until repetitions of a log line are due to be
    /// logged.
    async fn wait_for_deadline(&self) {
        let now = self.context.clock.now();
        let deadlines = self.waiting.iter().map(WaitingCall::deadline);
        match deadlines.chain(self.context.log.next_repetitions_at()).reduce(f64::min) {
            Some(deadline) => self.context.wheel.sleep(deadline - now).await,
            None => pending().await,
        }
    }

    fn handle_message(&mut self, message: UpstreamMessage) {
        match message {
            UpstreamMessage::Call(call) => {
                self.cancel(call.id);
                let requested_at = self.context.clock.now();
                self.waiting.push_back(WaitingCall { requested_at, call });
            }
            UpstreamMessage::Cancel(id) => self.cancel(id),
            UpstreamMessage::SetAddress(address) => {
                self.context.address.set(address);
                self.context.connections.borrow_mut().clear();
            }
            UpstreamMessage::CallTaskEnded(id, number) => {
                if self.open.get(&id).is_some_and(|call| call.number == number) {
                    self.open.remove(&id);
                }
            }
        }
    }

    async fn on_deadline(&mut self) {
        let now = self.context.clock.now();
        self.context.log.log_repetitions(now);
        self.expire_waiting(now).await;
    }

    /// Reports waiting calls whose deadline has passed. They never ran.
    async fn expire_waiting(&mut self, now: f64) {
        let waiting = std::mem::take(&mut self.waiting);
        let (expired, waiting): (VecDeque<_>, _) = waiting.into_iter().partition(|w| now >= w.deadline());
        self.waiting = waiting;
        for WaitingCall { requested_at, call } in expired {
            let error = CallError::NoFreeConnection;
            self.context.log.call_failed(now, &error);
            let message = DispatcherMessage::UpstreamCallEnded {
                id: call.id,
                outcome: error.outcome(),
                body: Vec::new(),
                took_ms: now - requested_at,
            };
            // The dispatcher's queue closes only at the end of the process.
            let _ = self.dispatcher.send(message).await;
        }
    }

    fn cancel(&mut self, id: RequestId) {
        self.open.remove(&id);
        self.waiting.retain(|waiting| waiting.call.id != id);
    }

    /// Starts waiting calls while the connection limit allows.
    fn start_waiting(&mut self) {
        while self.open.len() < self.max_connections {
            let Some(waiting) = self.waiting.pop_front() else { break };
            self.start(waiting);
        }
    }

    fn start(&mut self, waiting: WaitingCall) {
        let WaitingCall { requested_at, call } = waiting;
        self.last_number += 1;
        let (id, number) = (call.id, self.last_number);
        // Idle connections and open calls share the limit on connections; this call takes one.
        let max_idle = self.max_connections.saturating_sub(self.open.len() + 1);
        let context = self.context.clone();
        context.connections.borrow_mut().trim(context.clock.now(), max_idle);
        let (dispatcher, sender) = (self.dispatcher.clone(), self.sender.clone());
        let task = self.executor.spawn(async move {
            let result = context.make_call(&call, requested_at).await;
            let took_ms = context.clock.now() - requested_at;
            let message = DispatcherMessage::UpstreamCallEnded {
                id,
                outcome: result.outcome,
                body: result.body,
                took_ms,
            };
            // Both queues close only at the end of the process.
            let _ = dispatcher.send(message).await;
            let _ = sender.send(UpstreamMessage::CallTaskEnded(id, number)).await;
        });
        self.open.insert(id, OpenCall { number, _task: task });
    }
}
