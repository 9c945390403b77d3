//! Sending of snapshots: in pieces, with a bounded number unconfirmed, to a bounded number of sessions at
//! once.

use super::interface::{CloseReason, FanoutAction, ProtocolFault, SessionId};
use super::session::Stage;
use super::snapshot::Snapshot;
use super::state::Fanout;
use crate::message::{BUCKETS, PIECE_WINDOW, ToClient};
use crate::resource::Millis;
use std::sync::Arc;

impl Fanout {
    /// Sends a `Resync`, or rejects the client as busy if the limit of snapshots is reached.
    pub(super) fn require_resync(&mut self, now: Millis, id: SessionId, actions: &mut Vec<FanoutAction>) {
        if !self.has_snapshot_slot(id) {
            return self.reject_busy(id, actions);
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
            // A client whose table doesn't match the deltas may send this without a `Resync`.
            Some(Stage::Resync | Stage::Live | Stage::CatchingUp { .. }) => {}
            _ => return self.close(id, ProtocolFault::UnexpectedFetch.into(), actions),
        }
        if !self.has_snapshot_slot(id) {
            return self.reject_busy(id, actions);
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

    /// Sends as many pieces as the window allows. After the last one, sends the end of the snapshot and
    /// continues with deltas.
    fn send_pieces(&mut self, now: Millis, id: SessionId, actions: &mut Vec<FanoutAction>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Stage::Snapshot(snapshot) = &mut session.stage else { return };
        let table_id = (snapshot.position, snapshot.table.digest());
        while !snapshot.remaining.is_empty() && session.pieces_sent - session.pieces_taken < PIECE_WINDOW {
            let sequence = session.pieces_sent;
            let shared = if snapshot.whole { self.shared_pieces.get(table_id, sequence) } else { None };
            let piece = match shared {
                Some(piece) => {
                    snapshot.skip(&piece);
                    piece
                }
                None => Arc::new(snapshot.next_piece(sequence)),
            };
            if snapshot.whole {
                self.shared_pieces.remember(table_id, sequence, &piece);
            }
            session.pieces_sent += 1;
            actions.push(FanoutAction::Send { session: id, message: piece });
        }
        if !snapshot.remaining.is_empty() {
            return;
        }
        let (position, digest) = table_id;
        let pieces = session.pieces_sent;
        let published_unix_ms = snapshot.published_unix_ms;
        self.send(id, ToClient::SnapshotEnd { position, digest, pieces, published_unix_ms }, actions);
        self.serve(now, id, position, digest, actions);
    }

    /// Returns whether the session has, or can get, a slot for a snapshot.
    fn has_snapshot_slot(&self, id: SessionId) -> bool {
        let uses_slot = self.sessions.get(&id).is_some_and(|session| session.stage.uses_snapshot_slot());
        uses_slot || self.snapshot_slots_used < self.settings.max_snapshots
    }

    fn reject_busy(&mut self, id: SessionId, actions: &mut Vec<FanoutAction>) {
        let busy = self.busy();
        self.send(id, busy, actions);
        self.close(id, CloseReason::NoSnapshotPlace, actions);
    }
}
