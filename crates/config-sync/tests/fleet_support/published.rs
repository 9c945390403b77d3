//! What the publisher made durable: the only states that anyone may ever have.

use dunlinspread_config_sync::follower::Follower;
use dunlinspread_config_sync::resource::{Millis, Position, Transaction};
use dunlinspread_config_sync::table::Table;
use std::collections::BTreeMap;

/// Three hops of at most 500 ms.
const ON_THE_WAY_MS: Millis = 1_500;

/// The table at each durable position.
#[derive(Default)]
pub struct Published {
    tables: BTreeMap<Position, Table>,
    /// The publisher's heads, each with the time from which on it was the head.
    heads: Vec<(Millis, Position)>,
}

impl Published {
    /// An epoch begins, with nothing.
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

    /// The publisher's head, from now on.
    pub fn set_head(&mut self, now: Millis, head: Position) {
        self.heads.push((now, head));
    }

    /// A client that says its age has all that the publisher had so long ago, but for the time that messages took.
    pub fn check_age(&self, now: Millis, follower: &Follower) {
        let Some(age) = follower.age_ms(now) else { return };
        let since = now.saturating_sub(age.saturating_add(ON_THE_WAY_MS));
        let known = self.heads.iter().rev().find(|(from, _)| *from < since).map(|(_, head)| *head);
        let position = follower.position();
        assert!(Some(position) >= known, "at {now} its age is said to be {age} ms: {position:?}, {known:?}");
    }

    pub fn at(&self, position: Position) -> &Table {
        self.tables.get(&position).unwrap_or_else(|| panic!("{position:?} was never durable"))
    }

    /// A follower has nothing, or exactly what was published.
    pub fn check(&self, follower: &Follower) {
        let position = follower.position();
        if position == Position::default() {
            assert!(follower.table().is_empty());
            return;
        }
        assert_eq!(follower.table().digest(), self.at(position).digest(), "torn at {position:?}");
    }
}
