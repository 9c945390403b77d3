//! The table of missing capacity: every row that exceeds its limit, may exceed it within its error, or lacks
//! an implementation.

use crate::capacity::estimate::Verdict;
use crate::capacity::row::Role;
use std::fmt::Write as _;

/// Returns the table of all rows whose verdict is neither that they fit nor that they have no limit.
pub fn table(roles: &[Role]) -> String {
    let mut out = "| role | what | when | figure | limit | verdict | carried by |\n| --- | --- | --- | --- | --- | --- | --- |\n".to_owned();
    for role in roles {
        for row in &role.rows {
            let verdict = row.verdict();
            if matches!(verdict, Verdict::Fits(_) | Verdict::NoLimit) {
                continue;
            }
            let _ = writeln!(
                out,
                "| {} | {} | {} | {} | {} | {verdict} | {} |",
                role.id.replace('_', " "),
                row.name,
                row.when.words(),
                row.unit.text(row.estimate.value),
                row.limit.map_or_else(|| "none".to_owned(), |limit| row.unit.text(limit)),
                row.mechanism
            );
        }
    }
    out
}
