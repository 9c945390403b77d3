//! The way of batches to a collector: a folder, or an HTTP connection as `docs/formats/export.md` describes it.

use crate::codec::http;
use crate::operator::ExportTarget;
use dunlinspread_ledger::batch::{self, Digest, hex};
use dunlinspread_ledger::export_protocol::CollectorReply;
use dunlinspread_ledger::{BatchReceiver, BatchReceiverError};
use dunlinspread_store::{RealDisk, StoreError};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a collector may take to accept a connection, to take a piece of a request or to send one of a reply.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a collector may take for a whole reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes read from a collector at a time.
const READ_BYTES: usize = 4096;

/// Why an exchange with the collector failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum TransportError {
    /// Nothing is exported.
    #[error("nothing is exported")]
    Disabled,
    /// The folder can't be opened.
    #[error(transparent)]
    Folder(#[from] StoreError),
    /// The folder did not take the batch.
    #[error(transparent)]
    Receiver(#[from] BatchReceiverError),
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The collector's bytes are no HTTP reply.
    #[error("{0}")]
    Http(http::Error),
    /// The reply was not complete in time.
    #[error("no whole reply in time")]
    Timeout,
    /// The connection ended before the reply did.
    #[error("the collector closed the connection")]
    Closed,
    /// The reply has a status that the protocol does not have.
    #[error("the collector replied with status {0}")]
    Status(u16),
    /// The reply lacks one of its headers, or one can't be read.
    #[error("the collector's reply names no watermark and digest")]
    Headers,
}

/// The way to the collector.
pub(super) enum ExportTransport {
    /// Nothing is exported.
    Disabled,
    /// A folder, which is opened for each exchange alone: others export into the same one.
    Folder(String),
    /// A collector behind HTTP.
    Collector(CollectorConnection),
}

impl ExportTransport {
    /// Returns the way to a target.
    pub(super) fn new(target: Option<&ExportTarget>) -> ExportTransport {
        match target {
            None => ExportTransport::Disabled,
            Some(ExportTarget::Folder(folder)) => ExportTransport::Folder(folder.clone()),
            Some(ExportTarget::Collector(address)) => {
                ExportTransport::Collector(CollectorConnection { address: *address, idle: None })
            }
        }
    }

    /// Returns whether batches are exported.
    pub(super) fn is_enabled(&self) -> bool {
        !matches!(self, ExportTransport::Disabled)
    }

    /// Asks how far the collector is with a ledger.
    ///
    /// # Errors
    /// If the exchange failed.
    pub(super) fn watermark(
        &mut self,
        server: &str,
        ledger_id: u64,
    ) -> Result<CollectorReply, TransportError> {
        match self {
            ExportTransport::Disabled => Err(TransportError::Disabled),
            ExportTransport::Folder(folder) => Ok(open_folder(folder)?.watermark(server, ledger_id)),
            ExportTransport::Collector(collector) => {
                let path = format!("/batches/{server}/{ledger_id}");
                collector.exchange("GET", &path, &[], b"")
            }
        }
    }

    /// Offers a batch's bytes.
    ///
    /// # Errors
    /// If the exchange failed; the collector may have accepted the batch all the same.
    pub(super) fn offer(
        &mut self,
        server: &str,
        ledger_id: u64,
        number: u64,
        bytes: &[u8],
    ) -> Result<CollectorReply, TransportError> {
        match self {
            ExportTransport::Disabled => Err(TransportError::Disabled),
            ExportTransport::Folder(folder) => {
                let (_, reply) = open_folder(folder)?.receive(bytes)?;
                Ok(reply)
            }
            ExportTransport::Collector(collector) => {
                let path = format!("/batches/{server}/{ledger_id}/{number}");
                let digest = hex(&batch::digest(bytes));
                collector.exchange("PUT", &path, &[("X-Digest", &digest)], bytes)
            }
        }
    }
}

fn open_folder(folder: &str) -> Result<BatchReceiver, TransportError> {
    let disk = RealDisk::new(Path::new(folder))?;
    Ok(BatchReceiver::open(Arc::new(disk))?)
}

/// A collector behind HTTP, and the connection that is kept for the next exchange.
pub(super) struct CollectorConnection {
    address: SocketAddr,
    idle: Option<TcpStream>,
}

impl CollectorConnection {
    /// Sends a request and reads the reply. If anything goes wrong, the connection is not used again: a reply that comes
    /// late on it would be taken for another's.
    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<CollectorReply, TransportError> {
        let mut stream = self.connect()?;
        stream.write_all(&http::request(method, path, &self.address.to_string(), headers, body))?;
        let mut decoder = http::Decoder::default();
        let reply = read_reply(&mut stream, &mut decoder)?;
        let collector_reply = parse_reply(&reply)?;
        if reply.keep_alive && decoder.is_empty() {
            self.idle = Some(stream);
        }
        Ok(collector_reply)
    }

    /// Returns the connection that was kept, or a new one.
    fn connect(&mut self) -> io::Result<TcpStream> {
        if let Some(stream) = self.idle.take() {
            return Ok(stream);
        }
        let stream = TcpStream::connect_timeout(&self.address, STEP_TIMEOUT)?;
        stream.set_read_timeout(Some(STEP_TIMEOUT))?;
        stream.set_write_timeout(Some(STEP_TIMEOUT))?;
        Ok(stream)
    }
}

fn read_reply(stream: &mut TcpStream, decoder: &mut http::Decoder) -> Result<http::Reply, TransportError> {
    let (mut bytes, began) = ([0; READ_BYTES], Instant::now());
    loop {
        if began.elapsed() > REPLY_TIMEOUT {
            return Err(TransportError::Timeout);
        }
        let count = stream.read(&mut bytes)?;
        decoder.feed(&bytes[..count]);
        let has_ended = count == 0;
        if let Some(reply) = decoder.next_reply(has_ended).map_err(TransportError::Http)? {
            return Ok(reply);
        }
        if has_ended {
            return Err(TransportError::Closed);
        }
    }
}

fn parse_reply(reply: &http::Reply) -> Result<CollectorReply, TransportError> {
    let conflict = match reply.status {
        200 => false,
        409 => true,
        status => return Err(TransportError::Status(status)),
    };
    let watermark = reply.header("x-watermark").and_then(|text| text.parse().ok());
    let digest = reply.header("x-digest").and_then(parse_digest);
    match (watermark, digest) {
        (Some(watermark), Some(digest)) => Ok(CollectorReply { watermark, digest, conflict }),
        _ => Err(TransportError::Headers),
    }
}

/// Reads a digest from its hexadecimal text.
fn parse_digest(text: &str) -> Option<Digest> {
    let mut digest = Digest::default();
    if text.len() != 2 * digest.len() || !text.is_ascii() {
        return None;
    }
    for (position, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * position..2 * position + 2], 16).ok()?;
    }
    Some(digest)
}
