//! The single writer. A proposal is checked against the table as it will be after all earlier proposals,
//! passed to the store, and sent to clients only once it is durable.
//!
//! Bounds: [`PublisherSettings`] limits the pending proposals, the resources and the bytes of a bucket, and
//! [`MAX_TRANSACTION_BYTES`] those of a transaction; [`FanoutSettings`](crate::fanout::FanoutSettings) limits
//! the sessions, the log and the progress. The tables of pending proposals share all parts that they don't change.

mod class_use;
mod interface;

pub use interface::{ProposeError, PublisherAction, PublisherSettings, RestoreError, ResumeError};

use crate::fanout::{Fanout, FanoutAction, FanoutEvent};
use crate::message::{Refusal, ZoneProgress};
use crate::resource::{self, Change, Millis, Position, Transaction};
use crate::size::{MAX_TRANSACTION_BYTES, changes_bytes, resource_bytes};
use crate::table::{Table, bucket_of};
use class_use::{ClassFault, ClassUse};
use std::collections::VecDeque;
use std::sync::Arc;

/// A transaction passed to the store and not yet durable, with the table after it.
#[derive(Debug)]
struct PendingProposal {
    transaction: Arc<Transaction>,
    table: Table,
}

/// The single writer, with the sessions of its clients.
#[derive(Debug)]
pub struct Publisher {
    settings: PublisherSettings,
    fanout: Fanout,
    /// Pending proposals in the order of positions; the first follows the head.
    under_way: VecDeque<PendingProposal>,
    /// Number of routes by class after all pending proposals.
    class_use: ClassUse,
    halted: bool,
}

impl Publisher {
    /// Creates a publisher with an empty table. `epoch` must be higher than any epoch ever sent to a client.
    pub fn new(settings: PublisherSettings, epoch: u64) -> Publisher {
        Publisher::with_state(settings, Position { epoch, revision: 0 }, Table::new(), 0)
    }

    /// Creates a publisher that continues from its store: the table at `position`, whose last transaction was
    /// accepted at `published_unix_ms`, and the transactions after it, which also refill the delta log.
    /// Routes to classes that are no longer known stay until they are changed.
    ///
    /// # Errors
    /// Returns [`RestoreError::DoesNotFollow`] if a transaction does not follow the previous one, and
    /// [`RestoreError::Digest`] if its digest does not match.
    pub fn restore(
        settings: PublisherSettings,
        position: Position,
        table: Table,
        published_unix_ms: u64,
        transactions: Vec<Transaction>,
    ) -> Result<Publisher, RestoreError> {
        let mut replayed = table.clone();
        let mut head = position;
        for transaction in &transactions {
            replay(&mut replayed, head, transaction)?;
            head = transaction.position;
        }
        let transactions = transactions.into_iter().map(Arc::new).collect();
        let mut publisher = Publisher::with_state(settings, position, table, published_unix_ms);
        publisher.class_use = ClassUse::of(&replayed);
        publisher.fanout.publish(0, transactions, &replayed, &mut Vec::new());
        Ok(publisher)
    }

    fn with_state(
        settings: PublisherSettings,
        position: Position,
        table: Table,
        published_unix_ms: u64,
    ) -> Publisher {
        let class_use = ClassUse::of(&table);
        let mut fanout = Fanout::new(settings.fanout.clone());
        fanout.reset(0, position, table, published_unix_ms, &mut Vec::new());
        Publisher { settings, fanout, under_way: VecDeque::new(), class_use, halted: false }
    }

    /// Returns the last durable position, which may be sent to clients.
    pub fn head(&self) -> Position {
        self.fanout.head()
    }

    /// Returns the table at the head.
    pub fn table(&self) -> &Table {
        self.fanout.table()
    }

    /// Returns the fan-out with the sessions, log and progress.
    pub fn fanout(&self) -> &Fanout {
        &self.fanout
    }

    /// Returns when the next [`FanoutEvent::Tick`] is required.
    pub fn deadline(&self) -> Millis {
        self.fanout.deadline()
    }

    /// Returns the progress of all subscribers by zone, with the lowest position in force in each zone.
    pub fn least_in_force(&self) -> Vec<ZoneProgress> {
        self.fanout.zones()
    }

    /// Removes and returns the oldest refusals, at most as many as one report may contain; to be called until
    /// it returns none.
    pub fn take_refusals(&mut self) -> Vec<Refusal> {
        self.fanout.take_refusals()
    }

    /// Returns the number of proposals that are not durable yet.
    pub fn under_way(&self) -> usize {
        self.under_way.len()
    }

    /// Returns whether the store failed, so that no changes are accepted.
    pub fn halted(&self) -> bool {
        self.halted
    }

    /// Handles an event of the sessions.
    pub fn on_event(&mut self, now: Millis, event: FanoutEvent, actions: &mut Vec<PublisherAction>) {
        self.with_fanout(actions, |fanout, fanout_actions| fanout.on_event(now, event, fanout_actions));
    }

    /// Checks changes and passes them to the store. They are not sent to clients before
    /// [`Publisher::on_durable`].
    ///
    /// # Errors
    /// Returns the [`ProposeError`] for which the changes are refused; the state is unchanged then.
    pub fn propose(
        &mut self,
        unix_ms: u64,
        changes: Vec<Change>,
        actions: &mut Vec<PublisherAction>,
    ) -> Result<Position, ProposeError> {
        if self.halted {
            return Err(ProposeError::Halted);
        }
        if self.under_way.len() >= self.settings.max_under_way {
            return Err(ProposeError::TooManyUnderWay(self.under_way.len()));
        }
        let last = self.last_proposed();
        let revision = last.revision.checked_add(1).ok_or(ProposeError::EpochOver)?;
        let position = Position { revision, ..last };
        let before = self.last_table().clone();
        let table = self.check_changes(&before, &changes)?;
        self.class_use.apply(&before, &changes);
        let digest = table.digest();
        let transaction = Arc::new(Transaction { position, changes, digest, published_unix_ms: unix_ms });
        self.under_way.push_back(PendingProposal { transaction: transaction.clone(), table });
        actions.push(PublisherAction::Persist { transaction });
        Ok(position)
    }

    /// Records that everything up to `position` is durable: moves the head there and sends the transactions
    /// to the clients. A position that is not pending changes nothing.
    pub fn on_durable(&mut self, now: Millis, position: Position, actions: &mut Vec<PublisherAction>) {
        let mut durable = Vec::new();
        let mut table = None;
        while self.under_way.front().is_some_and(|first| first.transaction.position <= position) {
            let Some(first) = self.under_way.pop_front() else { break };
            durable.push(first.transaction);
            table = Some(first.table);
        }
        if let Some(table) = table {
            self.with_fanout(actions, |fanout, fanout_actions| {
                fanout.publish(now, durable, &table, fanout_actions)
            });
        }
    }

    /// Records that the store failed. The outcome of the pending proposals is unknown, since some may have
    /// reached the disk; no further proposal is accepted until [`Publisher::resume`].
    pub fn on_persist_failed(&mut self) {
        self.halted = true;
    }

    /// Resumes after the store was reopened and ends at `durable`: publishes the pending proposals up to
    /// there and drops the rest. Returns the positions of the dropped proposals, so that the proposers can be
    /// notified. Their revisions are used again.
    ///
    /// # Errors
    /// Returns a [`ResumeError`] if `durable` is before the head or after the last proposal, so that the
    /// store can't end there. The publisher stays halted then.
    pub fn resume(
        &mut self,
        now: Millis,
        durable: Position,
        actions: &mut Vec<PublisherAction>,
    ) -> Result<Vec<Position>, ResumeError> {
        let (head, last) = (self.head(), self.last_proposed());
        if durable < head || durable > last {
            return Err(ResumeError { claimed: durable, head, last });
        }
        self.on_durable(now, durable, actions);
        let dropped = self.under_way.drain(..).map(|dropped| dropped.transaction.position).collect();
        self.class_use = ClassUse::of(self.fanout.table());
        self.halted = false;
        Ok(dropped)
    }

    fn last_proposed(&self) -> Position {
        self.under_way.back().map_or_else(|| self.head(), |last| last.transaction.position)
    }

    fn last_table(&self) -> &Table {
        self.under_way.back().map_or_else(|| self.fanout.table(), |last| &last.table)
    }

    /// Returns the table after `changes`, if they are acceptable.
    fn check_changes(&self, before: &Table, changes: &[Change]) -> Result<Table, ProposeError> {
        resource::check(changes)?;
        let bytes = changes_bytes(changes);
        if bytes > MAX_TRANSACTION_BYTES {
            return Err(ProposeError::TooLarge(bytes));
        }
        let mut after = before.clone();
        after.apply(changes);
        if after.shares_with(before) {
            return Err(ProposeError::NoChange);
        }
        self.check_limits(&after, changes)?;
        match self.class_use.check(before, &after, changes, &self.settings.known_classes) {
            Ok(()) => Ok(after),
            Err(ClassFault::Unknown(invalid)) => Err(invalid.into()),
            Err(ClassFault::InUse { class, routes }) => Err(ProposeError::ClassInUse { class, routes }),
        }
    }

    fn check_limits(&self, after: &Table, changes: &[Change]) -> Result<(), ProposeError> {
        let (found, max) = (after.len(), self.settings.max_resources);
        if found > max {
            return Err(ProposeError::TableFull { found, max });
        }
        let max = self.settings.max_bucket_bytes;
        for change in changes {
            let bucket = bucket_of(&change.key());
            let bytes = after.bucket(bucket).iter().map(resource_bytes).sum();
            if bytes > max {
                return Err(ProposeError::BucketFull { bucket, bytes, max });
            }
        }
        Ok(())
    }

    fn with_fanout(
        &mut self,
        actions: &mut Vec<PublisherAction>,
        step: impl FnOnce(&mut Fanout, &mut Vec<FanoutAction>),
    ) {
        let mut fanout_actions = Vec::new();
        step(&mut self.fanout, &mut fanout_actions);
        actions.extend(fanout_actions.into_iter().map(PublisherAction::Fanout));
    }
}

/// Applies one stored transaction and checks its position and its digest.
fn replay(table: &mut Table, head: Position, transaction: &Transaction) -> Result<(), RestoreError> {
    let position = transaction.position;
    if position.epoch != head.epoch || Some(position.revision) != head.revision.checked_add(1) {
        return Err(RestoreError::DoesNotFollow { head, found: position });
    }
    table.apply(&transaction.changes);
    let (found, wanted) = (table.digest(), transaction.digest);
    if found == wanted { Ok(()) } else { Err(RestoreError::Digest { position, found, wanted }) }
}
