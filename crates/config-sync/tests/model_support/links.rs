//! One connection of a client: what was sent on it in each direction, and how much of that has arrived.

use dunlinspread_config_sync::fanout::SessionId;
use dunlinspread_config_sync::message::{ToClient, ToServer};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// What can be watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Server {
    Publisher,
    Relay,
}

/// Towards the server.
#[derive(Clone, Debug)]
pub enum Up {
    /// The connection; accepted as soon as it arrives.
    Attempt,
    Message(ToServer),
}

/// Towards the client.
#[derive(Clone, Debug)]
pub enum Down {
    Message(Arc<ToClient>),
    Closed,
}

/// Messages in one direction.
#[derive(Debug)]
pub struct Lane<T> {
    sent: Vec<T>,
    arrived: usize,
}

impl<T: Clone> Lane<T> {
    fn new() -> Lane<T> {
        Lane { sent: Vec::new(), arrived: 0 }
    }

    pub fn push(&mut self, message: T) {
        self.sent.push(message);
    }

    pub fn is_waiting(&self) -> bool {
        self.arrived < self.sent.len()
    }

    /// The next message arrives.
    pub fn take(&mut self) -> Option<T> {
        let message = self.sent.get(self.arrived)?.clone();
        self.arrived += 1;
        Some(message)
    }
}

/// A connection, from the attempt on.
#[derive(Debug)]
pub struct Link {
    pub session: SessionId,
    pub server: Server,
    pub up: Lane<Up>,
    pub down: Lane<Down>,
}

impl Link {
    pub fn new(session: SessionId, server: Server) -> Link {
        let mut up = Lane::new();
        up.push(Up::Attempt);
        Link { session, server, up, down: Lane::new() }
    }

    pub fn is_quiet(&self) -> bool {
        !self.up.is_waiting() && !self.down.is_waiting()
    }

    /// All that was said on it and how far it has come: what both ends know of the session follows from it.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.server, self.up.arrived, self.down.arrived).hash(&mut hasher);
        for message in &self.up.sent {
            hash_up(message, &mut hasher);
        }
        for message in &self.down.sent {
            hash_down(message, &mut hasher);
        }
        hasher.finish()
    }
}

/// The age in a heartbeat is the clock's, and nothing is decided by it.
fn hash_down(message: &Down, hasher: &mut DefaultHasher) {
    match message {
        Down::Message(message) => match &**message {
            ToClient::Heartbeat { head, .. } => (2_u8, head).hash(hasher),
            message => message.hash(hasher),
        },
        Down::Closed => u8::MAX.hash(hasher),
    }
}

/// The bucket digests follow from the client's table, which does not change until they are answered.
fn hash_up(message: &Up, hasher: &mut DefaultHasher) {
    match message {
        Up::Attempt => 0_u8.hash(hasher),
        Up::Message(ToServer::FetchDifferences { bucket_digests }) => {
            (1_u8, bucket_digests.len()).hash(hasher)
        }
        Up::Message(message) => message.hash(hasher),
    }
}
