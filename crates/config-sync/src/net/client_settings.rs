//! How a subscriber is set up.

use crate::message::Member;
use crate::server::Server;
use std::path::PathBuf;

/// How a subscriber is set up.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Who it is; [`crate::message::Role::Subscriber`].
    pub member: Member,
    /// Whom it may watch: its zone's first, then its region's, then any.
    pub servers: Vec<Server>,
    /// The fleet's key for the tags of frames, 16 to 1,024 bytes.
    pub fleet_key: Vec<u8>,
    /// Where the last good state is kept; without one, a restart begins with nothing.
    pub state_directory: Option<PathBuf>,
    /// Seed of the jitter.
    pub seed: u64,
}
