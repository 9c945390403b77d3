//! The machines set aside for control, counted.

use crate::capacity::assumptions::{REGION_RELAYS, RELAYS_OF_A_ZONE};
use crate::capacity::book::Book;
use crate::capacity::estimate::Estimate;
use crate::capacity::row::{Role, Row, Unit, When};
use crate::capacity::target;
use anyhow::Result;

/// A publisher and one that stands by with a copy of its store.
const PUBLISHERS: f64 = 2.0;
/// Registry: the platform's own; its machines are counted here as two.
const REGISTRIES: f64 = 2.0;
/// Machines for the collector of the usage ledger.
const COLLECTORS: f64 = 1.0;

/// The rows of the machines.
///
/// # Errors
/// If a measurement is missing.
pub fn role(book: &Book) -> Result<Role> {
    let zone_relays = target::ZONES * RELAYS_OF_A_ZONE;
    let sum = PUBLISHERS + REGION_RELAYS + zone_relays + REGISTRIES + COLLECTORS;
    // Enough for the measured load with the other relay of the zone lost: what one core of a machine bears.
    let by_load = book.propagated("cpu_share_relay")?;
    let count = |what, number, formula: &str| {
        Row::new(what, When::Steady, Unit::Count, Estimate::assumed(number), formula)
    };
    let rows = vec![
        count(
            "publisher and its stand-by",
            PUBLISHERS,
            "one writer; the stand-by's copy of the store is issue 24",
        )
        .carried_by("`crates/config-sync`; the stand-by is not built"),
        count("region relays", REGION_RELAYS, "one a region").carried_by("`crates/config-sync`"),
        count("zone relays", zone_relays, "two a zone").carried_by("`crates/config-sync`"),
        count("registry", REGISTRIES, "the platform's").carried_by("the platform"),
        count("collector of the usage ledger", COLLECTORS, "one").carried_by("`crates/ledger`, stand-in"),
        count("allocators of fleet limits", 0.0, "on round servers and zone relays, no machine of their own")
            .carried_by("`crates/quota`"),
        Row::new("**sum of machines**", When::Steady, Unit::Count, Estimate::assumed(sum), "the six above")
            .limit(target::CONTROL_MACHINES)
            .carried_by("all of the above"),
        Row::new(
            "core of a relay, of the one that its thread can use",
            When::ChangeBurst,
            Unit::CoreShare,
            by_load,
            "`cpu_share_relay` of the propagation runs",
        )
        .limit(1.0)
        .carried_by("`crates/config-sync`"),
    ];
    Ok(Role { id: "control_machines", rows })
}
