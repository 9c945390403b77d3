//! The role of the registry, which receives reports from round servers and sends lists of them to callers.

use crate::capacity::assumptions::{CONTROL_MACHINE_BYTES_PER_SECOND, CONTROL_MACHINE_CORES};
use crate::capacity::book::Book;
use crate::capacity::row::{Role, Row, Unit, When};
use anyhow::Result;

/// Nanoseconds per second.
const NS_PER_SECOND: f64 = 1e9;

/// Returns the role of the registry; the figures are those of one machine.
///
/// # Errors
/// Returns an error if a measurement is missing.
pub fn role(book: &Book) -> Result<Role> {
    let bytes_row = |name, id: &str| -> Result<Row> {
        let estimate = book.at_target(id)?;
        Ok(Row::new(name, When::Steady, Unit::BytesPerSecond, estimate, format!("`{id}`"))
            .limit(CONTROL_MACHINE_BYTES_PER_SECOND))
    };
    let rows = vec![
        Row::new(
            "reports",
            When::Steady,
            Unit::PerSecond,
            book.at_target("registry.reports_per_s.servers")?,
            "`registry.reports_per_s.servers`",
        )
        .carried_by("the platform's registry"),
        bytes_row("bytes of reports and answers", "registry.wire_bytes_per_s.servers")?
            .carried_by("the platform's registry"),
        Row::new(
            "cores to count reports",
            When::Steady,
            Unit::CoreShare,
            book.at_target("registry.processor_ns_per_s.servers")?.times(1.0 / NS_PER_SECOND),
            "`registry.processor_ns_per_s.servers`",
        )
        .limit(CONTROL_MACHINE_CORES)
        .carried_by("the platform's registry; measured on a stand-in that only counts"),
        bytes_row("lists out, whole for each change", "registry.list_bytes_per_s_each_change.callers")?
            .carried_by("one push for each change"),
        bytes_row("lists out, whole each 2 s if changed", "registry.list_bytes_per_s_whole.callers")?
            .carried_by("what the protocol allows today"),
        bytes_row("lists out, each caller's subset", "registry.list_bytes_per_s_subset.callers")?
            .carried_by("subsets by the registry")
            .not_built(),
        bytes_row("lists out, the changed entry", "registry.list_bytes_per_s_delta.callers")?
            .carried_by("deltas, not in the protocol")
            .not_built(),
    ];
    Ok(Role { id: "registry", rows })
}
