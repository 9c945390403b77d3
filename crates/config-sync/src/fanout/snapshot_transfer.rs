//! How snapshots are sent: in pieces, with a bounded number unconfirmed, to a bounded number of sessions at once.

use super::interface::{CloseReason, FanoutAction, ProtocolFault, SessionId};
use super::session::Stage;
use super::snapshot::Snapshot;
use super::state::Fanout;
use crate::message::{BUCKETS, PIECE_WINDOW, ToClient};
use crate::resource::Millis;
use std::sync::Arc;

impl Fanout {
    /// Sends a `Resync`, or sends the client away if no place for a snapshot is left.
    pub(super) fn require_resync(&mut self, now: Millis, id: SessionId, actions: &mut Vec<FanoutAction>) {
        if !self.has_place(id) {
            return self.send_away(id, actions);
        }
        self.set_stage(now, id, Stage::Resync);
        self.send(id, ToClient::Resync { head: self.head() }, actions);
    }

    pub(super) fn on_fetch(
        &mut self,
        now: Millis,
        id: SessionId,
        bucket_digests: &[u64],
        actions: &mut Vec<FanoutAction>,
    ) {
        if !matches!(bucket_digests.len(), 0 | BUCKETS) {
            let fault = ProtocolFault::BucketDigests(bucket_digests.len());
            return self.close(id, fault.into(), actions);
        }
        match self.sessions.get(&id).map(|session| &session.stage) {
            // A client that finds its table spoilt may ask without a `Resync`.
            Some(Stage::Resync | Stage::Live | Stage::CatchingUp { .. }) => {}
            _ => return self.close(id, ProtocolFault::UnexpectedFetch.into(), actions),
        }
        if !self.has_place(id) {
            return self.send_away(id, actions);
        }
        let snapshot = Snapshot {
            table: self.table.clone(),
            position: self.head(),
            published_unix_ms: self.published_unix_ms,
            remaining: self.table.differing(bucket_digests).into(),
            whole: bucket_digests.is_empty(),
        };
        self.set_stage(now, id, Stage::Snapshot(Box::new(snapshot)));
        if let Some(session) = self.sessions.get_mut(&id) {
            (session.pieces_sent, session.pieces_taken) = (0, 0);
        }
        self.send_pieces(now, id, actions);
    }

    pub(super) fn on_piece_taken(
        &mut self,
        now: Millis,
        id: SessionId,
        sequence: u32,
        actions: &mut Vec<FanoutAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if sequence != session.pieces_taken || sequence >= session.pieces_sent {
            return self.close(id, ProtocolFault::UnexpectedPiece(sequence).into(), actions);
        }
        session.pieces_taken += 1;
        if matches!(session.stage, Stage::Snapshot(_)) {
            session.since = now;
            self.send_pieces(now, id, actions);
        }
    }

    /// Sends as many pieces as the window allows; after the last one the end, and then the deltas from there.
    fn send_pieces(&mut self, now: Millis, id: SessionId, actions: &mut Vec<FanoutAction>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Stage::Snapshot(snapshot) = &mut session.stage else { return };
        let of = (snapshot.position, snapshot.table.digest());
        while !snapshot.remaining.is_empty() && session.pieces_sent - session.pieces_taken < PIECE_WINDOW {
            let sequence = session.pieces_sent;
            let shared = if snapshot.whole { self.shared_pieces.get(of, sequence) } else { None };
            let piece = match shared {
                Some(piece) => {
                    snapshot.skip(&piece);
                    piece
                }
                None => Arc::new(snapshot.next_piece(sequence)),
            };
            if snapshot.whole {
                self.shared_pieces.remember(of, sequence, &piece);
            }
            session.pieces_sent += 1;
            actions.push(FanoutAction::Send { session: id, message: piece });
        }
        if !snapshot.remaining.is_empty() {
            return;
        }
        let (position, digest) = of;
        let pieces = session.pieces_sent;
        let published_unix_ms = snapshot.published_unix_ms;
        self.send(id, ToClient::SnapshotEnd { position, digest, pieces, published_unix_ms }, actions);
        self.begin(now, id, position, digest, actions);
    }

    /// Whether the session has, or could get, a place for a snapshot.
    fn has_place(&self, id: SessionId) -> bool {
        let has_one = self.sessions.get(&id).is_some_and(|session| session.stage.takes_place());
        has_one || self.places_taken < self.settings.max_snapshots
    }

    fn send_away(&mut self, id: SessionId, actions: &mut Vec<FanoutAction>) {
        let busy = self.busy();
        self.send(id, busy, actions);
        self.close(id, CloseReason::NoSnapshotPlace, actions);
    }
}
