//! Retry backoff: bounds double up to the cap, jitter covers the whole range, and delays are reproducible by
//! seed.

use dunlinspread_config_sync::backoff::{Backoff, BackoffSettings};
use proptest::prelude::*;

proptest! {
    #[test]
    fn delays_stay_below_their_bounds(seed in any::<u64>(), base_ms in 1_u64..1_000, cap_ms in 1_u64..10_000) {
        let mut backoff = Backoff::new(BackoffSettings { base_ms, cap_ms }, seed);
        for failure in 0..70_u32 {
            let doubled = u128::from(base_ms) << failure.min(64);
            let bound = doubled.min(u128::from(cap_ms)) as u64;
            prop_assert_eq!(backoff.bound_ms(), bound);
            prop_assert!(backoff.next_delay_ms() <= bound);
        }
        backoff.reset();
        prop_assert_eq!(backoff.bound_ms(), base_ms.min(cap_ms));
    }

    #[test]
    fn the_seed_decides(seed in any::<u64>()) {
        let delays = |seed| {
            let mut backoff = Backoff::new(BackoffSettings::default(), seed);
            (0..20).map(|_| backoff.next_delay_ms()).collect::<Vec<_>>()
        };
        prop_assert_eq!(delays(seed), delays(seed));
        prop_assert_ne!(delays(seed), delays(seed.wrapping_add(1)));
    }
}

#[test]
fn jitter_covers_the_whole_range() {
    let settings = BackoffSettings { base_ms: 1_000, cap_ms: 1_000 };
    let mut tenths = [0_u32; 10];
    for seed in 0..2_000 {
        let delay = Backoff::new(settings, seed).next_delay_ms();
        tenths[(delay / 101).min(9) as usize] += 1;
    }
    assert!(
        tenths.iter().all(|count| (140..=260).contains(count)),
        "uneven distribution over tenths of the range: {tenths:?}"
    );
}

#[test]
fn without_a_base_there_is_no_delay() {
    let mut backoff = Backoff::new(BackoffSettings { base_ms: 0, cap_ms: 0 }, 1);
    assert_eq!(backoff.next_delay_ms(), 0);
}
