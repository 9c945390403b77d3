//! Updates on their way to an owner that takes them when it has time: in order, and past a bound merged, so that one
//! that takes none costs no more than the changed keys.

use super::subscriber::{Confirmation, Observer};
use crate::resource::Key;
use crate::update::Update;
use async_channel::{Receiver, Sender, TrySendError};
use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The most updates that wait; the last one takes in all further ones.
const MAX_WAITING: usize = 64;

type Waiting = Arc<Mutex<VecDeque<Update>>>;

/// The subscriber's end.
pub(crate) struct UpdateQueue {
    waiting: Waiting,
    wake: Sender<()>,
}

/// Hands the updates on.
pub(crate) struct Forwarder {
    waiting: Waiting,
    wakes: Receiver<()>,
    updates: Sender<Update>,
}

/// A queue in front of a channel.
pub(crate) fn update_queue(updates: Sender<Update>) -> (UpdateQueue, Forwarder) {
    let waiting = Waiting::default();
    let (wake, wakes) = async_channel::bounded(1);
    (UpdateQueue { waiting: waiting.clone(), wake }, Forwarder { waiting, wakes, updates })
}

fn lock(waiting: &Waiting) -> MutexGuard<'_, VecDeque<Update>> {
    waiting.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Observer for UpdateQueue {
    fn in_force(&mut self, update: Update) -> Confirmation {
        let mut waiting = lock(&self.waiting);
        let full = waiting.len() >= MAX_WAITING;
        match waiting.back_mut() {
            Some(last) if full => merge(last, update),
            _ => waiting.push_back(update),
        }
        drop(waiting);
        // A wake that waits already leads to this one as well.
        let _ = self.wake.try_send(());
        Confirmation::Later
    }
}

/// Adds the changes of a later update, which count where both change a key.
fn merge(earlier: &mut Update, later: Update) {
    let keys: HashSet<Key> = later.changes.iter().map(|change| change.key()).collect();
    earlier.changes.retain(|change| !keys.contains(&change.key()));
    earlier.changes.extend(later.changes);
    earlier.position = later.position;
    earlier.published_unix_ms = later.published_unix_ms;
}

impl Forwarder {
    /// Sends what the channel has room for.
    pub(crate) fn forward_what_fits(&mut self) {
        let mut waiting = lock(&self.waiting);
        while let Some(update) = waiting.pop_front() {
            match self.updates.try_send(update) {
                Ok(()) => {}
                Err(TrySendError::Full(update) | TrySendError::Closed(update)) => {
                    waiting.push_front(update);
                    return;
                }
            }
        }
    }

    /// Sends updates until the receiver is gone.
    pub(crate) async fn run(self) {
        loop {
            let next = lock(&self.waiting).pop_front();
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
