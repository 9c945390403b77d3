//! Reports to the catalog: one a second on a kept connection, well under the time after which the entry lapses, and
//! at once when health changes. It must never let a catalog that is down, slow or talking nonsense do more than
//! delay the next report.

use super::messages::ToCatalog;
use super::wheel::Wheel;
use crate::codec::http;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use slog::{Logger, info, warn};
use std::net::{SocketAddr, TcpStream};
use std::pin::pin;
use std::rc::Rc;

/// Between reports, ms.
const PERIOD_MS: f64 = 500.0;
/// Wait after a report that did not count, ms.
const RETRY_MS: f64 = 100.0;
/// A report not answered for this long did not count, ms. With the period it stays well under the 3 s after which
/// the entry lapses, and yet bears a slow catalog.
const LIMIT_MS: f64 = 1500.0;

/// The catalog's actor.
pub struct Catalog {
    /// Where the catalog listens.
    pub address: SocketAddr,
    /// This round server's name.
    pub name: String,
    /// Timers.
    pub wheel: Rc<Wheel>,
    /// The log.
    pub log: Logger,
}

impl Catalog {
    /// Reports until the mailbox closes.
    pub async fn run(mut self, inbox: Receiver<ToCatalog>) {
        let mut inbox = pin!(inbox);
        let (mut good, mut kept, mut counted) = (true, None, None);
        loop {
            let round = async {
                let limit = async {
                    self.wheel.sleep(LIMIT_MS).await;
                    Err("no answer in time".to_owned())
                };
                let result = or(self.report(kept.take(), good), limit).await;
                if counted != Some(result.is_ok()) {
                    match &result {
                        Ok(_) => info!(self.log, "catalog takes our reports"),
                        Err(why) => warn!(self.log, "report to the catalog did not count"; "why" => why),
                    }
                }
                counted = Some(result.is_ok());
                let wait = if result.is_ok() { PERIOD_MS } else { RETRY_MS };
                kept = result.ok().flatten();
                self.wheel.sleep(wait).await;
                Some(ToCatalog::Health(good))
            };
            // A change interrupts whatever is on, also a report that hangs.
            let change = async {
                loop {
                    match inbox.next().await {
                        Some(ToCatalog::Health(now)) if now == good => {}
                        Some(told) => return Some(told),
                        None => return None,
                    }
                }
            };
            match or(change, round).await {
                Some(ToCatalog::Health(now)) => good = now,
                Some(ToCatalog::Move(to)) => (self.address, kept) = (to, None),
                None => return,
            }
        }
    }

    /// Makes one report; the connection, if it may be used again.
    async fn report(
        &self,
        kept: Option<Async<TcpStream>>,
        good: bool,
    ) -> Result<Option<Async<TcpStream>>, String> {
        let again = kept.is_some();
        let result = self.report_on(kept, good).await;
        // The catalog may have closed a kept connection since; a report can safely be made twice.
        if again && result.is_err() { self.report_on(None, good).await } else { result }
    }

    async fn report_on(
        &self,
        kept: Option<Async<TcpStream>>,
        good: bool,
    ) -> Result<Option<Async<TcpStream>>, String> {
        let text = |e: std::io::Error| e.to_string();
        let stream = match kept {
            Some(stream) => stream,
            None => Async::<TcpStream>::connect(self.address).await.map_err(text)?,
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
                    return Ok(reuse.then_some(stream));
                }
                Some(reply) => return Err(format!("status {}", reply.status)),
                None if read == 0 => return Err("closed by the catalog".to_owned()),
                None => {}
            }
        }
    }
}
