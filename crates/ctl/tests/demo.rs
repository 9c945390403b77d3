//! The newcomer's first run, as it stands in the README, with the faults on: whatever the machine's speed, no rule may
//! break and every class has to be served something.

use std::process::Command;

#[test]
fn a_trial_with_faults_keeps_the_rules() {
    let out = Command::new(env!("CARGO_BIN_EXE_dunlinspreadctl"))
        .args(["try", "--seconds", "2", "--load", "0.5", "--faults", "--seed", "7"])
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{text}{}", String::from_utf8_lossy(&out.stderr));
    for class in ["route-sheet", "rate-check", "farmer-ledger", "pour-entry"] {
        let row = text.lines().find(|l| l.trim_start().starts_with(class)).expect("a row");
        let figures: Vec<&str> = row.split_whitespace().collect();
        assert_ne!(figures[1], "0", "{row}");
        assert_ne!((figures[2], figures[3]), ("0", "0"), "{row}");
    }
    assert!(text.contains("keyed requests run twice 0"), "{text}");
}
