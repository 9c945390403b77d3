//! Transport of batches to a collector: a directory, or an HTTP connection as described in
//! `docs/formats/export.md`.

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

/// Timeout for connecting to a collector, and for each read from and write to the connection.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for a complete reply of a collector.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Size in bytes of the buffer for one read from a collector.
const READ_BYTES: usize = 4096;

/// Error of an exchange with the collector.
#[derive(Debug, thiserror::Error)]
pub(super) enum TransportError {
    /// Export is disabled.
    #[error("no export target is configured")]
    Disabled,
    /// The target directory can't be opened.
    #[error(transparent)]
    Folder(#[from] StoreError),
    /// The target directory's receiver failed.
    #[error(transparent)]
    Receiver(#[from] BatchReceiverError),
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The collector did not send a valid HTTP reply.
    #[error("{0}")]
    Http(http::Error),
    /// The reply was not complete within [`REPLY_TIMEOUT`].
    #[error("timed out waiting for the collector's complete reply")]
    Timeout,
    /// The collector closed the connection before the reply was complete.
    #[error("the collector closed the connection before its reply was complete")]
    Closed,
    /// The reply has a status code that the protocol does not use.
    #[error("the collector replied with unexpected status {0}")]
    Status(u16),
    /// A header of the reply is missing or invalid.
    #[error("the collector's reply has a missing or invalid `X-Watermark` or `X-Digest` header")]
    Headers,
}

/// Transport to the collector.
pub(super) enum ExportTransport {
    /// Export is disabled.
    Disabled,
    /// Path of a directory. It is opened for each exchange, because other servers export into it as well.
    Folder(String),
    /// A collector that is reached by HTTP.
    Collector(CollectorConnection),
}

impl ExportTransport {
    /// Returns the transport to a target; a disabled one if there is no target.
    pub(super) fn new(target: Option<&ExportTarget>) -> ExportTransport {
        match target {
            None => ExportTransport::Disabled,
            Some(ExportTarget::Folder(folder)) => ExportTransport::Folder(folder.clone()),
            Some(ExportTarget::Collector(address)) => {
                ExportTransport::Collector(CollectorConnection { address: *address, idle: None })
            }
        }
    }

    /// Returns whether an export target is configured.
    pub(super) fn is_enabled(&self) -> bool {
        !matches!(self, ExportTransport::Disabled)
    }

    /// Returns the collector's reply with its watermark for a ledger: the last batch that it accepted.
    ///
    /// # Errors
    /// Returns a [`TransportError`] if the exchange fails or export is disabled.
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

    /// Sends a batch to the collector and returns its reply.
    ///
    /// # Errors
    /// Returns a [`TransportError`] if the exchange fails or export is disabled. The collector may have
    /// accepted the batch despite a failed exchange.
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

/// Collector that is reached by HTTP.
pub(super) struct CollectorConnection {
    address: SocketAddr,
    /// Idle connection that is kept for the next exchange.
    idle: Option<TcpStream>,
}

impl CollectorConnection {
    /// Sends a request and reads the reply. After any error, the connection is not reused: a late reply on it
    /// would be mistaken for the reply to the next request.
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

    /// Returns the idle connection, or a new one if there is none.
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
    let (mut buffer, started_at) = ([0; READ_BYTES], Instant::now());
    loop {
        if started_at.elapsed() > REPLY_TIMEOUT {
            return Err(TransportError::Timeout);
        }
        let count = stream.read(&mut buffer)?;
        decoder.feed(&buffer[..count]);
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

/// Parses a digest from its hexadecimal representation.
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
