//! A caller's connection to a round server, written from the protocol's page: one request at a time, and the bytes of
//! messages for those that have more of them open.

use super::daemon_site::ROUTE;
use anyhow::{Context, Result, bail, ensure};
use rmpv::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(10);
/// The body of each request, bytes.
const BODY: usize = 256;
/// The memory that a request is said to take while it is held, kB.
const HELD_KB: &str = "20.0";

/// A blocking connection.
pub struct Client {
    stream: TcpStream,
    received: Vec<u8>,
    last_id: u64,
}

/// An answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// To the message of this id.
    pub id: u64,
    /// It is no error.
    pub good: bool,
}

impl Client {
    /// Connects.
    ///
    /// # Errors
    /// If the connection is refused.
    pub fn connect(address: SocketAddr) -> Result<Client> {
        let stream = TcpStream::connect(address).with_context(|| format!("connecting to {address}"))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Client { stream, received: Vec::new(), last_id: 0 })
    }

    /// Asks for the daemon's health without waiting for the answer.
    ///
    /// # Errors
    /// If it cannot be written.
    pub fn ask_health(&mut self) -> Result<()> {
        self.last_id += 1;
        let fields = Value::Array(vec![Value::Map(Vec::new())]);
        let message = Value::Array(vec![0.into(), self.last_id.into(), "isWell".into(), fields]);
        self.stream.write_all(&bytes_of(&message)).context("writing a health check")
    }

    /// Asks for the daemon's health.
    ///
    /// # Errors
    /// If there is no answer.
    pub fn check_health(&mut self) -> Result<()> {
        self.ask_health()?;
        self.answer().map(|_| ())
    }

    /// Sends a request for a tenant and waits for its answer; whether it was served.
    ///
    /// # Errors
    /// If there is no answer.
    pub fn request(&mut self, tenant: Option<&str>) -> Result<bool> {
        self.last_id += 1;
        let request = request(self.last_id, tenant);
        self.stream.write_all(&request).context("writing a request")?;
        Ok(self.answer()?.good)
    }

    /// Waits for the next answer.
    ///
    /// # Errors
    /// If there is none in time.
    pub fn answer(&mut self) -> Result<Answer> {
        let mut chunk = [0; 4096];
        loop {
            if let Some(answer) = next_answer(&mut self.received)? {
                return Ok(answer);
            }
            let read = self.stream.read(&mut chunk).context("waiting for an answer")?;
            ensure!(read > 0, "the daemon closed the connection in place of an answer");
            self.received.extend_from_slice(&chunk[..read]);
        }
    }
}

/// Says if some requests were not served. On a machine that is so busy that the daemon gets no time it rightly turns
/// requests away; figures of the others stand as long as they are most of them.
///
/// # Errors
/// If half of them or fewer were served.
pub fn check_served(served: usize, requests: usize) -> Result<()> {
    if served < requests {
        eprintln!("{} of {requests} requests were not served", requests - served);
    }
    ensure!(served * 2 > requests, "only {served} of {requests} requests were served");
    Ok(())
}

/// A request's bytes.
pub fn request(id: u64, tenant: Option<&str>) -> Vec<u8> {
    let mut fields = vec![
        ("call", format!("{id:016x}")),
        ("recv", dunlinspread_fakes::unix_ms().to_string()),
        ("src", "1".to_owned()),
        ("heap", HELD_KB.to_owned()),
        ("crit", "0.5000".to_owned()),
    ];
    fields.extend(tenant.map(|tenant| ("org", tenant.to_owned())));
    let fields = fields.into_iter().map(|(name, value)| (name.into(), value.into())).collect();
    let arguments = Value::Array(vec![Value::Map(fields), Value::Binary(vec![b'x'; BODY])]);
    bytes_of(&Value::Array(vec![0.into(), id.into(), ROUTE.into(), arguments]))
}

/// Takes the next whole answer from what was received; none if more has to come. Notices in between are passed over.
///
/// # Errors
/// On what is no message, and on the notice to send nothing more.
pub fn next_answer(received: &mut Vec<u8>) -> Result<Option<Answer>> {
    let mut rest = &received[..];
    let Ok(message) = rmpv::decode::read_value(&mut rest) else { return Ok(None) };
    let used = received.len() - rest.len();
    received.drain(..used);
    match (message[0].as_u64(), message[1].as_u64()) {
        (Some(1), Some(id)) => Ok(Some(Answer { id, good: message[2].is_nil() })),
        _ => bail!("the daemon sent `{message}` in place of an answer"),
    }
}

fn bytes_of(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail.
    let _ = rmpv::encode::write_value(&mut bytes, value);
    bytes
}
