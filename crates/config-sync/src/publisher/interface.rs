//! Settings, actions and errors of the publisher.

use crate::fanout::{FanoutAction, FanoutSettings};
use crate::resource::{Digest, Invalid, Position, Transaction};
use std::collections::HashSet;
use std::sync::Arc;

/// Settings and bounds of a publisher.
#[derive(Clone, Debug)]
pub struct PublisherSettings {
    /// Classes that every round server knows without a distributed limit.
    pub known_classes: HashSet<Arc<str>>,
    /// Maximum number of proposals that are not yet durable.
    pub max_under_way: usize,
    /// Maximum number of resources in the table.
    pub max_resources: usize,
    /// Maximum size of one bucket, in bytes, since a bucket is always sent in one piece. Only names chosen to
    /// collide in one bucket reach it.
    pub max_bucket_bytes: usize,
    /// Settings of the sessions.
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

/// Actions requested by a publisher.
#[derive(Clone, Debug)]
pub enum PublisherAction {
    /// Make this durable after all earlier ones, then call [`super::Publisher::on_durable`].
    Persist {
        /// The transaction.
        transaction: Arc<Transaction>,
    },
    /// An action for the owner of the sockets.
    Fanout(FanoutAction),
}

/// Reason why a proposal was refused. The state is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The changes are invalid.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// A class that routes lead to can't lose its limit.
    #[error("class `{class}` can't be deleted: {routes} routes lead to it")]
    ClassInUse {
        /// The class.
        class: Arc<str>,
        /// Number of routes that would still lead to the class.
        routes: u64,
    },
    /// The changes have no effect on the table.
    #[error("the changes have no effect")]
    NoChange,
    /// The changes don't fit into one message.
    #[error(
        "changes of {0} bytes in a transaction, at most {max} allowed",
        max = crate::size::MAX_TRANSACTION_BYTES
    )]
    TooLarge(usize),
    /// The table would be too large.
    #[error("the table would hold {found} resources, at most {max} allowed")]
    TableFull {
        /// Number of resources that the table would hold.
        found: usize,
        /// Allowed maximum.
        max: usize,
    },
    /// A bucket would not fit into a piece.
    #[error("bucket {bucket} would hold {bytes} bytes, at most {max} allowed")]
    BucketFull {
        /// The bucket.
        bucket: u16,
        /// Size of the bucket, in bytes.
        bytes: usize,
        /// Allowed maximum, in bytes.
        max: usize,
    },
    /// Too many earlier proposals are not durable yet; the proposer can retry.
    #[error("{0} proposals are not durable yet, which is the limit")]
    TooManyUnderWay(usize),
    /// The store failed, and its last durable position is not known yet.
    #[error("the store failed; no changes are accepted until it is resumed")]
    Halted,
    /// The last revision of the epoch is used.
    #[error("the revisions of this epoch are used up")]
    EpochOver,
}

/// Reason why a publisher can't start from its store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// A stored transaction does not follow the previous one: there is a gap, or it is in another epoch.
    #[error("stored transaction {found:?} does not follow {head:?}")]
    DoesNotFollow {
        /// Position before the transaction.
        head: Position,
        /// Position of the transaction.
        found: Position,
    },
    /// The digest of the table after a stored transaction differs from the published one.
    #[error("the table after stored transaction {position:?} has digest {found:?}, expected {wanted:?}")]
    Digest {
        /// Position of the transaction.
        position: Position,
        /// Computed digest.
        found: Digest,
        /// Digest stored with the transaction.
        wanted: Digest,
    },
}

/// Error: [`super::Publisher::resume`] was called with a position at which the store can't end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the store can't end at {claimed:?}: the head is {head:?} and the last proposal {last:?}")]
pub struct ResumeError {
    /// Position passed to `resume`.
    pub claimed: Position,
    /// Head of the publisher, which may have been sent to clients.
    pub head: Position,
    /// Position of the last proposal passed to the store.
    pub last: Position,
}
