//! Shared steps give each table the same contents as applying the changes separately.

mod client_support;

use client_support::{allowance, delete};
use dunlinspread_config_sync::resource::Change;
use dunlinspread_config_sync::shared_steps::SharedSteps;
use dunlinspread_config_sync::table::Table;

/// Number of steps, greater than the number that is kept.
const STEPS: u64 = 200;

fn changes(step: u64) -> Vec<Change> {
    vec![allowance(&format!("tenant-{}", step % 20), step), delete(&format!("tenant-{}", step * 7 % 20))]
}

#[test]
fn tables_that_begin_as_one_stay_one() {
    let steps = SharedSteps::default();
    let (mut alone, mut first, mut second) = (Table::new(), Table::new(), Table::new());
    second.clone_from(&first);
    for step in 0..STEPS {
        alone.apply(&changes(step));
        steps.apply(&mut first, &changes(step));
        steps.apply(&mut second, &changes(step));
        assert!(first.shares_with(&second), "step {step}");
        assert_eq!(first.digest(), alone.digest(), "step {step}");
        assert!(first.iter().eq(alone.iter()), "step {step}");
    }
}

#[test]
fn one_that_lags_behind_all_kept_steps_computes_its_own() {
    let steps = SharedSteps::default();
    let (mut ahead, mut behind) = (Table::new(), Table::new());
    (0..STEPS).for_each(|step| steps.apply(&mut ahead, &changes(step)));
    (0..STEPS).for_each(|step| steps.apply(&mut behind, &changes(step)));
    assert!(ahead.iter().eq(behind.iter()));
}

#[test]
fn other_changes_and_other_tables_take_other_steps() {
    let steps = SharedSteps::default();
    let base = Table::new();
    let (mut first, mut second) = (base.clone(), base.clone());
    steps.apply(&mut first, &[allowance("a", 1)]);
    steps.apply(&mut second, &[allowance("a", 2)]);
    assert_ne!(first.digest(), second.digest());
    // The same change is applied to a different table.
    let mut third = second.clone();
    steps.apply(&mut third, &[allowance("b", 3)]);
    let mut fourth = first.clone();
    steps.apply(&mut fourth, &[allowance("b", 3)]);
    assert_ne!(third.digest(), fourth.digest());
    let mut alone = first.clone();
    alone.apply(&[allowance("b", 3)]);
    assert!(fourth.iter().eq(alone.iter()));
}
