//! Link of the export worker to the dispatcher. Only the dispatcher writes to the ledger.

use super::export_error::{ExportError, RetryableError};
use crate::server::messages::{EntryLine, ExportWorkerMessage, UsageMessage};
use dunlinspread_ledger::LineKind;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Link of the export worker to the dispatcher.
pub(super) struct DispatcherLink {
    messages: Receiver<ExportWorkerMessage>,
    dispatcher: async_channel::Sender<UsageMessage>,
    /// Tag of the last request to the dispatcher.
    last_tag: u64,
    /// Number of the last durable close line.
    latest_close: u64,
    is_shutting_down: bool,
}

impl DispatcherLink {
    /// Returns a link over two channels. `latest_close` is the number of the last durable close line.
    pub(super) fn new(
        messages: Receiver<ExportWorkerMessage>,
        dispatcher: async_channel::Sender<UsageMessage>,
        latest_close: u64,
    ) -> DispatcherLink {
        DispatcherLink { messages, dispatcher, last_tag: 0, latest_close, is_shutting_down: false }
    }

    /// Returns the number of the last durable close line.
    pub(super) fn latest_close(&self) -> u64 {
        self.latest_close
    }

    /// Returns whether the process is shutting down.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down
    }

    /// Waits for `timeout`, or until a period is closed or the process shuts down.
    pub(super) fn wait(&mut self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        loop {
            match self.messages.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
                Ok(ExportWorkerMessage::PeriodsClosed(number)) => {
                    self.latest_close = number;
                    return;
                }
                Ok(ExportWorkerMessage::Shutdown) | Err(RecvTimeoutError::Disconnected) => {
                    self.is_shutting_down = true;
                    return;
                }
                Err(RecvTimeoutError::Timeout) => return,
                Ok(ExportWorkerMessage::EntryDurable { .. } | ExportWorkerMessage::EntryRejected { .. }) => {}
            }
        }
    }

    /// Appends a line to the ledger and returns it once it is durable.
    ///
    /// # Errors
    /// - [`RetryableError::EntryRejected`] if the ledger rejects the line.
    /// - [`ExportError::ShuttingDown`] if the process is shutting down.
    pub(super) fn append_entry(&mut self, kind: LineKind) -> Result<EntryLine, ExportError> {
        let own_tag = self.next_tag();
        self.send(UsageMessage::AppendEntry { kind, tag: own_tag })?;
        loop {
            match self.receive()? {
                ExportWorkerMessage::EntryDurable { tag, line } if tag == own_tag => return Ok(line),
                ExportWorkerMessage::EntryRejected { tag } if tag == own_tag => {
                    return Err(RetryableError::EntryRejected.into());
                }
                ExportWorkerMessage::PeriodsClosed(number) => self.latest_close = number,
                _ => {}
            }
        }
    }

    /// Closes all periods up to now and returns the number of the close line once it is durable. Returns
    /// `None` if no period can be closed now.
    ///
    /// # Errors
    /// Returns [`ExportError::ShuttingDown`] if the process is shutting down.
    pub(super) fn close_periods(&mut self) -> Result<Option<u64>, ExportError> {
        let own_tag = self.next_tag();
        self.send(UsageMessage::ClosePeriods { tag: own_tag })?;
        loop {
            match self.receive()? {
                ExportWorkerMessage::PeriodsClosed(number) => {
                    self.latest_close = number;
                    return Ok(Some(number));
                }
                ExportWorkerMessage::EntryRejected { tag } if tag == own_tag => return Ok(None),
                _ => {}
            }
        }
    }

    /// Requests that the lines before the number `before` be replaced by the encoded state after them.
    ///
    /// # Errors
    /// Returns [`ExportError::ShuttingDown`] if the process is shutting down.
    pub(super) fn release_lines(&self, before: u64, state: Vec<u8>) -> Result<(), ExportError> {
        self.send(UsageMessage::ReleaseLines { before, state })
    }

    fn next_tag(&mut self) -> u64 {
        self.last_tag += 1;
        self.last_tag
    }

    fn send(&self, message: UsageMessage) -> Result<(), ExportError> {
        self.dispatcher.send_blocking(message).map_err(|_| ExportError::ShuttingDown)
    }

    /// Waits for the next message. A shutdown is returned as an error.
    fn receive(&self) -> Result<ExportWorkerMessage, ExportError> {
        match self.messages.recv() {
            Ok(ExportWorkerMessage::Shutdown) | Err(_) => Err(ExportError::ShuttingDown),
            Ok(message) => Ok(message),
        }
    }
}
