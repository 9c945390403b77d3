//! A subscriber as a future: its connection, its timer, its state on disk, and whoever puts updates in force.

use crate::client::{ClientSettings, Judge, Update};
use crate::resource::{Digest, Position};
use slog::Logger;
use std::io;
use std::sync::Arc;

/// Whether an update is in force when [`Observer::in_force`] returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// It is.
    Now,
    /// It will be once [`SubscriberHandle::applied`] is called with its position.
    Later,
}

/// Puts updates in force.
pub trait Observer: Send {
    /// The next update, in order; called on the subscriber's executor, so it must not wait.
    fn in_force(&mut self, update: &Update) -> Confirmation;
}

/// Tables that subscribers of one process share when they are equal, so that thousands cost the memory of one.
#[derive(Clone, Default)]
pub struct SharedTables {
    _private: Arc<()>,
}

/// What a subscriber is at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// The position that is confirmed in force.
    pub in_force: Position,
    /// The position of its mirror of the publisher's table.
    pub mirrored: Position,
    /// The digest of the mirror.
    pub digest: Digest,
    /// The server that it is connected to.
    pub server: Option<Arc<str>>,
    /// Connections made.
    pub connections: u64,
    /// Snapshots applied.
    pub snapshots: u64,
    /// Deltas that did not fit, so that it fetched the differences.
    pub resyncs: u64,
    /// Connections closed for a bad frame.
    pub bad_frames: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

/// A subscriber that is not yet running: [`SubscriberTask::run`] is its future.
pub struct SubscriberTask {
    _private: (),
}

/// The way to a subscriber from any thread. When all of its clones are dropped, the task ends.
#[derive(Clone)]
pub struct SubscriberHandle {
    _private: (),
}

impl SubscriberTask {
    /// Reads the state on disk, if settings name a directory. The first update then stands for all of it.
    ///
    /// # Errors
    /// If the settings are not right or the state's store can't be opened at all.
    pub fn new(
        _settings: ClientSettings,
        _judge: Box<dyn Judge>,
        _observer: Box<dyn Observer>,
        _tables: Option<SharedTables>,
        _log: Logger,
    ) -> io::Result<(SubscriberTask, SubscriberHandle)> {
        todo!("the task is written in the next commits")
    }

    /// Follows until all handles are dropped.
    pub async fn run(self) {
        todo!("the task is written in the next commits")
    }
}

impl SubscriberHandle {
    /// That update, and all before it, are in force. Never blocks.
    pub fn applied(&self, _position: Position) {
        todo!("the task is written in the next commits")
    }

    /// How long ago it last knew that it had all there is, ms; none before the first time.
    pub fn age_ms(&self) -> Option<u64> {
        todo!("the task is written in the next commits")
    }

    /// What it is at.
    pub fn status(&self) -> SubscriberStatus {
        todo!("the task is written in the next commits")
    }
}
