//! Settings of a subscriber.

use crate::message::Member;
use crate::server::Server;
use std::path::PathBuf;

/// Settings of a subscriber.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Identity of the subscriber; its role is [`crate::message::Role::Subscriber`].
    pub member: Member,
    /// Servers that the subscriber may connect to. It prefers servers of its zone, then of its region, then
    /// any other.
    pub servers: Vec<Server>,
    /// Fleet key that authenticates frames by their tags, 16 to 1,024 bytes.
    pub fleet_key: Vec<u8>,
    /// Directory in which the last good state is stored. Without one, a restart begins without any state.
    pub state_directory: Option<PathBuf>,
    /// Seed of the random jitter.
    pub seed: u64,
}
