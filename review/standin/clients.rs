//! Client proxies that follow the protocol page: message ids go up from 1 on each connection, up to 32
//! requests are open on one, and after `shutdown` no new request is sent on it.

use crate::pool::{Plan, Pool};
use crate::record::{unix_ms, Record};
use crate::wire::{health_check, read_value, request, Value};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Requests that may be open on one connection.
const MAX_OPEN: usize = 32;

/// A try of a request.
#[derive(Clone, Debug)]
pub struct Try {
    pub id: String,
    pub plan: Plan,
    pub give_up_ms: f64,
}

struct Open {
    id: String,
    sent_at: f64,
    give_up_ms: f64,
    org: Option<String>,
}

struct Line {
    stream: TcpStream,
    state: Mutex<LineState>,
}

#[derive(Default)]
struct LineState {
    last_id: u64,
    open: HashMap<u64, Open>,
    closing: bool,
}

#[derive(Default)]
pub struct Counts {
    pub sent: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    pub lost: AtomicU64,
    /// Requests served, by society.
    pub served_of: Mutex<HashMap<String, u64>>,
}

pub struct Clients {
    listen: SocketAddr,
    pool_of: Box<dyn Fn() -> Vec<Arc<Pool>> + Send + Sync>,
    record: Arc<Record>,
    lines: Mutex<Vec<Arc<Line>>>,
    pub counts: Counts,
    ended: AtomicBool,
}

impl Clients {
    pub fn new(
        listen: SocketAddr,
        record: Arc<Record>,
        pool_of: impl Fn() -> Vec<Arc<Pool>> + Send + Sync + 'static,
    ) -> Arc<Clients> {
        Arc::new(Clients {
            listen,
            pool_of: Box::new(pool_of),
            record,
            lines: Mutex::default(),
            counts: Counts::default(),
            ended: AtomicBool::new(false),
        })
    }

    /// Writes a try on a connection with room, or on a new one.
    pub fn send(self: &Arc<Clients>, attempt: &Try) -> bool {
        let line = self.line_with_room();
        let Some(line) = line.or_else(|| self.connect()) else {
            self.record.line(&format!("client {} finds no connection", attempt.id));
            return false;
        };
        for pool in (self.pool_of)() {
            pool.expect(&attempt.id, attempt.plan.clone());
        }
        let mut state = line.state.lock().unwrap();
        state.last_id += 1;
        let (number, sent_at) = (state.last_id, unix_ms());
        let mut fields = vec![
            ("call", attempt.id.clone()),
            ("recv", format!("{}", sent_at as u64)),
            ("src", "4".to_owned()),
            ("heap", "24.5".to_owned()),
            ("crit", "0.6250".to_owned()),
        ];
        if let Some(org) = &attempt.plan.org {
            fields.push(("org", org.clone()));
        }
        if let Some(key) = &attempt.plan.key {
            fields.push(("dedupe", key.clone()));
        }
        let bytes = request(number, &attempt.plan.class, &fields, &attempt.plan.body);
        let open = Open {
            id: attempt.id.clone(),
            sent_at,
            give_up_ms: attempt.give_up_ms,
            org: attempt.plan.org.clone(),
        };
        state.open.insert(number, open);
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
        let key = attempt.plan.key.as_deref().unwrap_or("-");
        self.record.line(&format!("client sends {} {} key {key}", attempt.id, attempt.plan.class));
        let _ = (&line.stream).write_all(&bytes);
        true
    }

    fn line_with_room(&self) -> Option<Arc<Line>> {
        let lines = self.lines.lock().unwrap();
        let has_room = |line: &&Arc<Line>| {
            let state = line.state.lock().unwrap();
            !state.closing && state.open.len() < MAX_OPEN
        };
        lines.iter().filter(has_room).min_by_key(|line| line.state.lock().unwrap().open.len()).cloned()
    }

    /// Opens a connection.
    fn connect(self: &Arc<Clients>) -> Option<Arc<Line>> {
        let stream = TcpStream::connect_timeout(&self.listen, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let line = Arc::new(Line { stream, state: Mutex::default() });
        self.lines.lock().unwrap().push(line.clone());
        let (clients, reading) = (self.clone(), line.clone());
        std::thread::spawn(move || clients.read(&reading));
        Some(line)
    }

    fn read(&self, line: &Arc<Line>) {
        let (mut buffer, mut chunk) = (Vec::new(), [0; 8192]);
        loop {
            match (&line.stream).read(&mut chunk) {
                Ok(length) if length > 0 => buffer.extend_from_slice(&chunk[..length]),
                _ => break,
            }
            while let Some((value, length)) = read_value(&buffer) {
                buffer.drain(..length);
                self.on_message(line, &value);
            }
        }
        self.lines.lock().unwrap().retain(|other| !Arc::ptr_eq(other, line));
        let open: Vec<Open> = line.state.lock().unwrap().open.drain().map(|(_, open)| open).collect();
        for Open { id, .. } in open {
            if !self.ended.load(Ordering::Relaxed) {
                self.counts.lost.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("client {id}: the connection ended without an answer"));
            }
        }
    }

    fn on_message(&self, line: &Arc<Line>, message: &Value) {
        match message.array() {
            [Value::Uint(1), Value::Uint(number), error, result] => {
                let Some(open) = line.state.lock().unwrap().open.remove(number) else { return };
                self.on_answer(&open, error, result);
            }
            [Value::Uint(2), Value::Str(method), _] if method == "shutdown" => {
                line.state.lock().unwrap().closing = true;
                self.record.line("client told of a shutdown");
            }
            other => self.record.line(&format!("client reads {other:?}")),
        }
        let state = line.state.lock().unwrap();
        if state.closing && state.open.is_empty() {
            let _ = line.stream.shutdown(Shutdown::Both);
        }
    }

    fn on_answer(&self, open: &Open, error: &Value, result: &Value) {
        let (id, ms) = (&open.id, unix_ms() - open.sent_at);
        let pools = (self.pool_of)();
        let end = match error {
            Value::Nil => {
                self.counts.served.fetch_add(1, Ordering::Relaxed);
                if let Some(org) = &open.org {
                    *self.counts.served_of.lock().unwrap().entry(org.clone()).or_default() += 1;
                }
                let body = match result.array().first() {
                    Some(Value::Bin(body)) => body.clone(),
                    _ => Vec::new(),
                };
                let made = pools.iter().find_map(|pool| pool.result_of(id));
                if made.as_ref() != Some(&body) {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    self.record
                        .violation(&format!("lost: {id} was served with `{text}`, which no run of it made"));
                }
                "served".to_owned()
            }
            error => {
                let name = match error.array().first() {
                    Some(Value::Str(name)) => name.clone(),
                    _ => format!("{error:?}"),
                };
                let count = if name == "Backoff" { &self.counts.refused } else { &self.counts.failed };
                count.fetch_add(1, Ordering::Relaxed);
                name
            }
        };
        for pool in &pools {
            pool.request_over(id);
        }
        self.record.line(&format!("client {id} {end} after {ms:.0} ms"));
    }

    /// Gives up requests whose time is over, and counts them as lost 130 ms later (80 ms of slack and 50 ms).
    pub fn count_overdue(&self) {
        let now = unix_ms();
        for line in self.lines.lock().unwrap().iter() {
            let mut state = line.state.lock().unwrap();
            let overdue: Vec<u64> = state
                .open
                .iter()
                .filter(|(_, open)| now > open.sent_at + open.give_up_ms + 130.0)
                .map(|(number, _)| *number)
                .collect();
            for number in overdue {
                if let Some(open) = state.open.remove(&number) {
                    self.counts.lost.fetch_add(1, Ordering::Relaxed);
                    self.record.line(&format!("client {}: no answer in its time", open.id));
                }
            }
        }
    }

    pub fn open_count(&self) -> usize {
        self.lines.lock().unwrap().iter().map(|line| line.state.lock().unwrap().open.len()).sum()
    }

    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    pub fn summary(&self) -> String {
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let Counts { sent, served, refused, failed, lost, .. } = &self.counts;
        format!(
            "sent {}, served {}, refused {}, failed {}, unanswered {}",
            count(sent),
            count(served),
            count(refused),
            count(failed),
            count(lost)
        )
    }
}

/// Makes one health check on a connection of its own; `None` if there is no answer within a second.
pub fn check_health(listen: SocketAddr) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&listen, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(&health_check(1)).ok()?;
    let (mut buffer, mut chunk) = (Vec::new(), [0; 1024]);
    loop {
        let length = stream.read(&mut chunk).ok().filter(|length| *length > 0)?;
        buffer.extend_from_slice(&chunk[..length]);
        while let Some((message, length)) = read_value(&buffer) {
            buffer.drain(..length);
            if let [Value::Uint(1), Value::Uint(1), error, result] = message.array() {
                return Some(*error == Value::Nil && result.array().first() == Some(&Value::Bool(true)));
            }
        }
    }
}
