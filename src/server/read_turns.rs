//! The turns in which the bytes of clients are read: in each pass of the event loop one for each connection, so that nobody
//! reads more by sending more, and decisions, timers and responses wait for no more than that.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// The readers that wait for their turn, in the order in which they came.
#[derive(Default)]
pub struct ReadTurns {
    waiting: RefCell<VecDeque<Rc<WaitingReader>>>,
}

/// A reader that waits.
#[derive(Default)]
struct WaitingReader {
    is_granted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl WaitingReader {
    /// Returns whether the wait was dropped, so that the queue alone holds it.
    fn is_abandoned(self: &Rc<Self>) -> bool {
        Rc::strong_count(self) == 1
    }

    fn grant(&self) {
        self.is_granted.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

impl ReadTurns {
    /// Returns a future that completes when it is the caller's turn.
    pub fn next(&self) -> ReadTurn {
        let reader = Rc::new(WaitingReader::default());
        self.waiting.borrow_mut().push_back(reader.clone());
        ReadTurn { reader }
    }

    /// Gives a turn to the readers that have waited longest, so many at most, and returns their number.
    pub fn grant(&self, turns: usize) -> usize {
        let mut granted = 0;
        while granted < turns {
            let Some(reader) = self.waiting.borrow_mut().pop_front() else { break };
            if !reader.is_abandoned() {
                reader.grant();
                granted += 1;
            }
        }
        granted
    }

    /// Returns whether no reader waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }
}

/// A future that completes when it is the reader's turn.
pub struct ReadTurn {
    reader: Rc<WaitingReader>,
}

impl Future for ReadTurn {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.reader.is_granted.get() {
            return Poll::Ready(());
        }
        *self.reader.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}
