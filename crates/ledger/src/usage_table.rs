//! Open aggregates: amounts by period, society, class and outcome, in bounded memory. Societies' names come from
//! outside, so the hash is keyed by chance.
//!
//! Names lie once, one behind the other; cells say where. A cell is found by one hash of its whole key. `docs/measurements/ledger.md` has this against the
//! maps of the standard library.

use crate::line::{Amount, Outcome};
use std::hash::{BuildHasher, Hasher, RandomState};

/// A key as its owner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageKey<'a> {
    /// The period, by its first ms.
    pub period: u64,
    /// The society.
    pub tenant: &'a str,
    /// The class, by position.
    pub class: u16,
    /// The outcome.
    pub outcome: Outcome,
}

#[derive(Clone, Copy)]
struct Cell {
    period: u64,
    name: Span,
    class: u16,
    outcome: Outcome,
    amount: Amount,
}

/// Where a name lies.
#[derive(Clone, Copy)]
struct Span {
    at: u32,
    len: u16,
}

/// The table.
pub struct UsageTable {
    chance: RandomState,
    names: String,
    spans: Vec<Span>,
    /// Positions in `spans`, plus one; 0 is free. Open addressing, at most three quarters full.
    name_slots: Vec<u32>,
    cells: Vec<Cell>,
    /// Positions in `cells`, plus one, beside a part of the hash: a cell is looked at only if that fits.
    cell_slots: Vec<(u32, u32)>,
    most: usize,
}

impl std::fmt::Debug for UsageTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Table of {} cells", self.cells.len())
    }
}

impl UsageTable {
    /// An empty one for at most that many cells.
    pub fn new(most: usize) -> UsageTable {
        UsageTable {
            chance: RandomState::new(),
            names: String::new(),
            spans: Vec::new(),
            name_slots: vec![0; 16],
            cells: Vec::new(),
            cell_slots: vec![(0, 0); 16],
            most: most.clamp(1, 1 << 28),
        }
    }

    /// Adds to a cell; false, and nothing is added, if it would be a new one and the table is full.
    pub fn add(&mut self, key: UsageKey<'_>, amount: &Amount) -> bool {
        let hash = self.cell_hash(&key);
        if let Some(at) = self.find_cell(&key, hash) {
            self.cells[at].amount.add(amount);
            return true;
        }
        if self.cells.len() >= self.most {
            return false;
        }
        let name = self.name_of(key.tenant);
        let UsageKey { period, class, outcome, .. } = key;
        self.cells.push(Cell { period, name, class, outcome, amount: *amount });
        if self.cells.len() * 4 > self.cell_slots.len() * 3 {
            self.cell_slots = vec![(0, 0); self.cell_slots.len() * 2];
            for at in 0..self.cells.len() {
                let hash = self.cell_hash(&self.key(at));
                self.place_cell(at, hash);
            }
        } else {
            self.place_cell(self.cells.len() - 1, hash);
        }
        true
    }

    /// Cells.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// No cells.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        self.names.capacity()
            + self.spans.capacity() * size_of::<Span>()
            + self.name_slots.capacity() * size_of::<u32>()
            + self.cell_slots.capacity() * size_of::<(u32, u32)>()
            + self.cells.capacity() * size_of::<Cell>()
    }

    /// All cells in the order of their keys; the table is empty afterwards and keeps no more memory than `keep` cells
    /// need.
    pub fn drain(&mut self, keep: usize, mut take: impl FnMut(UsageKey<'_>, &Amount)) {
        let mut order: Vec<u32> = (0..self.cells.len() as u32).collect();
        order.sort_unstable_by_key(|at| self.key(*at as usize));
        for at in order {
            take(self.key(at as usize), &self.cells[at as usize].amount);
        }
        self.cells.clear();
        self.spans.clear();
        self.names.clear();
        if self.cells.capacity() > keep.max(16) {
            let most = self.most;
            *self = UsageTable { chance: self.chance.clone(), ..UsageTable::new(most) };
        } else {
            self.name_slots.fill(0);
            self.cell_slots.fill((0, 0));
        }
    }

    fn key(&self, at: usize) -> UsageKey<'_> {
        let Cell { period, name, class, outcome, .. } = self.cells[at];
        UsageKey { period, tenant: self.name(name), class, outcome }
    }

    fn name(&self, Span { at, len }: Span) -> &str {
        &self.names[at as usize..at as usize + len as usize]
    }

    /// Where a name lies, put there if it is new.
    fn name_of(&mut self, tenant: &str) -> Span {
        let mask = self.name_slots.len() - 1;
        let mut slot = self.chance.hash_one(tenant) as usize & mask;
        while self.name_slots[slot] != 0 {
            let span = self.spans[self.name_slots[slot] as usize - 1];
            if self.name(span) == tenant {
                return span;
            }
            slot = (slot + 1) & mask;
        }
        let span = Span { at: self.names.len() as u32, len: tenant.len() as u16 };
        self.spans.push(span);
        self.names.push_str(tenant);
        if self.spans.len() * 4 > self.name_slots.len() * 3 {
            self.name_slots = vec![0; self.name_slots.len() * 2];
            (0..self.spans.len()).for_each(|name| self.place_name(name));
        } else {
            self.place_name(self.spans.len() - 1);
        }
        span
    }

    fn place_name(&mut self, name: usize) {
        let mask = self.name_slots.len() - 1;
        let mut slot = self.chance.hash_one(self.name(self.spans[name])) as usize & mask;
        while self.name_slots[slot] != 0 {
            slot = (slot + 1) & mask;
        }
        self.name_slots[slot] = name as u32 + 1;
    }

    fn cell_hash(&self, key: &UsageKey<'_>) -> u64 {
        let mut hasher = self.chance.build_hasher();
        hasher.write(key.tenant.as_bytes());
        hasher.write_u64(key.period << 24 ^ u64::from(key.class) << 8 ^ key.outcome as u64 ^ 1 << 63);
        hasher.finish()
    }

    fn find_cell(&self, key: &UsageKey<'_>, hash: u64) -> Option<usize> {
        let mask = self.cell_slots.len() - 1;
        let mut slot = hash as usize & mask;
        loop {
            match self.cell_slots[slot] {
                (0, _) => return None,
                (found, part) if part == (hash >> 32) as u32 && self.key(found as usize - 1) == *key => {
                    return Some(found as usize - 1);
                }
                _ => slot = (slot + 1) & mask,
            }
        }
    }

    fn place_cell(&mut self, at: usize, hash: u64) {
        let mask = self.cell_slots.len() - 1;
        let mut slot = hash as usize & mask;
        while self.cell_slots[slot].0 != 0 {
            slot = (slot + 1) & mask;
        }
        self.cell_slots[slot] = (at as u32 + 1, (hash >> 32) as u32);
    }
}
