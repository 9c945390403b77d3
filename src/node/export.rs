//! The export of closed periods, on a thread of its own: makes batches from the ledger's lines, has them entered as
//! prepared before they are sent and as acknowledged before the next is made, and sends until they are acknowledged. What
//! settles the order of that is `dunlinspread_ledger::deliver`. It must never send a batch that is not entered, never
//! change one that is, and never hold up serving.

use super::ledger::{FromLedger, Opened, ToExport};
use crate::codec::http;
use crate::operator::ExportTo;
use async_channel::Sender as ToCore;
use dunlinspread_ledger::batch::{self, Making, hex};
use dunlinspread_ledger::deliver::{Next, Reply, Sender};
use dunlinspread_ledger::{Export as ExportLine, Inbox, Kind, Line, State};
use dunlinspread_store::{Log, RealDisk, StoreError};
use slog::{Logger, error, info, warn};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Between tries: after the first that failed, doubled with each to the last.
const RETRY: Duration = Duration::from_millis(100);
const RETRY_MOST: Duration = Duration::from_secs(10);
/// How long a collector may take to connect, to take a piece or to send one.
const PATIENCE: Duration = Duration::from_secs(5);

/// What the thread is made of.
pub struct Export {
    /// The server.
    pub server: String,
    /// Where the ledger's store lies.
    pub directory: String,
    /// Where batches go.
    pub to: ExportTo,
    /// Lines in a batch at most.
    pub batch_lines: usize,
    /// Sums held at a time.
    pub cells: usize,
    /// What opening the ledger found.
    pub opened: Opened,
    /// The core's words.
    pub inbox: Receiver<ToExport>,
    /// To the core.
    pub core: ToCore<FromLedger>,
    /// The log.
    pub log: Logger,
}

/// Why the thread stops what it does.
enum Stop {
    /// The program ends.
    End,
    /// This can't be done now; try again later.
    Later(String),
}

type Step<T> = Result<T, Stop>;

fn later(e: impl std::fmt::Display) -> Stop {
    Stop::Later(e.to_string())
}

/// The ways to a collector.
enum Carrier {
    Folder(Option<Inbox>, String),
    Collector(SocketAddr, Option<TcpStream>),
}

struct Work {
    set: Export,
    disk: RealDisk,
    carrier: Carrier,
    sender: Sender,
    /// The number of the last close line that is durable.
    latest: u64,
    /// The number of the last close line whose batches are all acknowledged, and how many of the next are.
    exported: u64,
    part: u64,
    /// The digest of the last batch acknowledged.
    digest: Vec<u8>,
    prepared: Option<ExportLine>,
    /// From this line on, with the sum of all before it, lines may belong to periods that are not exported.
    from: (u64, State),
    tags: u64,
}

impl Export {
    /// Runs until the program ends.
    pub fn run(self) {
        let log = self.log.clone();
        if let Err(e) = self.work() {
            error!(log, "ledger: nothing is exported until the next start"; "why" => e);
        }
    }

    fn work(self) -> Result<(), String> {
        let disk = RealDisk::new(Path::new(&self.directory)).map_err(|e| e.to_string())?;
        let carrier = match &self.to {
            ExportTo::Folder(folder) => Carrier::Folder(None, folder.clone()),
            ExportTo::Collector(address) => Carrier::Collector(*address, None),
        };
        let state = &self.opened.state;
        let acknowledged = state.batches - u64::from(state.prepared.is_some());
        let digest = |p: &ExportLine| p.digest.clone().try_into().unwrap_or_default();
        let mut work = Work {
            disk,
            carrier,
            sender: Sender::new(acknowledged, state.prepared.as_ref().map(digest)),
            latest: state.last_close,
            exported: state.exported,
            part: state.part,
            digest: state.digest.clone(),
            prepared: state.prepared.clone(),
            from: (self.opened.first, self.opened.base.clone()),
            tags: 0,
            set: self,
        };
        let (mut wait, mut asked, mut said) = (RETRY, false, false);
        loop {
            let stepped = if asked { work.step() } else { work.ask().map(|()| asked = true).map(|()| true) };
            match stepped {
                Ok(true) => (wait, said) = (RETRY, false),
                // Nothing to do until a period is closed.
                Ok(false) => work.wait(None)?,
                Err(Stop::End) => return Ok(()),
                Err(Stop::Later(why)) => {
                    if !said {
                        warn!(work.set.log, "ledger: an export did not get through and is tried again"; "why" => why);
                    }
                    said = true;
                    work.wait(Some(wait))?;
                    wait = (wait * 2).min(RETRY_MOST);
                }
            }
            if work.ended() {
                return Ok(());
            }
        }
    }
}

impl Work {
    fn ended(&self) -> bool {
        self.latest == u64::MAX
    }

    /// Hears the core for that long, or until it says something.
    fn wait(&mut self, time: Option<Duration>) -> Result<(), String> {
        let until = time.map(|t| Instant::now() + t);
        loop {
            let heard = match until {
                Some(until) => self.set.inbox.recv_timeout(until.saturating_duration_since(Instant::now())),
                None => self.set.inbox.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match heard {
                Ok(ToExport::Closed(number)) => {
                    self.latest = number;
                    if time.is_none() {
                        return Ok(());
                    }
                }
                Ok(ToExport::Entered { .. }) => {}
                Ok(ToExport::Stop) | Err(RecvTimeoutError::Disconnected) => {
                    self.latest = u64::MAX;
                    return Ok(());
                }
                Err(RecvTimeoutError::Timeout) => return Ok(()),
            }
        }
    }

    /// Has a line entered and waits until it is durable.
    fn enter(&mut self, line: ExportLine) -> Step<()> {
        self.tags += 1;
        let entering = FromLedger::Enter { kind: Kind::Export(line), tag: self.tags };
        self.set.core.send_blocking(entering).map_err(|_| Stop::End)?;
        loop {
            match self.set.inbox.recv() {
                Ok(ToExport::Entered { tag, number }) if tag == self.tags => {
                    return number.map(drop).ok_or_else(|| later("the ledger takes no lines now"));
                }
                Ok(ToExport::Entered { .. }) => {}
                Ok(ToExport::Closed(number)) => self.latest = number,
                Ok(ToExport::Stop) | Err(_) => return Err(Stop::End),
            }
        }
    }

    /// Asks the collector how far it is.
    fn ask(&mut self) -> Step<()> {
        let (server, born) = (self.set.server.clone(), self.born());
        let reply = self.carrier.watermark(&server, born)?;
        self.sender.on_watermark(&reply);
        Ok(())
    }

    /// The mark of this ledger.
    fn born(&self) -> u64 {
        let opened = &self.set.opened.state;
        // The first start of a new ledger is the one that is entered as it opens.
        if opened.born != 0 { opened.born } else { self.from.1.born }
    }

    /// The next thing to do; false if there is none.
    fn step(&mut self) -> Step<bool> {
        match self.sender.next() {
            Next::Wait if self.latest <= self.exported => Ok(false),
            Next::Wait => self.prepare(),
            Next::Send(number) => {
                let Some(prepared) = self.prepared.clone() else { return Err(later("no batch is prepared")) };
                let (bytes, digest) = self.make(prepared.close, number)?.seal();
                if digest[..] != prepared.digest {
                    error!(self.set.log, "ledger: a batch can't be made as it was; nothing is sent";
                        "batch" => number, "was" => hex(&prepared.digest), "is" => hex(&digest));
                    return Err(later("a batch differs from what was prepared"));
                }
                let reply = self.carrier.offer(&bytes, number, self.born(), &self.set.server)?;
                self.sender.on_reply(&reply);
                if !matches!(self.sender.next(), Next::Settle(_) | Next::Alarm(_)) {
                    return Err(later(format!("the collector is at batch {}", reply.watermark)));
                }
                Ok(true)
            }
            Next::Settle(number) => {
                let Some(mut line) = self.prepared.clone() else { return Err(later("no batch is prepared")) };
                line.acknowledged = true;
                self.enter(line.clone())?;
                self.sender.settled();
                (self.digest, self.prepared) = (line.digest, None);
                self.part += 1;
                if line.last {
                    (self.exported, self.part) = (line.close, 0);
                    self.advance()?;
                }
                info!(self.set.log, "ledger: a batch is exported"; "batch" => number, "last" => line.last);
                Ok(true)
            }
            Next::Alarm(alarm) => {
                error!(self.set.log, "ledger: ALARM, exports have stopped"; "why" => alarm.to_string());
                Ok(false)
            }
        }
    }

    /// Makes the next batch and has it entered as prepared.
    fn prepare(&mut self) -> Step<bool> {
        let close = self.next_close()?;
        let number = self.sender.acknowledged() + 1;
        let batch = self.make(close, number)?;
        let (_, digest) = batch.seal();
        let line = ExportLine {
            batch: number,
            digest: digest.to_vec(),
            close,
            last: batch.last,
            lines: self.set.batch_lines as u64,
            acknowledged: false,
        };
        self.enter(line.clone())?;
        self.sender.prepared(digest);
        self.prepared = Some(line);
        Ok(true)
    }

    /// Shows the lines from the first that may matter to the last close.
    fn walk(&self, show: &mut dyn FnMut(u64, &Line)) -> Result<(), StoreError> {
        Log::range(&self.disk, &self.set.server, self.from.0..self.latest + 1, |number, bytes| {
            show(number, &Line::read(bytes).map_err(|e| e.to_string())?);
            Ok(())
        })
    }

    fn next_close(&self) -> Step<u64> {
        let mut next = None;
        let walked = self.walk(&mut |number, line| {
            if matches!(line.kind, Some(Kind::Close(_))) && number > self.exported {
                next.get_or_insert(number);
            }
        });
        walked.map_err(later)?;
        next.ok_or_else(|| later("the close line is not there"))
    }

    fn make(&mut self, close: u64, number: u64) -> Step<batch::Batch> {
        if self.from.1.born == 0 {
            // A ledger that was new at the opening has its first start by now.
            let mut first = None;
            let walked = self.walk(&mut |_, line| {
                if let Some(Kind::Start(start)) = &line.kind {
                    first.get_or_insert(start.start);
                }
            });
            walked.map_err(later)?;
            self.from.1.born = first.unwrap_or(0);
        }
        // A batch that is prepared keeps its size whatever the settings say since.
        let items = self.prepared.as_ref().map_or(self.set.batch_lines, |p| p.lines as usize);
        let making = Making {
            server: &self.set.server,
            before: &self.from.1,
            close,
            part: self.part,
            items,
            cells: self.set.cells,
            number,
            previous: &self.digest,
        };
        let made = batch::make(&making, |show| self.walk(show)).map_err(later)?;
        made.ok_or_else(|| later("the close has no such part"))
    }

    /// After a close is exported: lines from before its end can't belong to a later one.
    fn advance(&mut self) -> Step<()> {
        let (mut to, mut done) = (None, false);
        let walked = self.walk(&mut |number, line| {
            if let (Some(Kind::Close(close)), true) = (&line.kind, number == self.exported) {
                to = Some(close.to);
            }
        });
        walked.map_err(later)?;
        let Some(to) = to else { return Ok(()) };
        let (mut number, mut state) = self.from.clone();
        let walked = self.walk(&mut |at, line| {
            done |= line.at_ms >= to;
            if !done && state.apply(at, line).is_ok() {
                number = at + 1;
            }
        });
        walked.map_err(later)?;
        self.from = (number, state);
        Ok(())
    }
}

impl Carrier {
    fn inbox<'a>(open: &'a mut Option<Inbox>, folder: &str) -> Step<&'a mut Inbox> {
        if open.is_none() {
            let disk = RealDisk::new(Path::new(folder)).map_err(later)?;
            *open = Some(Inbox::open(Arc::new(disk)).map_err(later)?);
        }
        open.as_mut().ok_or_else(|| later("the folder is not open"))
    }

    /// How far the collector is with this ledger.
    fn watermark(&mut self, server: &str, born: u64) -> Step<Reply> {
        match self {
            Carrier::Folder(open, folder) => {
                let reply = Carrier::inbox(open, folder)?.watermark(server, born);
                // Others export into the same folder: it is held only for a moment.
                *open = None;
                Ok(reply)
            }
            Carrier::Collector(address, kept) => {
                let path = format!("/batches/{server}/{born}");
                exchange(*address, kept, "GET", &path, &[], b"")
            }
        }
    }

    /// Offers a batch.
    fn offer(&mut self, bytes: &[u8], number: u64, born: u64, server: &str) -> Step<Reply> {
        match self {
            Carrier::Folder(open, folder) => {
                let offered = Carrier::inbox(open, folder)?.offer(bytes).map_err(later);
                *open = None;
                offered.map(|(_, reply)| reply)
            }
            Carrier::Collector(address, kept) => {
                let path = format!("/batches/{server}/{born}/{number}");
                let digest = hex(&batch::digest(bytes));
                exchange(*address, kept, "PUT", &path, &[("X-Digest", &digest)], bytes)
            }
        }
    }
}

/// One exchange with a collector. Whatever goes wrong with it, the connection is not used again: a reply that comes late
/// on it would be taken for another's.
fn exchange(
    address: SocketAddr,
    kept: &mut Option<TcpStream>,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Step<Reply> {
    let mut stream = match kept.take() {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect_timeout(&address, PATIENCE).map_err(later)?;
            stream.set_read_timeout(Some(PATIENCE)).map_err(later)?;
            stream.set_write_timeout(Some(PATIENCE)).map_err(later)?;
            stream
        }
    };
    stream.write_all(&http::request(method, path, &address.to_string(), headers, body)).map_err(later)?;
    let (mut decoder, mut bytes, since) = (http::Decoder::default(), [0; 4096], Instant::now());
    let reply = loop {
        if since.elapsed() > 2 * PATIENCE {
            return Err(later("no whole reply in time"));
        }
        let read = stream.read(&mut bytes).map_err(later)?;
        decoder.feed(&bytes[..read]);
        match decoder.next_reply(read == 0).map_err(later)? {
            Some(reply) => break reply,
            None if read == 0 => return Err(later("the collector closed the connection")),
            None => {}
        }
    };
    let conflict = match reply.status {
        200 => false,
        409 => true,
        status => return Err(later(format!("the collector replied with status {status}"))),
    };
    let watermark = reply.header("x-watermark").and_then(|w| w.parse().ok());
    let digest = reply.header("x-digest").and_then(read_hex);
    let (Some(watermark), Some(digest)) = (watermark, digest) else {
        return Err(later("the collector's reply names no watermark and digest"));
    };
    if reply.keep_alive && decoder.is_empty() {
        *kept = Some(stream);
    }
    Ok(Reply { watermark, digest, conflict })
}

fn read_hex(text: &str) -> Option<[u8; 32]> {
    let mut out = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (at, byte) in out.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(out)
}
