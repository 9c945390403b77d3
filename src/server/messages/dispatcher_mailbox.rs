//! The mailbox of the dispatcher. It has two queues: requests and all that follows from them wait in one, and what other
//! processes of this server, operators and a shutdown ask does not wait behind it.
//!
//! # Invariants
//! - Messages of one queue are taken in the order in which they were sent.
//! - A message of the requests' queue waits for a bounded number of the others.

use super::dispatcher::DispatcherMessage;
use async_channel::{Receiver, Sender, TrySendError, bounded};
use futures_lite::future::or;
use thiserror::Error;

/// Control messages that are taken before one that waits in the requests' queue.
const MAX_CONTROL_IN_A_ROW: usize = 4;

/// Why a message was not sent to the dispatcher.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MailboxError {
    /// There is no room for it.
    #[error("the dispatcher's mailbox is full")]
    Full,
    /// The dispatcher has ended.
    #[error("the dispatcher has ended")]
    Closed,
}

/// A queue of the mailbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    /// Requests, and what comes of them or has to come behind them.
    Requests,
    /// What controls the process; the other side of a handover waits for it with a time limit.
    Control,
}

impl Queue {
    fn of(message: &DispatcherMessage) -> Queue {
        match message {
            DispatcherMessage::Drain { .. }
            | DispatcherMessage::EvacuationChanged
            | DispatcherMessage::Predecessor(_)
            | DispatcherMessage::Successor(_) => Queue::Control,
            DispatcherMessage::Request(_)
            | DispatcherMessage::InvalidRequest(_)
            | DispatcherMessage::HealthCheck(_)
            | DispatcherMessage::ClientGone(_)
            | DispatcherMessage::Pool(_)
            | DispatcherMessage::UpstreamCallEnded { .. }
            | DispatcherMessage::Timer(_)
            | DispatcherMessage::GaugesTimedOut(_)
            | DispatcherMessage::Reconfigured(_)
            | DispatcherMessage::NotifyIdle(_)
            | DispatcherMessage::SweepKeys
            | DispatcherMessage::Usage(_)
            | DispatcherMessage::UsageTick
            | DispatcherMessage::CloseUsage(_) => Queue::Requests,
        }
    }
}

/// Returns a mailbox with room for so many messages in each of its queues.
pub fn dispatcher_mailbox(capacity: usize) -> (DispatcherSender, DispatcherInbox) {
    let (requests, from_requests) = bounded(capacity);
    let (control, from_control) = bounded(capacity);
    let inbox = DispatcherInbox { requests: from_requests, control: from_control, control_in_a_row: 0 };
    (DispatcherSender { requests, control }, inbox)
}

/// Sends to the dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherSender {
    requests: Sender<DispatcherMessage>,
    control: Sender<DispatcherMessage>,
}

impl DispatcherSender {
    /// Sends a message, once there is room for it.
    ///
    /// # Errors
    /// [`MailboxError::Closed`].
    pub async fn send(&self, message: DispatcherMessage) -> Result<(), MailboxError> {
        self.queue_of(&message).send(message).await.map_err(|_| MailboxError::Closed)
    }

    /// Sends a message if there is room for it.
    ///
    /// # Errors
    /// [`MailboxError`].
    pub fn try_send(&self, message: DispatcherMessage) -> Result<(), MailboxError> {
        self.queue_of(&message).try_send(message).map_err(|error| match error {
            TrySendError::Full(_) => MailboxError::Full,
            TrySendError::Closed(_) => MailboxError::Closed,
        })
    }

    /// Returns whether there is no room for requests.
    pub fn is_full_for_requests(&self) -> bool {
        self.requests.is_full()
    }

    fn queue_of(&self, message: &DispatcherMessage) -> &Sender<DispatcherMessage> {
        match Queue::of(message) {
            Queue::Requests => &self.requests,
            Queue::Control => &self.control,
        }
    }
}

/// The dispatcher's end of its mailbox.
#[derive(Debug)]
pub struct DispatcherInbox {
    requests: Receiver<DispatcherMessage>,
    control: Receiver<DispatcherMessage>,
    control_in_a_row: usize,
}

impl DispatcherInbox {
    /// Returns the next message, once there is one; `None` if all senders are gone.
    pub async fn next(&mut self) -> Option<DispatcherMessage> {
        if let Some(message) = self.take_waiting() {
            return Some(message);
        }
        or(receive(&self.control, &self.requests), receive(&self.requests, &self.control)).await
    }

    /// Returns the next message of those that wait.
    pub fn take_waiting(&mut self) -> Option<DispatcherMessage> {
        if self.control_in_a_row < MAX_CONTROL_IN_A_ROW {
            if let Ok(message) = self.control.try_recv() {
                self.control_in_a_row += 1;
                return Some(message);
            }
        }
        self.control_in_a_row = 0;
        self.requests.try_recv().or_else(|_| self.control.try_recv()).ok()
    }
}

/// Returns the next message of a queue, and once that is closed of the other one.
async fn receive(
    queue: &Receiver<DispatcherMessage>,
    other: &Receiver<DispatcherMessage>,
) -> Option<DispatcherMessage> {
    match queue.recv().await {
        Ok(message) => Some(message),
        Err(_) => other.recv().await.ok(),
    }
}
