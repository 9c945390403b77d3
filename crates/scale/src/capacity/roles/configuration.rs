//! The roles of the configuration publisher and of its relays.

use crate::capacity::assumptions::{
    COLD_ZONE_SECONDS, CONTROL_MACHINE_BYTES_PER_SECOND, CONTROL_MACHINE_MEMORY_BYTES, REGION_RELAYS,
    RELAYS_OF_A_ZONE,
};
use crate::capacity::book::Book;
use crate::capacity::estimate::Estimate;
use crate::capacity::row::{Role, Row, Unit, When};
use crate::capacity::target;
use anyhow::Result;

/// Bytes per kilobyte in the operating system's figures of resident memory.
const KIB: f64 = 1024.0;

/// Returns the role of the publisher.
///
/// # Errors
/// Returns an error if a measurement is missing.
pub fn publisher(book: &Book) -> Result<Role> {
    let burst = target::CHANGES_PER_SECOND * target::CHANGE_BURST;
    let commit = book.at("store.commit_us.records", 1.0)?.times(1e-6 * burst);
    let rows = vec![
        Row::new(
            "changes, mean",
            When::Steady,
            Unit::PerSecond,
            Estimate::exact(target::CHANGES_PER_SECOND),
            "22,000 / 86,400",
        )
        .carried_by("`crates/config-sync` publisher"),
        Row::new(
            "changes, burst",
            When::ChangeBurst,
            Unit::PerSecond,
            Estimate::exact(burst),
            "100 times the mean",
        )
        .carried_by("`crates/config-sync` publisher"),
        Row::new(
            "share of time in commits, one sync a change",
            When::ChangeBurst,
            Unit::Count,
            commit,
            "`store.commit_us.records` at 1 x 25.5/s",
        )
        .limit(1.0)
        .carried_by("`crates/store`"),
        Row::new(
            "sessions",
            When::Steady,
            Unit::Count,
            Estimate::assumed(REGION_RELAYS),
            "a relay of each region",
        )
        .carried_by("`crates/config-sync` publisher"),
        Row::new(
            "in force everywhere reachable, slowest change",
            When::ChangeBurst,
            Unit::Milliseconds,
            book.propagated("in_force_ms_max")?,
            "`in_force_ms_max` of the propagation runs, relays killed and stopped meanwhile",
        )
        .limit(target::IN_FORCE_MS)
        .carried_by("`crates/config-sync`"),
    ];
    Ok(Role { id: "publisher", rows })
}

/// Returns the role of a relay.
///
/// # Errors
/// Returns an error if a measurement is missing.
pub fn relay(book: &Book) -> Result<Role> {
    let mut rows = relay_session_rows();
    rows.extend(relay_load_rows(book)?);
    rows.extend(relay_restart_rows(book)?);
    Ok(Role { id: "relay", rows })
}

/// Returns the rows of the sessions that a zone's relay serves.
fn relay_session_rows() -> Vec<Row> {
    let sessions_per_relay = target::SERVERS_OF_A_ZONE / RELAYS_OF_A_ZONE;
    let sessions_after_loss = target::SERVERS_OF_A_ZONE;
    vec![
        Row::new(
            "sessions of a zone's relay",
            When::Steady,
            Unit::Count,
            Estimate::assumed(sessions_per_relay),
            "444 / 2",
        )
        .carried_by("rendezvous order in the zone"),
        Row::new(
            "sessions with the other one lost",
            When::RackLost,
            Unit::Count,
            Estimate::assumed(sessions_after_loss),
            "444",
        )
        .carried_by("rendezvous order in the zone"),
    ]
}

/// Returns the rows of a relay's network traffic, processor time and memory.
fn relay_load_rows(book: &Book) -> Result<Vec<Row>> {
    Ok(vec![
        Row::new(
            "bytes out",
            When::ChangeBurst,
            Unit::BytesPerSecond,
            book.propagated("bytes_per_second_relay")?,
            "`bytes_per_second_relay` of the propagation runs",
        )
        .limit(CONTROL_MACHINE_BYTES_PER_SECOND)
        .carried_by("`crates/config-sync` relay"),
        Row::new(
            "core",
            When::ChangeBurst,
            Unit::CoreShare,
            book.propagated("cpu_share_relay")?,
            "`cpu_share_relay` of the propagation runs",
        )
        .limit(1.0)
        .carried_by("`crates/config-sync` relay, one thread"),
        Row::new(
            "memory",
            When::Steady,
            Unit::Bytes,
            book.propagated("kb_relay_max")?.times(KIB),
            "`kb_relay_max` of the propagation runs",
        )
        .limit(CONTROL_MACHINE_MEMORY_BYTES)
        .carried_by("`crates/config-sync` relay"),
    ])
}

/// Returns the rows of a relay whose zone starts, with its state on disk or without any.
fn relay_restart_rows(book: &Book) -> Result<Vec<Row>> {
    let from_disk = book.propagated("cold_zone_ms")?;
    let snapshot = book.at_target("config.snapshot_bytes.resources")?;
    let cold_rate = snapshot.times(target::SERVERS_OF_A_ZONE / RELAYS_OF_A_ZONE / COLD_ZONE_SECONDS);
    Ok(vec![
        Row::new(
            "a zone restarted from its state on disk, until in force",
            When::ZoneCold,
            Unit::Milliseconds,
            from_disk,
            "`cold_zone_ms` of the propagation runs",
        )
        .limit(target::IN_FORCE_MS)
        .carried_by("state on disk, then the difference"),
        Row::new(
            "bytes out for a zone with nothing on disk, in 60 s",
            When::ZoneCold,
            Unit::BytesPerSecond,
            cold_rate,
            "`config.snapshot_bytes.resources` x 444 / 2 / 60 s",
        )
        .limit(CONTROL_MACHINE_BYTES_PER_SECOND)
        .carried_by("snapshots in bounded pieces, a bounded number at once"),
    ])
}
