//! Tables for people, in one style.

use comfy_table::{Cell, CellAlignment, Table, presets};

/// A table with these column heads; all columns but the first hold figures.
pub fn table(heads: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(heads.iter().map(Cell::new));
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}
