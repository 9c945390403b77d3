//! Roles around the round server: allocator of fleet limits, worker pool, next tier and collector of the
//! usage ledger.

use crate::capacity::assumptions::{
    BUDGETS_OF_CLASSES, CALLS_PER_REQUEST, CONTROL_MACHINE_BYTES_PER_SECOND, CONTROL_MACHINE_MEMORY_BYTES,
    LEASE_SECONDS, LEDGER_PERIOD_SECONDS, REQUESTS_PER_LEASE, TENANTS_PER_SERVER_AND_PERIOD,
};
use crate::capacity::book::Book;
use crate::capacity::estimate::Estimate;
use crate::capacity::row::{Role, Row, Unit, When};
use crate::capacity::target;
use anyhow::Result;

/// Nanoseconds per second.
const NS_PER_SECOND: f64 = 1e9;

/// Returns the role of an allocator of fleet limits.
///
/// # Errors
/// Returns an error if a measurement is missing.
pub fn quota_allocator(book: &Book) -> Result<Role> {
    let mut rows = quota_request_rows(book)?;
    rows.extend(quota_memory_rows(book)?);
    rows.push(
        Row::new(
            "extras still in use after a cut",
            When::RegionsApart,
            Unit::Seconds,
            Estimate::assumed(LEASE_SECONDS),
            "one lease",
        )
        .carried_by("`crates/quota`: the guaranteed minimum stays"),
    );
    Ok(Role { id: "quota_allocator", rows })
}

/// Returns the rows of an allocator's lease requests: their rate, and their share of a core.
fn quota_request_rows(book: &Book) -> Result<Vec<Row>> {
    let requests = target::SERVERS * REQUESTS_PER_LEASE / LEASE_SECONDS;
    let request_ns = book.at_target("quota.ask_ns.members")?;
    let core_share = |budgets: f64| request_ns.clone().times(requests * budgets / NS_PER_SECOND);
    let class_budgets_share = core_share(BUDGETS_OF_CLASSES).by(Estimate::assumed(1.0));
    let tenant_budgets_share = core_share(target::TENANTS).by(Estimate::assumed(1.0));
    let zone_requests = target::SERVERS_OF_A_ZONE * REQUESTS_PER_LEASE / LEASE_SECONDS;
    let by_zone = book
        .at("quota.ask_ns.members", target::SERVERS_OF_A_ZONE)?
        .times(zone_requests * BUDGETS_OF_CLASSES / NS_PER_SECOND)
        .by(Estimate::assumed(1.0));
    Ok(vec![
        Row::new(
            "asks for one budget",
            When::Steady,
            Unit::PerSecond,
            Estimate::assumed(requests),
            "7,100 x 4 a lease of 2 s",
        )
        .carried_by("`crates/quota`"),
        Row::new(
            "core, one budget, one allocator for all",
            When::Steady,
            Unit::CoreShare,
            request_ns.clone().times(requests / NS_PER_SECOND),
            "`quota.ask_ns.members` x 14,200/s, sockets not counted",
        )
        .limit(1.0)
        .carried_by("`crates/quota`"),
        Row::new(
            "core, 20 budgets of classes, one allocator",
            When::Steady,
            Unit::CoreShare,
            class_budgets_share,
            "the same x 20",
        )
        .limit(1.0)
        .carried_by("`crates/quota`, flat"),
        Row::new(
            "core, 20 budgets of classes, an allocator a zone",
            When::Steady,
            Unit::CoreShare,
            by_zone,
            "`quota.ask_ns.members` at 444 x 888/s x 20",
        )
        .limit(1.0)
        .carried_by("hierarchy by zone and region")
        .not_built(),
        Row::new(
            "core, a budget a tenant, one allocator",
            When::Steady,
            Unit::CoreShare,
            tenant_budgets_share,
            "the same x 390,000",
        )
        .limit(1.0)
        .carried_by("`crates/quota`, flat; a budget a tenant needs asks for active tenants alone"),
    ])
}

/// Returns the rows of an allocator's memory.
fn quota_memory_rows(book: &Book) -> Result<Vec<Row>> {
    let memory = book.at_target("quota.allocator_bytes.members")?;
    Ok(vec![
        Row::new(
            "memory, 20 budgets",
            When::Steady,
            Unit::Bytes,
            memory.clone().times(BUDGETS_OF_CLASSES),
            "`quota.allocator_bytes.members` x 20",
        )
        .limit(target::CONTROL_MEMORY_BYTES)
        .carried_by("`crates/quota`: every member keeps one"),
        Row::new(
            "memory, a budget a tenant",
            When::Steady,
            Unit::Bytes,
            memory.times(target::TENANTS),
            "`quota.allocator_bytes.members` x 390,000",
        )
        .limit(CONTROL_MACHINE_MEMORY_BYTES)
        .carried_by("`crates/quota`, flat"),
    ])
}

/// Returns the role of a worker pool.
///
/// # Errors
/// Returns an error if a measurement is missing.
pub fn worker_pool(book: &Book) -> Result<Role> {
    let rate = target::REQUESTS_PER_SERVER;
    let rows = vec![
        Row::new("requests", When::Steady, Unit::PerSecond, Estimate::exact(rate), "2,000,000 / 7,100")
            .carried_by("pool link of the daemon"),
        Row::new(
            "requests while a zone of its region is lost",
            When::ZoneCold,
            Unit::PerSecond,
            Estimate::exact(rate * target::ZONES / (target::ZONES - 1.0)),
            "x 16 / 15, spread over the fleet",
        )
        .carried_by("subsets filled from the region; overload level and refusals past it"),
        Row::new(
            "the stand-in's own latency, 99 in 100",
            When::Steady,
            Unit::Milliseconds,
            book.at("daemon.pool_ms_p99.rate", rate)?,
            "`daemon.pool_ms_p99.rate`",
        )
        .carried_by("stand-in: the platform's own pool is not measured"),
        Row::new(
            "connections",
            When::Steady,
            Unit::Count,
            Estimate::exact(1.0),
            "one link, made again when it breaks",
        )
        .carried_by("pool link of the daemon"),
    ];
    Ok(Role { id: "worker_pool", rows })
}

/// Returns the role of the next tier.
///
/// # Errors
/// Returns no error at present, because its figures follow from the target alone.
pub fn next_tier() -> Result<Role> {
    let calls = target::REQUESTS_PER_SECOND * CALLS_PER_REQUEST;
    let rows = vec![
        Row::new("calls", When::Steady, Unit::PerSecond, Estimate::assumed(calls), "2,000,000 x 1 a request")
            .carried_by("each server's share of the calls, from its settings"),
        Row::new(
            "servers that call it",
            When::Steady,
            Unit::Count,
            Estimate::exact(target::SERVERS),
            "7,100, each with a connection for each call under way",
        )
        .carried_by("`src/node/index.rs`"),
        Row::new(
            "share kept when servers come and go",
            When::ZoneCold,
            Unit::Count,
            Estimate::assumed(target::SERVERS / (target::SERVERS - target::SERVERS_OF_A_ZONE)),
            "fixed shares of 7,100 while 444 are lost: that part of the calls goes unused, in times",
        )
        .carried_by("fleet limits on calls in flight")
        .not_built(),
    ];
    Ok(Role { id: "next_tier", rows })
}

/// Returns the role of the collector of the usage ledger.
///
/// # Errors
/// Returns an error if a measurement is missing.
pub fn ledger_collector(book: &Book) -> Result<Role> {
    let batch =
        book.at("ledger.batch_bytes.tenants", TENANTS_PER_SERVER_AND_PERIOD)?.by(Estimate::assumed(1.0));
    let per_second = batch.clone().times(target::SERVERS / LEDGER_PERIOD_SECONDS);
    let burst = batch.clone().times(target::SERVERS / 60.0);
    let mut rows = vec![
        Row::new(
            "bytes of a server's batches a period",
            When::Steady,
            Unit::Bytes,
            batch,
            "`ledger.batch_bytes.tenants` at 190,000 tenants in 15 min",
        )
        .carried_by("`crates/ledger`"),
        Row::new(
            "bytes in, spread over the period",
            When::Steady,
            Unit::BytesPerSecond,
            per_second,
            "the same x 7,100 / 900 s",
        )
        .limit(CONTROL_MACHINE_BYTES_PER_SECOND)
        .carried_by("one collector; a collector a region"),
        Row::new(
            "bytes in, all within a minute of the close",
            When::RegionsApart,
            Unit::BytesPerSecond,
            burst,
            "the same x 7,100 / 60 s",
        )
        .limit(CONTROL_MACHINE_BYTES_PER_SECOND)
        .carried_by("jitter of the exports over the period")
        .not_built(),
    ];
    rows.extend(ledger_server_rows(book)?);
    Ok(Role { id: "ledger_collector", rows })
}

/// Returns the rows of the ledger's memory, disk and recovery time at each server.
fn ledger_server_rows(book: &Book) -> Result<Vec<Row>> {
    let table =
        book.at("ledger.table_bytes.tenants", TENANTS_PER_SERVER_AND_PERIOD)?.by(Estimate::assumed(1.0));
    Ok(vec![
        Row::new(
            "memory of a server's open aggregates",
            When::Steady,
            Unit::Bytes,
            table,
            "`ledger.table_bytes.tenants` at 190,000",
        )
        .limit(target::CONTROL_MEMORY_BYTES)
        .carried_by("`crates/ledger`"),
        Row::new(
            "disk of a server",
            When::Steady,
            Unit::BytesPerSecond,
            book.at_target("ledger.disk_bytes_per_second.tenants")?,
            "`ledger.disk_bytes_per_second.tenants`",
        )
        .carried_by("`crates/store`"),
        Row::new(
            "recovery of a server's store after an hour",
            When::Steady,
            Unit::Milliseconds,
            book.at_target("store.recovery_ms.records")?,
            "`store.recovery_ms.records` at an hour of 282/s",
        )
        .carried_by("`crates/store`"),
    ])
}
