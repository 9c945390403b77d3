//! The command `slopes` as it is run: what it prints reads back, and a probe that is not asked for does not run.

use dunlinspread_scale::slope::Report;
use std::process::Command;

/// Runs `slopes` with these arguments and reads its report.
fn slopes(arguments: &[&str]) -> Report {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunlinspread-scale"));
    let output = command.args(["slopes", "--json"]).args(arguments).output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("a report")
}

#[test]
fn nothing_that_exists_is_asked_for() {
    let report = slopes(&["--quick", "--only", "no-such-part"]);
    assert_eq!(report.slopes, []);
    assert!(report.machine.contains_key("cores") && !report.commit.is_empty());
    assert!(report.command.contains("slopes --json --quick"), "{}", report.command);
}
