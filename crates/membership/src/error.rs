//! Errors of the membership.

use std::net::SocketAddrV4;

/// An operation that the SWIM state machine rejected.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// The join request to a seed member failed.
    #[error("membership: joining at {address}: {source}")]
    Join {
        /// Address of the seed member.
        address: SocketAddrV4,
        /// The state machine's error.
        source: foca::Error,
    },
    /// Members known from another source could not be added.
    #[error("membership: adding known members: {source}")]
    Learn {
        /// The state machine's error.
        source: foca::Error,
    },
    /// The announcement that this member leaves failed.
    #[error("membership: leaving: {source}")]
    Leave {
        /// The state machine's error.
        source: foca::Error,
    },
}
