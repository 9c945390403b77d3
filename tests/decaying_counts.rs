//! Decaying counts against counts that are all decayed with every step.

use dunlinspread::decaying_counts::DecayingCounts;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The part that is left after a timer of 50 ms over a span of 10 s.
const PART: f64 = 0.995_012_479_192_682_3;

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-9 * a.abs().max(b.abs())
}

/// An arrival of a member after so many steps.
type Step = (usize, u32);

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: RngSeed::Fixed(30), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Member 0 gets most, so that the others are often a tiny part; some rests pass several scalings.
    #[test]
    fn counts_are_those_of_decaying_each(
        members in 1_usize..6,
        steps in proptest::collection::vec(
            (prop_oneof![8 => Just(0_usize), 2 => 0_usize..6],
             prop_oneof![60 => Just(0_u32), 30 => 1_u32..40, 2 => 100_u32..30_000]),
            1..400,
        ),
    ) {
        let steps: Vec<Step> = steps;
        let (mut counts, mut each) = (DecayingCounts::new(members), vec![0.0_f64; members]);
        for (member, rest) in steps {
            for _ in 0..rest {
                counts.decay(PART);
                each.iter_mut().for_each(|count| *count *= PART);
            }
            let Some(added) = counts.add(member) else {
                prop_assert!(member >= members);
                continue;
            };
            each[member] += 1.0;
            let others: f64 = each.iter().enumerate().filter(|(at, _)| *at != member).map(|(_, c)| c).sum();
            prop_assert!(close(added.own, each[member]), "{added:?} for {each:?}");
            // The sum has twice the precision of the member's own count, of which 10^-30 is left over.
            let precise = (added.others - others).abs() <= 1e-9 * others + 1e-30 * each[member];
            prop_assert!(precise, "{added:?} for {each:?}");
        }
    }
}

/// A flood of one member while one other fades from a single arrival: what is left of that one stays exact until it is
/// some 10^-15 of the flood, which a plain sum loses far earlier.
#[test]
fn the_rest_beside_a_flood_is_no_rounding_error() {
    let (mut counts, mut other) = (DecayingCounts::new(2), 1.0);
    assert!(counts.add(1).is_some());
    for _ in 0..5000 {
        counts.decay(PART);
        other *= PART;
        let mut last = None;
        (0..20).for_each(|_| last = counts.add(0));
        let added = last.expect("there is such a member");
        assert!(close(added.others, other), "{added:?}, {other}");
    }
    assert!(other < 1e-10, "{other}");
}

/// Where there is only one member, all others together have exactly nothing.
#[test]
fn one_member_alone_has_no_others() {
    let mut counts = DecayingCounts::new(1);
    for step in 0..200_000_u32 {
        if step % 7 == 0 {
            counts.decay(PART);
        }
        let added = counts.add(0).expect("there is such a member");
        assert_eq!(added.others, 0.0, "step {step}: {added:?}");
    }
}

/// Nothing is left after a long time, and absurd parts are brought into range.
#[test]
fn counts_end_at_zero() {
    let mut counts = DecayingCounts::new(2);
    assert!(counts.add(0).is_some() && counts.add(2).is_none());
    for part in [0.0, -1.0, 2.0, f64::INFINITY] {
        counts.decay(part);
    }
    (0..400_000).for_each(|_| counts.decay(PART));
    let added = counts.add(0).expect("there is such a member");
    assert_eq!((added.own, added.others), (1.0, 0.0));
}
