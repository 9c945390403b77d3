//! The table of open aggregates counts as a map does.

use dunlinspread_ledger::{Amount, Outcome, UsageKey, UsageTable};

use proptest::prelude::*;
use std::collections::BTreeMap;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// It counts as a map does, and what does not fit changes nothing.
    #[test]
    fn the_table_counts_as_a_map_does(
        adds in proptest::collection::vec((0u64..3, 0u32..40, 0u16..4, 0usize..6, 1u64..100), 0..400),
        most in 1usize..200,
    ) {
        let (mut table, mut map) = (UsageTable::new(most), BTreeMap::new());
        for (period, tenant, class, outcome, requests) in adds {
            let tenant = format!("s{tenant}");
            let outcome = Outcome::ALL[outcome];
            let amount = Amount { requests, pool_us: requests * 3, bytes_in: 1, bytes_out: 2 };
            let fits = table.add(UsageKey { period, tenant: &tenant, class, outcome }, &amount);
            let full = map.len() >= most;
            let entry = map.entry((period, tenant, class, outcome));
            let known = matches!(entry, std::collections::btree_map::Entry::Occupied(_));
            prop_assert_eq!(fits, known || !full);
            if fits {
                entry.or_insert_with(Amount::default).add(&amount);
            }
        }
        prop_assert_eq!(table.len(), map.len());
        for again in 0..2 {
            let mut seen = Vec::new();
            table.drain(again * 1000, |k, a| seen.push(((k.period, k.tenant.to_owned(), k.class, k.outcome), *a)));
            prop_assert_eq!(&seen, &map.clone().into_iter().collect::<Vec<_>>());
            prop_assert!(table.is_empty());
            for ((period, tenant, class, outcome), amount) in &map {
                let key = UsageKey { period: *period, tenant, class: *class, outcome: *outcome };
                prop_assert!(table.add(key, amount));
            }
        }
    }
}
