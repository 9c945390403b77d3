//! Health reports as a model, over the real `ServiceHealth`: admission controller, ledger, operators and the end of the
//! process change it in any order, and a report may take any time on its way to the registry. Wherever nothing is on
//! its way, the registry has the last health.
//!
//! The reporter makes a report at each change and one a period. Reports that stay in order need the first alone. Where a
//! late one may overtake a newer one, as on two connections, the registry has a wrong health until the next period: the
//! model finds that without periodic reports, and holds with them.

use dunlinspread::server::evacuation::{HealthInput, ServiceHealth, ServiceState};
use stateright::{Checker, Model, Property};

/// Changes played.
const MAX_INPUTS: usize = 6;
/// Reports on their way at most; a further change waits until one has arrived.
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

const FOLLOWS: &str = "once nothing is on its way, the registry has the last health";
const NO_GOOD_REPORT: &str = "no good report is made outside of service";

/// What may happen to reports on their way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// They arrive in the order in which they were made.
    InOrder,
    /// A late one may arrive after a newer one.
    Overtaking,
}

struct Reports {
    link: Link,
    /// Whether a report is made each period as well as at each change.
    periodic: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    health: ServiceHealth,
    inputs: usize,
    /// Reports on their way, the oldest first.
    on_their_way: Vec<bool>,
    /// The health that the registry has.
    registry: bool,
    /// Whether the last report was made while no other was on its way.
    settled: bool,
    /// Whether a good report was made while the server was evacuated or shutting down.
    wrong_report: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Input(HealthInput),
    /// The report of a period is made.
    Period,
    /// The report at this place arrives.
    Arrive(usize),
}

impl World {
    fn make_report(&mut self, health: bool) {
        self.settled = self.on_their_way.is_empty();
        self.wrong_report |= health && self.health.state() != ServiceState::Serving;
        self.on_their_way.push(health);
    }
}

impl Model for Reports {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let health = ServiceHealth::default();
        let registry = health.is_healthy();
        vec![World {
            health,
            inputs: 0,
            on_their_way: Vec::new(),
            registry,
            settled: true,
            wrong_report: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let has_room = world.on_their_way.len() < MAX_REPORTS;
        if has_room && world.inputs < MAX_INPUTS {
            steps.extend(INPUTS.map(Step::Input));
        }
        if has_room && self.periodic {
            steps.push(Step::Period);
        }
        let arriving = match self.link {
            Link::InOrder => world.on_their_way.len().min(1),
            Link::Overtaking => world.on_their_way.len(),
        };
        steps.extend((0..arriving).map(Step::Arrive));
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Input(input) => {
                world.inputs += 1;
                if let Some(report) = world.health.on_inputs(&[input]) {
                    world.make_report(report);
                }
            }
            Step::Period => {
                let report = world.health.is_healthy();
                world.make_report(report);
            }
            Step::Arrive(place) => world.registry = world.on_their_way.remove(place),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(FOLLOWS, |model: &Reports, world: &World| {
                // A period later at the latest, where there are periodic reports.
                let is_quiet = world.on_their_way.is_empty() && (!model.periodic || world.settled);
                !is_quiet || world.registry == world.health.is_healthy()
            }),
            Property::always(NO_GOOD_REPORT, |_, world: &World| !world.wrong_report),
            Property::sometimes("the registry knows of an evacuation", |_, world: &World| {
                world.health.state() == ServiceState::Evacuated && !world.registry
            }),
            Property::sometimes("the registry knows of the return", |_, world: &World| {
                world.inputs > 1 && world.registry && world.health.is_healthy()
            }),
            Property::sometimes("a shutdown while evacuated", |_, world: &World| {
                world.health.state() == ServiceState::ShuttingDown && world.inputs > 1
            }),
        ]
    }
}

fn explore(link: Link, periodic: bool) -> impl Checker<Reports> {
    let checker = Reports { link, periodic }.checker().threads(2).spawn_bfs().join();
    println!(
        "{link:?}, periodic {periodic}: {} states in all, {} different",
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

/// The model can fail: without periodic reports, a late one that overtakes a newer one is never put right.
#[test]
fn a_late_report_that_overtakes_a_newer_one_is_found() {
    let checker = explore(Link::Overtaking, false);
    let path = checker.discovery(FOLLOWS).expect("a registry with an old health is found");
    let last = path.last_state();
    assert_ne!(last.registry, last.health.is_healthy());
}
