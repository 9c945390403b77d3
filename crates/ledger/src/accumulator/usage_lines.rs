//! Creation of usage lines from the open aggregates.

use crate::line::{Entry, Usage};
use crate::state::LedgerState;
use crate::usage_table::{UsageKey, UsageTable};

/// Maximum number of entries in one record. It keeps records well below the size limit of the store.
const MAX_ENTRIES_PER_RECORD: usize = 4096;
/// Maximum number of cells whose memory the table keeps after it has been emptied.
const KEPT_CELLS: usize = 1024;

/// The entries of one record.
struct Group {
    /// Start of the period in which the usage occurred, in Unix ms.
    usage_period: u64,
    entries: Vec<Entry>,
}

/// Empties the table and returns its content as usage lines, each for one period. Usage of a period that has
/// already been closed is entered in `open_period`.
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
    let line = |Group { usage_period, entries }| match is_closed(usage_period) {
        true => Usage { period: open_period, entries, original_period: Some(usage_period) },
        false => Usage { period: usage_period, entries, original_period: None },
    };
    groups.into_iter().map(line).collect()
}

fn add_entry(groups: &mut Vec<Group>, key: &UsageKey<'_>, entry: Entry) {
    match groups.last_mut() {
        Some(last) if last.usage_period == key.period && last.entries.len() < MAX_ENTRIES_PER_RECORD => {
            last.entries.push(entry);
        }
        _ => groups.push(Group { usage_period: key.period, entries: vec![entry] }),
    }
}
