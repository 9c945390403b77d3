//! How a session begins, and how deltas go out.

use super::session::Stage;
use super::{Fanout, FanoutAction, SessionId};
use crate::message::{Member, ToClient};
use crate::resource::{Digest, Millis, Position, Transaction};
use crate::size::transaction_bytes;
use std::sync::Arc;

/// The messages that lead from one position to the last flush: many sessions that begin at the same position share them.
/// Bounded by `max_catch_up_bytes`.
#[derive(Debug)]
pub(super) struct CatchUp {
    from: Position,
    to: Position,
    messages: Vec<Arc<ToClient>>,
}

impl Fanout {
    pub(super) fn on_watch(
        &mut self,
        now: Millis,
        id: SessionId,
        member: Member,
        position: Position,
        digest: Digest,
        out: &mut Vec<FanoutAction>,
    ) {
        if !self.count_in(id, &member, out) {
            return;
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            session.member = Some(member);
        }
        self.begin(now, id, position, digest, out);
    }

    /// Serves a session from what it has: deltas if the log leads from there, else a snapshot. A session that has more
    /// than this server is only told the head: it is this server that is behind.
    pub(super) fn begin(
        &mut self,
        now: Millis,
        id: SessionId,
        position: Position,
        digest: Digest,
        out: &mut Vec<FanoutAction>,
    ) {
        if position > self.head() {
            self.set_stage(now, id, Stage::Ahead { position, digest });
            return self.send(id, ToClient::Heartbeat { head: self.head() }, out);
        }
        if position > self.flushed {
            self.flush(now, out);
        }
        let Some(messages) = self.catch_up(position, digest) else {
            return self.require_resync(now, id, out);
        };
        self.set_stage(now, id, Stage::Live);
        out.extend(messages.into_iter().map(|message| FanoutAction::Send { session: id, message }));
    }

    /// Sends the transactions after the last flush to all live sessions, and begins with those that were ahead and no
    /// longer are.
    pub(super) fn flush(&mut self, now: Millis, out: &mut Vec<FanoutAction>) {
        if self.flushed == self.head() {
            return;
        }
        let messages = self.log.since(self.flushed).map(|transactions| self.batches(transactions));
        self.flushed = self.head();
        self.last_flush = Some(now);
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        for session in ids {
            match (self.sessions.get(&session).map(|session| &session.stage), &messages) {
                (Some(Stage::Live), Some(messages)) => {
                    let sends = messages.iter().cloned();
                    out.extend(sends.map(|message| FanoutAction::Send { session, message }));
                }
                (Some(Stage::Live), None) => self.require_resync(now, session, out),
                (Some(&Stage::Ahead { position, digest }), _) if position <= self.flushed => {
                    self.begin(now, session, position, digest, out);
                }
                _ => {}
            }
        }
    }

    /// The messages from `position` to the last flush; nothing if the digest differs, the log doesn't reach back there,
    /// or they are too many.
    fn catch_up(&mut self, position: Position, digest: Digest) -> Option<Vec<Arc<ToClient>>> {
        if self.log.digest_at(position) != Some(digest) {
            return None;
        }
        if let Some(known) = &self.catch_up {
            if known.from == position && known.to == self.flushed {
                return Some(known.messages.clone());
            }
        }
        let mut transactions = self.log.since(position)?;
        transactions.retain(|transaction| transaction.position <= self.flushed);
        let bytes: usize = transactions.iter().map(|transaction| transaction_bytes(transaction)).sum();
        if bytes > self.settings.max_catch_up_bytes {
            return None;
        }
        let messages = self.batches(transactions);
        self.catch_up = Some(CatchUp { from: position, to: self.flushed, messages: messages.clone() });
        Some(messages)
    }

    /// Cuts transactions into messages of bounded size.
    fn batches(&self, transactions: Vec<Arc<Transaction>>) -> Vec<Arc<ToClient>> {
        let mut batches: Vec<Vec<Arc<Transaction>>> = Vec::new();
        let mut room = 0;
        for transaction in transactions {
            let bytes = transaction_bytes(&transaction);
            match batches.last_mut() {
                Some(batch) if bytes <= room => batch.push(transaction),
                _ => {
                    batches.push(vec![transaction]);
                    room = self.settings.max_message_bytes;
                }
            }
            room = room.saturating_sub(bytes);
        }
        batches.into_iter().map(|batch| Arc::new(ToClient::Deltas(batch))).collect()
    }
}
