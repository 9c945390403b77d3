//! Start of a session, and sending of deltas.

use super::interface::{CloseReason, FanoutAction, SessionId};
use super::session::Stage;
use super::state::Fanout;
use crate::message::{Member, ToClient};
use crate::resource::{Digest, Millis, Position, Transaction};
use crate::size::transaction_bytes;
use std::sync::Arc;

impl Fanout {
    pub(super) fn on_watch(
        &mut self,
        now: Millis,
        id: SessionId,
        member: Member,
        position: Position,
        digest: Digest,
        actions: &mut Vec<FanoutAction>,
    ) {
        if let Some(&older) = self.sessions_by_name.get(&member.name) {
            self.close(older, CloseReason::Replaced, actions);
        }
        if !self.count_subscriber(id, &member, actions) {
            return;
        }
        self.sessions_by_name.insert(member.name.clone(), id);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.member = Some(member);
        }
        self.serve(now, id, position, digest, actions);
    }

    /// Serves a session from its client's position: with deltas if the log leads from there, otherwise with a
    /// snapshot. A client that is ahead of this server only receives a heartbeat, since it is this server
    /// that is behind.
    pub(super) fn serve(
        &mut self,
        now: Millis,
        id: SessionId,
        position: Position,
        digest: Digest,
        actions: &mut Vec<FanoutAction>,
    ) {
        if position > self.head() {
            self.set_stage(now, id, Stage::Ahead { position, digest });
            return self.send(id, self.heartbeat(now), actions);
        }
        if position > self.flushed {
            self.flush(now, actions);
        }
        if self.log.digest_at(position) != Some(digest) {
            return self.require_resync(now, id, actions);
        }
        self.catch_up(now, id, position, actions);
    }

    /// Sends the next message of the log to a session that has everything up to `position`, or makes the
    /// session live.
    pub(super) fn catch_up(
        &mut self,
        now: Millis,
        id: SessionId,
        position: Position,
        actions: &mut Vec<FanoutAction>,
    ) {
        if position == self.flushed {
            return self.set_stage(now, id, Stage::Live);
        }
        let Some((message, reached)) = self.deltas_from(position) else {
            return self.require_resync(now, id, actions);
        };
        let stage =
            if reached == self.flushed { Stage::Live } else { Stage::CatchingUp { position: reached } };
        self.set_stage(now, id, stage);
        actions.push(FanoutAction::Send { session: id, message });
    }

    /// Sends one more message to each session that catches up and has little unsent data.
    pub(super) fn continue_catch_up(&mut self, now: Millis, actions: &mut Vec<FanoutAction>) {
        let ids: Vec<SessionId> = self.catching_up.iter().copied().collect();
        for id in ids {
            let Some(session) = self.sessions.get(&id) else { continue };
            let Stage::CatchingUp { position } = session.stage else { continue };
            if session.backlog_bytes <= self.settings.max_message_bytes {
                self.catch_up(now, id, position, actions);
            }
        }
    }

    /// Sends the transactions after the last flush to all live sessions, and starts to serve those that were
    /// ahead and no longer are.
    pub(super) fn flush(&mut self, now: Millis, actions: &mut Vec<FanoutAction>) {
        if self.flushed == self.head() {
            return;
        }
        let messages = self.messages_to_head();
        self.flushed = self.head();
        self.last_flush = Some(now);
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        for session in ids {
            match (self.sessions.get(&session).map(|session| &session.stage), &messages) {
                (Some(Stage::Live), Some(messages)) => {
                    let sends = messages.iter().cloned();
                    actions.extend(sends.map(|message| FanoutAction::Send { session, message }));
                }
                (Some(Stage::Live), None) => self.require_resync(now, session, actions),
                (Some(&Stage::Ahead { position, digest }), _) if position <= self.flushed => {
                    self.serve(now, session, position, digest, actions);
                }
                _ => {}
            }
        }
    }

    /// Returns the messages that lead from the last flush to the head; `None` if the log was compacted in
    /// between.
    fn messages_to_head(&self) -> Option<Vec<Arc<ToClient>>> {
        let mut position = self.flushed;
        let mut messages = Vec::new();
        while position < self.head() {
            let (message, reached) = self.next_deltas(position, self.head())?;
            messages.push(message);
            position = reached;
        }
        Some(messages)
    }

    /// Returns a message from `position` up to the last flush at most, and the position that it leads to.
    fn deltas_from(&mut self, position: Position) -> Option<(Arc<ToClient>, Position)> {
        if let Some(message) = self.shared_deltas.get(position) {
            if let ToClient::Deltas(transactions) = &*message {
                let reached = transactions.last()?.position;
                return Some((message, reached));
            }
        }
        let (message, reached) = self.next_deltas(position, self.flushed)?;
        self.shared_deltas.remember(position, &message);
        Some((message, reached))
    }

    /// Returns a message with as many of the transactions after `position`, up to `end`, as fit, at least
    /// one, and the position that it leads to.
    fn next_deltas(&self, position: Position, end: Position) -> Option<(Arc<ToClient>, Position)> {
        let mut batch: Vec<Arc<Transaction>> = Vec::new();
        let mut bytes = 0;
        for transaction in self.log.after(position)? {
            bytes += transaction_bytes(transaction);
            let full = bytes > self.settings.max_message_bytes && !batch.is_empty();
            if full || transaction.position > end {
                break;
            }
            batch.push(transaction.clone());
        }
        let reached = batch.last()?.position;
        Some((Arc::new(ToClient::Deltas(batch)), reached))
    }
}
