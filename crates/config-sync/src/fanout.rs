//! Server side of all sessions of a publisher or relay: sends deltas from the log, snapshots to clients that
//! the log can't serve, and heartbeats, and aggregates the progress of the subscribers below by zone.
//!
//! Every live session has been sent everything up to the last flush and nothing more, so that a flush sends
//! the same messages to all of them. A new session is brought to that point individually. [`FanoutSettings`]
//! lists all bounds with their settings; unsent bytes are held by the owner of the sockets, which reports
//! them as [`FanoutEvent::Backlog`].

mod interface;
mod progress;
mod report;
mod session;
mod shared_deltas;
mod snapshot;
mod snapshot_transfer;
mod state;
mod watch;

pub use interface::{CloseReason, FanoutAction, FanoutEvent, FanoutSettings, ProtocolFault, SessionId};
pub use state::Fanout;

use crate::message::ToServer;
use crate::resource::{Millis, Position, Transaction};
use crate::table::Table;
use session::{Session, Stage};
use std::sync::Arc;

impl Fanout {
    /// Handles an event and appends the resulting actions.
    pub fn on_event(&mut self, now: Millis, event: FanoutEvent, actions: &mut Vec<FanoutAction>) {
        match event {
            FanoutEvent::Opened(id) => self.on_opened(now, id, actions),
            FanoutEvent::Received(id, message) => self.on_received(now, id, message, actions),
            FanoutEvent::Closed(id) => self.forget(id),
            FanoutEvent::Backlog { session, bytes } => self.on_backlog(session, bytes, actions),
            FanoutEvent::Tick => self.on_tick(now, actions),
        }
    }

    /// Advances the head by `transactions`, which lead to `table`. They are sent at once, or with the next
    /// flush if the last one was less than `flush_ms` ago. Transactions that don't follow the head replace
    /// the state, as by [`Fanout::reset`].
    pub fn publish(
        &mut self,
        now: Millis,
        transactions: Vec<Arc<Transaction>>,
        table: &Table,
        actions: &mut Vec<FanoutAction>,
    ) {
        let Some(last) = transactions.last().cloned() else { return };
        for transaction in transactions {
            if self.log.push(transaction).is_err() {
                return self.reset(now, last.position, table.clone(), last.published_unix_ms, actions);
            }
        }
        self.table = table.clone();
        self.published_unix_ms = last.published_unix_ms;
        if now >= self.flush_due() {
            self.flush(now, actions);
        }
    }

    /// Replaces the head and the table: the log is cleared, and every session that is behind receives a
    /// `Resync`, or `Busy` if the limit of snapshots is reached.
    pub fn reset(
        &mut self,
        now: Millis,
        position: Position,
        table: Table,
        published_unix_ms: u64,
        actions: &mut Vec<FanoutAction>,
    ) {
        if position == self.head() && table.digest() == self.table.digest() {
            return;
        }
        let previous = (self.flushed, self.log.digest_at(self.flushed).unwrap_or_default());
        self.log.reset(position, table.digest());
        self.table = table;
        self.published_unix_ms = published_unix_ms;
        self.flushed = position;
        self.shared_deltas.clear();
        self.shared_pieces.clear();
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        for id in ids {
            match self.sessions.get(&id).map(|session| &session.stage) {
                Some(Stage::Live) => self.serve(now, id, previous.0, previous.1, actions),
                Some(Stage::CatchingUp { .. }) => self.require_resync(now, id, actions),
                Some(&Stage::Ahead { position, digest }) => self.serve(now, id, position, digest, actions),
                _ => {}
            }
        }
    }

    fn on_opened(&mut self, now: Millis, id: SessionId, actions: &mut Vec<FanoutAction>) {
        if self.sessions.len() >= self.settings.max_sessions {
            let message = Arc::new(self.busy());
            actions.push(FanoutAction::Send { session: id, message });
            actions.push(FanoutAction::Close { session: id, reason: CloseReason::Full });
            return;
        }
        self.forget(id);
        self.sessions.insert(id, Session::new(now));
    }

    fn on_received(
        &mut self,
        now: Millis,
        id: SessionId,
        message: ToServer,
        actions: &mut Vec<FanoutAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.unanswered_heartbeats = 0;
        let is_watching = session.member.is_some();
        match message {
            ToServer::Watch { member, position, digest } if !is_watching => {
                self.on_watch(now, id, member, position, digest, actions);
            }
            ToServer::Watch { .. } => self.close(id, ProtocolFault::SecondWatch.into(), actions),
            _ if !is_watching => self.close(id, ProtocolFault::NotWatched.into(), actions),
            ToServer::FetchDifferences { bucket_digests } => self.on_fetch(now, id, &bucket_digests, actions),
            ToServer::PieceTaken { sequence } => self.on_piece_taken(now, id, sequence, actions),
            ToServer::Progress { zones, refusals } => self.on_progress(id, zones, refusals, actions),
            ToServer::Alive => {}
        }
    }

    fn on_backlog(&mut self, id: SessionId, bytes: usize, actions: &mut Vec<FanoutAction>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.backlog_bytes = bytes;
        if bytes > self.settings.max_backlog_bytes {
            self.close(id, CloseReason::Slow { bytes }, actions);
        }
    }

    fn on_tick(&mut self, now: Millis, actions: &mut Vec<FanoutAction>) {
        let heartbeat_due =
            self.last_heartbeat.is_none_or(|last| now >= last.saturating_add(self.settings.heartbeat_ms));
        if heartbeat_due || now >= self.flush_due() {
            self.flush(now, actions);
        }
        if now >= self.catch_up_due() {
            self.last_catch_up = Some(now);
            self.continue_catch_up(now, actions);
        }
        if heartbeat_due {
            self.last_heartbeat = Some(now);
            self.close_overdue(now, actions);
            self.send_heartbeats(now, actions);
        }
    }

    fn send_heartbeats(&mut self, now: Millis, actions: &mut Vec<FanoutAction>) {
        let message = Arc::new(self.heartbeat(now));
        for (&session, state) in &mut self.sessions {
            if state.member.is_some() {
                state.unanswered_heartbeats = state.unanswered_heartbeats.saturating_add(1);
                actions.push(FanoutAction::Send { session, message: message.clone() });
            }
        }
    }

    fn close_overdue(&mut self, now: Millis, actions: &mut Vec<FanoutAction>) {
        let overdue: Vec<(SessionId, CloseReason)> = self
            .sessions
            .iter()
            .filter_map(|(&id, state)| Some((id, self.overdue_reason(now, state)?)))
            .collect();
        for (id, reason) in overdue {
            self.close(id, reason, actions);
        }
    }

    /// Returns the reason to close a session that has been silent for too long.
    fn overdue_reason(&self, now: Millis, session: &Session) -> Option<CloseReason> {
        let (limit, reason) = match session.stage {
            Stage::Opened => (self.settings.silence_ms, CloseReason::NoWatch),
            Stage::Resync => (self.settings.silence_ms, CloseReason::NoFetch),
            Stage::Snapshot(_) => (self.settings.stall_ms, CloseReason::Stalled),
            Stage::Live | Stage::CatchingUp { .. } | Stage::Ahead { .. } => return self.silence(session),
        };
        (now > session.since.saturating_add(limit)).then_some(reason)
    }

    fn silence(&self, session: &Session) -> Option<CloseReason> {
        let heartbeats = session.unanswered_heartbeats;
        let time = self.settings.heartbeat_ms.saturating_mul(heartbeats.into());
        (time >= self.settings.client_silence_ms).then_some(CloseReason::Silent { heartbeats })
    }
}
