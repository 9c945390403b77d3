//! SWIM membership among round servers: tracks which members are alive, suspect or down. The protocol is
//! implemented by the `foca` state machine, driven by the caller's clock and sockets.
//!
//! [`Membership`] does no I/O and reads no clock. The caller passes in datagrams as they arrive and the time
//! of a monotonic clock in ms, and takes out datagrams to send, the time of the next timer, and
//! [`ViewChange`]s. Every datagram carries an HMAC-SHA256 tag under the fleet's key. A datagram without a
//! valid tag is dropped and counted, so a sender without the key can neither forge a member nor declare one
//! down.
//!
//! A member is identified by an address and a start ([`MemberId`]): the same address with a later start is a
//! new member, which replaces the old one permanently.
//!
//! # Invariants
//! The number of members is bounded by `max_members`, and the number of timers by a multiple of it.
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
