//! Membership among round servers: who is alive, suspect or down, by SWIM (the `foca` state machine), driven by the
//! caller's clock and sockets.
//!
//! [`Membership`] does no I/O and reads no clock. The caller hands in datagrams as they arrive and the time of a
//! monotonic clock in ms; it takes out datagrams to send, the time of the next timer, and [`ViewChange`]s. Every datagram
//! carries an HMAC-SHA256 tag under the fleet's key; one without a valid tag is dropped and counted, so bytes from
//! outside can neither forge a member nor declare one down.
//!
//! A member is an address and a start ([`MemberId`]): the same address with a later start is a new member, and the old
//! one is gone for good.
//!
//! # Invariants
//! Memory is bounded by `max_members` for members and by a multiple of it for timers.
#![forbid(unsafe_code)]

mod counters;
mod datagram_auth;
mod error;
mod member;
mod membership;
mod settings;
mod timers;

pub use counters::Counters;
pub use datagram_auth::TAG_BYTES;
pub use error::MembershipError;
pub use member::{MemberId, MemberState, ViewChange};
pub use membership::Membership;
pub use settings::{Millis, Settings, SettingsError};
