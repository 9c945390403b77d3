//! What the publisher is set up with, what it answers and what it wants done.

use crate::fanout::{FanoutAction, FanoutSettings};
use crate::resource::{Digest, Invalid, Position, Transaction};
use std::collections::HashSet;
use std::sync::Arc;

/// How a publisher is set up, and what bounds it.
#[derive(Clone, Debug)]
pub struct PublisherSettings {
    /// Classes that every round server knows without a limit from here.
    pub known_classes: HashSet<Arc<str>>,
    /// The most proposals that are not yet durable.
    pub max_under_way: usize,
    /// The most resources in the table.
    pub max_resources: usize,
    /// The most bytes of one bucket, which is always sent in one piece. Only names chosen to meet in one bucket get there.
    pub max_bucket_bytes: usize,
    /// The sessions.
    pub fanout: FanoutSettings,
}

impl Default for PublisherSettings {
    fn default() -> PublisherSettings {
        PublisherSettings {
            known_classes: HashSet::new(),
            max_under_way: 256,
            max_resources: 1_000_000,
            max_bucket_bytes: 192 * 1024,
            fanout: FanoutSettings::default(),
        }
    }
}

/// What a publisher wants done.
#[derive(Clone, Debug)]
pub enum PublisherAction {
    /// Make this durable after all earlier ones, then call [`super::Publisher::on_durable`].
    Persist {
        /// The transaction.
        transaction: Arc<Transaction>,
    },
    /// For the owner of the sockets.
    Fanout(FanoutAction),
}

/// Why a proposal was refused. Nothing of it is kept.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The changes are faulty.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// A class that routes lead to can't lose its limit.
    #[error("class `{class}` can't be deleted: {routes} routes lead to it")]
    ClassInUse {
        /// The class.
        class: Arc<str>,
        /// The routes that would still lead to it.
        routes: u64,
    },
    /// Everything is so already.
    #[error("the changes change nothing")]
    NoChange,
    /// The changes don't fit into one message.
    #[error("changes of {0} bytes in one transaction, wanted {max} at most", max = crate::size::MAX_TRANSACTION_BYTES)]
    TooLarge(usize),
    /// The table would be too large.
    #[error("{found} resources, wanted {max} at most")]
    TableFull {
        /// What it would hold.
        found: usize,
        /// The bound.
        max: usize,
    },
    /// A bucket would not fit into a piece.
    #[error("bucket {bucket} would hold {bytes} bytes, wanted {max} at most")]
    BucketFull {
        /// The bucket.
        bucket: u16,
        /// What it would hold.
        bytes: usize,
        /// The bound.
        max: usize,
    },
    /// Earlier proposals are not durable yet; try again.
    #[error("{0} proposals are not durable yet, which is as many as may be")]
    TooManyUnderWay(usize),
    /// The store failed, and nobody has said yet what it holds.
    #[error("the store failed; no change is taken until it is resumed")]
    Halted,
    /// The last revision of the epoch.
    #[error("the revisions of this epoch are used up")]
    EpochOver,
}

/// Why a publisher can't start from what was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// A gap, or another epoch.
    #[error("stored transaction {found:?} does not follow {head:?}")]
    DoesNotFollow {
        /// What went before.
        head: Position,
        /// The transaction.
        found: Position,
    },
    /// The table after a transaction is not the one that was published.
    #[error("the table after stored transaction {position:?} has digest {found:?}, wanted {wanted:?}")]
    Digest {
        /// The transaction.
        position: Position,
        /// What was computed.
        found: Digest,
        /// What the transaction says.
        wanted: Digest,
    },
}

/// [`super::Publisher::resume`] was told a position that the store can't hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the store is said to end at {said:?}, but the head is {head:?} and the last proposal {last:?}")]
pub struct ResumeError {
    /// What was said.
    pub said: Position,
    /// What everyone was told.
    pub head: Position,
    /// The last that was given to the store.
    pub last: Position,
}
