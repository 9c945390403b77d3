//! Handling of the server's messages by a follower.

use super::{
    Advance, DisconnectReason, Follower, FollowerAction, Link, SessionFault, Staging, disconnect, send,
};
use crate::message::{BucketContent, ToClient, ToServer};
use crate::resource::{Digest, Millis, Position, Transaction};
use crate::state_age::StateAge;
use crate::table::Table;
use std::sync::Arc;

/// The fields of [`ToClient::SnapshotEnd`].
struct SnapshotEnd {
    position: Position,
    digest: Digest,
    pieces: u32,
    published_unix_ms: u64,
}

/// Returns whether a table at `position` already includes the transaction at position `transaction`.
fn is_applied(position: Position, transaction: Position) -> bool {
    transaction.epoch == position.epoch && transaction.revision <= position.revision
}

impl Follower {
    /// Handles a message of the open session.
    pub(super) fn on_message(&mut self, now: Millis, message: ToClient, actions: &mut Vec<FollowerAction>) {
        self.session.last_received_at = now;
        self.session.has_received = true;
        let result = match message {
            ToClient::Deltas(transactions) => {
                self.on_deltas(now, transactions, actions);
                Ok(())
            }
            ToClient::Resync { head } => {
                self.on_resync(now, head, actions);
                Ok(())
            }
            ToClient::Heartbeat { head, age_ms } => {
                self.on_heartbeat(now, head, age_ms, actions);
                Ok(())
            }
            ToClient::Busy { retry_after_ms } => {
                self.on_busy(now, retry_after_ms, actions);
                Ok(())
            }
            ToClient::Piece { sequence, buckets } => self.on_piece(now, sequence, buckets, actions),
            ToClient::SnapshotEnd { position, digest, pieces, published_unix_ms } => self.on_snapshot_end(
                now,
                SnapshotEnd { position, digest, pieces, published_unix_ms },
                actions,
            ),
        };
        if let Err(fault) = result {
            self.counters.faults += 1;
            self.leave(now, fault.into(), actions);
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Millis,
        head: Position,
        age_ms: Millis,
        actions: &mut Vec<FollowerAction>,
    ) {
        let age = StateAge::new(now, age_ms);
        self.session.last_heartbeat = Some((head, age));
        self.on_server_age(now, age);
        if head < self.position {
            self.leave_lagging_server(now, head, actions);
        } else if head == self.position && self.fails_trial(now, age) {
            self.leave(now, DisconnectReason::NoFresher(age_ms), actions);
        } else if head == self.position {
            self.on_head_reached(now);
        }
    }

    /// Records that the table is at the server's head. The position before the first transaction does not
    /// count as a head.
    fn on_head_reached(&mut self, now: Millis) {
        if self.position == Position::default() {
            return;
        }
        self.session.progress_at = now;
        self.session.synced = true;
        self.lower_age(now);
        self.candidates.on_head_reached();
    }

    /// Lowers the age of the table to that in the server's last heartbeat, if the table has reached the head
    /// in that heartbeat. Deltas alone don't lower the age: a server that is cut off also has some for
    /// clients that are behind it.
    fn lower_age(&mut self, now: Millis) {
        if let Some((_, age)) = self.session.last_heartbeat.filter(|(head, _)| *head <= self.position) {
            self.age = Some(age.younger(self.age, now));
        }
    }

    fn leave_lagging_server(&mut self, now: Millis, head: Position, actions: &mut Vec<FollowerAction>) {
        self.counters.servers_behind += 1;
        self.leave(now, DisconnectReason::ServerBehind { head, position: self.position }, actions);
    }

    fn on_busy(&mut self, now: Millis, retry_after_ms: u64, actions: &mut Vec<FollowerAction>) {
        self.counters.busy += 1;
        let delay = self.candidates.busy(retry_after_ms);
        disconnect(actions, DisconnectReason::Busy(delay));
        self.wait(now, delay);
    }

    fn on_deltas(
        &mut self,
        now: Millis,
        transactions: Vec<Arc<Transaction>>,
        actions: &mut Vec<FollowerAction>,
    ) {
        if matches!(self.link, Link::Fetching(_)) {
            return;
        }
        let before = self.table.clone();
        let mut applied = Vec::with_capacity(transactions.len());
        let mut fault = None;
        for transaction in transactions {
            if is_applied(self.position, transaction.position) {
                continue;
            }
            if let Err(error) = self.apply(&transaction) {
                fault = Some(error);
                break;
            }
            applied.push(transaction);
        }
        if !applied.is_empty() {
            self.counters.transactions += applied.len() as u64;
            self.on_head_reached(now);
            actions.push(FollowerAction::Advanced(Advance::Deltas { before, transactions: applied }));
        }
        if let Some(fault) = fault {
            self.recover(now, fault, actions);
        }
    }

    /// Applies one transaction if it follows and its digest matches; otherwise changes nothing.
    fn apply(&mut self, transaction: &Transaction) -> Result<(), SessionFault> {
        if transaction.position != self.position.next() {
            return Err(SessionFault::Gap { position: self.position, found: transaction.position });
        }
        let mut table = self.table.clone();
        match &self.steps {
            Some(steps) => steps.apply(&mut table, &transaction.changes),
            None => table.apply(&transaction.changes),
        }
        if table.digest() != transaction.digest {
            self.counters.digest_mismatches += 1;
            return Err(SessionFault::TransactionDigest(transaction.position));
        }
        if table.len() > self.settings.max_resources {
            return Err(SessionFault::TooManyResources(self.settings.max_resources));
        }
        self.table = table;
        self.position = transaction.position;
        Ok(())
    }

    /// Recovers from a fault in the deltas: requests a snapshot from the same server or, the second time,
    /// leaves the server.
    fn recover(&mut self, now: Millis, fault: SessionFault, actions: &mut Vec<FollowerAction>) {
        if self.session.resynced_after_fault {
            self.counters.faults += 1;
            self.leave(now, fault.into(), actions);
            return;
        }
        self.session.resynced_after_fault = true;
        self.fetch(actions);
    }

    fn on_resync(&mut self, now: Millis, head: Position, actions: &mut Vec<FollowerAction>) {
        if head < self.position {
            self.leave_lagging_server(now, head, actions);
            return;
        }
        self.fetch(actions);
    }

    fn fetch(&mut self, actions: &mut Vec<FollowerAction>) {
        self.counters.resyncs += 1;
        self.link = Link::Fetching(Staging::new(self.settings.max_resources));
        let whole = self.fetch_whole || self.table.is_empty();
        let bucket_digests = if whole { Vec::new() } else { self.table.bucket_digests() };
        send(actions, ToServer::FetchDifferences { bucket_digests });
    }

    fn on_piece(
        &mut self,
        now: Millis,
        sequence: u32,
        buckets: Vec<BucketContent>,
        actions: &mut Vec<FollowerAction>,
    ) -> Result<(), SessionFault> {
        let Link::Fetching(staging) = &mut self.link else {
            return Err(SessionFault::UnexpectedSnapshot);
        };
        staging.add_piece(sequence, buckets)?;
        self.session.progress_at = now;
        send(actions, ToServer::PieceTaken { sequence });
        Ok(())
    }

    fn on_snapshot_end(
        &mut self,
        now: Millis,
        end: SnapshotEnd,
        actions: &mut Vec<FollowerAction>,
    ) -> Result<(), SessionFault> {
        let Link::Fetching(staging) = std::mem::replace(&mut self.link, Link::Following) else {
            return Err(SessionFault::UnexpectedSnapshot);
        };
        if end.position < self.position {
            self.leave_lagging_server(now, end.position, actions);
            return Ok(());
        }
        let base = if self.fetch_whole { Table::new() } else { self.table.clone() };
        let table = staging.finish(&base, end.position, end.digest, end.pieces).inspect_err(|fault| {
            if matches!(fault, SessionFault::SnapshotDigest(_)) {
                self.counters.digest_mismatches += 1;
                self.fetch_whole = true;
            }
        })?;
        self.fetch_whole = false;
        self.counters.snapshots += 1;
        self.apply_snapshot(now, &end, table, actions);
        Ok(())
    }

    fn apply_snapshot(
        &mut self,
        now: Millis,
        end: &SnapshotEnd,
        table: Table,
        actions: &mut Vec<FollowerAction>,
    ) {
        let unchanged = end.position == self.position && table.digest() == self.table.digest();
        let before = std::mem::replace(&mut self.table, table);
        self.position = end.position;
        self.on_head_reached(now);
        if !unchanged {
            let (position, published_unix_ms) = (end.position, end.published_unix_ms);
            actions.push(FollowerAction::Advanced(Advance::Snapshot { before, position, published_unix_ms }));
        }
    }
}
