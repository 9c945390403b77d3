//! The dispatcher's side of the link to the worker pool.

use crate::server::messages::{LinkCommand, PoolCommand, WorkerPoolMessage};
use crate::server::timer_wheel::Clock;
use async_channel::{Sender, TrySendError};
use slog::{Logger, error};

/// Sends commands over the link that is up, if there is one.
pub(super) struct PoolLink {
    mailbox: Sender<WorkerPoolMessage>,
    /// The number of the link that is up.
    link: Option<u64>,
    clock: Clock,
    log: Logger,
}

impl PoolLink {
    pub(super) fn new(mailbox: Sender<WorkerPoolMessage>, clock: Clock, log: Logger) -> Self {
        PoolLink { mailbox, link: None, clock, log }
    }

    /// The link with this number accepts commands from now on.
    pub(super) fn set_up(&mut self, link: u64) {
        self.link = Some(link);
    }

    /// No link accepts commands from now on.
    pub(super) fn set_down(&mut self) {
        self.link = None;
    }

    /// Sends a command over the link, and returns whether one is up.
    pub(super) fn send(&self, command: PoolCommand) -> bool {
        let Some(link) = self.link else { return false };
        let given_at = self.clock.now();
        let message = WorkerPoolMessage::Command(LinkCommand { link, given_at, command });
        // The mailbox is unbounded, and closes only at the end of the process.
        if let Err(TrySendError::Full(_)) = self.mailbox.try_send(message) {
            error!(self.log, "command to the worker pool dropped"; "reason" => "mailbox full");
        }
        true
    }
}
