//! The attempts of requests: sending, waiting, withdrawing, retrying and counting.

use crate::clients::connection::Connection;
use crate::clients::connection_pool::ConnectionPool;
use crate::clients::load::{ClientBehavior, PlannedRequest};
use crate::clients::messages::{Answer, encode_request, encode_withdrawal};
use crate::clients::tally::{AttemptOutcome, Tally};
use crate::clock::unix_ms;
use crate::platform::{PlatformSettings, RequestClass};
use crate::run_result::run_result;
use async_io::Timer;
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A withdrawal is taken for read after this long on a connection that stands.
const WITHDRAWAL_READ_AFTER: Duration = Duration::from_secs(1);
/// A request that crosses a graceful close within this long of its sending is sent again, once.
const CLOSE_CROSSING: Duration = Duration::from_millis(50);

/// Sends requests to servers in turn and counts what becomes of them.
pub(crate) struct RequestSender {
    platform: PlatformSettings,
    behavior: ClientBehavior,
    servers: Vec<ConnectionPool>,
    next_server: Cell<usize>,
    /// What was counted so far.
    pub tally: RefCell<Tally>,
}

/// How one sending of a request ended.
enum SendResult {
    Answered(Answer),
    TimedOut,
    /// The connection ended in a graceful close that the request has crossed: it was not read.
    CrossedClose,
    /// The connection ended; the request may have run.
    ConnectionEnded,
}

/// An attempt that is under way.
struct Attempt<'a> {
    request: &'a PlannedRequest,
    class: &'a RequestClass,
    id: u64,
    started_at: Instant,
    received_ms: u64,
}

impl RequestSender {
    /// Returns a sender that has counted nothing.
    pub fn new(
        platform: PlatformSettings,
        behavior: ClientBehavior,
        servers: Vec<ConnectionPool>,
    ) -> RequestSender {
        let tally = RefCell::new(Tally::new(platform.classes.len()));
        RequestSender { platform, behavior, servers, next_server: Cell::new(0), tally }
    }

    /// Sends a request with all its attempts.
    pub async fn send(&self, request: &PlannedRequest) {
        for (number, attempt_id) in request.attempt_ids.iter().enumerate() {
            let outcome = self.attempt(request, *attempt_id).await;
            let (tenant, latency) = (request.tenant.as_deref(), request.due.elapsed());
            self.tally.borrow_mut().count(request.class, tenant, outcome, latency);
            if !outcome.is_retryable() || number + 1 == request.attempt_ids.len() {
                return;
            }
            Timer::after(self.behavior.retry_delay).await;
        }
    }

    fn next_server(&self) -> &ConnectionPool {
        let turn = self.next_server.get();
        self.next_server.set(turn + 1);
        &self.servers[turn % self.servers.len()]
    }

    async fn attempt(&self, request: &PlannedRequest, id: u64) -> AttemptOutcome {
        let class = &self.platform.classes[request.class];
        let server = self.next_server();
        let attempt = Attempt { request, class, id, started_at: Instant::now(), received_ms: unix_ms() };
        // Twice only if the first crossed a graceful close.
        for may_repeat in [true, false] {
            let Some(connection) = server.acquire().await else { return AttemptOutcome::Unsent };
            match attempt.send_on(&connection).await {
                SendResult::Answered(answer) => return self.judge(&attempt, &answer),
                SendResult::TimedOut => return after_withdrawal(&connection).await,
                SendResult::CrossedClose if may_repeat => {}
                SendResult::CrossedClose | SendResult::ConnectionEnded => return AttemptOutcome::Cut,
            }
        }
        AttemptOutcome::Cut
    }

    fn judge(&self, attempt: &Attempt<'_>, answer: &Answer) -> AttemptOutcome {
        let result = match answer {
            Answer::Completed(result) => result,
            Answer::Rejected => return AttemptOutcome::Rejected,
            Answer::Failed => return AttemptOutcome::Failed,
        };
        if result.as_ref() != Some(&run_result(&attempt.request.body)) {
            self.tally.borrow_mut().wrong_results += 1;
        }
        let elapsed_ms = attempt.started_at.elapsed().as_secs_f64() * 1000.0;
        if elapsed_ms > attempt.class.latency_objective_ms {
            AttemptOutcome::Late
        } else {
            AttemptOutcome::Completed
        }
    }
}

impl Attempt<'_> {
    /// Sends the request on a connection and waits for its answer until the client gives up; then it is withdrawn.
    async fn send_on(&self, connection: &Connection) -> SendResult {
        let (id, answered) = connection.open_request();
        let sent_at = Instant::now();
        connection.send(encode_request(id, self.class.name, self.request, self.id, self.received_ms));
        let timeout = Duration::from_secs_f64(self.class.client_timeout_ms / 1000.0);
        let left = timeout.saturating_sub(self.started_at.elapsed());
        let answer = async { Some(answered.recv().await) };
        let timed_out = async {
            Timer::after(left).await;
            None
        };
        match or(answer, timed_out).await {
            Some(Ok(answer)) => SendResult::Answered(answer),
            // One that was only cut off may have run and been billed: it counts, and is no crossing.
            Some(Err(_)) if connection.shutdown_seen() && sent_at.elapsed() < CLOSE_CROSSING => {
                SendResult::CrossedClose
            }
            Some(Err(_)) => SendResult::ConnectionEnded,
            None => {
                connection.abandon(id);
                connection.send(encode_withdrawal(id));
                SendResult::TimedOut
            }
        }
    }
}

/// Returns what became of an attempt after its withdrawal was sent: if the connection ends before that was surely read,
/// nobody knows what the server made of it.
async fn after_withdrawal(connection: &Rc<Connection>) -> AttemptOutcome {
    Timer::after(WITHDRAWAL_READ_AFTER).await;
    if connection.was_cut() { AttemptOutcome::Cut } else { AttemptOutcome::Withdrawn }
}
