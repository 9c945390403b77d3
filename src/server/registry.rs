//! Health reports to the registry.
//!
//! One report is made every half second, whatever became of those before it, and one at once when health changes.
//! Each report has a time limit of its own, well under the time after which the registry's entry lapses; a report that
//! hangs does not delay the next one.

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

/// Time from the start of one report to that of the next, ms: of the six in the 3 s after which the entry lapses, five may
/// fail.
const REPORT_PERIOD_MS: f64 = 500.0;
/// Delay before the next report after one that failed, ms, if that is sooner.
const RETRY_MS: f64 = 100.0;
/// Time limit of a report, ms: half the time to the lapse, for a slow registry. The next ones are made meanwhile.
const REPORT_TIMEOUT_MS: f64 = 1500.0;
/// Age past which a connection is not used again, ms. The process at its other end may reply though it is the registry no
/// longer; a new connection shows that before the entry lapses.
const MAX_CONNECTION_AGE_MS: f64 = 2000.0;
/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 2048;

/// Wire words of a report, HTTP/1.1 with a JSON body.
mod protocol {
    /// Method of a report.
    const METHOD: &str = "PUT";
    /// Path of a report, before the server's name.
    const PATH_PREFIX: &str = "/catalog/register/";
    /// Header of the form of the body.
    const CONTENT_TYPE: (&str, &str) = ("Content-Type", "application/json");
    /// Key of the health in the body.
    const KEY_STATUS: &str = "status";
    /// Status of a healthy server.
    const HEALTHY: &str = "passing";
    /// Status of an unhealthy server.
    const UNHEALTHY: &str = "critical";
    /// Status code of the reply to a report that was accepted.
    pub(super) const ACCEPTED: u16 = 204;

    /// Returns a report as bytes.
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
    /// The registry can't be reached.
    #[error("connecting: {0}")]
    Connect(io::Error),
    /// The report could not be written.
    #[error("writing the report: {0}")]
    Write(io::Error),
    /// The reply could not be read.
    #[error("reading the reply: {0}")]
    Read(io::Error),
    /// The reply is no HTTP or past its limits.
    #[error("reading the reply: {0}")]
    Decode(http::Error),
    /// The registry closed the connection without a reply.
    #[error("reading the reply: closed by the registry")]
    Closed,
    /// The registry did not accept the report.
    #[error("the registry replied with status {0}")]
    Status(u16),
    /// There was no reply within the time limit.
    #[error("no reply within the time limit")]
    TimedOut,
}

/// A connection that may be used again.
struct KeptConnection {
    /// When it was made, ms.
    made_at: f64,
    stream: Async<TcpStream>,
}

/// What became of a report: on success the connection, if it may be used again.
type ReportResult = Result<Option<KeptConnection>, ReportError>;

/// A report on its way.
struct PendingReport<'a> {
    started_at: f64,
    result: Pin<Box<dyn Future<Output = ReportResult> + 'a>>,
}

/// The task that reports health to the registry.
pub struct RegistryReporter {
    /// Where the registry listens.
    pub address: SocketAddr,
    /// The name of this server.
    pub name: String,
    /// The clock.
    pub clock: Clock,
    /// The timers.
    pub wheel: Rc<TimerWheel>,
    /// Whether reports are made from the start on.
    pub active: bool,
    /// The log.
    pub log: Logger,
}

impl RegistryReporter {
    /// Reports until the queue of messages is closed. The server is healthy at first.
    pub async fn run(mut self, messages: Receiver<RegistryMessage>) {
        let mut messages = pin!(messages);
        let mut healthy = true;
        let last_accepted = Cell::new(None);
        loop {
            // A change interrupts all reports on their way, also those that hang.
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
                self.report_repeatedly(healthy, &last_accepted).await
            };
            match or(change, reports).await {
                Some(RegistryMessage::SetHealth(value)) => healthy = value,
                Some(RegistryMessage::SetActive(value)) => self.active = value,
                Some(RegistryMessage::SetAddress(address)) => self.address = address,
                None => return,
            }
        }
    }

    /// Makes reports; does not return. `last_accepted` is whether the last report counted, for the log.
    async fn report_repeatedly<T>(&self, healthy: bool, last_accepted: &Cell<Option<bool>>) -> T {
        let mut pending: Vec<PendingReport<'_>> = Vec::new();
        let mut kept = None;
        let mut next_at = self.clock.now();
        let mut last_success_at = f64::NEG_INFINITY;
        loop {
            let now = self.clock.now();
            if now >= next_at {
                let result = Box::pin(self.report(kept.take(), healthy));
                pending.push(PendingReport { started_at: now, result });
                next_at = now + REPORT_PERIOD_MS;
            }
            let next_due = async {
                self.wheel.sleep(next_at - self.clock.now()).await;
                None
            };
            let ended = or(async { Some(next_ended(&mut pending).await) }, next_due).await;
            let Some((started_at, result)) = ended else { continue };
            let now = self.clock.now();
            // The failure of a report that hung while later ones were accepted is not logged.
            if result.is_ok() || last_success_at < started_at {
                self.log_change(&result, last_accepted);
            }
            match result {
                Ok(connection) => (kept, last_success_at) = (connection, now),
                Err(_) => next_at = next_at.min(now + RETRY_MS),
            }
        }
    }

    /// Logs a result that differs from the last one.
    fn log_change(&self, result: &ReportResult, last_accepted: &Cell<Option<bool>>) {
        if last_accepted.replace(Some(result.is_ok())) == Some(result.is_ok()) {
            return;
        }
        match result {
            Ok(_) => info!(self.log, "registry accepts health reports"; "component" => "registry"),
            Err(error) => warn!(self.log, "health report failed";
                "component" => "registry", "error" => error.to_string()),
        }
    }

    /// Makes one report within its time limit.
    async fn report(&self, kept: Option<KeptConnection>, healthy: bool) -> ReportResult {
        let timed_out = async {
            self.wheel.sleep(REPORT_TIMEOUT_MS).await;
            Err(ReportError::TimedOut)
        };
        let is_fresh = |kept: &KeptConnection| self.clock.now() - kept.made_at < MAX_CONNECTION_AGE_MS;
        let kept = kept.filter(is_fresh);
        let is_reused = kept.is_some();
        let report = async {
            let result = self.report_over(kept, healthy).await;
            // The registry may have closed a kept connection since; a report can safely be made twice.
            if is_reused && result.is_err() { self.report_over(None, healthy).await } else { result }
        };
        or(report, timed_out).await
    }

    /// Makes one report over a kept connection, or over a new one.
    async fn report_over(&self, kept: Option<KeptConnection>, healthy: bool) -> ReportResult {
        let KeptConnection { made_at, stream } = match kept {
            Some(kept) => kept,
            None => self.connect().await?,
        };
        let _ = stream.get_ref().set_nodelay(true);
        let request = protocol::encode_report(&self.name, &self.address.to_string(), healthy);
        let mut writer = &stream;
        writer.write_all(&request).await.map_err(ReportError::Write)?;
        let may_reuse = read_reply(&stream).await?;
        Ok(may_reuse.then_some(KeptConnection { made_at, stream }))
    }

    async fn connect(&self) -> Result<KeptConnection, ReportError> {
        let made_at = self.clock.now();
        let stream = Async::<TcpStream>::connect(self.address).await.map_err(ReportError::Connect)?;
        Ok(KeptConnection { made_at, stream })
    }
}

/// Waits for a report to end, and returns when it was started and what became of it.
async fn next_ended(pending: &mut Vec<PendingReport<'_>>) -> (f64, ReportResult) {
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

/// Reads the reply to a report that was accepted, and returns whether the connection can be used again.
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
