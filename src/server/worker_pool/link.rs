//! The link to the worker pool: connects, binds, reads notices and writes commands, and sets up anew whenever the
//! link ends or the pool's address changes. It owns the number of the last notice read, and drops notices seen before; after a new link it tells
//! the core only once all that the pool kept has been read. It must never end for what the pool writes, and never
//! change a body.

use crate::codec::json::{self, Line, Lines, Value};
use crate::server::messages::{
    DispatcherMessage, PoolCommand, PoolEvent, RejectedCommand, RunOutcome, WorkerPoolMessage,
};
use crate::server::timer_wheel::TimerWheel;
use async_channel::{Receiver, Sender};
use async_io::Async;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use futures_lite::future::{BoxedLocal, or, pending};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use slog::{Logger, info, warn};
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// The longest line that is taken in, in bytes.
const MAX_LINE: usize = 64 * 1024;
/// Wait before a new link is tried, ms: after one that stood, and after a try that failed. Runs that were asked for
/// meanwhile wait that long.
const AGAIN_MS: f64 = 5.0;
const RETRY_MS: f64 = 50.0;
/// A try to connect that comes to nothing in this time is given up, ms: a first packet that was lost is sent again by the
/// system after a second.
const DIAL_MS: f64 = 1500.0;
/// A link that takes no bytes for this long is given up, ms: longer than any pause of the machine.
const STALLED_MS: f64 = 10_000.0;
/// The most log lines about one link's bad or missing lines.
const MAX_COMPLAINTS: u32 = 10;
/// The tag of the asking that shows that all kept notices have been read.
const CAUGHT_UP: &str = "caught-up";

/// How a link ended.
enum Ended {
    /// It broke.
    Broken(String),
    /// The pool moved: the connection to its new address.
    Moved(Async<TcpStream>),
}

/// Writes a command as a line.
pub fn encode(command: &PoolCommand, classes: &[String], out: &mut String) {
    let put = |out: &mut String, op: &str, attempt: u64| {
        let done = write!(out, "{{\"op\":\"{op}\",\"id\":\"{attempt:016x}\"");
        debug_assert!(done.is_ok());
    };
    let put_body = |out: &mut String, body: &[u8]| {
        out.push_str(",\"body\":\"");
        BASE64.encode_string(body, out);
        out.push('"');
    };
    match command {
        PoolCommand::Run { attempt, class, body } => {
            put(out, "spawn", *attempt);
            out.push_str(",\"class\":");
            json::put_str(out, classes.get(*class).map_or("", String::as_str));
            put_body(out, body);
        }
        PoolCommand::Suspend { attempt } => put(out, "suspend", *attempt),
        PoolCommand::Resume { attempt } => put(out, "proceed", *attempt),
        PoolCommand::UpstreamReply { attempt, body } => {
            put(out, "supply", *attempt);
            put_body(out, body);
        }
        PoolCommand::SkipUpstreamCall { attempt, seq } => {
            put(out, "pass", *attempt);
            let done = write!(out, ",\"seq\":{seq}");
            debug_assert!(done.is_ok());
        }
        PoolCommand::ReadGauges { tag } => {
            let done = write!(out, "{{\"op\":\"poll\",\"tag\":\"{tag}\"");
            debug_assert!(done.is_ok());
        }
    }
    out.push_str("}\n");
}

/// What a line says: a report, the number of the notice, and whether it shows that all kept notices are read.
#[derive(Debug, Default, PartialEq)]
struct Said {
    report: Option<PoolEvent>,
    seq: Option<u64>,
    caught_up: bool,
}

fn decode(line: &[u8]) -> Result<Said, String> {
    let value = json::parse(line).map_err(|e| e.to_string())?;
    let missing = |key: &str| format!("`{key}` is missing or can't be read");
    let word = |key: &str| value.get(key).and_then(Value::as_str).ok_or_else(|| missing(key));
    let attempt = || u64::from_str_radix(word("id")?, 16).map_err(|_| missing("id"));
    let seq = || value.get("seq").and_then(Value::as_u64).filter(|s| *s > 0).ok_or_else(|| missing("seq"));
    let ms = || value.get("ms").and_then(Value::as_f64).filter(|m| *m >= 0.0).ok_or_else(|| missing("ms"));
    let body = || BASE64.decode(word("body")?).map_err(|_| missing("body"));
    let mut said = Said::default();
    match word("op")? {
        "bound" => {
            said.report = Some(PoolEvent::Started { cold: word("end")? == "new", ago_ms: ms()? });
        }
        "finished" => {
            let end = match word("end")? {
                "good" => RunOutcome::Completed,
                "bad" => RunOutcome::Failed,
                "cut" => RunOutcome::Stopped,
                "gone" => RunOutcome::NotStarted,
                _ => return Err(missing("end")),
            };
            let body = if end == RunOutcome::Completed { body()? } else { Vec::new() };
            said.seq = Some(seq()?);
            said.report =
                Some(PoolEvent::RunEnded { attempt: attempt()?, end, took_ms: ms().unwrap_or(0.0), body });
        }
        "blocked" => {
            let seq = seq()?;
            said.seq = Some(seq);
            said.report = Some(PoolEvent::UpstreamCallNeeded { attempt: attempt()?, seq, body: body()? });
        }
        "polled" if word("tag")? == CAUGHT_UP => said.caught_up = true,
        "polled" => {
            let tag = word("tag")?.parse().map_err(|_| missing("tag"))?;
            let Some(Value::Array(values)) = value.get("values") else { return Err(missing("values")) };
            let values = values.iter().map(|v| v.as_f64().unwrap_or(f64::NAN)).collect();
            said.report = Some(PoolEvent::Gauges { tag, values });
        }
        "unknown" => {
            let command = rejected_command(word("end")?);
            said.report = Some(PoolEvent::CommandRejected { command, attempt: attempt().unwrap_or(0) });
        }
        "chatter" => said.seq = Some(seq()?),
        other => return Err(format!("`op` is unknown: {}", other.escape_debug())),
    }
    Ok(said)
}

/// Maps the wire word of a command that the pool rejected.
fn rejected_command(word: &str) -> RejectedCommand {
    match word {
        "spawn" => RejectedCommand::Run,
        "suspend" => RejectedCommand::Suspend,
        "proceed" => RejectedCommand::Resume,
        "supply" => RejectedCommand::UpstreamReply,
        "pass" => RejectedCommand::SkipUpstreamCall,
        "poll" => RejectedCommand::ReadGauges,
        other => RejectedCommand::Unrecognized(other.to_owned()),
    }
}

/// The link's actor.
pub struct WorkerPoolLink {
    /// Where the pool listens.
    pub address: SocketAddr,
    /// The names of the classes, in order.
    pub classes: Vec<String>,
    /// The core's mailbox.
    pub core: Sender<DispatcherMessage>,
    /// Timers.
    pub wheel: Rc<TimerWheel>,
    /// The log.
    pub log: Logger,
    /// The number of the last notice read, and of the link.
    last_seq: u64,
    link: u64,
    /// The present link was answered.
    bound: bool,
    /// How long the pool said it was up, the last time.
    up_ms: f64,
}

impl WorkerPoolLink {
    /// An actor that has no link yet.
    pub fn new(
        address: SocketAddr,
        classes: Vec<String>,
        core: Sender<DispatcherMessage>,
        wheel: Rc<TimerWheel>,
        log: Logger,
    ) -> Self {
        WorkerPoolLink { address, classes, core, wheel, log, last_seq: 0, link: 0, bound: false, up_ms: 0.0 }
    }

    /// Keeps a link, for ever.
    pub async fn run(mut self, inbox: Receiver<WorkerPoolMessage>) {
        let (mut failing, mut next) = (false, None);
        loop {
            let mut wait = RETRY_MS;
            let connected = match next.take() {
                Some(stream) => Ok(stream),
                None => {
                    or(dial(self.address, &self.wheel.clone()), async {
                        self.address = moved(&inbox).await;
                        dial(self.address, &self.wheel).await
                    })
                    .await
                }
            };
            match connected {
                Ok(stream) => {
                    failing = false;
                    self.link += 1;
                    let ended = self.serve(stream, &inbox).await;
                    if self.core.send(DispatcherMessage::Pool(PoolEvent::LinkDown)).await.is_err() {
                        return;
                    }
                    let bound = std::mem::take(&mut self.bound);
                    match ended {
                        Ended::Moved(stream) => {
                            info!(self.log, "worker pool moved"; "to" => self.address.to_string());
                            next = Some(stream);
                            continue;
                        }
                        Ended::Broken(why) => {
                            warn!(self.log, "worker pool link ended";
                                "why" => why, "last_notice" => self.last_seq);
                            wait = if bound { AGAIN_MS } else { RETRY_MS };
                        }
                    }
                }
                Err(e) if !failing => {
                    failing = true;
                    warn!(self.log, "worker pool can't be reached"; "why" => e.to_string());
                }
                Err(_) => {}
            }
            let wheel = self.wheel.clone();
            or(wheel.sleep(wait), async { self.address = moved(&inbox).await }).await;
        }
    }

    async fn serve(&mut self, stream: Async<TcpStream>, inbox: &Receiver<WorkerPoolMessage>) -> Ended {
        let _ = stream.get_ref().set_nodelay(true);
        let (wheel, classes, link) = (self.wheel.clone(), self.classes.clone(), self.link);
        let first = format!("{{\"op\":\"bind\",\"seq\":{}}}\n", self.last_seq);
        let mut address = self.address;
        let writer = async {
            let mut text = first;
            // The present link is used until the pool can be reached at its new address: what is on its way over
            // it is then still read, and the new one's `bind` names the last notice read here.
            let mut moving: Option<BoxedLocal<Ended>> = None;
            loop {
                let mut out = &stream;
                let stalled = async {
                    wheel.sleep(STALLED_MS).await;
                    Err(std::io::ErrorKind::TimedOut.into())
                };
                if let Err(e) = or(out.write_all(text.as_bytes()), stalled).await {
                    return Ended::Broken(format!("writing failed: {e}"));
                }
                text.clear();
                let arrived = async {
                    match &mut moving {
                        Some(moving) => Err(moving.await),
                        None => pending().await,
                    }
                };
                let told = match or(arrived, async { Ok(inbox.recv().await) }).await {
                    Ok(Ok(told)) => told,
                    Ok(Err(_)) => return Ended::Broken("the program ends".to_owned()),
                    Err(moved) => return moved,
                };
                let mut next = Some(told);
                while let Some(told) = next {
                    match told {
                        WorkerPoolMessage::Command(order) if order.link == link => {
                            encode(&order.command, &classes, &mut text);
                        }
                        // Meant for a link that ended.
                        WorkerPoolMessage::Command(_) => {}
                        WorkerPoolMessage::SetAddress(to) => {
                            address = to;
                            moving = Some(Box::pin(reach(to, wheel.clone())));
                        }
                    }
                    next = if text.len() < MAX_LINE { inbox.try_recv().ok() } else { None };
                }
            }
        };
        let ended = or(async { Ended::Broken(self.read(&stream).await) }, writer).await;
        self.address = address;
        ended
    }

    async fn read(&mut self, mut stream: &Async<TcpStream>) -> String {
        let (mut lines, mut bytes, mut complaints) = (Lines::new(MAX_LINE), vec![0; 16 * 1024], 0);
        loop {
            match stream.read(&mut bytes).await {
                Ok(0) => return "closed by the worker pool".to_owned(),
                Ok(n) => lines.feed(&bytes[..n]),
                Err(e) => return format!("reading failed: {e}"),
            }
            while let Some(line) = lines.next_line() {
                let said = match line {
                    Line::Whole(line) => decode(&line),
                    Line::TooLong => Err("line too long".to_owned()),
                };
                let said = match said {
                    Ok(said) => said,
                    Err(why) => {
                        complaints += 1;
                        if complaints <= MAX_COMPLAINTS {
                            warn!(self.log, "bad line from the worker pool"; "why" => why);
                        }
                        continue;
                    }
                };
                if let Some(seq) = said.seq {
                    if seq <= self.last_seq {
                        continue;
                    }
                    if seq > self.last_seq + 1 && complaints < MAX_COMPLAINTS {
                        complaints += 1;
                        warn!(self.log, "notices are missing"; "after" => self.last_seq, "next" => seq);
                    }
                    self.last_seq = seq;
                }
                if let Some(PoolEvent::Started { cold, ago_ms }) = said.report {
                    self.bound = true;
                    // Up for less time than before, it was started anew: its notices count from 1, and the runs of the one
                    // before ended with it.
                    if ago_ms < self.up_ms {
                        warn!(self.log, "worker pool was started anew"; "up_ms" => ago_ms);
                        self.last_seq = 0;
                        if self.core.send(DispatcherMessage::Pool(PoolEvent::Restarted)).await.is_err() {
                            return "the program ends".to_owned();
                        }
                    }
                    self.up_ms = ago_ms;
                    // Not before: a pool that is not up yet takes the link, but answers no asking on it, and this
                    // one must be answered. The writer has nothing to write until it is.
                    let ask = format!("{{\"op\":\"poll\",\"tag\":\"{CAUGHT_UP}\"}}\n");
                    if let Err(e) = stream.write_all(ask.as_bytes()).await {
                        return format!("writing failed: {e}");
                    }
                    info!(self.log, "worker pool is there"; "cold" => cold, "up_ms" => ago_ms);
                }
                let report = if said.caught_up { Some(PoolEvent::LinkUp(self.link)) } else { said.report };
                if let Some(report) = report {
                    if self.core.send(DispatcherMessage::Pool(report)).await.is_err() {
                        return "the program ends".to_owned();
                    }
                }
            }
        }
    }
}

/// Connects within its limit.
async fn dial(to: SocketAddr, wheel: &Rc<TimerWheel>) -> std::io::Result<Async<TcpStream>> {
    let late = async {
        wheel.sleep(DIAL_MS).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    or(Async::<TcpStream>::connect(to), late).await
}

/// Waits for a new address; orders that come meanwhile are for a link that ended.
async fn moved(inbox: &Receiver<WorkerPoolMessage>) -> SocketAddr {
    loop {
        match inbox.recv().await {
            Ok(WorkerPoolMessage::SetAddress(to)) => return to,
            Ok(WorkerPoolMessage::Command(_)) => {}
            Err(_) => return pending().await,
        }
    }
}

/// Connects to the pool's new address, however long that takes.
async fn reach(to: SocketAddr, wheel: Rc<TimerWheel>) -> Ended {
    loop {
        if let Ok(stream) = dial(to, &wheel).await {
            return Ended::Moved(stream);
        }
        wheel.sleep(RETRY_MS).await;
    }
}
