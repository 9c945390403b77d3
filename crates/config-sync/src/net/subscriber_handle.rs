//! Access to a running subscriber from other threads.

use super::clock::Clock;
use super::link::Traffic;
use crate::resource::{Digest, Millis, Position};
use crate::subscriber::Subscriber;
use async_channel::{Receiver, Sender};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Value that stands for "never" in the place of a time.
const NEVER: i64 = i64::MAX;

/// Status and counters of a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// Position that is confirmed to be in force.
    pub in_force: Position,
    /// Position of the subscriber's mirror of the publisher's table.
    pub mirrored: Position,
    /// Digest of the mirror.
    pub digest: Digest,
    /// Number of resources in the mirror.
    pub resources: usize,
    /// Number of keys that are held back because their newest changes were refused.
    pub held_back: usize,
    /// Whether the subscriber accepts no changes because they can't be held back key by key.
    pub stopped: bool,
    /// Name of the server that the subscriber follows or connects to.
    pub server: Option<Arc<str>>,
    /// Number of connections established.
    pub connections: u64,
    /// Number of snapshots applied.
    pub snapshots: u64,
    /// Number of snapshots requested.
    pub resyncs: u64,
    /// Number of connections closed because of a bad frame.
    pub bad_frames: u64,
    /// Number of bytes received.
    pub bytes_in: u64,
    /// Number of bytes sent.
    pub bytes_out: u64,
    /// Number of frames received and sent.
    pub frames: u64,
}

/// State that the task and its handles share.
pub(super) struct Shared {
    clock: Clock,
    status: Mutex<SubscriberStatus>,
    /// Time at which the subscriber last knew that it was up to date with the publisher, or [`NEVER`]. The
    /// time is negative, that is, before the clock was started, if servers reported so.
    at_head_at: AtomicI64,
    confirmed: Mutex<Position>,
    /// Wakes the task; closed when the last handle is dropped.
    wake: Sender<()>,
}

impl Shared {
    /// Creates the shared state, and the receiver on which the task is woken.
    pub(super) fn new(clock: Clock) -> (Arc<Shared>, Receiver<()>) {
        let (wake, wakes) = async_channel::bounded(1);
        let shared = Shared {
            clock,
            status: Mutex::default(),
            at_head_at: AtomicI64::new(NEVER),
            confirmed: Mutex::default(),
            wake,
        };
        (Arc::new(shared), wakes)
    }

    fn status(&self) -> MutexGuard<'_, SubscriberStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the status.
    pub(super) fn update(&self, change: impl FnOnce(&mut SubscriberStatus)) {
        change(&mut self.status());
    }

    /// Returns the last position that was confirmed through a handle.
    pub(super) fn confirmed(&self) -> Position {
        *self.confirmed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the status and the age that the handles return.
    pub(super) fn publish(&self, now: Millis, subscriber: &Subscriber, traffic: Traffic) {
        let at_head_at = subscriber.age_ms(now).map_or(NEVER, |age| now as i64 - age as i64);
        self.at_head_at.store(at_head_at, Ordering::Relaxed);
        let (follower, counters) = (subscriber.follower(), subscriber.follower().counters());
        let mut status = self.status();
        status.in_force = subscriber.applied();
        status.mirrored = follower.position();
        status.digest = follower.table().digest();
        status.resources = follower.table().len();
        status.held_back = subscriber.held_back();
        status.stopped = subscriber.is_stopped();
        (status.snapshots, status.resyncs) = (counters.snapshots, counters.resyncs);
        (status.bytes_in, status.bytes_out) = (traffic.bytes_in, traffic.bytes_out);
        status.frames = traffic.frames;
    }
}

/// Ends the task when the last handle is dropped.
struct EndWhenDropped(Arc<Shared>);

impl Drop for EndWhenDropped {
    fn drop(&mut self) {
        self.0.wake.close();
    }
}

/// A handle to a subscriber, usable from any thread. The task ends when all clones of the handle are dropped.
#[derive(Clone)]
pub struct SubscriberHandle {
    shared: Arc<EndWhenDropped>,
}

impl SubscriberHandle {
    pub(super) fn new(shared: Arc<Shared>) -> SubscriberHandle {
        SubscriberHandle { shared: Arc::new(EndWhenDropped(shared)) }
    }

    /// Confirms that the update at `position` and all before it are in force. Blocks only for a lock that is
    /// held while a few words are copied.
    pub fn applied(&self, position: Position) {
        let shared = &self.shared.0;
        let mut confirmed = shared.confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        *confirmed = position.max(*confirmed);
        drop(confirmed);
        // If a wakeup is already pending, the task will read this position as well.
        let _ = shared.wake.try_send(());
    }

    /// Returns the time since the subscriber last knew that it was up to date with the publisher, ms; none if
    /// it never was.
    pub fn age_ms(&self) -> Option<u64> {
        let shared = &self.shared.0;
        let at_head_at = shared.at_head_at.load(Ordering::Relaxed);
        let now = shared.clock.now() as i64;
        (at_head_at != NEVER).then(|| now.saturating_sub(at_head_at).max(0) as u64)
    }

    /// Returns the subscriber's status.
    pub fn status(&self) -> SubscriberStatus {
        self.shared.0.status().clone()
    }
}
