//! What the publisher made durable: the only states that anyone may ever have.

use dunlinspread_config_sync::follower::Follower;
use dunlinspread_config_sync::resource::{Position, Transaction};
use dunlinspread_config_sync::table::Table;
use std::collections::BTreeMap;

/// The table at each durable position.
#[derive(Default)]
pub struct Published {
    tables: BTreeMap<Position, Table>,
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
