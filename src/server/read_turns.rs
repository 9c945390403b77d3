//! Read turns of client connections. A connection gets one turn in each pass of the event loop, so that a
//! client that sends more gets no more reads, and decisions, timers and responses wait for at most one turn
//! of each connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// FIFO queue of the readers that wait for their turn.
#[derive(Default)]
pub struct ReadTurns {
    waiting: RefCell<VecDeque<Rc<WaitingReader>>>,
}

/// A reader in the queue.
#[derive(Default)]
struct WaitingReader {
    is_granted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl WaitingReader {
    /// Returns whether the [`ReadTurn`] was dropped, which leaves the queue as the only owner of the reader.
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
    /// Enqueues the caller and returns a future that completes when its turn is granted.
    pub fn next(&self) -> ReadTurn {
        let reader = Rc::new(WaitingReader::default());
        self.waiting.borrow_mut().push_back(reader.clone());
        ReadTurn { reader }
    }

    /// Grants up to `turns` turns, to the readers that have waited longest, and returns the number granted.
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

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }
}

/// A future that completes when the reader's turn is granted.
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
