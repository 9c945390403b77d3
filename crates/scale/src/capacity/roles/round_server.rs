//! The role of the round server: the cost of a request, the resources spent on control, and the worst events.

use crate::capacity::assumptions::{
    BUDGETS_OF_CLASSES, CONNECTION_WORK_MS, POOL_CORES, RECONNECT_SECONDS, SUBSET,
};
use crate::capacity::book::Book;
use crate::capacity::estimate::Estimate;
use crate::capacity::row::{Role, Row, Unit, When};
use crate::capacity::target;
use anyhow::Result;

/// Nanoseconds per second, which converts ns/s to a share of a core.
const NS_PER_SECOND: f64 = 1e9;
/// Bytes per kilobyte in the operating system's figures of resident memory.
const KIB: f64 = 1024.0;

/// Returns the role of the round server.
///
/// # Errors
/// Returns an error if a measurement is missing.
pub fn role(book: &Book) -> Result<Role> {
    let mut rows = requests(book)?;
    rows.extend(connections(book)?);
    rows.extend(control_bytes(book)?);
    rows.extend(control_cores(book)?);
    rows.extend(control_memory(book)?);
    rows.extend(events(book)?);
    Ok(Role { id: "round_server", rows })
}

fn requests(book: &Book) -> Result<Vec<Row>> {
    let rate = target::REQUESTS_PER_SERVER;
    let few_tenants = book.at("policy.arrival_ns.tenants", 40.0)?;
    let many_tenants = book.at_target("policy.arrival_ns.tenants")?;
    let growth = Estimate { value: many_tenants.value / few_tenants.value, ..many_tenants.clone() };
    Ok(vec![
        Row::new(
            "added to a request, 99 in 100",
            When::Steady,
            Unit::Milliseconds,
            book.at("daemon.added_ms_p99.rate", rate)?,
            "`daemon.added_ms_p99.rate` at 282/s",
        )
        .limit(target::ADDED_MS_P99)
        .carried_by("daemon, one thread"),
        Row::new(
            "added to a request, 99 in 100, at four times the rate",
            When::Steady,
            Unit::Milliseconds,
            book.at("daemon.added_ms_p99.rate", 4.0 * rate)?,
            "the same at 1,128/s",
        )
        .limit(target::ADDED_MS_P99)
        .carried_by("daemon, one thread"),
        Row::new(
            "an arrival's cost at 390,000 tenants, in times that at 40",
            When::Steady,
            Unit::Count,
            growth,
            "`policy.arrival_ns.tenants`",
        )
        .limit(1.5)
        .carried_by("`src/fading.rs`, names by hash"),
        Row::new(
            "core for the decisions on arrivals",
            When::Steady,
            Unit::CoreShare,
            many_tenants.times(rate / NS_PER_SECOND),
            "`policy.arrival_ns.tenants` x 282/s",
        )
        .limit(1.0)
        .carried_by("decision module"),
    ])
}

fn connections(book: &Book) -> Result<Vec<Row>> {
    let full_mesh = book.at("daemon.memory_kb.connections", target::CALLERS)?.times(KIB);
    let subset = target::CALLERS * SUBSET / target::SERVERS;
    Ok(vec![
        Row::new(
            "memory with a connection from every caller",
            When::Steady,
            Unit::Bytes,
            full_mesh,
            "`daemon.memory_kb.connections` at 150,000",
        )
        .limit(target::CONTROL_MEMORY_BYTES)
        .carried_by("no subsets: every caller connects everywhere"),
        Row::new(
            "memory with a subset's connections",
            When::Steady,
            Unit::Bytes,
            book.at("daemon.memory_kb.connections", subset)?.times(KIB),
            "`daemon.memory_kb.connections` at 150,000 x 20 / 7,100",
        )
        .limit(target::CONTROL_MEMORY_BYTES)
        .carried_by("subsets by the registry")
        .not_built(),
    ])
}

fn control_bytes(book: &Book) -> Result<Vec<Row>> {
    let membership = book.at_target("fleet.churn_bytes_per_second.members")?;
    let registry = book.at_target("registry.wire_bytes_per_s.servers")?.times(1.0 / target::SERVERS);
    let configuration = book.propagated("bytes_per_second_subscriber")?;
    let limits =
        book.at("quota.member_bytes_per_second.budgets", BUDGETS_OF_CLASSES)?.by(Estimate::assumed(1.0));
    let sum = membership.clone().plus(registry.clone()).plus(configuration.clone()).plus(limits.clone());
    let unit = Unit::BytesPerSecond;
    Ok(vec![
        Row::new(
            "bytes: membership",
            When::Steady,
            unit,
            membership,
            "`fleet.churn_bytes_per_second.members`: 44,000 restarts a day",
        )
        .carried_by("`crates/membership` (not in the daemon yet)"),
        Row::new(
            "bytes: reports to the registry",
            When::Steady,
            unit,
            registry,
            "`registry.wire_bytes_per_s.servers` / 7,100",
        )
        .carried_by("daemon"),
        Row::new(
            "bytes: configuration",
            When::ChangeBurst,
            unit,
            configuration,
            "`bytes_per_second_subscriber` of the propagation runs, whose rate is above the mean",
        )
        .carried_by("`crates/config-sync`"),
        Row::new(
            "bytes: fleet limits, 20 budgets",
            When::Steady,
            unit,
            limits,
            "`quota.member_bytes_per_second.budgets` at 20",
        )
        .carried_by("`crates/quota` (not in the daemon yet)"),
        Row::new("**sum of bytes**", When::Steady, unit, sum, "the four above")
            .limit(target::CONTROL_BYTES_PER_SECOND)
            .carried_by("all of the above; two of the four are not in the daemon yet"),
    ])
}

fn control_cores(book: &Book) -> Result<Vec<Row>> {
    let share = 1.0 / NS_PER_SECOND;
    let membership = book.at_target("fleet.churn_cpu_ns_per_second.members")?.times(share);
    let configuration = book.propagated("cpu_share_subscriber")?;
    let reports = Estimate::assumed(0.0005);
    let limits = Estimate::assumed(0.0002);
    let connections = target::CALLERS * SUBSET / target::SERVERS;
    let rest = book.at("daemon.rest_processor_ns_per_s.connections", connections)?.times(share);
    let sum = membership.clone().plus(configuration.clone()).plus(reports.clone()).plus(limits.clone());
    let unit = Unit::CoreShare;
    Ok(vec![
        Row::new(
            "core: membership",
            When::Steady,
            unit,
            membership,
            "`fleet.churn_cpu_ns_per_second.members`, sockets not counted",
        )
        .carried_by("`crates/membership`"),
        Row::new(
            "core: configuration",
            When::ChangeBurst,
            unit,
            configuration,
            "`cpu_share_subscriber` of the propagation runs",
        )
        .carried_by("`crates/config-sync`"),
        Row::new(
            "core: reports to the registry",
            When::Steady,
            unit,
            reports,
            "two reports a second at 250 us each",
        )
        .carried_by("daemon"),
        Row::new(
            "core: the daemon at rest with a subset's connections",
            When::Steady,
            unit,
            rest,
            "`daemon.rest_processor_ns_per_s.connections` at 423; its timers each 5 ms, no control and not in the sum",
        )
        .carried_by("daemon"),
        Row::new(
            "core: fleet limits",
            When::Steady,
            unit,
            limits,
            "two datagrams out and two in a second at 50 us each",
        )
        .carried_by("`crates/quota`"),
        Row::new("**sum of core**", When::Steady, unit, sum, "the four above")
            .limit(target::CONTROL_CORE_SHARE)
            .carried_by("all of the above"),
    ])
}

fn control_memory(book: &Book) -> Result<Vec<Row>> {
    let tables = book.at_target("daemon.memory_kb.tenants")?.times(KIB);
    let view = book.at_target("fleet.view_bytes.members")?;
    let configuration = book.propagated("daemon_kb_max")?.times(KIB);
    let sum = configuration.clone().plus(view.clone());
    Ok(vec![
        Row::new(
            "memory: the daemon with 390,000 tenants from its file",
            When::Steady,
            Unit::Bytes,
            tables,
            "`daemon.memory_kb.tenants`",
        )
        .limit(target::CONTROL_MEMORY_BYTES)
        .carried_by("daemon"),
        Row::new(
            "memory: a daemon with 390,000 tenants and 64,000 routes distributed",
            When::Steady,
            Unit::Bytes,
            configuration,
            "`daemon_kb_max` of the propagation runs: resident memory of a real daemon",
        )
        .carried_by("`crates/config-sync`"),
        Row::new(
            "memory: the view of 7,100 members",
            When::Steady,
            Unit::Bytes,
            view,
            "`fleet.view_bytes.members`",
        )
        .carried_by("`crates/membership`"),
        Row::new(
            "**sum of memory**",
            When::Steady,
            Unit::Bytes,
            sum,
            "the two above: the daemon's whole memory counts",
        )
        .limit(target::CONTROL_MEMORY_BYTES)
        .carried_by("all of the above"),
        Row::new(
            "memory: the peak of a reload with 390,000 tenants from its file",
            When::Steady,
            Unit::Bytes,
            book.at_target("daemon.memory_peak_kb.tenants")?.times(KIB),
            "`daemon.memory_peak_kb.tenants`",
        )
        .limit(target::CONTROL_MEMORY_BYTES)
        .carried_by("daemon; with distributed settings nothing is reloaded"),
        Row::new(
            "time to start with 390,000 tenants",
            When::Steady,
            Unit::Milliseconds,
            book.at_target("daemon.start_ms.tenants")?,
            "`daemon.start_ms.tenants`",
        )
        .carried_by("daemon"),
    ])
}

fn events(book: &Book) -> Result<Vec<Row>> {
    let zone_bytes = book.at_target("fleet.zone_join_bytes_per_second.members")?;
    let connections = Estimate::assumed(target::CALLERS * SUBSET / target::SERVERS);
    let work = connections.by(Estimate::assumed(CONNECTION_WORK_MS / 1000.0 / POOL_CORES));
    Ok(vec![
        Row::new(
            "bytes: membership while a zone joins cold",
            When::ZoneCold,
            Unit::BytesPerSecond,
            zone_bytes,
            "`fleet.zone_join_bytes_per_second.members`",
        )
        .limit(target::CONTROL_BYTES_PER_SECOND)
        .carried_by("`crates/membership`"),
        Row::new(
            "until 99 in 100 know of a rack that failed",
            When::RackLost,
            Unit::Seconds,
            book.at_target("fleet.rack_p99_seconds.members")?,
            "`fleet.rack_p99_seconds.members`",
        )
        .carried_by("`crates/membership`"),
        Row::new(
            "until 99 in 100 know of a zone that failed",
            When::ZoneCold,
            Unit::Seconds,
            book.at_target("fleet.zone_p99_seconds.members")?,
            "`fleet.zone_p99_seconds.members`",
        )
        .carried_by("`crates/membership`"),
        Row::new(
            "work of the machine while all callers reconnect",
            When::CallersReconnect,
            Unit::Seconds,
            work,
            "423 connections x 38 ms / 6 cores",
        )
        .limit(RECONNECT_SECONDS)
        .carried_by("a subset's connections; damping of storms is issue 12")
        .not_built(),
        Row::new(
            "in force again after a region was cut off",
            When::RegionsApart,
            Unit::Milliseconds,
            book.propagated("heal_ms_max")?,
            "`heal_ms_max` of the propagation runs",
        )
        .limit(target::IN_FORCE_MS)
        .carried_by("`crates/config-sync`"),
    ])
}
