//! Runs `dunlinspreadctl try` with faults. On a machine of any speed all checked invariants must hold, and
//! requests of every class must be completed.

use std::process::Command;

#[test]
fn a_trial_with_faults_keeps_the_rules() {
    let output = Command::new(env!("CARGO_BIN_EXE_dunlinspreadctl"))
        .args(["try", "--seconds", "2", "--load", "0.5", "--faults", "--seed", "7"])
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    for class in ["route-sheet", "rate-check", "farmer-ledger", "pour-entry"] {
        let row = text.lines().find(|row| row.trim_start().starts_with(class)).expect("a table row");
        let figures: Vec<&str> = row.split_whitespace().collect();
        assert_ne!(figures[1], "0", "{row}");
        assert_ne!((figures[2], figures[3]), ("0", "0"), "{row}");
    }
    assert!(text.contains("keyed requests run twice 0"), "{text}");
}
