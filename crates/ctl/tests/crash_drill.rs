//! A small `ledger drill`: it must pass with a correct daemon, and must fail with a daemon that acknowledges
//! requests before their ledger lines are committed.

use serde_json::Value;
use std::process::Command;

fn drill(seed: &str, acknowledge_early: bool) -> (bool, Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunlinspreadctl"));
    command.args([
        "ledger",
        "drill",
        "--instances",
        "2",
        "--requests",
        "1500",
        "--kills",
        "4",
        "--seed",
        seed,
    ]);
    if acknowledge_early {
        // Read only by builds with the feature `test-faults`, which is enabled for the tests of this package.
        command.env("DUNLINSPREAD_ACKNOWLEDGE_EARLY", "1");
    }
    let output = command.output().expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let last_line = text.lines().last().and_then(|line| serde_json::from_str(line).ok());
    let result: Value =
        last_line.unwrap_or_else(|| panic!("{text}{}", String::from_utf8_lossy(&output.stderr)));
    println!("{text}");
    (output.status.success(), result)
}

#[test]
fn every_answer_is_billed_once_whatever_dies() {
    let (succeeded, result) = drill("11", false);
    assert!(succeeded, "{result}");
    assert_eq!(
        (&result["ok"], &result["lost"], &result["doubled"], &result["kills"]),
        (&true.into(), &0.into(), &0.into(), &4.into())
    );
    assert_eq!(result["exported"], result["billed"]);
    assert!(result["answered"].as_u64().is_some_and(|n| n > 1000), "{result}");
}

#[test]
fn a_daemon_that_acknowledges_before_it_commits_is_found_out() {
    let (succeeded, result) = drill("11", true);
    assert!(!succeeded, "{result}");
    assert_eq!(result["ok"], false);
    assert!(result["lost"].as_u64().is_some_and(|n| n > 0), "{result}");
}
