//! The table of open aggregates is checked against a map from the standard library.

use dunlinspread_ledger::{Amount, Outcome, UsageKey, UsageTable};

use proptest::prelude::*;
use std::collections::BTreeMap;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The table has the same totals as a map, and an addition rejected for lack of room changes nothing.
    #[test]
    fn the_table_counts_as_a_map_does(
        adds in proptest::collection::vec((0u64..3, 0u32..40, 0u16..4, 0usize..6, 1u64..100), 0..400),
        max_cells in 1usize..200,
    ) {
        let (mut table, mut map) = (UsageTable::new(max_cells), BTreeMap::new());
        for (period, tenant, class, outcome, requests) in adds {
            let tenant = format!("s{tenant}");
            let outcome = Outcome::ALL[outcome];
            let amount = Amount { requests, pool_us: requests * 3, bytes_in: 1, bytes_out: 2 };
            let added = table.add(UsageKey { period, tenant: &tenant, class, outcome }, &amount);
            let full = map.len() >= max_cells;
            let entry = map.entry((period, tenant, class, outcome));
            let exists = matches!(entry, std::collections::btree_map::Entry::Occupied(_));
            prop_assert_eq!(added, exists || !full);
            if added {
                entry.or_insert_with(Amount::default).add(&amount);
            }
        }
        prop_assert_eq!(table.len(), map.len());
        for round in 0..2 {
            let mut drained = Vec::new();
            table.drain(round * 1000, |key, amount|
                drained.push(((key.period, key.tenant.to_owned(), key.class, key.outcome), *amount)));
            prop_assert_eq!(&drained, &map.clone().into_iter().collect::<Vec<_>>());
            prop_assert!(table.is_empty());
            for ((period, tenant, class, outcome), amount) in &map {
                let key = UsageKey { period: *period, tenant, class: *class, outcome: *outcome };
                prop_assert!(table.add(key, amount));
            }
        }
    }
}
