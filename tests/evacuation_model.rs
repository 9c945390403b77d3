//! Model of health reports over the real `ServiceHealth`. The admission controller, the ledger, operators and
//! the shutdown of the process change the health in any order, and a report may take any time to reach the
//! registry. Whenever no report is in transit, the registry has the last health.
//!
//! The reporter makes a report at each change and one in each period. The reports at changes are enough if
//! reports stay in order. If an older report may arrive after a newer one, as on two connections, the
//! registry has a wrong health until the next period: the model finds this fault without periodic reports,
//! and finds none with them.

use dunlinspread::server::evacuation::{HealthInput, ServiceHealth, ServiceState};
use stateright::{Checker, Model, Property};

/// Maximum number of inputs in a behavior of the model.
const MAX_INPUTS: usize = 6;
/// Maximum number of reports in transit; a further change waits until one has arrived.
const MAX_REPORTS: usize = 3;

const INPUTS: [HealthInput; 7] = [
    HealthInput::Evacuate,
    HealthInput::Rejoin,
    HealthInput::ControllerHealth(true),
    HealthInput::ControllerHealth(false),
    HealthInput::BillingHealth(true),
    HealthInput::BillingHealth(false),
    HealthInput::Shutdown,
];

const REGISTRY_IS_CURRENT: &str = "whenever no report is in transit, the registry has the last health";
const NO_WRONG_REPORT: &str = "no healthy report is made while evacuated or shutting down";

/// Order in which reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// Reports arrive in the order in which they were made.
    InOrder,
    /// An older report may arrive after a newer one.
    Overtaking,
}

/// The model's parameters.
struct ReportModel {
    link: Link,
    /// Whether a report is made each period as well as at each change.
    periodic: bool,
}

/// State of the server, of the reports in transit and of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    health: ServiceHealth,
    /// Number of inputs so far.
    inputs: usize,
    /// Reports in transit, the oldest first.
    in_transit: Vec<bool>,
    /// The health that the registry has.
    registry: bool,
    /// Whether the last report was made while no other was in transit.
    settled: bool,
    /// Whether a healthy report was made while the server was evacuated or shutting down.
    wrong_report: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Input(HealthInput),
    /// The periodic report is made.
    Period,
    /// The report at this index arrives.
    Arrive(usize),
}

impl SystemState {
    fn make_report(&mut self, health: bool) {
        self.settled = self.in_transit.is_empty();
        self.wrong_report |= health && self.health.state() != ServiceState::Serving;
        self.in_transit.push(health);
    }
}

impl Model for ReportModel {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        let health = ServiceHealth::default();
        let registry = health.is_healthy();
        vec![SystemState {
            health,
            inputs: 0,
            in_transit: Vec::new(),
            registry,
            settled: true,
            wrong_report: false,
        }]
    }

    fn actions(&self, state: &SystemState, steps: &mut Vec<Step>) {
        let has_room = state.in_transit.len() < MAX_REPORTS;
        if has_room && state.inputs < MAX_INPUTS {
            steps.extend(INPUTS.map(Step::Input));
        }
        if has_room && self.periodic {
            steps.push(Step::Period);
        }
        let arriving = match self.link {
            Link::InOrder => state.in_transit.len().min(1),
            Link::Overtaking => state.in_transit.len(),
        };
        steps.extend((0..arriving).map(Step::Arrive));
    }

    fn next_state(&self, last: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = last.clone();
        match step {
            Step::Input(input) => {
                state.inputs += 1;
                if let Some(report) = state.health.on_inputs(&[input]) {
                    state.make_report(report);
                }
            }
            Step::Period => {
                let report = state.health.is_healthy();
                state.make_report(report);
            }
            Step::Arrive(index) => state.registry = state.in_transit.remove(index),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(REGISTRY_IS_CURRENT, |model: &ReportModel, state: &SystemState| {
                // With periodic reports, the registry may lag until the next period.
                let is_quiet = state.in_transit.is_empty() && (!model.periodic || state.settled);
                !is_quiet || state.registry == state.health.is_healthy()
            }),
            Property::always(NO_WRONG_REPORT, |_, state: &SystemState| !state.wrong_report),
            Property::sometimes("the registry has the health of an evacuation", |_, state: &SystemState| {
                state.health.state() == ServiceState::Evacuated && !state.registry
            }),
            Property::sometimes("the registry has the health after a rejoin", |_, state: &SystemState| {
                state.inputs > 1 && state.registry && state.health.is_healthy()
            }),
            Property::sometimes("a shutdown while evacuated", |_, state: &SystemState| {
                state.health.state() == ServiceState::ShuttingDown && state.inputs > 1
            }),
        ]
    }
}

fn explore(link: Link, periodic: bool) -> impl Checker<ReportModel> {
    let checker = ReportModel { link, periodic }.checker().threads(2).spawn_bfs().join();
    println!(
        "{link:?}, periodic {periodic}: {} states generated, {} unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker
}

#[test]
fn the_registry_follows_reports_that_stay_in_order() {
    explore(Link::InOrder, false).assert_properties();
}

#[test]
fn the_registry_follows_within_a_period_if_a_late_report_overtakes_a_newer_one() {
    explore(Link::Overtaking, true).assert_properties();
}

/// Asserts that the model can detect the fault: without periodic reports, the wrong health is never corrected
/// after an older report arrives after a newer one.
#[test]
fn a_late_report_that_overtakes_a_newer_one_is_found() {
    let checker = explore(Link::Overtaking, false);
    let path =
        checker.discovery(REGISTRY_IS_CURRENT).expect("the model finds a registry with a wrong health");
    let last = path.last_state();
    assert_ne!(last.registry, last.health.is_healthy());
}
