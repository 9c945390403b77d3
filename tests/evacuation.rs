//! Compares the health that a server answers and reports, for any sequence of inputs, with the health that
//! follows from the last input of each kind.

use dunlinspread::server::evacuation::{HealthInput, ServiceHealth, ServiceState};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::strategy::Just;

fn input() -> impl Strategy<Value = HealthInput> {
    prop_oneof![
        4 => Just(HealthInput::Evacuate),
        4 => Just(HealthInput::Rejoin),
        4 => any::<bool>().prop_map(HealthInput::ControllerHealth),
        4 => any::<bool>().prop_map(HealthInput::BillingHealth),
        1 => Just(HealthInput::Shutdown),
    ]
}

/// Returns inputs in the groups in which they arrive.
fn history() -> impl Strategy<Value = Vec<Vec<HealthInput>>> {
    proptest::collection::vec(proptest::collection::vec(input(), 0..4), 0..40)
}

/// Returns the state that follows from the last input of each kind.
fn expected_state(inputs: &[HealthInput]) -> ServiceState {
    if inputs.contains(&HealthInput::Shutdown) {
        return ServiceState::ShuttingDown;
    }
    let is_from_operator =
        |input: &&HealthInput| matches!(input, HealthInput::Evacuate | HealthInput::Rejoin);
    match inputs.iter().rev().find(is_from_operator) {
        Some(HealthInput::Evacuate) => ServiceState::Evacuated,
        _ => ServiceState::Serving,
    }
}

/// Returns the health that follows from the last input of each kind.
fn expected_health(inputs: &[HealthInput]) -> bool {
    let last_of = |find: fn(&HealthInput) -> Option<bool>| inputs.iter().rev().find_map(find).unwrap_or(true);
    let controller = last_of(|input| match input {
        HealthInput::ControllerHealth(healthy) => Some(*healthy),
        _ => None,
    });
    let billing = last_of(|input| match input {
        HealthInput::BillingHealth(can_bill) => Some(*can_bill),
        _ => None,
    });
    controller && billing && expected_state(inputs) == ServiceState::Serving
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn health_follows_the_last_input_of_each_kind(history in history()) {
        let mut health = ServiceHealth::default();
        let mut past_inputs = Vec::new();
        let mut reported = true;
        for inputs in history {
            let report = health.on_inputs(&inputs);
            past_inputs.extend(inputs);
            let expected = expected_health(&past_inputs);
            assert_eq!(health.is_healthy(), expected, "after {past_inputs:?}");
            assert_eq!(health.state(), expected_state(&past_inputs), "after {past_inputs:?}");
            // A report is due only at a change, so that the last report always equals the answered health.
            assert_eq!(report, (expected != reported).then_some(expected), "after {past_inputs:?}");
            reported = report.unwrap_or(reported);
        }
    }

    #[test]
    fn asking_twice_changes_nothing(history in history(), last in input()) {
        let mut health = ServiceHealth::default();
        // The reports due for the history are not checked here.
        let _ = health.on_inputs(&history.concat());
        let _ = health.on_inputs(&[last]);
        let once = health.clone();
        assert_eq!(health.on_inputs(&[last]), None);
        assert_eq!(health, once);
    }
}
