//! Which figures of the scenes become slopes.

use super::Played;
use super::days::{CalmDays, Days, LOSS, RESTARTS_PER_DAY, TARGET_MEMBERS};
use crate::fit::Quantity;
use crate::slope::{Point, Slope};

/// A figure of the scenes, which becomes a slope against the members.
pub struct Series<Scenes: 'static> {
    id: &'static str,
    quantity: &'static str,
    unit: &'static str,
    fixed: &'static [(&'static str, f64)],
    figure: fn(&Scenes) -> f64,
}

impl<Scenes> Series<Scenes> {
    /// The slope through what was played, and through the large run if there is one.
    pub fn slope(&self, played: &[(Played, Scenes)], large: &[(Played, Scenes)]) -> Slope {
        let point = |((size, seed), scenes): &(Played, Scenes)| {
            Point::of(*size as f64, *seed, &[(self.figure)(scenes)])
        };
        let Series { id, quantity, unit, fixed, .. } = *self;
        let target_size = TARGET_MEMBERS as f64;
        let quantity = Quantity { id, quantity, unit, against: "members", fixed, target_size };
        quantity.slope(played.iter().chain(large).map(point).collect())
    }
}

const BYTES: &str = "bytes/s/member";
const DATAGRAMS: &str = "datagrams/s/member";
const PROCESSOR: &str = "ns/s/member";
const SECONDS: &str = "s";
const PART: &str = "of all members";

/// The settings that the figures hang on, ms.
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

const fn series<Scenes>(
    id: &'static str,
    quantity: &'static str,
    unit: &'static str,
    fixed: &'static [(&'static str, f64)],
    figure: fn(&Scenes) -> f64,
) -> Series<Scenes> {
    Series { id, quantity, unit, fixed, figure }
}

/// Of the scenes that the large run has as well.
#[rustfmt::skip]
pub const CALM_SERIES: &[Series<CalmDays>] = &[
    series("fleet.steady_bytes_per_second.members", "sent while nothing happens", BYTES, SETTINGS, |days| days.steady.bytes),
    series("fleet.steady_datagrams_per_second.members", "sent while nothing happens", DATAGRAMS, SETTINGS, |days| days.steady.datagrams),
    series("fleet.steady_cpu_ns_per_second.members", "processor time while nothing happens", PROCESSOR, SETTINGS, |days| days.steady.processor_ns),
    series("fleet.join_seconds.members", "until all know that one joined", SECONDS, SETTINGS, |days| days.join.all),
    series("fleet.join_p99_seconds.members", "until 99 in 100 know that one joined", SECONDS, SETTINGS, |days| days.join.most),
    series("fleet.joiner_knows.members", "what one that joined knows 6 s after all others know of it", PART, SETTINGS, |days| days.joiner_knows),
    series("fleet.failure_seconds.members", "until all know that one failed", SECONDS, SETTINGS, |days| days.failure.all),
    series("fleet.failure_p99_seconds.members", "until 99 in 100 know that one failed", SECONDS, SETTINGS, |days| days.failure.most),
];

/// Of the other scenes.
#[rustfmt::skip]
pub const SERIES: &[Series<Days>] = &[
    series("fleet.lossy_bytes_per_second.members", "sent while 1% of datagrams is lost", BYTES, LOSSY, |days| days.lossy.bytes),
    series("fleet.lossy_datagrams_per_second.members", "sent while 1% of datagrams is lost", DATAGRAMS, LOSSY, |days| days.lossy.datagrams),
    series("fleet.lossy_cpu_ns_per_second.members", "processor time while 1% of datagrams is lost", PROCESSOR, LOSSY, |days| days.lossy.processor_ns),
    series("fleet.lossy_false_downs.members", "times a running member was declared down in 30 s", "downs", LOSSY, |days| days.lossy_downs),
    series("fleet.churn_bytes_per_second.members", "sent while members are restarted", BYTES, CHURN, |days| days.churn.bytes),
    series("fleet.churn_datagrams_per_second.members", "sent while members are restarted", DATAGRAMS, CHURN, |days| days.churn.datagrams),
    series("fleet.churn_cpu_ns_per_second.members", "processor time while members are restarted", PROCESSOR, CHURN, |days| days.churn.processor_ns),
    series("fleet.rack_seconds.members", "until all know that a rack failed (40, a tenth of a fleet below 400)", SECONDS, SETTINGS, |days| days.rack.all),
    series("fleet.rack_p99_seconds.members", "until 99 in 100 know of each of a rack that failed", SECONDS, SETTINGS, |days| days.rack.most),
    series("fleet.rack_bytes_per_second.members", "sent until all know that a rack failed", BYTES, SETTINGS, |days| days.rack.cost.bytes),
    series("fleet.zone_seconds.members", "until all know that a zone failed (444 of 7,100)", SECONDS, SETTINGS, |days| days.zone.all),
    series("fleet.zone_p99_seconds.members", "until 99 in 100 know of each of a zone that failed", SECONDS, SETTINGS, |days| days.zone.most),
    series("fleet.zone_bytes_per_second.members", "sent until all know that a zone failed", BYTES, SETTINGS, |days| days.zone.cost.bytes),
    series("fleet.zone_cpu_ns_per_second.members", "processor time until all know that a zone failed", PROCESSOR, SETTINGS, |days| days.zone.cost.processor_ns),
    series("fleet.zone_join_seconds.members", "until all others know that a zone joined cold", SECONDS, SETTINGS, |days| days.zone_join.all),
    series("fleet.zone_join_bytes_per_second.members", "sent until all others know that a zone joined cold", BYTES, SETTINGS, |days| days.zone_join.cost.bytes),
    series("fleet.zone_join_cpu_ns_per_second.members", "processor time until all others know that a zone joined cold", PROCESSOR, SETTINGS, |days| days.zone_join.cost.processor_ns),
    series("fleet.zone_joiner_knows.members", "what the least knowing one of the zone knows 2 s after all others know of them", PART, SETTINGS, |days| days.zone_knows),
];
