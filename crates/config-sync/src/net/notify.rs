//! A notification for one waiting task on the same thread.

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
    /// Sets the flag and wakes the waiting task.
    pub(super) fn notify(&self) {
        self.set.set(true);
        if let Some(waker) = self.waiter.take() {
            waker.wake();
        }
    }

    /// Waits until the flag is set, and clears it. The future may be dropped and the method called again.
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
