//! The sessions of a node under the ids of its state machine, with the send queue of each and how the session
//! is closed.

use super::encoder::{Encoder, Frame};
use super::notify::LocalNotify;
use crate::fanout::{CloseReason, FanoutAction, FanoutEvent, SessionId};
use crate::frame::FrameKey;
use crate::message::ToClient;
use crate::resource::Millis;
use slog::{Logger, debug, error, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// Backlog above which each queued frame also reports the backlog to the state machine, bytes.
const REPORTED_BACKLOG_BYTES: usize = 64 * 1024;
/// Overhead that is counted for a queued frame in addition to its bytes.
const FRAME_OVERHEAD: usize = 64;

/// Whether and how a session is being closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The session stays open.
    Open,
    /// The session is closed once its queued frames are sent.
    AfterSending,
    /// The session is closed immediately, without sending its queued frames.
    Immediately,
}

/// Send queue of one session.
pub(super) struct Outbox {
    frames: RefCell<VecDeque<Frame>>,
    unsent_bytes: Cell<usize>,
    ending: Cell<Ending>,
    changed: LocalNotify,
    aborted: LocalNotify,
}

impl Outbox {
    fn new() -> Outbox {
        Outbox {
            frames: RefCell::default(),
            unsent_bytes: Cell::new(0),
            ending: Cell::new(Ending::Open),
            changed: LocalNotify::default(),
            aborted: LocalNotify::default(),
        }
    }

    fn push(&self, frame: Frame) {
        self.unsent_bytes.set(self.unsent_bytes.get() + frame.len() + FRAME_OVERHEAD);
        self.frames.borrow_mut().push_back(frame);
        self.changed.notify();
    }

    fn end(&self, ending: Ending) {
        self.ending.set(ending);
        self.changed.notify();
        self.aborted.notify();
    }

    /// Waits for the next frame to send; none once the session is closed. The frame stays queued until
    /// [`Outbox::sent`].
    pub(super) async fn next(&self) -> Option<Frame> {
        loop {
            let ending = self.ending.get();
            if ending == Ending::Immediately {
                return None;
            }
            if let Some(frame) = self.frames.borrow().front() {
                return Some(frame.clone());
            }
            if ending == Ending::AfterSending {
                return None;
            }
            self.changed.wait().await;
        }
    }

    /// Returns whether the session is closed once its queued frames are sent.
    pub(super) fn ends_after_sending(&self) -> bool {
        self.ending.get() == Ending::AfterSending
    }

    /// Removes the first frame, which has been sent completely.
    pub(super) fn sent(&self) {
        if let Some(frame) = self.frames.borrow_mut().pop_front() {
            self.unsent_bytes.set(self.unsent_bytes.get() - frame.len() - FRAME_OVERHEAD);
        }
    }

    /// Waits until the session is closed immediately.
    pub(super) async fn aborted(&self) {
        while self.ending.get() != Ending::Immediately {
            self.aborted.wait().await;
        }
    }
}

/// Counters of a node's sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SessionCounters {
    pub(super) bytes_in: u64,
    pub(super) bytes_out: u64,
    pub(super) frames: u64,
    pub(super) bad_frames: u64,
    pub(super) closed_slow: u64,
}

/// All sessions of a node.
pub(super) struct Sessions {
    encoder: Encoder,
    open: HashMap<SessionId, Rc<Outbox>>,
    last_id: u64,
    pub(super) counters: SessionCounters,
    log: Logger,
}

impl Sessions {
    /// Creates the set of sessions, with none open.
    pub(super) fn new(key: FrameKey, log: Logger) -> Sessions {
        let encoder = Encoder::new(key);
        Sessions { encoder, open: HashMap::new(), last_id: 0, counters: SessionCounters::default(), log }
    }

    /// Opens a session with an empty send queue.
    pub(super) fn open(&mut self) -> (SessionId, Rc<Outbox>) {
        self.last_id += 1;
        let (id, outbox) = (SessionId(self.last_id), Rc::new(Outbox::new()));
        self.open.insert(id, outbox.clone());
        (id, outbox)
    }

    /// Removes a session whose connection has ended.
    pub(super) fn closed(&mut self, id: SessionId) {
        self.open.remove(&id);
    }

    /// Evicts cached frames that other sessions are unlikely to need.
    pub(super) fn evict_frames(&mut self, now: Millis) {
        self.encoder.evict(now);
    }

    /// Executes an action. Events that result for the state machine are appended to `events`.
    pub(super) fn carry_out(&mut self, now: Millis, action: FanoutAction, events: &mut Vec<FanoutEvent>) {
        match action {
            FanoutAction::Send { session, message } => self.send(now, session, &message, events),
            FanoutAction::Close { session, reason } => self.close(session, reason),
        }
    }

    fn send(&mut self, now: Millis, id: SessionId, message: &Arc<ToClient>, events: &mut Vec<FanoutEvent>) {
        let Some(outbox) = self.open.get(&id) else { return };
        match self.encoder.frame(now, message) {
            Ok(frame) => outbox.push(frame),
            Err(too_long) => {
                // The publisher's limits prevent this; if it happens anyway, the client resyncs.
                error!(self.log, "session closed, a message exceeds the frame limit";
                    "component" => "config_sync", "error" => %too_long);
                outbox.end(Ending::Immediately);
                return;
            }
        }
        let bytes = outbox.unsent_bytes.get();
        if bytes > REPORTED_BACKLOG_BYTES {
            events.push(FanoutEvent::Backlog { session: id, bytes });
        }
    }

    fn close(&mut self, id: SessionId, reason: CloseReason) {
        let Some(outbox) = self.open.remove(&id) else { return };
        match reason {
            CloseReason::Slow { .. } => {
                self.counters.closed_slow += 1;
                warn!(self.log, "session closed";
                    "component" => "config_sync", "session" => id.0, "reason" => %reason);
                outbox.end(Ending::Immediately);
            }
            CloseReason::Full | CloseReason::NoSnapshotPlace => {
                debug!(self.log, "session closed";
                    "component" => "config_sync", "session" => id.0, "reason" => %reason);
                outbox.end(Ending::AfterSending);
            }
            _ => {
                warn!(self.log, "session closed";
                    "component" => "config_sync", "session" => id.0, "reason" => %reason);
                outbox.end(Ending::AfterSending);
            }
        }
    }
}
