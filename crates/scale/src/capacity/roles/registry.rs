//! The registry that lists round servers to callers: reports in, lists out.

use crate::capacity::assumptions::{CONTROL_MACHINE_BYTES_PER_SECOND, CONTROL_MACHINE_CORES};
use crate::capacity::book::Book;
use crate::capacity::row::{Role, Row, Unit, When};
use anyhow::Result;

/// Nanoseconds in a second.
const NS_PER_SECOND: f64 = 1e9;

/// The rows of the registry, for one machine of it.
///
/// # Errors
/// If a measurement is missing.
pub fn role(book: &Book) -> Result<Role> {
    let way = |what, id: &str| -> Result<Row> {
        let estimate = book.at_target(id)?;
        Ok(Row::new(what, When::Steady, Unit::BytesPerSecond, estimate, format!("`{id}`"))
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
        way("bytes of reports and answers", "registry.wire_bytes_per_s.servers")?
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
        way("lists out, whole for each change", "registry.list_bytes_per_s_each_change.callers")?
            .carried_by("one push for each change"),
        way("lists out, whole each 2 s if changed", "registry.list_bytes_per_s_whole.callers")?
            .carried_by("what the protocol allows today"),
        way("lists out, each caller's subset", "registry.list_bytes_per_s_subset.callers")?
            .carried_by("subsets by the registry")
            .not_built(),
        way("lists out, the changed entry", "registry.list_bytes_per_s_delta.callers")?
            .carried_by("deltas, not in the protocol")
            .not_built(),
    ];
    Ok(Role { id: "registry", rows })
}
