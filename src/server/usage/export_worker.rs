//! The ledger's clerk, on a thread of its own: exports closed periods, and takes what operators ask of the ledger.
//!
//! It makes batches from the ledger's lines, has them entered as prepared before they are sent and as acknowledged before
//! the next is made, and sends until they are acknowledged. What settles the order of that is
//! `dunlinspread_ledger::export_protocol`. It must never send a batch that is not entered, never change one that is, never enter
//! a request twice, and never hold up serving.

use super::digest_exchange::Shared as Witness;
use crate::codec::http;
use crate::operator::ExportTarget;
use crate::server::usage::billing::{FromLedger, Opened, ToClerk};
use async_channel::Sender as DispatcherMessage;
use dunlinspread_ledger::batch::{self, BatchPlan, hex};
use dunlinspread_ledger::export_protocol::{CollectorReply, ExportSender, SenderAction};
use dunlinspread_ledger::operator_request::{self, OperatorRequest, RequestFile};
use dunlinspread_ledger::{
    BatchReceiver, Export as ExportLine, LedgerState, Line, LineId, LineIdText, LineKind, read_lines,
};
use dunlinspread_store::{Log, RealDisk, ReplayItem, StoreError};
use prost::Message as _;
use slog::{Logger, error, info, warn};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Between tries: after the first that failed, doubled with each to the last.
const RETRY: Duration = Duration::from_millis(100);
const RETRY_MOST: Duration = Duration::from_secs(10);
/// How often old lines are looked for at the least, and how many at a time go at the least: each time costs a file.
const FORGET: Duration = Duration::from_secs(60);
const FORGET_LINES: u64 = 1000;
/// How often what operators ask is looked for.
const LOOK: Duration = Duration::from_millis(300);
/// The longest request of an operator, in bytes.
const MAX_REQUEST: usize = 64 << 10;
/// How long a collector may take to connect, to take a piece or to send one.
const PATIENCE: Duration = Duration::from_secs(5);

/// What the thread is made of.
pub struct Clerk {
    /// The server.
    pub server: String,
    /// Where the ledger's store lies.
    pub directory: String,
    /// Where batches go, if anywhere.
    pub to: Option<ExportTarget>,
    /// Lines in a batch at most.
    pub batch_lines: usize,
    /// How long lines are kept, ms.
    pub keep_ms: u64,
    /// Sums held at a time.
    pub cells: usize,
    /// The mark of the ledger: its first start.
    pub ledger_id: u64,
    /// What opening the ledger found.
    pub opened: Opened,
    /// Other servers, where they may talk.
    pub witness: Option<Witness>,
    /// The core's words.
    pub inbox: Receiver<ToClerk>,
    /// To the core.
    pub core: DispatcherMessage<FromLedger>,
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
    Nowhere,
    Folder(Option<BatchReceiver>, String),
    Collector(SocketAddr, Option<TcpStream>),
}

struct Work {
    set: Clerk,
    disk: RealDisk,
    carrier: Carrier,
    sender: ExportSender,
    /// The number of the last close line that is durable.
    latest: u64,
    /// The number of the last close line whose batches are all acknowledged, and how many of the next are.
    exported: u64,
    part: u64,
    /// The digest of the last batch acknowledged.
    digest: Vec<u8>,
    prepared: Option<ExportLine>,
    /// From this line on, with the sum of all before it, lines may belong to periods that are not exported.
    from: (u64, LedgerState),
    /// Lines before this one are older than they need to be kept, and their sum.
    old: (u64, LedgerState),
    /// The first line that the store was last told to keep.
    kept_from: u64,
    /// When old lines were last looked for.
    looked: Instant,
    tags: u64,
    /// The folder of what operators ask.
    requests: PathBuf,
    alarmed: bool,
}

impl Clerk {
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
            None => Carrier::Nowhere,
            Some(ExportTarget::Folder(folder)) => Carrier::Folder(None, folder.clone()),
            Some(ExportTarget::Collector(address)) => Carrier::Collector(*address, None),
        };
        let asked = Path::new(&self.directory).join(operator_request::REQUESTS_FOLDER);
        std::fs::create_dir_all(&asked).map_err(|e| format!("{}: {e}", asked.display()))?;
        let state = &self.opened.state;
        let acknowledged = state.last_batch - u64::from(state.prepared_batch.is_some());
        let digest = |p: &ExportLine| p.digest.clone().try_into().unwrap_or_default();
        let mut work = Work {
            disk,
            carrier,
            sender: ExportSender::new(acknowledged, state.prepared_batch.as_ref().map(digest)),
            latest: state.last_close,
            exported: state.last_exported_close,
            part: state.exported_parts,
            digest: state.last_digest.clone(),
            prepared: state.prepared_batch.clone(),
            from: (self.opened.first, self.opened.base.clone()),
            old: (self.opened.first, self.opened.base.clone()),
            kept_from: self.opened.first,
            looked: Instant::now(),
            tags: 0,
            requests: asked,
            alarmed: false,
            set: self,
        };
        let (mut wait, mut asked, mut said) = (RETRY, false, false);
        loop {
            let stepped = work.requests().and_then(|()| work.forget()).and_then(|()| match work.carrier {
                Carrier::Nowhere => Ok(false),
                _ if asked => work.step(),
                _ => work.ask().map(|()| asked = true).map(|()| true),
            });
            match stepped {
                Ok(true) => (wait, said) = (RETRY, false),
                // Nothing to do until a period is closed or something is asked.
                Ok(false) => work.wait(LOOK),
                Err(Stop::End) => return Ok(()),
                Err(Stop::Later(why)) => {
                    if !said {
                        warn!(work.set.log, "ledger: an export did not get through and is tried again"; "why" => why);
                    }
                    said = true;
                    work.wait(wait);
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

    /// Hears the core for that long, or until a period is closed.
    fn wait(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            match self.set.inbox.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(ToClerk::Closed(number)) => return self.latest = number,
                Ok(ToClerk::Entered { .. }) => {}
                Ok(ToClerk::Stop) | Err(RecvTimeoutError::Disconnected) => return self.latest = u64::MAX,
                Err(RecvTimeoutError::Timeout) => return,
            }
        }
    }

    /// Has a line entered and waits until it is durable; its start and number.
    fn enter(&mut self, kind: LineKind) -> Step<(u64, u64)> {
        self.tags += 1;
        let entering = FromLedger::Enter { kind, tag: self.tags };
        self.set.core.send_blocking(entering).map_err(|_| Stop::End)?;
        loop {
            match self.set.inbox.recv() {
                Ok(ToClerk::Entered { tag, line }) if tag == self.tags => {
                    return line.ok_or_else(|| later("the ledger does not take this line now"));
                }
                Ok(ToClerk::Entered { .. }) => {}
                Ok(ToClerk::Closed(number)) => self.latest = number,
                Ok(ToClerk::Stop) | Err(_) => return Err(Stop::End),
            }
        }
    }

    /// Lets lines go that are older than they need to be kept, if there are many. What is not exported stays, and
    /// without an export what is not closed.
    fn forget(&mut self) -> Step<()> {
        let every = Duration::from_millis(self.set.keep_ms / 4).clamp(LOOK, FORGET);
        if self.looked.elapsed() < every {
            return Ok(());
        }
        self.looked = Instant::now();
        let needed = match self.carrier {
            Carrier::Nowhere => self.latest,
            _ => self.from.0,
        };
        let (mut number, mut state) = self.old.clone();
        if number >= needed {
            return Ok(());
        }
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let before_ms = (since.as_millis() as u64).saturating_sub(self.set.keep_ms);
        let mut done = false;
        let walked = Log::read_range(&self.disk, &self.set.server, number..needed, |at, bytes| {
            let line = Line::parse(bytes).map_err(|e| e.to_string())?;
            done |= line.at_ms >= before_ms;
            if !done {
                state.apply(at, &line).map_err(|e| e.to_string())?;
                number = at + 1;
            }
            Ok(())
        });
        walked.map_err(later)?;
        self.old = (number, state);
        if number - self.kept_from >= FORGET_LINES {
            self.kept_from = number;
            let forgetting = FromLedger::Forget { before: number, sum: self.old.1.encode_to_vec() };
            self.set.core.send_blocking(forgetting).map_err(|_| Stop::End)?;
        }
        Ok(())
    }

    /// Does what operators ask.
    fn requests(&mut self) -> Step<()> {
        let entries = std::fs::read_dir(&self.requests).map_err(later)?;
        let names = entries.flatten().filter_map(|e| e.file_name().into_string().ok());
        let mut tokens: Vec<String> =
            names.filter_map(|n| RequestFile::token(&n).map(str::to_owned)).collect();
        tokens.sort_unstable();
        for token in tokens {
            let (name, answer) = RequestFile::file_names(&token);
            let (path, answer) = (self.requests.join(name), self.requests.join(answer));
            let said = match std::fs::read(&path).map_err(|e| e.to_string()).and_then(|bytes| {
                if bytes.len() > MAX_REQUEST { Err("the request is too long".to_owned()) } else { Ok(bytes) }
            }) {
                Ok(bytes) => match RequestFile::parse(&bytes) {
                    Ok(wish) => self.grant(wish, &token)?,
                    Err(e) => format!("error: {e}"),
                },
                Err(e) => format!("error: {e}"),
            };
            info!(self.set.log, "ledger: an operator's request"; "token" => token.as_str(), "answer" => said.as_str());
            // The answer is there before the request goes: asked again after a crash in between, it is found done.
            let making = answer.with_extension("tmp");
            let told = std::fs::write(&making, &said).and_then(|()| std::fs::rename(&making, &answer));
            if let Err(e) = told {
                warn!(self.set.log, "ledger: an operator can't be answered"; "why" => e.to_string());
            }
            std::fs::remove_file(&path).map_err(later)?;
        }
        Ok(())
    }

    /// Does one thing that is asked; the answer.
    fn grant(&mut self, wish: OperatorRequest, token: &str) -> Step<String> {
        let done = |line: LineId| format!("done {}", LineIdText(&line));
        match wish {
            OperatorRequest::Correct(mut correction) => {
                token.clone_into(&mut correction.token);
                // Corrections are seldom: a walk over the ledger for each is what entering one only once costs.
                if let Some(line) = self.entered(token)? {
                    return Ok(done(line));
                }
                match self.enter(LineKind::Correction(correction)) {
                    Ok((start, number)) => {
                        Ok(done(LineId { server: self.set.server.clone(), start, number }))
                    }
                    Err(Stop::Later(why)) => Ok(format!("error: {why}")),
                    Err(end) => Err(end),
                }
            }
            OperatorRequest::Close(_) => {
                self.tags += 1;
                let closing = FromLedger::Close { tag: self.tags };
                self.set.core.send_blocking(closing).map_err(|_| Stop::End)?;
                loop {
                    match self.set.inbox.recv() {
                        Ok(ToClerk::Closed(number)) => {
                            self.latest = number;
                            return Ok(format!("done, closed by line {number}"));
                        }
                        Ok(ToClerk::Entered { tag, line: None }) if tag == self.tags => {
                            return Ok("error: nothing can be closed now".to_owned());
                        }
                        Ok(ToClerk::Entered { .. }) => {}
                        Ok(ToClerk::Stop) | Err(_) => return Err(Stop::End),
                    }
                }
            }
        }
    }

    /// The line of a correction that was entered before.
    fn entered(&self, token: &str) -> Step<Option<LineId>> {
        let (mut start, mut found) = (0, None);
        let walked = Log::read(&self.disk, &self.set.server, |visit| {
            let ReplayItem::Record(number, bytes) = visit else { return Ok(()) };
            match Line::parse(bytes).map_err(|e| e.to_string())?.kind {
                Some(LineKind::Start(s)) => start = s.start,
                Some(LineKind::Correction(c)) if c.token == token => {
                    found = Some(LineId { server: self.set.server.clone(), start, number });
                }
                _ => {}
            }
            Ok(())
        });
        walked.map_err(later)?;
        Ok(found)
    }

    /// Asks the collector how far it is.
    fn ask(&mut self) -> Step<()> {
        let reply = self.carrier.watermark(&self.set.server, self.set.ledger_id)?;
        self.sender.on_watermark(&reply);
        Ok(())
    }

    /// The next thing to do; false if there is none.
    fn step(&mut self) -> Step<bool> {
        match self.sender.next() {
            SenderAction::Idle if self.latest <= self.exported => Ok(false),
            SenderAction::Idle => self.prepare(),
            SenderAction::Send(number) => {
                let Some(prepared) = self.prepared.clone() else { return Err(later("no batch is prepared")) };
                let (bytes, digest) = self.make(prepared.close, number)?.encode_with_digest();
                if digest[..] != prepared.digest {
                    error!(self.set.log, "ledger: a batch can't be made as it was; nothing is sent";
                        "batch" => number, "was" => hex(&prepared.digest), "is" => hex(&digest));
                    return Err(later("a batch differs from what was prepared"));
                }
                let reply = self.carrier.offer(&bytes, number, self.set.ledger_id, &self.set.server)?;
                self.sender.on_reply(&reply);
                if !matches!(
                    self.sender.next(),
                    SenderAction::RecordAcknowledgement(_) | SenderAction::Fault(_)
                ) {
                    return Err(later(format!("the collector is at batch {}", reply.watermark)));
                }
                Ok(true)
            }
            SenderAction::RecordAcknowledgement(number) => {
                let Some(mut line) = self.prepared.clone() else { return Err(later("no batch is prepared")) };
                line.acknowledged = true;
                self.enter(LineKind::Export(line.clone()))?;
                self.sender.acknowledgement_recorded();
                (self.digest, self.prepared) = (line.digest, None);
                self.part += 1;
                if line.last {
                    (self.exported, self.part) = (line.close, 0);
                    self.advance()?;
                }
                info!(self.set.log, "ledger: a batch is exported"; "batch" => number, "last" => line.last);
                Ok(true)
            }
            SenderAction::Fault(alarm) => {
                if !std::mem::replace(&mut self.alarmed, true) {
                    error!(self.set.log, "ledger: ALARM, exports have stopped"; "why" => alarm.to_string());
                }
                Ok(false)
            }
        }
    }

    /// Makes the next batch and has it entered as prepared.
    fn prepare(&mut self) -> Step<bool> {
        let close = self.next_close()?;
        let number = self.sender.acknowledged() + 1;
        let batch = self.make(close, number)?;
        let (_, digest) = batch.encode_with_digest();
        let line = ExportLine {
            batch: number,
            digest: digest.to_vec(),
            close,
            last: batch.last,
            lines: self.set.batch_lines as u64,
            acknowledged: false,
        };
        self.enter(LineKind::Export(line.clone()))?;
        self.sender.batch_prepared(digest).map_err(later)?;
        self.prepared = Some(line);
        self.bear_witness(&batch, &digest);
        Ok(true)
    }

    /// Tells other servers of a batch that is entered.
    fn bear_witness(&self, batch: &batch::Batch, digest: &[u8]) {
        if let Some(witness) = &self.set.witness {
            witness.made(batch.number, digest, (batch.close.from, batch.close.to));
        }
    }

    /// Shows the lines from the first that may matter to the last close.
    fn walk(&self, show: &mut dyn FnMut(u64, &Line)) -> Result<(), StoreError> {
        read_lines(&self.disk, &self.set.server, self.from.0..self.latest + 1, show)
    }

    fn next_close(&self) -> Step<u64> {
        let mut next = None;
        let walked = self.walk(&mut |number, line| {
            if matches!(line.kind, Some(LineKind::Close(_))) && number > self.exported {
                next.get_or_insert(number);
            }
        });
        walked.map_err(later)?;
        next.ok_or_else(|| later("the close line is not there"))
    }

    fn make(&self, close: u64, number: u64) -> Step<batch::Batch> {
        // A batch that is prepared keeps its size whatever the settings say since.
        let items = self.prepared.as_ref().map_or(self.set.batch_lines, |p| p.lines as usize);
        let making = BatchPlan {
            server: &self.set.server,
            ledger_id: self.set.ledger_id,
            before: &self.from.1,
            close,
            part: self.part,
            items,
            cells: self.set.cells,
            number,
            previous: &self.digest,
        };
        let made = batch::build(&making, |show| self.walk(show)).map_err(later)?;
        made.ok_or_else(|| later("the close has no such part"))
    }

    /// After a close is exported: lines from before its end can't belong to a later one.
    fn advance(&mut self) -> Step<()> {
        let (mut to, mut done) = (None, false);
        let walked = self.walk(&mut |number, line| {
            if let (Some(LineKind::Close(close)), true) = (&line.kind, number == self.exported) {
                to = Some(close.to);
            }
        });
        walked.map_err(later)?;
        let Some(to) = to else { return Ok(()) };
        let ((mut number, mut state), mut applied) = (self.from.clone(), Ok(()));
        let walked = self.walk(&mut |at, line| {
            done |= line.at_ms >= to || applied.is_err();
            if !done {
                applied = state.apply(at, line);
                number = at + 1;
            }
        });
        walked.map_err(later)?;
        applied.map_err(later)?;
        self.from = (number, state);
        Ok(())
    }
}

impl Carrier {
    fn inbox<'a>(open: &'a mut Option<BatchReceiver>, folder: &str) -> Step<&'a mut BatchReceiver> {
        if open.is_none() {
            let disk = RealDisk::new(Path::new(folder)).map_err(later)?;
            *open = Some(BatchReceiver::open(Arc::new(disk)).map_err(later)?);
        }
        open.as_mut().ok_or_else(|| later("the folder is not open"))
    }

    /// How far the collector is with this ledger.
    fn watermark(&mut self, server: &str, ledger_id: u64) -> Step<CollectorReply> {
        match self {
            Carrier::Nowhere => Err(later("nothing is exported")),
            Carrier::Folder(open, folder) => {
                let reply = Carrier::inbox(open, folder)?.watermark(server, ledger_id);
                // Others export into the same folder: it is held only for a moment.
                *open = None;
                Ok(reply)
            }
            Carrier::Collector(address, kept) => {
                let path = format!("/batches/{server}/{ledger_id}");
                exchange(*address, kept, "GET", &path, &[], b"")
            }
        }
    }

    /// Offers a batch.
    fn offer(&mut self, bytes: &[u8], number: u64, ledger_id: u64, server: &str) -> Step<CollectorReply> {
        match self {
            Carrier::Nowhere => Err(later("nothing is exported")),
            Carrier::Folder(open, folder) => {
                let offered = Carrier::inbox(open, folder)?.receive(bytes).map_err(later);
                *open = None;
                offered.map(|(_, reply)| reply)
            }
            Carrier::Collector(address, kept) => {
                let path = format!("/batches/{server}/{ledger_id}/{number}");
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
) -> Step<CollectorReply> {
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
    Ok(CollectorReply { watermark, digest, conflict })
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
