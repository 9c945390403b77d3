//! Constant-time lookup of classes and tenants by name.

use std::collections::HashMap;

/// Map from the names of a list to their positions.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    positions: HashMap<Box<[u8]>, usize>,
}

impl NameTable {
    /// Returns a table of the positions of `names`. Of equal names, the first position counts.
    pub fn new(names: &[String]) -> NameTable {
        let mut positions = HashMap::with_capacity(names.len());
        for (position, name) in names.iter().enumerate() {
            positions.entry(name.as_bytes().into()).or_insert(position);
        }
        NameTable { positions }
    }

    /// Returns the position of `name` in the list, or `None` if the list does not contain it.
    pub fn position(&self, name: &[u8]) -> Option<usize> {
        self.positions.get(name).copied()
    }

    /// Returns the number of distinct names.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether the list has no names.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
