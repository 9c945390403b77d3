//! What is missing: every row whose verdict is not that it fits.

use crate::capacity::estimate::Verdict;
use crate::capacity::row::Role;
use std::fmt::Write as _;

/// The table of all that does not fit or is not built.
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
                row.what,
                row.when.words(),
                row.unit.text(row.estimate.value),
                row.limit.map_or_else(|| "none".to_owned(), |limit| row.unit.text(limit)),
                row.mechanism
            );
        }
    }
    out
}
