//! Usage lines made of the open aggregates.

use crate::line::{Entry, Usage};
use crate::state::LedgerState;
use crate::usage_table::{UsageKey, UsageTable};

/// Entries of one record at most; a record stays well below what a store takes.
const MAX_ENTRIES_PER_RECORD: usize = 4096;
/// The table keeps the memory of so many cells at most once it is empty.
const KEPT_CELLS: usize = 1024;

/// The entries of one record.
struct Group {
    /// The period that they were used in, by its first ms.
    used_in: u64,
    entries: Vec<Entry>,
}

/// Empties the table and returns its content as lines, each of one period; usage of a period that is closed by now is
/// entered in `open_period`.
pub(super) fn take_usage_lines(
    table: &mut UsageTable,
    max_cells: usize,
    state: &LedgerState,
    open_period: u64,
) -> Vec<Usage> {
    let mut groups: Vec<Group> = Vec::new();
    table.drain(max_cells.min(KEPT_CELLS), |key, amount| {
        let entry = Entry {
            tenant: key.tenant.to_owned(),
            class: u32::from(key.class),
            outcome: key.outcome as i32,
            amount: *amount,
        };
        add_entry(&mut groups, &key, entry);
    });
    let is_closed = |period: u64| period < state.closed_to;
    let line = |Group { used_in, entries }| match is_closed(used_in) {
        true => Usage { period: open_period, entries, original_period: Some(used_in) },
        false => Usage { period: used_in, entries, original_period: None },
    };
    groups.into_iter().map(line).collect()
}

fn add_entry(groups: &mut Vec<Group>, key: &UsageKey<'_>, entry: Entry) {
    match groups.last_mut() {
        Some(last) if last.used_in == key.period && last.entries.len() < MAX_ENTRIES_PER_RECORD => {
            last.entries.push(entry);
        }
        _ => groups.push(Group { used_in: key.period, entries: vec![entry] }),
    }
}
