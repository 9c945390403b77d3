//! A queue of updates for an owner that receives them at its own pace. Updates stay in order; past a limit
//! they are merged, so that an owner that receives none costs no more memory than the changed keys need.

use super::subscriber::{Confirmation, Observer};
use crate::resource::Key;
use crate::update::Update;
use async_channel::{Receiver, Sender, TrySendError};
use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of queued updates; further updates are merged into the last one.
const MAX_QUEUED_UPDATES: usize = 64;

type QueuedUpdates = Arc<Mutex<VecDeque<Update>>>;

/// The subscriber's end of the queue.
pub(crate) struct UpdateQueue {
    queued: QueuedUpdates,
    wake: Sender<()>,
}

/// Forwards queued updates to the owner's channel.
pub(crate) struct Forwarder {
    queued: QueuedUpdates,
    wakes: Receiver<()>,
    updates: Sender<Update>,
}

/// Creates a queue in front of a channel.
pub(crate) fn update_queue(updates: Sender<Update>) -> (UpdateQueue, Forwarder) {
    let queued = QueuedUpdates::default();
    let (wake, wakes) = async_channel::bounded(1);
    (UpdateQueue { queued: queued.clone(), wake }, Forwarder { queued, wakes, updates })
}

fn lock(queued: &QueuedUpdates) -> MutexGuard<'_, VecDeque<Update>> {
    queued.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Observer for UpdateQueue {
    fn in_force(&mut self, update: Update) -> Confirmation {
        let mut queued = lock(&self.queued);
        let full = queued.len() >= MAX_QUEUED_UPDATES;
        match queued.back_mut() {
            Some(last) if full => merge(last, update),
            _ => queued.push_back(update),
        }
        drop(queued);
        // If a wakeup is already pending, the forwarder will find this update as well.
        let _ = self.wake.try_send(());
        Confirmation::Later
    }
}

/// Merges a later update into an earlier one. Where both change a key, the later change wins.
fn merge(earlier: &mut Update, later: Update) {
    let keys: HashSet<Key> = later.changes.iter().map(|change| change.key()).collect();
    earlier.changes.retain(|change| !keys.contains(&change.key()));
    earlier.changes.extend(later.changes);
    earlier.position = later.position;
    earlier.published_unix_ms = later.published_unix_ms;
}

impl Forwarder {
    /// Sends queued updates until the channel is full. Doesn't wait.
    pub(crate) fn forward_what_fits(&mut self) {
        let mut queued = lock(&self.queued);
        while let Some(update) = queued.pop_front() {
            match self.updates.try_send(update) {
                Ok(()) => {}
                Err(TrySendError::Full(update) | TrySendError::Closed(update)) => {
                    queued.push_front(update);
                    return;
                }
            }
        }
    }

    /// Sends updates until the owner drops its receiver or the queue's other end is dropped.
    pub(crate) async fn run(self) {
        loop {
            let next = lock(&self.queued).pop_front();
            let sent = match next {
                Some(update) => self.updates.send(update).await.is_ok(),
                None => self.wakes.recv().await.is_ok(),
            };
            if !sent {
                return;
            }
        }
    }
}
