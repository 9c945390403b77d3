//! The dispatcher's side of the link to the worker pool.

use crate::server::messages::{LinkCommand, PoolCommand, WorkerPoolMessage};
use crate::server::timer_wheel::Clock;
use async_channel::{Sender, TrySendError};
use slog::{Logger, error};

/// Sends commands over the current link to the worker pool, if one is up.
pub(super) struct PoolLink {
    mailbox: Sender<WorkerPoolMessage>,
    /// Number of the link that is up; `None` if there is none.
    link: Option<u64>,
    clock: Clock,
    log: Logger,
}

impl PoolLink {
    pub(super) fn new(mailbox: Sender<WorkerPoolMessage>, clock: Clock, log: Logger) -> Self {
        PoolLink { mailbox, link: None, clock, log }
    }

    /// Records that the link with this number accepts commands.
    pub(super) fn set_link_up(&mut self, link: u64) {
        self.link = Some(link);
    }

    /// Records that no link accepts commands.
    pub(super) fn set_link_down(&mut self) {
        self.link = None;
    }

    /// Sends a command over the current link, and returns whether a link is up.
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
