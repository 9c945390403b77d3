//! The number of machines reserved for control.

use crate::capacity::assumptions::{REGION_RELAYS, RELAYS_OF_A_ZONE};
use crate::capacity::book::Book;
use crate::capacity::estimate::Estimate;
use crate::capacity::row::{Role, Row, Unit, When};
use crate::capacity::target;
use anyhow::Result;

/// Number of publishers: an active one and a standby with a copy of its store.
const PUBLISHERS: f64 = 2.0;
/// Number of registry machines. The registry belongs to the platform; it is counted here as two machines.
const REGISTRIES: f64 = 2.0;
/// Number of machines for the collector of the usage ledger.
const COLLECTORS: f64 = 1.0;

/// Returns the role of the control machines.
///
/// # Errors
/// Returns an error if a measurement is missing.
pub fn role(book: &Book) -> Result<Role> {
    let zone_relays = target::ZONES * RELAYS_OF_A_ZONE;
    let sum = PUBLISHERS + REGION_RELAYS + zone_relays + REGISTRIES + COLLECTORS;
    // One relay can carry the measured load with the other relay of its zone lost, as long as its thread needs at
    // most one core.
    let relay_core_share = book.propagated("cpu_share_relay")?;
    let count = |name, number, formula: &str| {
        Row::new(name, When::Steady, Unit::Count, Estimate::assumed(number), formula)
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
            relay_core_share,
            "`cpu_share_relay` of the propagation runs",
        )
        .limit(1.0)
        .carried_by("`crates/config-sync`"),
    ];
    Ok(Role { id: "control_machines", rows })
}
