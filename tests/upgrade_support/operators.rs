//! The operators' calls, and the comparison of the server's figures with the clients' counts.

use crate::upgrade_support::http::{HttpReply, call};
use crate::upgrade_support::process::ServerProcess;
use crate::upgrade_support::records::{Outcome, Records};
use crate::upgrade_support::settings::CLASSES;
use crate::upgrade_support::site::Site;
use serde_json::Value;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The time in which a call of the operators is answered.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// What counts may miss by: this many, or this part.
pub const COUNT_TOLERANCE: f64 = 3.0;
const COUNT_TOLERANCE_PART: f64 = 0.01;
const ATTEMPT_TOLERANCE_PART: f64 = 0.02;
const IN_FLIGHT_TOLERANCE_PART: f64 = 0.1;

/// Makes a call of the operators.
///
/// # Panics
/// If it is not answered in time.
pub fn operators_call(process: &ServerProcess, method: &str, path: &str) -> HttpReply {
    let control = process.control.expect("it has a control endpoint");
    let reply = call(control, method, path).unwrap_or_else(|error| panic!("{method} {path}: {error}"));
    assert!(reply.took < CALL_LIMIT, "{method} {path} took {:?}", reply.took);
    reply
}

/// Returns the figures of a process.
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

/// Returns whether the stated number of requests in flight is true, where clients waited for so many meanwhile.
pub fn is_in_flight(stated: u64, waiting: RangeInclusive<u64>) -> bool {
    let (least, most) = (*waiting.start() as f64, *waiting.end() as f64);
    let tolerance = COUNT_TOLERANCE.max(most * IN_FLIGHT_TOLERANCE_PART);
    (least - tolerance..=most + tolerance).contains(&(stated as f64))
}

fn agrees(stated: u64, true_count: usize, part: f64) -> bool {
    let (stated, true_count) = (stated as f64, true_count as f64);
    (stated - true_count).abs() <= COUNT_TOLERANCE.max(true_count * part)
}

/// Returns the figures that are not those of the clients and of the machine; those of several processes are added up.
pub fn differences(telemetry: &[&Value], records: &Records, site: &Site) -> Vec<String> {
    let runs = site.started_runs();
    let mut found = Vec::new();
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
                found.push(format!("{class} {name}: {stated} stated, {true_count} counted"));
            }
        }
    }
    found
}
