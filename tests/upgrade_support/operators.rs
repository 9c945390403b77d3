//! Calls of the control endpoint, and the comparison of the server's telemetry with the clients' counts.

use crate::upgrade_support::http::{HttpReply, call};
use crate::upgrade_support::process::ServerProcess;
use crate::upgrade_support::records::{Outcome, Records};
use crate::upgrade_support::settings::CLASSES;
use crate::upgrade_support::site::Site;
use serde_json::Value;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Maximum duration of a call of the control endpoint.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Tolerated difference of two counts: this number, or the fraction for the kind of count if that is more.
pub const COUNT_TOLERANCE: f64 = 3.0;
const COUNT_TOLERANCE_PART: f64 = 0.01;
const ATTEMPT_TOLERANCE_PART: f64 = 0.02;
const IN_FLIGHT_TOLERANCE_PART: f64 = 0.1;

/// Calls the control endpoint of a process.
///
/// # Panics
/// Panics if the call is not answered in time.
pub fn operators_call(process: &ServerProcess, method: &str, path: &str) -> HttpReply {
    let control = process.control.expect("the process has a control endpoint");
    let reply = call(control, method, path).unwrap_or_else(|error| panic!("{method} {path}: {error}"));
    assert!(reply.took < CALL_LIMIT, "{method} {path} took {:?}", reply.took);
    reply
}

/// Returns the telemetry of a process.
pub fn telemetry(process: &ServerProcess) -> Value {
    let reply = operators_call(process, "GET", "/api/telemetry");
    assert!(reply.is_success(), "{reply:?}");
    reply.json()
}

fn figure(telemetry: &Value, class: &str, name: &str) -> u64 {
    let figure = &telemetry["requests"][class][name];
    figure.as_u64().unwrap_or_else(|| panic!("no figure {class} {name}: {telemetry}"))
}

/// Returns the number of requests in flight.
pub fn in_flight(telemetry: &Value) -> u64 {
    telemetry["in_flight"].as_u64().unwrap_or_else(|| panic!("no figure in_flight: {telemetry}"))
}

/// Returns whether the stated number of requests in flight agrees, within the tolerance, with the range of
/// the number that clients waited for meanwhile.
pub fn is_in_flight(stated: u64, waiting: RangeInclusive<u64>) -> bool {
    let (min, max) = (*waiting.start() as f64, *waiting.end() as f64);
    let tolerance = COUNT_TOLERANCE.max(max * IN_FLIGHT_TOLERANCE_PART);
    (min - tolerance..=max + tolerance).contains(&(stated as f64))
}

fn agrees(stated: u64, true_count: usize, part: f64) -> bool {
    let (stated, true_count) = (stated as f64, true_count as f64);
    (stated - true_count).abs() <= COUNT_TOLERANCE.max(true_count * part)
}

/// Returns the counts that differ from those of the clients and of the machine; counts of several processes
/// are summed.
pub fn differences(telemetry: &[&Value], records: &Records, site: &Site) -> Vec<String> {
    let runs = site.started_runs();
    let mut differences = Vec::new();
    for class in CLASSES {
        let count = |outcome| records.count_of_class(class, outcome);
        let expected = [
            ("served", count(Outcome::Served), COUNT_TOLERANCE_PART),
            ("refused", count(Outcome::Rejected), COUNT_TOLERANCE_PART),
            ("failed", count(Outcome::Failed), COUNT_TOLERANCE_PART),
            ("attempts", runs.iter().filter(|run| run.class == class).count(), ATTEMPT_TOLERANCE_PART),
        ];
        for (name, true_count, part) in expected {
            let stated = telemetry.iter().map(|process| figure(process, class, name)).sum();
            println!("{class} {name}: {stated} stated, {true_count} counted");
            if !agrees(stated, true_count, part) {
                differences.push(format!("{class} {name}: {stated} stated, {true_count} counted"));
            }
        }
    }
    differences
}
