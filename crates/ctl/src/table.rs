//! Text tables in a common style.

use comfy_table::{Cell, CellAlignment, Table, presets};

/// Returns an empty table with these column headers. All columns but the first contain numbers and are
/// right-aligned.
pub fn table(headers: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(headers.iter().map(Cell::new));
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}
