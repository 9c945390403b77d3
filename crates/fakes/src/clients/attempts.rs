//! The attempts of requests: sends them, waits for answers, withdraws, retries and counts.

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

/// Time after which the server is assumed to have read a withdrawal, provided that the connection is still
/// open.
const WITHDRAWAL_READ_TIME: Duration = Duration::from_secs(1);
/// Maximum time from sending a request to the graceful close of its connection for which the request is
/// assumed to be unread; it is then sent once more.
const CROSSED_CLOSE_WINDOW: Duration = Duration::from_millis(50);

/// Sends requests to the servers in round-robin order and counts their outcomes.
pub(crate) struct RequestSender {
    platform: PlatformSettings,
    behavior: ClientBehavior,
    servers: Vec<ConnectionPool>,
    next_server: Cell<usize>,
    /// Counts so far.
    pub tally: RefCell<Tally>,
}

/// Result of sending a request once.
enum SendResult {
    Answered(Answer),
    TimedOut,
    /// The request crossed a graceful close of the connection: the server did not read it.
    CrossedClose,
    /// The connection ended; the request may have run.
    ConnectionEnded,
}

/// An attempt in progress.
struct Attempt<'a> {
    request: &'a PlannedRequest,
    class: &'a RequestClass,
    id: u64,
    started_at: Instant,
    received_ms: u64,
}

impl RequestSender {
    /// Returns a sender with an empty tally.
    pub fn new(
        platform: PlatformSettings,
        behavior: ClientBehavior,
        servers: Vec<ConnectionPool>,
    ) -> RequestSender {
        let tally = RefCell::new(Tally::new(platform.classes.len()));
        RequestSender { platform, behavior, servers, next_server: Cell::new(0), tally }
    }

    /// Sends a request, retries it as far as allowed and counts each attempt.
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
        let index = self.next_server.get();
        self.next_server.set(index + 1);
        &self.servers[index % self.servers.len()]
    }

    async fn attempt(&self, request: &PlannedRequest, id: u64) -> AttemptOutcome {
        let class = &self.platform.classes[request.class];
        let server = self.next_server();
        let attempt = Attempt { request, class, id, started_at: Instant::now(), received_ms: unix_ms() };
        // The request is sent a second time only if the first one crossed a graceful close.
        for can_resend in [true, false] {
            let Some(connection) = server.acquire().await else { return AttemptOutcome::Unsent };
            match attempt.send_on(&connection).await {
                SendResult::Answered(answer) => return self.classify_answer(&attempt, &answer),
                SendResult::TimedOut => return outcome_after_withdrawal(&connection).await,
                SendResult::CrossedClose if can_resend => {}
                SendResult::CrossedClose | SendResult::ConnectionEnded => return AttemptOutcome::Cut,
            }
        }
        AttemptOutcome::Cut
    }

    fn classify_answer(&self, attempt: &Attempt<'_>, answer: &Answer) -> AttemptOutcome {
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
    /// Sends the request on a connection and waits for its answer until the client timeout, at which it is
    /// withdrawn.
    async fn send_on(&self, connection: &Connection) -> SendResult {
        let (id, answer_receiver) = connection.open_request();
        let sent_at = Instant::now();
        connection.send(encode_request(id, self.class.name, self.request, self.id, self.received_ms));
        let timeout = Duration::from_secs_f64(self.class.client_timeout_ms / 1000.0);
        let remaining = timeout.saturating_sub(self.started_at.elapsed());
        let answer = async { Some(answer_receiver.recv().await) };
        let timed_out = async {
            Timer::after(remaining).await;
            None
        };
        match or(answer, timed_out).await {
            Some(Ok(answer)) => SendResult::Answered(answer),
            // Without a shutdown notification the request may have run and been billed, so it counts as cut
            // and is not sent again.
            Some(Err(_)) if connection.shutdown_seen() && sent_at.elapsed() < CROSSED_CLOSE_WINDOW => {
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

/// Returns the outcome of an attempt whose withdrawal was sent. If the connection is cut before the
/// withdrawal is certain to have been read, the outcome at the server is unknown and the attempt counts as
/// cut.
async fn outcome_after_withdrawal(connection: &Rc<Connection>) -> AttemptOutcome {
    Timer::after(WITHDRAWAL_READ_TIME).await;
    if connection.was_cut() { AttemptOutcome::Cut } else { AttemptOutcome::Withdrawn }
}
