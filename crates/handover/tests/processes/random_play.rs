//! Random orders of events, longer and with more processes than the model checks. Each is followed by a phase
//! without faults, in which all pending work completes.

use crate::rules::Rules;
use crate::world::{Step, World};
use dunlinspread_handover::{Fault, SuccessorPhase};
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, proptest};
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

/// Maximum number of steps without faults until a world has to be settled.
const SETTLING_STEPS: usize = 2_000;

/// One choice in this many is a rare step, if one is possible: a fault, or the start of a further successor.
const RARE_ONE_IN: u16 = 24;

/// Number of random plays whose outcomes are counted.
const COUNTED_PLAYS: usize = 400;

fn rules() -> impl Strategy<Value = Rules> {
    (1..5_usize, 1..4_u8, 0..4_u8, 0..4_u8, 0..7_u8, any::<bool>()).prop_map(
        |(starts, new_keys, crashes, cuts, timeouts, shutdown)| Rules {
            predecessor_fault: Fault::None,
            successor_fault: Fault::None,
            sends_keys_unknown: true,
            new_keys,
            starts,
            connections: u8::MAX,
            crashes,
            cuts,
            cuts_after_commit: false,
            timeouts,
            shutdown,
        },
    )
}

fn play() -> impl Strategy<Value = (Rules, Vec<u16>)> {
    (rules(), vec(any::<u16>(), 0..500))
}

fn choose(world: &World, rules: &Rules, choice: u16) -> Option<Step> {
    let is_rare = |step: &Step| step.is_fault() || *step == Step::Start && !world.successors.is_empty();
    let (rare, common): (Vec<Step>, Vec<Step>) = world.steps(rules).into_iter().partition(is_rare);
    let prefers_rare = choice % RARE_ONE_IN == 0 || common.is_empty();
    let candidates = if prefers_rare && !rare.is_empty() { rare } else { common };
    let position = usize::from(choice / RARE_ONE_IN).checked_rem(candidates.len())?;
    Some(candidates[position])
}

/// Returns the rule that a world violates, if there is one.
fn violated_rule(world: &World) -> Option<&'static str> {
    if world.owners() > 1 {
        Some("the keys have two owners")
    } else if world.was_ready_without_keys() {
        Some("a successor was ready before it had loaded the table")
    } else if world.ran_at_two_processes() {
        Some("a key ran at two processes")
    } else {
        world.disallowed_action()
    }
}

/// Takes steps without faults until the world is settled. Returns false if it doesn't settle.
fn settle(world: &mut World, rules: &Rules) -> bool {
    for _ in 0..SETTLING_STEPS {
        if world.is_settled(rules) {
            return true;
        }
        let steps = world.steps(rules);
        // A timer expires only when no other step is possible.
        let timer = || steps.iter().find(|step| matches!(step, Step::TimeOut(_)));
        let Some(step) = steps.iter().find(|step| !step.is_fault()).or_else(timer).copied() else {
            return false;
        };
        world.take(step, rules);
    }
    false
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn keys_have_one_owner_and_never_none_for_good((rules, choices) in play()) {
        let mut world = World::new(&rules);
        for choice in choices {
            let Some(step) = choose(&world, &rules, choice) else { break };
            world.take(step, &rules);
            prop_assert_eq!(violated_rule(&world), None, "after {:?} in {:?}", step, world);
        }
        prop_assert!(settle(&mut world, &rules), "not settled: {:?}", world);
        prop_assert_eq!(violated_rule(&world), None, "in {:?}", world);
        prop_assert!(world.keys_have_an_owner(), "the keys have no owner: {:?}", world);
    }
}

/// Random plays reach all relevant outcomes: commits, keys taken back, second handovers, and ends of the
/// predecessor.
#[test]
fn random_play_reaches_all_outcomes() {
    let mut runner = TestRunner::deterministic();
    let (mut owners, mut taken_back, mut second_owners, mut ended) = (0, 0, 0, 0);
    for _ in 0..COUNTED_PLAYS {
        let (rules, choices) = play().new_tree(&mut runner).expect("the strategy generates a play").current();
        let mut world = World::new(&rules);
        for choice in choices {
            let Some(step) = choose(&world, &rules, choice) else { break };
            world.take(step, &rules);
        }
        owners += usize::from(world.successors.iter().any(|successor| successor.owner));
        taken_back += usize::from(world.predecessor.keys_unknown);
        second_owners += usize::from(world.successors.iter().filter(|successor| successor.owner).count() > 1);
        let phases = world.successors.iter().map(|successor| successor.machine.phase());
        ended += usize::from(phases.filter(|phase| *phase == SuccessorPhase::PredecessorEnded).count() > 0);
    }
    println!(
        "owner: {owners}, taken back: {taken_back}, two owners in turn: {second_owners}, ended: {ended}"
    );
    let minimum = COUNTED_PLAYS / 100;
    assert!(owners > minimum && taken_back > minimum && second_owners > minimum && ended > minimum);
}
