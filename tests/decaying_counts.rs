//! Tests that compare [`DecayingCounts`] with counts that are all decayed at each step.

use dunlinspread::decaying_counts::DecayingCounts;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Decay factor of one 50 ms step with a time constant of 10 s.
const FACTOR: f64 = 0.995_012_479_192_682_3;

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-9 * a.abs().max(b.abs())
}

/// An arrival: its member, and the number of decay steps before it.
type Step = (usize, u32);

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: RngSeed::Fixed(30), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Adds most arrivals to member 0, so that the others are often a tiny share of the sum, and makes some
    /// pauses so long that they span several rescalings.
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
        let (mut counts, mut expected) = (DecayingCounts::new(members), vec![0.0_f64; members]);
        for (member, pause) in steps {
            for _ in 0..pause {
                counts.decay(FACTOR);
                expected.iter_mut().for_each(|count| *count *= FACTOR);
            }
            let Some(added) = counts.add(member) else {
                prop_assert!(member >= members);
                continue;
            };
            expected[member] += 1.0;
            let others: f64 =
                expected.iter().enumerate().filter(|(at, _)| *at != member).map(|(_, count)| count).sum();
            prop_assert!(is_close(added.own, expected[member]), "{added:?} for {expected:?}");
            // The sum has twice the precision of the member's own count, which leaves an error of 10^-30 of
            // that count.
            let precise = (added.others - others).abs() <= 1e-9 * others + 1e-30 * expected[member];
            prop_assert!(precise, "{added:?} for {expected:?}");
        }
    }
}

/// Floods one member's count while the single arrival of another member decays. The decayed count of the
/// second member stays exact until it is about 10^-15 of the flood; a plain sum would lose it far earlier.
#[test]
fn the_rest_beside_a_flood_is_no_rounding_error() {
    let (mut counts, mut other) = (DecayingCounts::new(2), 1.0);
    assert!(counts.add(1).is_some());
    for _ in 0..5000 {
        counts.decay(FACTOR);
        other *= FACTOR;
        let mut last = None;
        (0..20).for_each(|_| last = counts.add(0));
        let added = last.expect("the member exists");
        assert!(is_close(added.others, other), "{added:?}, {other}");
    }
    assert!(other < 1e-10, "{other}");
}

/// Asserts that the sum of all others is exactly zero with a single member.
#[test]
fn one_member_alone_has_no_others() {
    let mut counts = DecayingCounts::new(1);
    for step in 0..200_000_u32 {
        if step % 7 == 0 {
            counts.decay(FACTOR);
        }
        let added = counts.add(0).expect("the member exists");
        assert_eq!(added.others, 0.0, "step {step}: {added:?}");
    }
}

/// Asserts that counts decay to zero after a long time, and that factors out of range are clamped.
#[test]
fn counts_end_at_zero() {
    let mut counts = DecayingCounts::new(2);
    assert!(counts.add(0).is_some() && counts.add(2).is_none());
    for factor in [0.0, -1.0, 2.0, f64::INFINITY] {
        counts.decay(factor);
    }
    (0..400_000).for_each(|_| counts.decay(FACTOR));
    let added = counts.add(0).expect("the member exists");
    assert_eq!((added.own, added.others), (1.0, 0.0));
}
