//! The ledger's drill, small: it has to pass, and a daemon that acknowledges before it commits has to fail it.

use serde_json::Value;
use std::process::Command;

fn drill(seed: &str, broken: bool) -> (bool, Value) {
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
    if broken {
        // Read only by builds with the feature `test-faults`, which this one is.
        command.env("DUNLINSPREAD_ACKNOWLEDGE_EARLY", "1");
    }
    let out = command.output().expect("it runs");
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    let last = text.lines().last().and_then(|l| serde_json::from_str(l).ok());
    let last: Value = last.unwrap_or_else(|| panic!("{text}{}", String::from_utf8_lossy(&out.stderr)));
    println!("{text}");
    (out.status.success(), last)
}

#[test]
fn every_answer_is_billed_once_whatever_dies() {
    let (ended_well, last) = drill("11", false);
    assert!(ended_well, "{last}");
    assert_eq!(
        (&last["ok"], &last["lost"], &last["doubled"], &last["kills"]),
        (&true.into(), &0.into(), &0.into(), &4.into())
    );
    assert_eq!(last["exported"], last["billed"]);
    assert!(last["answered"].as_u64().is_some_and(|n| n > 1000), "{last}");
}

#[test]
fn a_daemon_that_acknowledges_before_it_commits_is_found_out() {
    let (ended_well, last) = drill("11", true);
    assert!(!ended_well, "{last}");
    assert_eq!(last["ok"], false);
    assert!(last["lost"].as_u64().is_some_and(|n| n > 0), "{last}");
}
