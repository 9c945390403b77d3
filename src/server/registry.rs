//! Health reports to the registry.
//!
//! A report is sent every half second, independently of the results of earlier reports, and immediately when
//! health changes. Each report has its own timeout, well below the time after which the registry's entry
//! expires, so that a hanging report does not delay the next one.

use crate::codec::http;
use crate::server::messages::RegistryMessage;
use crate::server::timer_wheel::{Clock, TimerWheel};
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future::{or, pending, poll_fn};
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use slog::{Logger, info, warn};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;

/// Interval between the starts of two reports, ms. The registry's entry expires after 3 s, so that five of
/// six reports may fail.
const REPORT_PERIOD_MS: f64 = 500.0;
/// Delay of the next report after a failed one, ms, if the regular report is not due earlier.
const RETRY_DELAY_MS: f64 = 100.0;
/// Timeout of a report, ms: half the expiry time of the entry, to tolerate a slow registry. Further reports
/// are sent meanwhile.
const REPORT_TIMEOUT_MS: f64 = 1500.0;
/// Age from which a connection is not reused, ms. Its peer may still reply although it no longer is the
/// registry; a new connection detects this before the entry expires.
const MAX_CONNECTION_AGE_MS: f64 = 2000.0;
/// Size of the read buffer, bytes.
const READ_BUFFER_BYTES: usize = 2048;

/// Wire format of a report, HTTP/1.1 with a JSON body.
mod protocol {
    /// Method of a report.
    const METHOD: &str = "PUT";
    /// Path prefix of a report; the server's name follows.
    const PATH_PREFIX: &str = "/catalog/register/";
    /// Header with the media type of the body.
    const CONTENT_TYPE: (&str, &str) = ("Content-Type", "application/json");
    /// JSON key of the health.
    const KEY_STATUS: &str = "status";
    /// JSON value of a healthy server.
    const HEALTHY: &str = "passing";
    /// JSON value of an unhealthy server.
    const UNHEALTHY: &str = "critical";
    /// HTTP status code of the reply to an accepted report.
    pub(super) const ACCEPTED: u16 = 204;

    /// Returns the encoded report of a server.
    pub(super) fn encode_report(server: &str, host: &str, healthy: bool) -> Vec<u8> {
        let status = if healthy { HEALTHY } else { UNHEALTHY };
        let body = format!("{{\"{KEY_STATUS}\":\"{status}\"}}");
        let path = format!("{PATH_PREFIX}{server}");
        crate::codec::http::request(METHOD, &path, host, &[CONTENT_TYPE], body.as_bytes())
    }
}

/// Why a report failed.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    /// The connection to the registry can't be opened.
    #[error("connecting: {0}")]
    Connect(io::Error),
    /// The report could not be written.
    #[error("writing the report: {0}")]
    Write(io::Error),
    /// The reply could not be read.
    #[error("reading the reply: {0}")]
    Read(io::Error),
    /// The reply is not valid HTTP or exceeds a limit.
    #[error("reading the reply: {0}")]
    Decode(http::Error),
    /// The registry closed the connection without a reply.
    #[error("reading the reply: connection closed by the registry")]
    Closed,
    /// The registry rejected the report.
    #[error("the registry replied with status {0}")]
    Status(u16),
    /// The report was not completed within its timeout.
    #[error("no reply within the time limit")]
    TimedOut,
}

/// A connection that may be reused.
struct ReusableConnection {
    /// When the connection was opened, ms.
    opened_at: f64,
    stream: Async<TcpStream>,
}

/// Result of a report. On success it holds the connection if that may be reused.
type ReportResult = Result<Option<ReusableConnection>, ReportError>;

/// A report that has not completed.
struct PendingReport<'a> {
    started_at: f64,
    result: Pin<Box<dyn Future<Output = ReportResult> + 'a>>,
}

/// Task that reports health to the registry.
pub struct RegistryReporter {
    /// Address of the registry.
    pub address: SocketAddr,
    /// Name of this server in the registry.
    pub name: String,
    /// Clock of the process.
    pub clock: Clock,
    /// Timer wheel for periods and timeouts.
    pub wheel: Rc<TimerWheel>,
    /// Whether reports are sent. [`RegistryMessage::SetActive`] changes it.
    pub active: bool,
    /// Logger.
    pub log: Logger,
}

impl RegistryReporter {
    /// Reports health until the channel of messages is closed. The server is considered healthy at first.
    pub async fn run(mut self, messages: Receiver<RegistryMessage>) {
        let mut messages = pin!(messages);
        let mut healthy = true;
        let was_last_accepted = Cell::new(None);
        loop {
            // A change cancels all pending reports, including those that hang.
            let change = async {
                loop {
                    match messages.next().await {
                        Some(RegistryMessage::SetHealth(value)) if value == healthy => {}
                        Some(RegistryMessage::SetActive(value)) if value == self.active => {}
                        message => return message,
                    }
                }
            };
            let reports = async {
                if !self.active {
                    pending().await
                }
                self.report_repeatedly(healthy, &was_last_accepted).await
            };
            match or(change, reports).await {
                Some(RegistryMessage::SetHealth(value)) => healthy = value,
                Some(RegistryMessage::SetActive(value)) => self.active = value,
                Some(RegistryMessage::SetAddress(address)) => self.address = address,
                None => return,
            }
        }
    }

    /// Sends reports periodically and never returns. `was_last_accepted` is the outcome that was logged last,
    /// if any.
    async fn report_repeatedly<T>(&self, healthy: bool, was_last_accepted: &Cell<Option<bool>>) -> T {
        let mut pending: Vec<PendingReport<'_>> = Vec::new();
        let mut reusable = None;
        let mut next_at = self.clock.now();
        let mut last_success_at = f64::NEG_INFINITY;
        loop {
            let now = self.clock.now();
            if now >= next_at {
                let result = Box::pin(self.report(reusable.take(), healthy));
                pending.push(PendingReport { started_at: now, result });
                next_at = now + REPORT_PERIOD_MS;
            }
            let next_report_due = async {
                self.wheel.sleep(next_at - self.clock.now()).await;
                None
            };
            let completed = or(async { Some(next_completed(&mut pending).await) }, next_report_due).await;
            let Some((started_at, result)) = completed else { continue };
            let now = self.clock.now();
            // The failure of a report is not logged if another one was accepted since it started.
            if result.is_ok() || last_success_at < started_at {
                self.log_change(&result, was_last_accepted);
            }
            match result {
                Ok(connection) => (reusable, last_success_at) = (connection, now),
                Err(_) => next_at = next_at.min(now + RETRY_DELAY_MS),
            }
        }
    }

    /// Logs a result if its outcome, accepted or failed, differs from the one that was logged last.
    fn log_change(&self, result: &ReportResult, was_last_accepted: &Cell<Option<bool>>) {
        if was_last_accepted.replace(Some(result.is_ok())) == Some(result.is_ok()) {
            return;
        }
        match result {
            Ok(_) => info!(self.log, "registry accepts health reports"; "component" => "registry"),
            Err(error) => warn!(self.log, "health report failed";
                "component" => "registry", "error" => error.to_string()),
        }
    }

    /// Sends one report and waits for its reply, within the timeout.
    async fn report(&self, reusable: Option<ReusableConnection>, healthy: bool) -> ReportResult {
        let timed_out = async {
            self.wheel.sleep(REPORT_TIMEOUT_MS).await;
            Err(ReportError::TimedOut)
        };
        let is_fresh =
            |reusable: &ReusableConnection| self.clock.now() - reusable.opened_at < MAX_CONNECTION_AGE_MS;
        let reusable = reusable.filter(is_fresh);
        let is_reused = reusable.is_some();
        let report = async {
            let result = self.report_on(reusable, healthy).await;
            // The registry may have closed a reused connection meanwhile. Reports are idempotent and can be
            // repeated.
            if is_reused && result.is_err() { self.report_on(None, healthy).await } else { result }
        };
        or(report, timed_out).await
    }

    /// Sends one report on the given connection, or on a new one if there is none, and waits for its reply.
    async fn report_on(&self, reusable: Option<ReusableConnection>, healthy: bool) -> ReportResult {
        let ReusableConnection { opened_at, stream } = match reusable {
            Some(reusable) => reusable,
            None => self.connect().await?,
        };
        let _ = stream.get_ref().set_nodelay(true);
        let request = protocol::encode_report(&self.name, &self.address.to_string(), healthy);
        let mut writer = &stream;
        writer.write_all(&request).await.map_err(ReportError::Write)?;
        let may_reuse = read_reply(&stream).await?;
        Ok(may_reuse.then_some(ReusableConnection { opened_at, stream }))
    }

    async fn connect(&self) -> Result<ReusableConnection, ReportError> {
        let opened_at = self.clock.now();
        let stream = Async::<TcpStream>::connect(self.address).await.map_err(ReportError::Connect)?;
        Ok(ReusableConnection { opened_at, stream })
    }
}

/// Waits until one of the reports completes, and returns its start time and result.
async fn next_completed(pending: &mut Vec<PendingReport<'_>>) -> (f64, ReportResult) {
    poll_fn(|context| {
        for index in 0..pending.len() {
            if let Poll::Ready(result) = pending[index].result.as_mut().poll(context) {
                return Poll::Ready((pending.swap_remove(index).started_at, result));
            }
        }
        Poll::Pending
    })
    .await
}

/// Reads the reply to a report, and returns whether the connection can be reused.
///
/// # Errors
/// Returns [`ReportError`] if the reply can't be read or its status is not [`protocol::ACCEPTED`].
async fn read_reply(mut stream: &Async<TcpStream>) -> Result<bool, ReportError> {
    let mut decoder = http::Decoder::default();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let length = stream.read(&mut buffer).await.map_err(ReportError::Read)?;
        let is_closed = length == 0;
        decoder.feed(&buffer[..length]);
        match decoder.next_reply(is_closed).map_err(ReportError::Decode)? {
            Some(reply) if reply.status == protocol::ACCEPTED => {
                return Ok(reply.keep_alive && !is_closed && decoder.is_empty());
            }
            Some(reply) => return Err(ReportError::Status(reply.status)),
            None if is_closed => return Err(ReportError::Closed),
            None => {}
        }
    }
}
