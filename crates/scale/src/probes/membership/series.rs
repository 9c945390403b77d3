//! Definitions of the slopes that are computed from the results of the scenarios.

use super::case::Case;
use super::scenarios::{LOSS, RESTARTS_PER_DAY, Results, SingleResults, TARGET_MEMBERS};
use crate::fit::Quantity;
use crate::slope::{Point, Slope};

/// A figure of the scenarios that becomes a slope as a function of the number of members.
pub struct Series<Outcome: 'static> {
    id: &'static str,
    quantity: &'static str,
    unit: &'static str,
    fixed: &'static [(&'static str, f64)],
    figure: fn(&Outcome) -> f64,
}

impl<Outcome> Series<Outcome> {
    /// Returns the slope through the measured results, and through the large run if there is one.
    pub fn slope(&self, measured: &[(Case, Outcome)], large: &[(Case, Outcome)]) -> Slope {
        let point = |(case, results): &(Case, Outcome)| {
            Point::of(case.size as f64, case.seed, &[(self.figure)(results)])
        };
        let Series { id, quantity, unit, fixed, .. } = *self;
        let target_size = TARGET_MEMBERS as f64;
        let quantity = Quantity { id, quantity, unit, against: "members", fixed, target_size };
        quantity.slope(measured.iter().chain(large).map(point).collect())
    }
}

const BYTES: &str = "bytes/s/member";
const DATAGRAMS: &str = "datagrams/s/member";
const PROCESSOR: &str = "ns/s/member";
const SECONDS: &str = "s";
const PART: &str = "of all members";

/// Parameters that the figures depend on.
const SETTINGS: &[(&str, f64)] =
    &[("probe_period_ms", 1_000.0), ("suspect_to_down_ms", 4_000.0), ("headers_bytes", 28.0)];

const LOSSY: &[(&str, f64)] =
    &[("probe_period_ms", 1_000.0), ("suspect_to_down_ms", 4_000.0), ("headers_bytes", 28.0), ("loss", LOSS)];

const CHURN: &[(&str, f64)] = &[
    ("probe_period_ms", 1_000.0),
    ("suspect_to_down_ms", 4_000.0),
    ("headers_bytes", 28.0),
    ("restarts_per_day", RESTARTS_PER_DAY as f64),
];

const fn series<Outcome>(
    id: &'static str,
    quantity: &'static str,
    unit: &'static str,
    fixed: &'static [(&'static str, f64)],
    figure: fn(&Outcome) -> f64,
) -> Series<Outcome> {
    Series { id, quantity, unit, fixed, figure }
}

/// Series of the scenarios that are part of the large run too.
#[rustfmt::skip]
pub const SINGLE_SERIES: &[Series<SingleResults>] = &[
    series("fleet.steady_bytes_per_second.members", "sent while nothing happens", BYTES, SETTINGS, |results| results.steady.bytes),
    series("fleet.steady_datagrams_per_second.members", "sent while nothing happens", DATAGRAMS, SETTINGS, |results| results.steady.datagrams),
    series("fleet.steady_cpu_ns_per_second.members", "processor time while nothing happens", PROCESSOR, SETTINGS, |results| results.steady.processor_ns),
    series("fleet.join_seconds.members", "until all know that one joined", SECONDS, SETTINGS, |results| results.join.all),
    series("fleet.join_p99_seconds.members", "until 99 in 100 know that one joined", SECONDS, SETTINGS, |results| results.join.p99),
    series("fleet.joiner_knows.members", "what one that joined knows 6 s after all others know of it", PART, SETTINGS, |results| results.joiner_knows),
    series("fleet.failure_seconds.members", "until all know that one failed", SECONDS, SETTINGS, |results| results.failure.all),
    series("fleet.failure_p99_seconds.members", "until 99 in 100 know that one failed", SECONDS, SETTINGS, |results| results.failure.p99),
];

/// Series of the other scenarios.
#[rustfmt::skip]
pub const SERIES: &[Series<Results>] = &[
    series("fleet.lossy_bytes_per_second.members", "sent while 1% of datagrams is lost", BYTES, LOSSY, |results| results.lossy.bytes),
    series("fleet.lossy_datagrams_per_second.members", "sent while 1% of datagrams is lost", DATAGRAMS, LOSSY, |results| results.lossy.datagrams),
    series("fleet.lossy_cpu_ns_per_second.members", "processor time while 1% of datagrams is lost", PROCESSOR, LOSSY, |results| results.lossy.processor_ns),
    series("fleet.lossy_false_downs.members", "times a running member was declared down in 30 s", "downs", LOSSY, |results| results.lossy_downs),
    series("fleet.churn_bytes_per_second.members", "sent while members are restarted", BYTES, CHURN, |results| results.churn.bytes),
    series("fleet.churn_datagrams_per_second.members", "sent while members are restarted", DATAGRAMS, CHURN, |results| results.churn.datagrams),
    series("fleet.churn_cpu_ns_per_second.members", "processor time while members are restarted", PROCESSOR, CHURN, |results| results.churn.processor_ns),
    series("fleet.rack_seconds.members", "until all know that a rack failed (40, a tenth of a fleet below 400)", SECONDS, SETTINGS, |results| results.rack.all),
    series("fleet.rack_p99_seconds.members", "until 99 in 100 know of each of a rack that failed", SECONDS, SETTINGS, |results| results.rack.p99),
    series("fleet.rack_bytes_per_second.members", "sent until all know that a rack failed", BYTES, SETTINGS, |results| results.rack.cost.bytes),
    series("fleet.zone_seconds.members", "until all know that a zone failed (444 of 7,100)", SECONDS, SETTINGS, |results| results.zone.all),
    series("fleet.zone_p99_seconds.members", "until 99 in 100 know of each of a zone that failed", SECONDS, SETTINGS, |results| results.zone.p99),
    series("fleet.zone_bytes_per_second.members", "sent until all know that a zone failed", BYTES, SETTINGS, |results| results.zone.cost.bytes),
    series("fleet.zone_cpu_ns_per_second.members", "processor time until all know that a zone failed", PROCESSOR, SETTINGS, |results| results.zone.cost.processor_ns),
    series("fleet.zone_join_seconds.members", "until all others know that a zone joined cold", SECONDS, SETTINGS, |results| results.zone_join.all),
    series("fleet.zone_join_bytes_per_second.members", "sent until all others know that a zone joined cold", BYTES, SETTINGS, |results| results.zone_join.cost.bytes),
    series("fleet.zone_join_cpu_ns_per_second.members", "processor time until all others know that a zone joined cold", PROCESSOR, SETTINGS, |results| results.zone_join.cost.processor_ns),
    series("fleet.zone_joiner_knows.members", "what the least knowing one of the zone knows 2 s after all others know of them", PART, SETTINGS, |results| results.zone_knows),
];
