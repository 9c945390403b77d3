//! A caller's connection to a round server, implemented from the protocol's specification. It sends one
//! request at a time; the encoding functions also serve callers with several open requests.

use super::daemon_site::ROUTE;
use anyhow::{Context, Result, bail, ensure};
use rmpv::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum time to wait for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the body of each request, bytes.
const BODY: usize = 256;
/// Memory that a queued request is stated to occupy, kB.
const QUEUED_REQUEST_KB: &str = "20.0";

/// A blocking connection to a round server.
pub struct Client {
    stream: TcpStream,
    received: Vec<u8>,
    last_id: u64,
}

/// A response from a round server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Id of the message that this responds to.
    pub id: u64,
    /// Whether the response is not an error.
    pub good: bool,
}

impl Client {
    /// Connects to a round server.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be established.
    pub fn connect(address: SocketAddr) -> Result<Client> {
        let stream = TcpStream::connect(address).with_context(|| format!("connecting to {address}"))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Client { stream, received: Vec::new(), last_id: 0 })
    }

    /// Sends a health check without waiting for the response.
    ///
    /// # Errors
    /// Returns an error if the health check cannot be sent.
    pub fn send_health_check(&mut self) -> Result<()> {
        self.last_id += 1;
        let fields = Value::Array(vec![Value::Map(Vec::new())]);
        let message = Value::Array(vec![0.into(), self.last_id.into(), "isWell".into(), fields]);
        self.stream.write_all(&bytes_of(&message)).context("sending a health check")
    }

    /// Sends a health check and waits for the response.
    ///
    /// # Errors
    /// Returns an error if no valid response arrives.
    pub fn check_health(&mut self) -> Result<()> {
        self.send_health_check()?;
        self.answer().map(|_| ())
    }

    /// Sends a request for a tenant, waits for the response, and returns whether the request was served.
    ///
    /// # Errors
    /// Returns an error if no valid response arrives.
    pub fn request(&mut self, tenant: Option<&str>) -> Result<bool> {
        self.last_id += 1;
        let request = request(self.last_id, tenant);
        self.stream.write_all(&request).context("sending a request")?;
        Ok(self.answer()?.good)
    }

    /// Waits for the next response.
    ///
    /// # Errors
    /// Returns an error if no valid response arrives in time.
    pub fn answer(&mut self) -> Result<Answer> {
        let mut chunk = [0; 4096];
        loop {
            if let Some(answer) = next_answer(&mut self.received)? {
                return Ok(answer);
            }
            let read = self.stream.read(&mut chunk).context("waiting for a response")?;
            ensure!(read > 0, "the daemon closed the connection instead of responding");
            self.received.extend_from_slice(&chunk[..read]);
        }
    }
}

/// Prints a warning if some requests were not served. On a busy machine, where the daemon gets too little
/// processor time, it correctly rejects requests; the measurement is valid as long as most requests were
/// served.
///
/// # Errors
/// Returns an error if half of the requests or fewer were served.
pub fn check_served(served: usize, requests: usize) -> Result<()> {
    if served < requests {
        eprintln!("{} of {requests} requests were not served", requests - served);
    }
    ensure!(served * 2 > requests, "only {served} of {requests} requests were served");
    Ok(())
}

/// Encodes a request.
pub fn request(id: u64, tenant: Option<&str>) -> Vec<u8> {
    let mut fields = vec![
        ("call", format!("{id:016x}")),
        ("recv", dunlinspread_fakes::unix_ms().to_string()),
        ("src", "1".to_owned()),
        ("heap", QUEUED_REQUEST_KB.to_owned()),
        ("crit", "0.5000".to_owned()),
    ];
    fields.extend(tenant.map(|tenant| ("org", tenant.to_owned())));
    let fields = fields.into_iter().map(|(name, value)| (name.into(), value.into())).collect();
    let arguments = Value::Array(vec![Value::Map(fields), Value::Binary(vec![b'x'; BODY])]);
    bytes_of(&Value::Array(vec![0.into(), id.into(), ROUTE.into(), arguments]))
}

/// Removes the next complete message from `received` and returns it as a response, or returns `None` if the
/// message is incomplete.
///
/// # Errors
/// Returns an error if the message is not a response, such as the notice to send no more requests.
pub fn next_answer(received: &mut Vec<u8>) -> Result<Option<Answer>> {
    let mut rest = &received[..];
    let Ok(message) = rmpv::decode::read_value(&mut rest) else { return Ok(None) };
    let used = received.len() - rest.len();
    received.drain(..used);
    match (message[0].as_u64(), message[1].as_u64()) {
        (Some(1), Some(id)) => Ok(Some(Answer { id, good: message[2].is_nil() })),
        _ => bail!("the daemon sent `{message}` instead of a response"),
    }
}

fn bytes_of(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory cannot fail.
    let _ = rmpv::encode::write_value(&mut bytes, value);
    bytes
}
