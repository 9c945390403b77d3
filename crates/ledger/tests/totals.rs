//! Totals are exact and in the same order whatever the memory.

use dunlinspread_ledger::{Amount, Entry, Line, LineKind, Usage, totals};
use std::collections::BTreeMap;

use proptest::prelude::*;

fn lines(uses: &[(u64, u32, u32, u64)]) -> Vec<Line> {
    let line = |(period, tenant, class, requests): &(u64, u32, u32, u64)| {
        let amount = Amount { requests: *requests, pool_us: 1, bytes_in: 2, bytes_out: 3 };
        let entry = Entry { tenant: format!("s{tenant}"), class: *class, outcome: 1, amount };
        let usage = Usage { period: *period, entries: vec![entry], original_period: None };
        Line { at_ms: 0, kind: Some(LineKind::Usage(usage)) }
    };
    uses.iter().map(line).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// However little fits at a time, each sum comes once and is right, and the order is the same each time.
    #[test]
    fn totals_are_exact_in_any_memory(
        uses in proptest::collection::vec((0u64..3, 0u32..50, 0u32..2, 1u64..9), 0..200),
        cells in 1usize..40,
    ) {
        let (lines, classes) = (lines(&uses), ["a".to_owned(), "b".to_owned()]);
        let mut expected = BTreeMap::new();
        for (period, tenant, class, requests) in uses.iter().filter(|u| u.0 != 1) {
            let key = (*period, format!("s{tenant}"), classes[*class as usize].clone());
            *expected.entry(key).or_insert(0) += i128::from(*requests);
        }
        let run = |cells| {
            let mut sums = Vec::new();
            let show_lines = |show: &mut dyn FnMut(u64, &Line)| {
                lines.iter().zip(1..).for_each(|(line, n)| show(n, line));
                Ok(())
            };
            totals(&classes, cells, show_lines, |p| p != 1, |sum, net| sums.push((sum, net))).expect("the lines are shown");
            sums
        };
        let sums = run(cells);
        prop_assert_eq!(&sums, &run(usize::MAX), "the order depends on the memory");
        let mut seen = BTreeMap::new();
        for (sum, net) in sums {
            prop_assert!(seen.insert((sum.period, sum.tenant, sum.class), net.requests).is_none(), "twice");
        }
        prop_assert_eq!(seen, expected);
    }
}
