//! The way to a running subscriber from other threads.

use super::clock::Clock;
use super::link::Traffic;
use crate::resource::{Digest, Millis, Position};
use crate::subscriber::Subscriber;
use async_channel::{Receiver, Sender};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What stands for "never" where a time is expected.
const NEVER: i64 = i64::MAX;

/// What a subscriber is at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// The position that is confirmed in force.
    pub in_force: Position,
    /// The position of its mirror of the publisher's table.
    pub mirrored: Position,
    /// The digest of the mirror.
    pub digest: Digest,
    /// The resources in the mirror.
    pub resources: usize,
    /// The keys that are held back since their newest changes were refused.
    pub held_back: usize,
    /// Whether it takes no changes since they can't be held back key by key.
    pub stopped: bool,
    /// The server that it watches or connects to.
    pub server: Option<Arc<str>>,
    /// Connections made.
    pub connections: u64,
    /// Snapshots applied.
    pub snapshots: u64,
    /// Times that it asked for a snapshot.
    pub resyncs: u64,
    /// Connections closed for a bad frame.
    pub bad_frames: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Frames received and sent.
    pub frames: u64,
}

/// What the task and its handles share.
pub(super) struct Shared {
    clock: Clock,
    status: Mutex<SubscriberStatus>,
    /// When it last knew that it had all there is, or [`NEVER`]; before this clock's beginning if servers said so.
    at_head_at: AtomicI64,
    confirmed: Mutex<Position>,
    /// Closed when no handle is left.
    wake: Sender<()>,
}

impl Shared {
    /// With the task's end of the wakes.
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

    pub(super) fn update(&self, change: impl FnOnce(&mut SubscriberStatus)) {
        change(&mut self.status());
    }

    /// The last position that was confirmed through a handle.
    pub(super) fn confirmed(&self) -> Position {
        *self.confirmed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the handles how things stand.
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

/// Ends the task when the last handle goes.
struct EndWhenDropped(Arc<Shared>);

impl Drop for EndWhenDropped {
    fn drop(&mut self) {
        self.0.wake.close();
    }
}

/// The way to a subscriber from any thread. When all of its clones are dropped, the task ends.
#[derive(Clone)]
pub struct SubscriberHandle {
    shared: Arc<EndWhenDropped>,
}

impl SubscriberHandle {
    pub(super) fn new(shared: Arc<Shared>) -> SubscriberHandle {
        SubscriberHandle { shared: Arc::new(EndWhenDropped(shared)) }
    }

    /// That update, and all before it, are in force. Never waits for anything but the copying of a few words.
    pub fn applied(&self, position: Position) {
        let shared = &self.shared.0;
        let mut confirmed = shared.confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        *confirmed = position.max(*confirmed);
        drop(confirmed);
        // A wake that waits already will find this position as well.
        let _ = shared.wake.try_send(());
    }

    /// How long ago it last knew that it had all there is, ms; none before the first time.
    pub fn age_ms(&self) -> Option<u64> {
        let shared = &self.shared.0;
        let at_head_at = shared.at_head_at.load(Ordering::Relaxed);
        let now = shared.clock.now() as i64;
        (at_head_at != NEVER).then(|| now.saturating_sub(at_head_at).max(0) as u64)
    }

    /// What it is at.
    pub fn status(&self) -> SubscriberStatus {
        self.shared.0.status().clone()
    }
}
