//! A client proxy as the protocol page describes it: requests on connections that it opens as it needs them,
//! up to 32 open on each; after `shutdown` no new request; a request that crosses a close is sent again once.

use crate::pool::Pool;
use crate::wire::{decode, forget, health_check, request, Value};
use crate::{lock, now_ms};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(String),
}

#[derive(Clone, Debug)]
pub struct Record {
    pub call: String,
    pub class: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub written_at: u64,
    /// How long the client waits, ms.
    pub give_up_ms: u64,
    pub answers: Vec<(u64, Answer)>,
    /// When the connection ended with no answer.
    pub ended_at: Option<u64>,
    pub forgotten: bool,
    pub refused: bool,
    pub sends: u32,
}

struct ConnectionState {
    stream: TcpStream,
    open: HashMap<u64, usize>,
    last_id: u64,
    takes_requests: bool,
}

#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    pools: Vec<Pool>,
    connections: Arc<Mutex<Vec<Arc<Mutex<ConnectionState>>>>>,
    pub records: Arc<Mutex<Vec<Record>>>,
    next: Arc<AtomicU64>,
    max_connections: usize,
}

impl Client {
    /// A client proxy; `pools` are told which requests are over.
    pub fn new(address: SocketAddr, pools: Vec<Pool>, max_connections: usize) -> Client {
        Client {
            address,
            pools,
            connections: Arc::default(),
            records: Arc::default(),
            next: Arc::default(),
            max_connections,
        }
    }

    /// Sends a request with a new id, and returns its number.
    pub fn send(&self, class: &str, key: Option<&str>, body: &[u8], give_up_ms: u64) -> usize {
        let number = {
            let mut records = lock(&self.records);
            records.push(Record {
                call: new_call(),
                class: class.to_owned(),
                key: key.map(str::to_owned),
                body: body.to_vec(),
                written_at: now_ms(),
                give_up_ms,
                answers: Vec::new(),
                ended_at: None,
                forgotten: false,
                refused: false,
                sends: 0,
            });
            records.len() - 1
        };
        self.write(number);
        let client = self.clone();
        thread::spawn(move || client.wait(number));
        number
    }

    fn wait(&self, number: usize) {
        loop {
            thread::sleep(Duration::from_millis(10));
            let record = lock(&self.records)[number].clone();
            if !record.answers.is_empty() || record.forgotten {
                break;
            }
            if let Some(ended_at) = record.ended_at {
                if record.sends < 2 && ended_at <= record.written_at + 50 {
                    lock(&self.records)[number].ended_at = None;
                    self.write(number);
                    continue;
                }
                break;
            }
            // Its answer counts for some time after it is due; then the client proxy forgets it.
            if now_ms() > record.written_at + record.give_up_ms + 400 {
                self.forget(number);
                break;
            }
        }
        let call = lock(&self.records)[number].call.clone();
        for pool in &self.pools {
            lock(&pool.state).over.insert(call.clone());
        }
    }

    fn write(&self, number: usize) -> Option<()> {
        let record = lock(&self.records)[number].clone();
        let now = now_ms();
        let mut fields = vec![
            ("call", record.call),
            ("recv", now.to_string()),
            ("src", "4".to_owned()),
            ("heap", "24.5".to_owned()),
            ("crit", "0.9000".to_owned()),
        ];
        if let Some(key) = record.key {
            fields.push(("dedupe", key));
        }
        {
            let mut records = lock(&self.records);
            records[number].written_at = now;
            records[number].sends += 1;
        }
        let Some(connection) = self.connection() else {
            let mut records = lock(&self.records);
            records[number].ended_at = Some(now);
            records[number].refused = true;
            return None;
        };
        let mut connection = lock(&connection);
        connection.last_id += 1;
        let id = connection.last_id;
        connection.open.insert(id, number);
        let bytes = request(id, &record.class, &fields, &record.body);
        let _ = connection.stream.write_all(&bytes);
        Some(())
    }

    fn forget(&self, number: usize) {
        lock(&self.records)[number].forgotten = true;
        for connection in lock(&self.connections).iter() {
            let mut connection = lock(connection);
            let id = connection.open.iter().find(|(_, open)| **open == number).map(|(id, _)| *id);
            if let Some(id) = id {
                let _ = connection.stream.write_all(&forget(id));
            }
        }
    }

    fn connection(&self) -> Option<Arc<Mutex<ConnectionState>>> {
        let mut connections = lock(&self.connections);
        connections.retain(|connection| lock(connection).takes_requests);
        let start = self.next.fetch_add(1, Ordering::SeqCst) as usize;
        if connections.len() >= self.max_connections {
            for step in 0..connections.len() {
                let connection = &connections[(start + step) % connections.len()];
                if lock(connection).open.len() < 32 {
                    return Some(connection.clone());
                }
            }
        }
        let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let reading = stream.try_clone().ok()?;
        let state = ConnectionState { stream, open: HashMap::new(), last_id: 0, takes_requests: true };
        let connection = Arc::new(Mutex::new(state));
        connections.push(connection.clone());
        let (client, served) = (self.clone(), connection.clone());
        thread::spawn(move || client.read(&served, reading));
        Some(connection)
    }

    fn read(&self, connection: &Arc<Mutex<ConnectionState>>, mut stream: TcpStream) {
        let (mut bytes, mut buffer) = (Vec::new(), vec![0; 16384]);
        while let Ok(length @ 1..) = stream.read(&mut buffer) {
            bytes.extend(&buffer[..length]);
            let mut at = 0;
            loop {
                let mut end = at;
                let Some(message) = decode(&bytes, &mut end) else { break };
                at = end;
                self.on_message(connection, &message);
            }
            bytes.drain(..at);
            let state = lock(connection);
            if !state.takes_requests && state.open.is_empty() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        let mut state = lock(connection);
        state.takes_requests = false;
        let mut records = lock(&self.records);
        for (_, number) in state.open.drain() {
            records[number].ended_at = Some(now_ms());
        }
    }

    fn on_message(&self, connection: &Arc<Mutex<ConnectionState>>, message: &Value) {
        let Value::Array(parts) = message else { return };
        let mut state = lock(connection);
        match parts.as_slice() {
            [Value::Uint(2), Value::Str(method), ..] if method == "shutdown" => state.takes_requests = false,
            [Value::Uint(1), Value::Uint(id), error, result] => {
                let Some(number) = state.open.get(id).copied() else { return };
                state.open.remove(id);
                let answer = match (error, result) {
                    (Value::Nil, Value::Array(result)) => match result.first() {
                        Some(Value::Bin(result)) => Answer::Served(result.clone()),
                        other => Answer::Failed(format!("unreadable result {other:?}")),
                    },
                    (Value::Array(error), _) if error.first() == Some(&Value::Str("Backoff".to_owned())) => {
                        Answer::Refused
                    }
                    (error, _) => Answer::Failed(format!("{error:?}")),
                };
                lock(&self.records)[number].answers.push((now_ms(), answer));
            }
            _ => {}
        }
    }
}

fn new_call() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x9b1f_0000_0000_0000_u64 + NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Health checks on a connection of their own, each with its time and whether it was good.
#[derive(Clone, Default)]
pub struct HealthChecks {
    pub answers: Arc<Mutex<Vec<(u64, bool)>>>,
}

impl HealthChecks {
    /// Asks every 100 ms. A connection that is refused or closed is opened again.
    pub fn start(address: SocketAddr) -> HealthChecks {
        let checks = HealthChecks::default();
        let asking = checks.clone();
        thread::spawn(move || loop {
            let _ = asking.ask(address);
            thread::sleep(Duration::from_millis(100));
        });
        checks
    }

    fn ask(&self, address: SocketAddr) -> Option<()> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let (mut bytes, mut buffer) = (Vec::new(), vec![0; 4096]);
        for id in 1.. {
            stream.write_all(&health_check(id)).ok()?;
            'answer: loop {
                let length = stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
                bytes.extend(&buffer[..length]);
                let mut at = 0;
                loop {
                    let mut end = at;
                    let Some(message) = decode(&bytes, &mut end) else { break };
                    at = end;
                    let Value::Array(parts) = message else { return None };
                    match parts.as_slice() {
                        [Value::Uint(2), ..] => return None,
                        [Value::Uint(1), Value::Uint(answered), error, result] if *answered == id => {
                            let is_true = matches!(result, Value::Array(result) if result.first() == Some(&Value::Bool(true)));
                            lock(&self.answers).push((now_ms(), *error == Value::Nil && is_true));
                            bytes.drain(..at);
                            break 'answer;
                        }
                        _ => {}
                    }
                }
                bytes.drain(..at);
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }
}
