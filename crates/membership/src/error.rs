//! Errors of the membership.

use std::net::SocketAddrV4;

/// An operation that the SWIM state machine refused.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// A member could not be asked to take this one in.
    #[error("membership: joining at {address}: {source}")]
    Join {
        /// The member's address.
        address: SocketAddrV4,
        /// The state machine's error.
        source: foca::Error,
    },
    /// Members known from elsewhere could not be added.
    #[error("membership: adding known members: {source}")]
    Learn {
        /// The state machine's error.
        source: foca::Error,
    },
    /// The others could not be told that this member leaves.
    #[error("membership: leaving: {source}")]
    Leave {
        /// The state machine's error.
        source: foca::Error,
    },
}
