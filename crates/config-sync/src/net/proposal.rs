//! A proposal of changes that the publisher is processing: the channel for its result, and the reasons for a
//! failure.

use crate::publisher::ProposeError;
use crate::resource::Position;
use async_channel::{Receiver, Sender};

/// Channel on which the result of a proposal is sent to the caller that waits for it.
pub(super) type Reply = Sender<Result<Position, ProposeFailure>>;

/// Reason why a proposal is not published.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeFailure {
    /// The publisher refused the proposal; nothing was written or sent to clients.
    #[error(transparent)]
    Refused(#[from] ProposeError),
    /// The proposal could not be made durable and was not sent to clients. After a disk failure other than a
    /// full disk, the changes may be present when the publisher is opened again.
    #[error("the store failed: {0}")]
    NotDurable(String),
    /// The publisher has stopped.
    #[error("the publisher has stopped")]
    Ended,
}

/// A proposal whose result is not known yet.
pub struct Pending {
    answer: Receiver<Result<Position, ProposeFailure>>,
}

impl Pending {
    pub(super) fn new(answer: Receiver<Result<Position, ProposeFailure>>) -> Pending {
        Pending { answer }
    }

    /// Blocks until the proposal is durable (and is being sent to all clients) or has failed.
    ///
    /// # Errors
    /// Returns a [`ProposeFailure`] if the proposal is not published.
    pub fn wait(self) -> Result<Position, ProposeFailure> {
        self.answer.recv_blocking().unwrap_or(Err(ProposeFailure::Ended))
    }

    /// Waits like [`Pending::wait`], but without blocking the thread.
    ///
    /// # Errors
    /// Returns a [`ProposeFailure`] if the proposal is not published.
    pub async fn done(self) -> Result<Position, ProposeFailure> {
        self.answer.recv().await.unwrap_or(Err(ProposeFailure::Ended))
    }
}
