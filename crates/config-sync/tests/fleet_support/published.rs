//! The states that the publisher made durable: the only states that any process may hold.

use dunlinspread_config_sync::follower::Follower;
use dunlinspread_config_sync::resource::{Millis, Position, Transaction};
use dunlinspread_config_sync::table::Table;
use std::collections::BTreeMap;

/// Longest time from the publisher to a subscriber: three hops of at most 500 ms.
const MAX_TRANSIT_MS: Millis = 1_500;

/// The table at each durable position.
#[derive(Default)]
pub struct Published {
    tables: BTreeMap<Position, Table>,
    /// The publisher's heads, each with the time at which it became the head.
    heads: Vec<(Millis, Position)>,
}

impl Published {
    /// Begins an epoch with an empty table.
    pub fn begin(&mut self, epoch: u64) {
        self.tables.insert(Position { epoch, revision: 0 }, Table::new());
    }

    pub fn push(&mut self, transaction: &Transaction) {
        let (_, last) = self.tables.last_key_value().expect("an epoch has begun");
        let mut table = last.clone();
        table.apply(&transaction.changes);
        assert_eq!(table.digest(), transaction.digest);
        assert!(self.tables.insert(transaction.position, table).is_none(), "published twice");
    }

    /// Records the publisher's head from `now` on.
    pub fn set_head(&mut self, now: Millis, head: Position) {
        self.heads.push((now, head));
    }

    /// Checks that a client that reports an age has everything that the publisher had at that time, less the
    /// transit time.
    pub fn check_age(&self, now: Millis, follower: &Follower) {
        let Some(age) = follower.age_ms(now) else { return };
        let since = now.saturating_sub(age.saturating_add(MAX_TRANSIT_MS));
        let known = self.heads.iter().rev().find(|(from, _)| *from < since).map(|(_, head)| *head);
        let position = follower.position();
        assert!(
            Some(position) >= known,
            "at {now} ms, reported age {age} ms: {position:?} is older than {known:?}"
        );
    }

    pub fn at(&self, position: Position) -> &Table {
        self.tables.get(&position).unwrap_or_else(|| panic!("{position:?} was never durable"))
    }

    /// Checks that a follower's table is empty or equal to the published table of its position.
    pub fn check(&self, follower: &Follower) {
        let position = follower.position();
        if position == Position::default() {
            assert!(follower.table().is_empty());
            return;
        }
        assert_eq!(follower.table().digest(), self.at(position).digest(), "torn at {position:?}");
    }
}
