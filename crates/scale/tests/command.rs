//! Runs the command `slopes`: its output can be parsed, every probe of a crate reports its slopes, and a
//! probe that is not selected does not run.

use dunlinspread_scale::slope::Report;
use serde_json::Value;
use std::process::Command;

/// Runs the program with these arguments and returns its standard output.
fn run(arguments: &[&str]) -> Vec<u8> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunlinspread-scale"));
    let output = command.args(arguments).output().expect("the program starts");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    output.stdout
}

/// Runs `slopes` with these arguments and reads its report.
fn slopes(arguments: &[&str]) -> Report {
    let all: Vec<&str> = ["slopes", "--json"].iter().chain(arguments).copied().collect();
    serde_json::from_slice(&run(&all)).expect("a report")
}

/// Makes a quick run of one probe and checks the properties that all slopes must have.
fn assert_probe(prefix: &str, required_ids: &[&str]) {
    let report = slopes(&["--quick", "--only", prefix]);
    for id in required_ids {
        assert!(report.slopes.iter().any(|slope| slope.id == *id), "no slope `{id}`");
    }
    for slope in &report.slopes {
        assert!(slope.id.starts_with(prefix), "{}", slope.id);
        assert_eq!(slope.id.split('.').count(), 3, "{}", slope.id);
        assert!(slope.points.len() >= 2, "{}", slope.id);
        assert!(slope.at_target.is_finite() && slope.at_target >= 0.0, "{slope:?}");
        assert!(slope.points.iter().all(|point| point.min <= point.median && point.runs >= 1), "{slope:?}");
    }
}

#[test]
fn nothing_that_exists_is_asked_for() {
    let report = slopes(&["--quick", "--only", "no-such-part"]);
    assert_eq!(report.slopes, []);
    assert!(report.machine.contains_key("cores") && !report.commit.is_empty());
    assert!(report.command.contains("slopes --json --quick"), "{}", report.command);
}

#[test]
fn one_slope_of_a_probe_is_asked_for() {
    let report = slopes(&["--quick", "--only", "store.disk"]);
    let ids: Vec<&str> = report.slopes.iter().map(|slope| slope.id.as_str()).collect();
    assert_eq!(ids, ["store.disk_bytes_per_second.requests_per_second"]);
}

#[test]
fn membership_is_measured() {
    assert_probe(
        "fleet",
        &["fleet.steady_bytes_per_second.members", "fleet.zone_seconds.members", "fleet.view_bytes.members"],
    );
}

#[test]
fn fleet_limits_are_measured() {
    assert_probe("quota", &["quota.ask_ns.members", "quota.allocator_bytes.budgets"]);
}

#[test]
fn the_table_of_keys_is_measured() {
    assert_probe("keyed", &["keyed.first_ns.keys", "keyed.sweep_ns.keys", "keyed.table_bytes.keys"]);
}

#[test]
fn the_ledger_is_measured() {
    assert_probe("ledger", &["ledger.bill_ns.tenants", "ledger.table_bytes.tenants"]);
}

#[test]
fn the_store_is_measured() {
    assert_probe("store", &["store.recovery_ms.records", "store.commit_us.records"]);
}

/// Removes the processor time from a report, the only figure that depends on the machine.
fn without_processor_time(value: &mut Value) {
    if let Value::Object(fields) = value {
        fields.remove("processor_ns");
        fields.values_mut().for_each(without_processor_time);
    }
}

#[test]
fn a_fleet_is_simulated_alike_on_the_same_seed() {
    let simulate = || {
        let mut report: Value = serde_json::from_slice(&run(&["child", "fleet", "30", "9"])).expect("JSON");
        without_processor_time(&mut report);
        report
    };
    let first = simulate();
    assert_eq!(first, simulate());
    let seconds = |scenario: &str| first[scenario]["all"].as_f64().expect("a number");
    // A member is declared down only after a probe, its timeout and the suspicion, and all members learn of
    // it.
    assert!((4.0..60.0).contains(&seconds("zone")), "{first}");
    assert!((0.0..30.0).contains(&seconds("zone_join")), "{first}");
    assert_eq!(first["lossy_downs"], 0.0);
}
