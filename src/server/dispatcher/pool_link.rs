//! The dispatcher's side of the link to the worker pool.

use crate::server::messages::{CommandNumber, LinkCommand, PoolCommand, WorkerPoolMessage};
use crate::server::timer_wheel::Clock;
use crate::server::worker_pool::{Delivery, DeliveryTracker};
use async_channel::{Sender, TrySendError};
use slog::{Logger, error};

/// Sends commands over the current link to the worker pool, if one is up, and tracks their delivery.
pub(super) struct PoolLink {
    mailbox: Sender<WorkerPoolMessage>,
    /// Number of the link that is up; `None` if there is none.
    link: Option<u64>,
    deliveries: DeliveryTracker,
    clock: Clock,
    log: Logger,
}

impl PoolLink {
    pub(super) fn new(mailbox: Sender<WorkerPoolMessage>, clock: Clock, log: Logger) -> Self {
        PoolLink { mailbox, link: None, deliveries: DeliveryTracker::default(), clock, log }
    }

    /// Records that the link with this number accepts commands.
    pub(super) fn set_link_up(&mut self, link: u64) {
        self.link = Some(link);
    }

    /// Records that no link accepts commands, the last command that the ended one may have written, and whether
    /// all that it has written was carried out.
    pub(super) fn set_link_down(&mut self, last_written: Option<CommandNumber>, is_drained: bool) {
        self.link = None;
        self.deliveries.on_link_end(last_written, is_drained);
    }

    /// Records the answer to the reading of the gauges with this tag.
    pub(super) fn on_gauges_read(&mut self, tag: u64) {
        self.deliveries.on_reading_answered(tag);
    }

    /// Returns what is known about a command after the end of the link to which it was handed.
    pub(super) fn delivery_after_link_end(&self, delivery: Delivery) -> Delivery {
        self.deliveries.after_link_end(delivery)
    }

    /// Reads the gauges over the current link, and returns whether a link is up.
    pub(super) fn read_gauges(&mut self, tag: u64) -> bool {
        let Some(link) = self.link else { return false };
        let number = self.deliveries.begin_reading(tag);
        self.enqueue(link, number, PoolCommand::ReadGauges { tag });
        true
    }

    /// Sends a command for a run over the current link, if one is up, and returns its delivery.
    pub(super) fn send(&mut self, command: PoolCommand) -> Delivery {
        let Some(link) = self.link else { return Delivery::NotWritten };
        let number = self.deliveries.begin_command();
        self.enqueue(link, number, command);
        Delivery::Sent(number)
    }

    fn enqueue(&self, link: u64, number: CommandNumber, command: PoolCommand) {
        let given_at = self.clock.now();
        let message = WorkerPoolMessage::Command(LinkCommand { link, number, given_at, command });
        // The mailbox is unbounded, and closes only at the end of the process.
        if let Err(TrySendError::Full(_)) = self.mailbox.try_send(message) {
            error!(self.log, "command to the worker pool dropped"; "reason" => "mailbox full");
        }
    }
}
