//! Model checking of every order of events within small bounds: links are read and end in any order, timers
//! expire at any time, either process crashes, a link is cut, and two successors connect one after the other
//! or at the same time.

use crate::rules::Rules;
use crate::world::{Step, World};
use dunlinspread_handover::{Fault, SuccessorPhase};
use stateright::{Checker, Model, Property};
use std::time::Instant;

const ONE_OWNER: &str = "the keys never have two owners";
const READY_AFTER_LOAD: &str = "a successor is never ready before it has loaded the table";
const ONE_PROCESS_RUNS: &str = "a key runs at one process at most";
const ACTIONS_ALLOWED: &str = "no action is performed in a state that does not allow it";
const SETTLES: &str = "in the end a live predecessor or a successor owns the keys";

const RULES: Rules = Rules {
    predecessor_fault: Fault::None,
    successor_fault: Fault::None,
    sends_keys_unknown: true,
    new_keys: 1,
    starts: 2,
    connections: 2,
    crashes: 1,
    cuts: 0,
    cuts_after_commit: false,
    timeouts: 1,
    shutdown: false,
};

impl Model for Rules {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        steps.extend(world.steps(self));
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        world.take(step, self);
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_OWNER, |_, world: &World| world.owners() <= 1),
            Property::always(READY_AFTER_LOAD, |_, world: &World| !world.was_ready_without_keys()),
            Property::always(ONE_PROCESS_RUNS, |_, world: &World| !world.ran_at_two_processes()),
            Property::always(ACTIONS_ALLOWED, |_, world: &World| world.disallowed_action().is_none()),
            Property::always(SETTLES, |rules: &Rules, world: &World| {
                !world.is_settled(rules) || world.keys_have_an_owner()
            }),
            Property::sometimes("a successor owns the keys", |_, world: &World| {
                world.successors.iter().any(|successor| successor.owns_keys())
            }),
            Property::sometimes("the predecessor has taken its keys back", |_, world: &World| {
                world.predecessor.owns_keys() && world.predecessor.keys_unknown
            }),
            Property::sometimes(
                "a second successor owns the keys after the first died",
                |_, world: &World| {
                    world.successors.get(1).is_some_and(|second| second.owns_keys() && second.keys_unknown)
                },
            ),
            Property::sometimes(
                "a successor continues after the end of the predecessor",
                |_, world: &World| {
                    let ended = |phase| phase == SuccessorPhase::PredecessorEnded;
                    world.successors.iter().any(|successor| ended(successor.machine.phase()))
                },
            ),
        ]
    }
}

/// Asserts only the `always` properties, for bounds within which not all `sometimes` properties can be
/// reached.
trait AssertAlways {
    fn assert_always(&self);
}

impl<C: Checker<Rules>> AssertAlways for C {
    fn assert_always(&self) {
        for rule in [ONE_OWNER, READY_AFTER_LOAD, ONE_PROCESS_RUNS, ACTIONS_ALLOWED, SETTLES] {
            self.assert_no_discovery(rule);
        }
    }
}

fn explore(name: &str, rules: Rules) -> impl Checker<Rules> {
    let start = Instant::now();
    let checker = rules.checker().threads(2).spawn_bfs().join();
    println!(
        "{name}: {} states, {} unique, {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        start.elapsed()
    );
    checker
}

#[test]
fn every_rule_holds_with_two_successors_and_a_crash() {
    explore("one crash", RULES).assert_properties();
}

#[test]
fn every_rule_holds_with_two_crashes_or_a_shutdown() {
    let rules = Rules { connections: 1, crashes: 2, shutdown: true, ..RULES };
    explore("two crashes, a shutdown", rules).assert_properties();
}

#[test]
fn every_rule_holds_with_a_cut_and_timers_that_run_out() {
    let rules = Rules { crashes: 0, cuts: 1, timeouts: 2, ..RULES };
    explore("a cut, two timeouts", rules).assert_always();
}

/// Combines crashes, a cut and a shutdown.
#[test]
#[ignore = "takes about 15 s in a debug build"]
fn every_rule_holds_within_wider_bounds() {
    let rules = Rules { crashes: 2, cuts: 1, shutdown: true, ..RULES };
    explore("two crashes, a cut, a shutdown", rules).assert_properties();
}

/// Proves that the model detects a successor that doesn't wait for the commit.
#[test]
fn an_owner_before_the_commit_is_found() {
    let checker =
        explore("owner before the commit", Rules { successor_fault: Fault::OwnerBeforeCommit, ..RULES });
    assert!(checker.discovery(ONE_OWNER).is_some(), "two owners were not detected");
    assert!(
        checker.discovery(ONE_PROCESS_RUNS).is_some(),
        "a key that runs at two processes was not detected"
    );
}

/// Proves that the model detects a commit that is sent and accepted before the end of the snapshot.
#[test]
fn a_commit_before_the_end_of_the_snapshot_is_found() {
    let fault = Fault::CommitBeforeSnapshotEnd;
    let rules = Rules { predecessor_fault: fault, successor_fault: fault, ..RULES };
    let checker = explore("commit before the end of the snapshot", rules);
    assert!(
        checker.discovery(READY_AFTER_LOAD).is_some(),
        "a successor ready without the table was not detected"
    );
    assert!(
        checker.discovery(ONE_PROCESS_RUNS).is_some(),
        "a key that runs at two processes was not detected"
    );
}

/// The successor's check alone protects against a predecessor that commits too early.
#[test]
fn a_commit_before_the_end_of_the_snapshot_is_refused() {
    let rules = Rules { predecessor_fault: Fault::CommitBeforeSnapshotEnd, ..RULES };
    explore("early commit is refused", rules).assert_always();
}

/// Proves that the model detects a missing `KeysUnknown`: a predecessor that took its keys back from a dead
/// successor hands over a table that lacks the keys which that successor ran.
#[test]
fn a_second_handover_that_does_not_tell_of_unknown_keys_is_found() {
    let checker = explore("`KeysUnknown` not sent", Rules { sends_keys_unknown: false, ..RULES });
    assert!(
        checker.discovery(ONE_PROCESS_RUNS).is_some(),
        "a key that runs at two processes was not detected"
    );
}

/// Shows why the successor keeps the link open after the commit: the predecessor takes the end of the link
/// for the end of the successor.
#[test]
fn a_link_that_ends_between_living_processes_after_the_commit_is_found() {
    let rules = Rules { cuts: 1, cuts_after_commit: true, starts: 1, ..RULES };
    let checker = explore("cut after the commit", rules);
    assert!(checker.discovery(ONE_OWNER).is_some(), "two owners were not detected");
}
