//! The reading side of a link: turns messages of the worker pool into events for the dispatcher.

use super::codec::{PoolMessage, decode, encode_caught_up_query};
use super::error::{DecodeError, LinkError};
use crate::codec::json::{Line, Lines};
use crate::server::messages::{DispatcherMessage, DispatcherSender, PoolEvent};
use async_channel::Sender;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use slog::{Logger, info, warn};
use std::net::TcpStream;

/// Longest line that is accepted from the pool, bytes.
pub(super) const MAX_LINE_BYTES: usize = 64 * 1024;
/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of log lines about invalid messages and missing notices per link.
const MAX_WARNINGS: u32 = 10;

/// State of the exchange with the pool that outlives a link.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolProgress {
    /// Sequence number of the last notice read.
    pub(super) last_sequence: u64,
    /// Uptime of the pool when it last accepted a link, ms.
    pub(super) uptime_ms: f64,
    /// Whether the pool accepted the current link.
    pub(super) bound: bool,
}

/// The reading side of one link.
pub(super) struct LinkReader<'a> {
    /// Number of the link.
    pub(super) link_number: u64,
    /// The connection.
    pub(super) stream: &'a Async<TcpStream>,
    /// State that outlives the link.
    pub(super) progress: &'a mut PoolProgress,
    /// Sender to the dispatcher.
    pub(super) dispatcher: &'a DispatcherSender,
    /// Notified once the pool has carried out all commands of a link that ends.
    pub(super) drained: Sender<()>,
    /// The log.
    pub(super) log: &'a Logger,
    /// Number of warnings about this link so far.
    pub(super) warnings: u32,
}

impl LinkReader<'_> {
    /// Reads until the link ends, and returns why it ended.
    pub(super) async fn run(mut self) -> LinkError {
        let mut stream = self.stream;
        let mut lines = Lines::new(MAX_LINE_BYTES);
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            match stream.read(&mut buffer).await {
                Ok(0) => return LinkError::ClosedByPool,
                Ok(length) => lines.feed(&buffer[..length]),
                Err(error) => return LinkError::Read(error),
            }
            if let Err(error) = self.handle_lines(&mut lines).await {
                return error;
            }
        }
    }

    async fn handle_lines(&mut self, lines: &mut Lines) -> Result<(), LinkError> {
        while let Some(line) = lines.next_line() {
            let message = match line {
                Line::Whole(line) => decode(&line),
                Line::TooLong => Err(DecodeError::LineTooLong),
            };
            match message {
                Ok(message) => self.handle_message(message).await?,
                Err(error) => self.warn_invalid(&error),
            }
        }
        Ok(())
    }

    async fn handle_message(&mut self, message: PoolMessage) -> Result<(), LinkError> {
        match message {
            PoolMessage::Bound { cold, uptime_ms } => self.handle_bound(cold, uptime_ms).await,
            PoolMessage::CaughtUp => self.send(PoolEvent::LinkUp(self.link_number)).await,
            PoolMessage::Drained => {
                // The writer waits for one message, and for no longer than the link lasts.
                let _ = self.drained.try_send(());
                Ok(())
            }
            PoolMessage::Event(event) => self.send(event).await,
            PoolMessage::Notice { sequence, event } => {
                if !self.record_notice(sequence) {
                    return Ok(());
                }
                match event {
                    Some(event) => self.send(event).await,
                    None => Ok(()),
                }
            }
        }
    }

    /// Records the sequence number of a notice, and returns whether the notice is new.
    fn record_notice(&mut self, sequence: u64) -> bool {
        let last = self.progress.last_sequence;
        if sequence <= last {
            return false;
        }
        if sequence > last + 1 && self.warnings < MAX_WARNINGS {
            self.warnings += 1;
            warn!(self.log, "worker pool notices missing"; "component" => "worker_pool",
                "after" => last, "next" => sequence);
        }
        self.progress.last_sequence = sequence;
        true
    }

    async fn handle_bound(&mut self, cold: bool, uptime_ms: f64) -> Result<(), LinkError> {
        self.progress.bound = true;
        // A shorter uptime than before means a restart: notices count from 1 again, and earlier runs have
        // ended.
        if uptime_ms < self.progress.uptime_ms {
            warn!(self.log, "worker pool restarted"; "component" => "worker_pool", "uptime_ms" => uptime_ms);
            self.progress.last_sequence = 0;
            self.send(PoolEvent::Restarted).await?;
        }
        self.progress.uptime_ms = uptime_ms;
        // The query is not sent before this point: a pool that is still starting accepts the link but answers
        // no query on it, and this query needs its reply. The writer has nothing to write until the link is
        // up.
        let mut query = String::new();
        encode_caught_up_query(&mut query);
        let mut stream = self.stream;
        stream.write_all(query.as_bytes()).await.map_err(LinkError::Write)?;
        info!(self.log, "worker pool link up"; "component" => "worker_pool",
            "cold" => cold, "uptime_ms" => uptime_ms);
        self.send(PoolEvent::Started { cold, ago_ms: uptime_ms }).await
    }

    async fn send(&self, event: PoolEvent) -> Result<(), LinkError> {
        let sent = self.dispatcher.send(DispatcherMessage::Pool(event)).await;
        sent.map_err(|_| LinkError::ProcessEnds)
    }

    fn warn_invalid(&mut self, error: &DecodeError) {
        self.warnings += 1;
        if self.warnings <= MAX_WARNINGS {
            warn!(self.log, "invalid message from worker pool"; "component" => "worker_pool",
                "error" => error.to_string());
        }
    }
}
