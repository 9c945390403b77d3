//! The sessions of a node as its state machine names them: what each is still to be sent, and how that ends.

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

/// A backlog of more bytes is told to the state machine with each frame.
const TOLD_BACKLOG_BYTES: usize = 64 * 1024;
/// What a frame in a queue counts beside its bytes.
const FRAME_OVERHEAD: usize = 64;

/// How a session goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// It is open.
    Open,
    /// It ends once what is queued has left.
    AfterSending,
    /// It ends at once.
    Now,
}

/// What one session is still to be sent.
pub(super) struct Outbox {
    frames: RefCell<VecDeque<Frame>>,
    unsent_bytes: Cell<usize>,
    ending: Cell<Ending>,
    changed: LocalNotify,
    abandoned: LocalNotify,
}

impl Outbox {
    fn new() -> Outbox {
        Outbox {
            frames: RefCell::default(),
            unsent_bytes: Cell::new(0),
            ending: Cell::new(Ending::Open),
            changed: LocalNotify::default(),
            abandoned: LocalNotify::default(),
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
        self.abandoned.notify();
    }

    /// The next frame; none when the session ends.
    pub(super) async fn next(&self) -> Option<Frame> {
        loop {
            let ending = self.ending.get();
            if ending == Ending::Now {
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

    /// Whether the session ends once what was queued has left.
    pub(super) fn ends_after_sending(&self) -> bool {
        self.ending.get() == Ending::AfterSending
    }

    /// The frame that was next has left.
    pub(super) fn sent(&self) {
        if let Some(frame) = self.frames.borrow_mut().pop_front() {
            self.unsent_bytes.set(self.unsent_bytes.get() - frame.len() - FRAME_OVERHEAD);
        }
    }

    /// Waits until the session is to end at once.
    pub(super) async fn abandoned(&self) {
        while self.ending.get() != Ending::Now {
            self.abandoned.wait().await;
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
    /// None yet.
    pub(super) fn new(key: FrameKey, log: Logger) -> Sessions {
        let encoder = Encoder::new(key);
        Sessions { encoder, open: HashMap::new(), last_id: 0, counters: SessionCounters::default(), log }
    }

    /// A new session.
    pub(super) fn open(&mut self) -> (SessionId, Rc<Outbox>) {
        self.last_id += 1;
        let (id, outbox) = (SessionId(self.last_id), Rc::new(Outbox::new()));
        self.open.insert(id, outbox.clone());
        (id, outbox)
    }

    /// The connection has ended.
    pub(super) fn closed(&mut self, id: SessionId) {
        self.open.remove(&id);
    }

    /// Lets go of frames that nobody is likely to need again.
    pub(super) fn tidy(&mut self, now: Millis) {
        self.encoder.forget(now);
    }

    /// Carries an action out. What the state machine has to hear of it is appended to `told`.
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
                // The publisher's bounds keep this from happening; the client resyncs if it does.
                error!(self.log, "session closed, a message exceeds the frame limit";
                    "component" => "config_sync", "error" => %too_long);
                outbox.end(Ending::Now);
                return;
            }
        }
        let bytes = outbox.unsent_bytes.get();
        if bytes > TOLD_BACKLOG_BYTES {
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
                outbox.end(Ending::Now);
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
