//! The role of a caller: its connections, and the server lists that it receives.

use crate::capacity::assumptions::SUBSET;
use crate::capacity::book::Book;
use crate::capacity::estimate::Estimate;
use crate::capacity::row::{Role, Row, Unit, When};
use crate::capacity::target;
use anyhow::Result;

/// Number of standard deviations by which the most loaded of 7,100 servers exceeds the mean when callers
/// choose independently.
const MOST_LOADED_DEVIATIONS: f64 = 3.8;
/// Number of connections that a caller's process can hold in addition to its other file descriptors.
const CALLER_CONNECTIONS: f64 = 1_000.0;
/// Network bytes per second that the lists may use at a caller: as much as a round server may spend on
/// control.
const LIST_BYTES_PER_SECOND: f64 = target::CONTROL_BYTES_PER_SECOND;

/// Returns the role of a caller.
///
/// # Errors
/// Returns an error if a measurement is missing.
pub fn role(book: &Book) -> Result<Role> {
    let mean = target::CALLERS * SUBSET / target::SERVERS;
    let most_loaded = mean + MOST_LOADED_DEVIATIONS * mean.sqrt();
    let rate = target::REQUESTS_PER_SECOND / target::CALLERS / SUBSET;
    let mut rows = vec![
        Row::new(
            "connections, to every server",
            When::Steady,
            Unit::Count,
            Estimate::exact(target::SERVERS),
            "7,100",
        )
        .limit(CALLER_CONNECTIONS)
        .carried_by("no subsets"),
        Row::new("connections, to a subset", When::Steady, Unit::Count, Estimate::assumed(SUBSET), "20")
            .limit(CALLER_CONNECTIONS)
            .carried_by("subsets by the registry")
            .not_built(),
        Row::new(
            "connections of the most loaded server",
            When::Steady,
            Unit::Count,
            Estimate::assumed(most_loaded),
            "mean 150,000 x 20 / 7,100 and 3.8 deviations",
        )
        .carried_by("rendezvous hashing in the zone")
        .not_built(),
        Row::new(
            "requests a second on each connection",
            When::Steady,
            Unit::PerSecond,
            Estimate::assumed(rate),
            "2,000,000 / 150,000 / 20",
        )
        .carried_by("subsets by the registry")
        .not_built(),
    ];
    rows.extend(list_rows(book)?);
    Ok(Role { id: "caller", rows })
}

/// Returns the rows of the server lists that a caller receives.
fn list_rows(book: &Book) -> Result<Vec<Row>> {
    let per_caller = 1.0 / target::CALLERS;
    let whole = book.at_target("registry.list_bytes_per_s_whole.callers")?.times(per_caller);
    let subset = book.at_target("registry.list_bytes_per_s_subset.callers")?.times(per_caller);
    Ok(vec![
        Row::new(
            "bytes of lists, whole lists",
            When::Steady,
            Unit::BytesPerSecond,
            whole,
            "`registry.list_bytes_per_s_whole.callers` / 150,000",
        )
        .limit(LIST_BYTES_PER_SECOND)
        .carried_by("the platform's registry today"),
        Row::new(
            "bytes of lists, a subset's",
            When::Steady,
            Unit::BytesPerSecond,
            subset,
            "`registry.list_bytes_per_s_subset.callers` / 150,000",
        )
        .limit(LIST_BYTES_PER_SECOND)
        .carried_by("subsets by the registry")
        .not_built(),
    ])
}
