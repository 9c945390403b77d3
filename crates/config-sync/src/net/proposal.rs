//! A proposal of changes on its way through the publisher: who waits for it, and why it may fail.

use crate::publisher::ProposeError;
use crate::resource::Position;
use async_channel::{Receiver, Sender};

/// Who waits for a proposal.
pub(super) type Reply = Sender<Result<Position, ProposeFailure>>;

/// Why a proposal is not published.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeFailure {
    /// The publisher refused it; nothing was written or told.
    #[error(transparent)]
    Refused(#[from] ProposeError),
    /// It could not be made durable, and nobody was told. After a failure of the disk, other than a full one, it may be
    /// there when the publisher is opened again.
    #[error("the store failed: {0}")]
    NotDurable(String),
    /// The publisher has ended.
    #[error("the publisher has ended")]
    Ended,
}

/// A proposal under way.
pub struct Pending {
    answer: Receiver<Result<Position, ProposeFailure>>,
}

impl Pending {
    pub(super) fn new(answer: Receiver<Result<Position, ProposeFailure>>) -> Pending {
        Pending { answer }
    }

    /// Waits until it is durable (and so on its way to all), or failed.
    ///
    /// # Errors
    /// Why it is not published.
    pub fn wait(self) -> Result<Position, ProposeFailure> {
        self.answer.recv_blocking().unwrap_or(Err(ProposeFailure::Ended))
    }

    /// The same for a task.
    ///
    /// # Errors
    /// Why it is not published.
    pub async fn done(self) -> Result<Position, ProposeFailure> {
        self.answer.recv().await.unwrap_or(Err(ProposeFailure::Ended))
    }
}
