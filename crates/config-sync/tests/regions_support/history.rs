//! The states that the publisher made durable, which are the only ones that any process may hold, and when
//! their changes were proposed.

use super::topology::Micros;
use dunlinspread_config_sync::resource::{Change, Digest, Position, Resource, Transaction};
use dunlinspread_config_sync::table::Table;
use std::sync::Arc;

pub const EPOCH: u64 = 1;
/// First position of the history. Its table has all resources and is on every subscriber's disk at the start.
const BASE: Position = Position { epoch: EPOCH, revision: 1 };
const CLASSES: u64 = 50;
const ROUTES: u64 = 450;
pub const TENANTS: u64 = 1_500;

pub fn allowance(tenant: u64, milli_per_second: u64) -> Change {
    let tenant = format!("tenant-{tenant}").into();
    Change::Put(Resource::TenantAllowance { tenant, milli_per_second })
}

fn class(number: u64) -> Arc<str> {
    format!("class-{number}").into()
}

fn first_table() -> Table {
    let limit = |number| Change::Put(Resource::ClassLimit { class: class(number), max_running: 8 });
    let route = |number| {
        let route = format!("Service.Method{number}").into();
        Change::Put(Resource::Route { route, class: class(number % CLASSES) })
    };
    let mut changes: Vec<Change> = (0..CLASSES).map(limit).collect();
    changes.extend((0..ROUTES).map(route));
    changes.extend((0..TENANTS).map(|tenant| allowance(tenant, 1_000)));
    let mut table = Table::new();
    table.apply(&changes);
    table
}

pub struct History {
    /// Tables of the revisions from [`BASE`] on.
    tables: Vec<Table>,
    proposed_at: Vec<Micros>,
    /// Transactions after [`BASE`] on the publisher's disk.
    pub disk: Vec<Arc<Transaction>>,
}

impl History {
    pub fn new() -> History {
        History { tables: vec![first_table()], proposed_at: vec![0], disk: Vec::new() }
    }

    pub fn base(&self) -> (Position, &Table) {
        (BASE, &self.tables[0])
    }

    pub fn head(&self) -> Position {
        Position { epoch: EPOCH, revision: BASE.revision + self.disk.len() as u64 }
    }

    /// Adds a transaction that the disk has written.
    pub fn push(&mut self, transaction: Arc<Transaction>, proposed_at: Micros) {
        assert_eq!(transaction.position, self.head().next(), "the disk is written in order");
        let mut table = self.table(self.head()).expect("the head").clone();
        table.apply(&transaction.changes);
        self.tables.push(table);
        self.proposed_at.push(proposed_at);
        self.disk.push(transaction);
    }

    fn index(position: Position) -> Option<usize> {
        if position.epoch != EPOCH {
            return None;
        }
        position.revision.checked_sub(BASE.revision).map(|steps| steps as usize)
    }

    /// Returns the table at a position, or `None` if the position was never durable.
    pub fn table(&self, position: Position) -> Option<&Table> {
        self.tables.get(History::index(position)?)
    }

    pub fn digest(&self, position: Position) -> Option<Digest> {
        self.table(position).map(Table::digest)
    }

    pub fn proposed_at(&self, position: Position) -> Micros {
        History::index(position).and_then(|index| self.proposed_at.get(index)).copied().unwrap_or(0)
    }
}
