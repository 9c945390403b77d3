//! Open aggregates: amounts by period, tenant, class and outcome, in bounded memory.
//!
//! Tenant names come from clients, so the hash uses a random key. Each name is stored once in a common
//! string, to which cells refer. A cell is found by a single hash of its whole key.
//! `docs/measurements/ledger.md` compares this table with the maps of the standard library.

use crate::line::Amount;
use crate::outcome::Outcome;
use std::hash::{BuildHasher, Hasher, RandomState};

/// Minimum number of slots in an index; the number of slots is always a power of two.
const MIN_SLOTS: usize = 16;
/// Upper limit for the maximum number of cells of a table.
const MAX_CELLS: usize = 1 << 28;

/// The key of an aggregate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageKey<'a> {
    /// Start of the period, in Unix ms.
    pub period: u64,
    /// Account of the tenant.
    pub tenant: &'a str,
    /// Position of the class in the list of classes.
    pub class: u16,
    /// Outcome of the requests.
    pub outcome: Outcome,
}

/// An aggregate: the total amount for one key.
#[derive(Clone, Copy)]
struct Cell {
    period: u64,
    tenant: NameSpan,
    class: u16,
    outcome: Outcome,
    amount: Amount,
}

/// The position of a name in the common string of names, in bytes.
#[derive(Clone, Copy)]
struct NameSpan {
    offset: u32,
    len: u16,
}

/// A slot of the cell index.
#[derive(Clone, Copy, Default)]
struct CellSlot {
    /// Position in `cells` plus one; 0 if the slot is free.
    cell_plus_one: u32,
    /// Upper half of the cell's hash. The cell's key is compared only if this half matches.
    hash_part: u32,
}

/// The table of open aggregates.
///
/// # Invariants
/// Both indices use open addressing with linear probing, with a load factor of at most three quarters. A name
/// is at most `u16::MAX` bytes long, and all names together at most `u32::MAX` bytes.
pub struct UsageTable {
    hash_key: RandomState,
    names: String,
    name_spans: Vec<NameSpan>,
    /// Index of names: positions in `name_spans` plus one; 0 for a free slot.
    name_slots: Vec<u32>,
    cells: Vec<Cell>,
    cell_slots: Vec<CellSlot>,
    max_cells: usize,
}

impl std::fmt::Debug for UsageTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "UsageTable of {} cells", self.cells.len())
    }
}

impl UsageTable {
    /// Returns an empty table for at most `max_cells` cells.
    pub fn new(max_cells: usize) -> UsageTable {
        UsageTable {
            hash_key: RandomState::new(),
            names: String::new(),
            name_spans: Vec::new(),
            name_slots: vec![0; MIN_SLOTS],
            cells: Vec::new(),
            cell_slots: vec![CellSlot::default(); MIN_SLOTS],
            max_cells: max_cells.clamp(1, MAX_CELLS),
        }
    }

    /// Adds an amount to the cell of a key. Returns false without adding it if the cell does not exist and
    /// the table is full.
    pub fn add(&mut self, key: UsageKey<'_>, amount: &Amount) -> bool {
        let hash = self.cell_hash(&key);
        if let Some(cell) = self.find_cell(&key, hash) {
            self.cells[cell].amount.add(amount);
            return true;
        }
        if self.cells.len() >= self.max_cells {
            return false;
        }
        self.insert_cell(&key, hash, amount);
        true
    }

    /// Returns the number of cells.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Returns whether the table has no cells.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Returns the allocated memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.names.capacity()
            + self.name_spans.capacity() * size_of::<NameSpan>()
            + self.name_slots.capacity() * size_of::<u32>()
            + self.cell_slots.capacity() * size_of::<CellSlot>()
            + self.cells.capacity() * size_of::<Cell>()
    }

    /// Passes all cells to `on_cell` in the order of their keys, and empties the table. The table keeps at
    /// most the memory needed for `kept_cells` cells.
    pub fn drain(&mut self, kept_cells: usize, mut on_cell: impl FnMut(UsageKey<'_>, &Amount)) {
        let mut order: Vec<u32> = (0..self.cells.len() as u32).collect();
        order.sort_unstable_by_key(|cell| self.key(*cell as usize));
        for cell in order {
            on_cell(self.key(cell as usize), &self.cells[cell as usize].amount);
        }
        self.cells.clear();
        self.name_spans.clear();
        self.names.clear();
        if self.cells.capacity() > kept_cells.max(MIN_SLOTS) {
            *self = UsageTable { hash_key: self.hash_key.clone(), ..UsageTable::new(self.max_cells) };
        } else {
            self.name_slots.fill(0);
            self.cell_slots.fill(CellSlot::default());
        }
    }

    fn key(&self, cell: usize) -> UsageKey<'_> {
        let Cell { period, tenant, class, outcome, .. } = self.cells[cell];
        UsageKey { period, tenant: self.name(tenant), class, outcome }
    }

    fn name(&self, span: NameSpan) -> &str {
        let offset = span.offset as usize;
        &self.names[offset..offset + span.len as usize]
    }

    /// Returns the position of a name in the common string, and adds the name if it is new.
    fn find_or_add_name(&mut self, name: &str) -> NameSpan {
        let mask = self.name_slots.len() - 1;
        let mut slot = self.hash_key.hash_one(name) as usize & mask;
        while self.name_slots[slot] != 0 {
            let span = self.name_spans[self.name_slots[slot] as usize - 1];
            if self.name(span) == name {
                return span;
            }
            slot = (slot + 1) & mask;
        }
        let span = NameSpan { offset: self.names.len() as u32, len: name.len() as u16 };
        self.name_spans.push(span);
        self.names.push_str(name);
        if self.name_spans.len() * 4 > self.name_slots.len() * 3 {
            self.name_slots = vec![0; self.name_slots.len() * 2];
            (0..self.name_spans.len()).for_each(|position| self.index_name(position));
        } else {
            self.index_name(self.name_spans.len() - 1);
        }
        span
    }

    fn index_name(&mut self, position: usize) {
        let mask = self.name_slots.len() - 1;
        let mut slot = self.hash_key.hash_one(self.name(self.name_spans[position])) as usize & mask;
        while self.name_slots[slot] != 0 {
            slot = (slot + 1) & mask;
        }
        self.name_slots[slot] = position as u32 + 1;
    }

    fn cell_hash(&self, key: &UsageKey<'_>) -> u64 {
        let mut hasher = self.hash_key.build_hasher();
        hasher.write(key.tenant.as_bytes());
        hasher.write_u64(key.period << 24 ^ u64::from(key.class) << 8 ^ key.outcome as u64 ^ 1 << 63);
        hasher.finish()
    }

    fn find_cell(&self, key: &UsageKey<'_>, hash: u64) -> Option<usize> {
        let mask = self.cell_slots.len() - 1;
        let mut slot = hash as usize & mask;
        loop {
            let CellSlot { cell_plus_one, hash_part } = self.cell_slots[slot];
            if cell_plus_one == 0 {
                return None;
            }
            let cell = cell_plus_one as usize - 1;
            if hash_part == upper_half(hash) && self.key(cell) == *key {
                return Some(cell);
            }
            slot = (slot + 1) & mask;
        }
    }

    fn insert_cell(&mut self, key: &UsageKey<'_>, hash: u64, amount: &Amount) {
        let tenant = self.find_or_add_name(key.tenant);
        let UsageKey { period, class, outcome, .. } = *key;
        self.cells.push(Cell { period, tenant, class, outcome, amount: *amount });
        if self.cells.len() * 4 <= self.cell_slots.len() * 3 {
            self.index_cell(self.cells.len() - 1, hash);
            return;
        }
        self.cell_slots = vec![CellSlot::default(); self.cell_slots.len() * 2];
        for cell in 0..self.cells.len() {
            let hash = self.cell_hash(&self.key(cell));
            self.index_cell(cell, hash);
        }
    }

    fn index_cell(&mut self, cell: usize, hash: u64) {
        let mask = self.cell_slots.len() - 1;
        let mut slot = hash as usize & mask;
        while self.cell_slots[slot].cell_plus_one != 0 {
            slot = (slot + 1) & mask;
        }
        self.cell_slots[slot] = CellSlot { cell_plus_one: cell as u32 + 1, hash_part: upper_half(hash) };
    }
}

fn upper_half(hash: u64) -> u32 {
    (hash >> 32) as u32
}
