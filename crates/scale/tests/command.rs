//! The command `slopes` as it is run: what it prints reads back, every probe of a crate gives its slopes, and a probe
//! that is not asked for does not run.

use dunlinspread_scale::slope::Report;
use serde_json::Value;
use std::process::Command;

/// Runs the program with these arguments; what it prints.
fn run(arguments: &[&str]) -> Vec<u8> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunlinspread-scale"));
    let output = command.args(arguments).output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    output.stdout
}

/// Runs `slopes` with these arguments and reads its report.
fn slopes(arguments: &[&str]) -> Report {
    let all: Vec<&str> = ["slopes", "--json"].iter().chain(arguments).copied().collect();
    serde_json::from_slice(&run(&all)).expect("a report")
}

/// Runs one probe quickly and looks at all that must hold of its slopes whatever they measure.
fn assert_probe(prefix: &str, some_ids: &[&str]) {
    let report = slopes(&["--quick", "--only", prefix]);
    for id in some_ids {
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

/// A report without the processor time, the one figure that hangs on the machine.
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
    let seconds = |scene: &str| first[scene]["all"].as_f64().expect("a number");
    // Nobody is declared down before a probe, its end and the suspicion, and everyone hears of it in the end.
    assert!((4.0..60.0).contains(&seconds("zone")), "{first}");
    assert!((0.0..30.0).contains(&seconds("zone_join")), "{first}");
    assert_eq!(first["lossy_downs"], 0.0);
}
