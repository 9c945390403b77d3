//! Wakes one waiting task of the same thread.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// A flag that one task waits for.
#[derive(Default)]
pub(super) struct LocalNotify {
    set: Cell<bool>,
    waiter: RefCell<Option<Waker>>,
}

impl LocalNotify {
    /// Sets the flag and wakes the task.
    pub(super) fn notify(&self) {
        self.set.set(true);
        if let Some(waker) = self.waiter.take() {
            waker.wake();
        }
    }

    /// Waits until the flag is set, and clears it. May be dropped and called again.
    pub(super) async fn wait(&self) {
        poll_fn(|context| {
            if self.set.replace(false) {
                return Poll::Ready(());
            }
            self.waiter.replace(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}
