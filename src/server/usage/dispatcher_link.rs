//! The export worker's link to the dispatcher, which alone writes to the ledger.

use super::export_error::{ExportError, RetryableError};
use crate::server::messages::{EntryLine, ExportWorkerMessage, UsageMessage};
use dunlinspread_ledger::LineKind;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// The link to the dispatcher.
pub(super) struct DispatcherLink {
    messages: Receiver<ExportWorkerMessage>,
    dispatcher: async_channel::Sender<UsageMessage>,
    last_tag: u64,
    latest_close: u64,
    is_shutting_down: bool,
}

impl DispatcherLink {
    /// Returns a link over two channels; `latest_close` is the number of the last close line that is durable.
    pub(super) fn new(
        messages: Receiver<ExportWorkerMessage>,
        dispatcher: async_channel::Sender<UsageMessage>,
        latest_close: u64,
    ) -> DispatcherLink {
        DispatcherLink { messages, dispatcher, last_tag: 0, latest_close, is_shutting_down: false }
    }

    /// Returns the number of the last close line that is durable.
    pub(super) fn latest_close(&self) -> u64 {
        self.latest_close
    }

    /// Returns whether the program ends.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down
    }

    /// Waits for that long, or until a period is closed or the program ends.
    pub(super) fn wait(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            match self.messages.recv_timeout(until.saturating_duration_since(Instant::now())) {
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

    /// Has a line appended, and returns it once it is durable.
    ///
    /// # Errors
    /// If the ledger does not take it now, or the program ends.
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

    /// Has all periods up to now closed, and returns the close line's number once it is durable; none if nothing can be
    /// closed now.
    ///
    /// # Errors
    /// If the program ends.
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

    /// Has the lines before a number replaced by the encoded state after them.
    ///
    /// # Errors
    /// If the program ends.
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

    /// Waits for the next message but a shutdown, which is an error.
    fn receive(&self) -> Result<ExportWorkerMessage, ExportError> {
        match self.messages.recv() {
            Ok(ExportWorkerMessage::Shutdown) | Err(_) => Err(ExportError::ShuttingDown),
            Ok(message) => Ok(message),
        }
    }
}
