//! Reports to the catalog: one every half second, whatever became of those before it, and one at once when health
//! changes. Each has a limit of its own well under the time after which the entry lapses, and a fresh one does not wait
//! for one that hangs. It must never let a catalog that is down, slow or talking nonsense do more than delay the next
//! report.

use crate::codec::http;
use crate::server::messages::RegistryMessage;
use crate::server::timer_wheel::{Clock, TimerWheel};
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future::{or, poll_fn};
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use slog::{Logger, info, warn};
use std::cell::Cell;
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;

/// From the start of one report to that of the next, ms: of the six in the 3 s after which the entry lapses, five may fail.
const PERIOD_MS: f64 = 500.0;
/// Wait after a report that did not count, ms, if that is sooner.
const RETRY_MS: f64 = 100.0;
/// A report not answered for this long did not count, ms: half the time to the lapse, for a slow catalog's sake. The next
/// ones go out meanwhile.
const LIMIT_MS: f64 = 1500.0;
/// A kept connection is used for this long, ms: the process at its other end may answer though it is the catalog no more,
/// and a fresh one finds that out before the entry lapses.
const RENEW_MS: f64 = 2000.0;

/// A connection that may be used again, and when it was made.
type Kept = (f64, Async<TcpStream>);
/// What became of a report.
type Reported = Result<Option<Kept>, String>;
/// One under way.
type Attempt<'a> = Pin<Box<dyn Future<Output = Reported> + 'a>>;

/// The catalog's actor.
pub struct RegistryReporter {
    /// Where the catalog listens.
    pub address: SocketAddr,
    /// This round server's name.
    pub name: String,
    /// The clock.
    pub clock: Clock,
    /// Timers.
    pub wheel: Rc<TimerWheel>,
    /// The log.
    pub log: Logger,
}

impl RegistryReporter {
    /// Reports until the mailbox closes.
    pub async fn run(mut self, inbox: Receiver<RegistryMessage>) {
        let mut inbox = pin!(inbox);
        let (mut good, counted) = (true, Cell::new(None));
        loop {
            // A change interrupts whatever is on, also reports that hang.
            let change = async {
                loop {
                    match inbox.next().await {
                        Some(RegistryMessage::SetHealth(now)) if now == good => {}
                        told => return told,
                    }
                }
            };
            match or(change, self.go_on(good, &counted)).await {
                Some(RegistryMessage::SetHealth(now)) => good = now,
                Some(RegistryMessage::SetAddress(to)) => self.address = to,
                None => return,
            }
        }
    }

    /// Makes reports, for ever.
    async fn go_on<T>(&self, good: bool, counted: &Cell<Option<bool>>) -> T {
        let mut under_way: Vec<(f64, Attempt<'_>)> = Vec::new();
        let (mut kept, mut next, mut ok_at) = (None, self.clock.now(), f64::NEG_INFINITY);
        loop {
            let now = self.clock.now();
            if now >= next {
                under_way.push((now, Box::pin(self.attempt(kept.take(), good))));
                next = now + PERIOD_MS;
            }
            let due = async {
                self.wheel.sleep(next - self.clock.now()).await;
                None
            };
            let ended = poll_fn(|cx| {
                for at in 0..under_way.len() {
                    if let Poll::Ready(reported) = under_way[at].1.as_mut().poll(cx) {
                        return Poll::Ready(Some((under_way.swap_remove(at).0, reported)));
                    }
                }
                Poll::Pending
            });
            let Some((since, reported)) = or(ended, due).await else { continue };
            let now = self.clock.now();
            // One that hung while later ones counted is no news.
            let news = reported.is_ok() || ok_at < since;
            if news && counted.replace(Some(reported.is_ok())) != Some(reported.is_ok()) {
                match &reported {
                    Ok(_) => info!(self.log, "catalog takes our reports"),
                    Err(why) => warn!(self.log, "report to the catalog did not count"; "why" => why),
                }
            }
            match reported {
                Ok(again) => (kept, ok_at) = (again, now),
                Err(_) => next = next.min(now + RETRY_MS),
            }
        }
    }

    /// One report, within its limit.
    async fn attempt(&self, kept: Option<Kept>, good: bool) -> Reported {
        let limit = async {
            self.wheel.sleep(LIMIT_MS).await;
            Err("no answer in time".to_owned())
        };
        let kept = kept.filter(|(since, _)| self.clock.now() - since < RENEW_MS);
        let again = kept.is_some();
        let report = async {
            let reported = self.report_on(kept, good).await;
            // The catalog may have closed a kept connection since; a report can safely be made twice.
            if again && reported.is_err() { self.report_on(None, good).await } else { reported }
        };
        or(report, limit).await
    }

    async fn report_on(&self, kept: Option<Kept>, good: bool) -> Reported {
        let text = |e: std::io::Error| e.to_string();
        let (since, stream) = match kept {
            Some(kept) => kept,
            None => (self.clock.now(), Async::<TcpStream>::connect(self.address).await.map_err(text)?),
        };
        let _ = stream.get_ref().set_nodelay(true);
        let status = if good { "passing" } else { "critical" };
        let body = format!("{{\"status\":\"{status}\"}}");
        let path = format!("/catalog/register/{}", self.name);
        let headers = [("Content-Type", "application/json")];
        let request = http::request("PUT", &path, &self.address.to_string(), &headers, body.as_bytes());
        let mut io = &stream;
        io.write_all(&request).await.map_err(text)?;
        let (mut decoder, mut bytes) = (http::Decoder::default(), vec![0; 2048]);
        loop {
            let read = io.read(&mut bytes).await.map_err(text)?;
            decoder.feed(&bytes[..read]);
            match decoder.next_reply(read == 0).map_err(|e| e.to_string())? {
                Some(reply) if reply.status == 204 => {
                    let reuse = reply.keep_alive && read > 0 && decoder.is_empty();
                    return Ok(reuse.then_some((since, stream)));
                }
                Some(reply) => return Err(format!("status {}", reply.status)),
                None if read == 0 => return Err("closed by the catalog".to_owned()),
                None => {}
            }
        }
    }
}
