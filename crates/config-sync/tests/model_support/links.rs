//! A client's connection: the messages sent in each direction and how many of them have arrived.

use dunlinspread_config_sync::fanout::SessionId;
use dunlinspread_config_sync::message::{ToClient, ToServer};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// A server that clients can watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Server {
    Publisher,
    Relay,
}

/// A message to the server.
#[derive(Clone, Debug)]
pub enum Up {
    /// The connection attempt, accepted when it arrives.
    Attempt,
    Message(ToServer),
}

/// A message to the client.
#[derive(Clone, Debug)]
pub enum Down {
    Message(Arc<ToClient>),
    Closed,
}

/// The messages of one direction.
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

    /// Delivers and returns the next message.
    pub fn take(&mut self) -> Option<T> {
        let message = self.sent.get(self.arrived)?.clone();
        self.arrived += 1;
        Some(message)
    }
}

/// A connection, starting with the connection attempt.
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

    /// Returns a hash of all messages and of how many have arrived. The session state of both ends follows
    /// from these.
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

/// Hashes a message to the client. A heartbeat's age is left out: it depends on the clock and affects nothing
/// in the model.
fn hash_down(message: &Down, hasher: &mut DefaultHasher) {
    match message {
        Down::Message(message) => match &**message {
            ToClient::Heartbeat { head, .. } => (2_u8, head).hash(hasher),
            message => message.hash(hasher),
        },
        Down::Closed => u8::MAX.hash(hasher),
    }
}

/// Hashes a message to the server. Bucket digests are left out: they follow from the client's table, which
/// does not change until they are answered.
fn hash_up(message: &Up, hasher: &mut DefaultHasher) {
    match message {
        Up::Attempt => 0_u8.hash(hasher),
        Up::Message(ToServer::FetchDifferences { bucket_digests }) => {
            (1_u8, bucket_digests.len()).hash(hasher)
        }
        Up::Message(message) => message.hash(hasher),
    }
}
