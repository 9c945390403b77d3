//! Mailbox of the dispatcher, which has two queues.
//!
//! The request queue contains requests and all messages that result from them. The control queue contains
//! messages from other processes of this server, from operators and about a shutdown, which must not wait
//! behind requests.
//!
//! # Invariants
//! - Messages of one queue are received in the order in which they were sent.
//! - A message in the request queue waits for a bounded number of control messages.

use super::dispatcher::DispatcherMessage;
use async_channel::{Receiver, Sender, TrySendError, bounded};
use futures_lite::future::or;
use thiserror::Error;

/// Maximum number of consecutive control messages that are received while a message waits in the request
/// queue.
const MAX_CONSECUTIVE_CONTROL: usize = 4;

/// Reason why a message was not sent to the dispatcher.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MailboxError {
    /// The message's queue is full.
    #[error("the dispatcher's mailbox is full")]
    Full,
    /// The dispatcher has ended.
    #[error("the dispatcher has ended")]
    Closed,
}

/// A queue of the mailbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    /// Requests, and messages that result from them or must follow them.
    Requests,
    /// Messages that control the process. The other side of a handover waits for their effect with a time
    /// limit.
    Control,
}

impl Queue {
    /// Returns the queue for a message.
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

/// Returns a mailbox with room for `capacity` messages in each of its queues.
pub fn dispatcher_mailbox(capacity: usize) -> (DispatcherSender, DispatcherInbox) {
    let (requests, requests_receiver) = bounded(capacity);
    let (control, control_receiver) = bounded(capacity);
    let inbox =
        DispatcherInbox { requests: requests_receiver, control: control_receiver, consecutive_control: 0 };
    (DispatcherSender { requests, control }, inbox)
}

/// The sending end of the dispatcher's mailbox.
#[derive(Clone, Debug)]
pub struct DispatcherSender {
    requests: Sender<DispatcherMessage>,
    control: Sender<DispatcherMessage>,
}

impl DispatcherSender {
    /// Sends a message, and waits for room in its queue if necessary.
    ///
    /// # Errors
    /// Returns [`MailboxError::Closed`] if the dispatcher has ended.
    pub async fn send(&self, message: DispatcherMessage) -> Result<(), MailboxError> {
        self.queue_of(&message).send(message).await.map_err(|_| MailboxError::Closed)
    }

    /// Sends a message if its queue has room.
    ///
    /// # Errors
    /// Returns [`MailboxError::Full`] if the queue is full, and [`MailboxError::Closed`] if the dispatcher
    /// has ended.
    pub fn try_send(&self, message: DispatcherMessage) -> Result<(), MailboxError> {
        self.queue_of(&message).try_send(message).map_err(|error| match error {
            TrySendError::Full(_) => MailboxError::Full,
            TrySendError::Closed(_) => MailboxError::Closed,
        })
    }

    /// Returns whether the request queue is full.
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

/// The receiving end of the dispatcher's mailbox.
#[derive(Debug)]
pub struct DispatcherInbox {
    requests: Receiver<DispatcherMessage>,
    control: Receiver<DispatcherMessage>,
    consecutive_control: usize,
}

impl DispatcherInbox {
    /// Waits for the next message and returns it; `None` if all senders are dropped.
    pub async fn next(&mut self) -> Option<DispatcherMessage> {
        if let Some(message) = self.take_waiting() {
            return Some(message);
        }
        or(receive(&self.control, &self.requests), receive(&self.requests, &self.control)).await
    }

    /// Returns the next message if one is waiting.
    pub fn take_waiting(&mut self) -> Option<DispatcherMessage> {
        if self.consecutive_control < MAX_CONSECUTIVE_CONTROL {
            if let Ok(message) = self.control.try_recv() {
                self.consecutive_control += 1;
                return Some(message);
            }
        }
        self.consecutive_control = 0;
        self.requests.try_recv().or_else(|_| self.control.try_recv()).ok()
    }
}

/// Waits for the next message of `queue`, or of `other` once `queue` is closed, and returns it.
async fn receive(
    queue: &Receiver<DispatcherMessage>,
    other: &Receiver<DispatcherMessage>,
) -> Option<DispatcherMessage> {
    match queue.recv().await {
        Ok(message) => Some(message),
        Err(_) => other.recv().await.ok(),
    }
}
