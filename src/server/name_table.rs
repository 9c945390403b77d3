//! Positions of classes and tenants by their names: a hash lookup for each request, whatever their number.

use std::collections::HashMap;

/// A list's names with their positions.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    positions: HashMap<Box<[u8]>, usize>,
}

impl NameTable {
    /// The names in the list's order. Of equal names the first one is found.
    pub fn new(names: &[String]) -> NameTable {
        let mut positions = HashMap::with_capacity(names.len());
        for (position, name) in names.iter().enumerate() {
            positions.entry(name.as_bytes().into()).or_insert(position);
        }
        NameTable { positions }
    }

    /// Where that name stands in the list.
    pub fn position(&self, name: &[u8]) -> Option<usize> {
        self.positions.get(name).copied()
    }

    /// How many names there are.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether the list has no names.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
