//! Totals are exact, and their order does not depend on the memory limit.

use dunlinspread_ledger::{Amount, Entry, Line, LineKind, Usage, totals};
use std::collections::BTreeMap;

use proptest::prelude::*;

fn lines(usage_records: &[(u64, u32, u32, u64)]) -> Vec<Line> {
    let line = |(period, tenant, class, requests): &(u64, u32, u32, u64)| {
        let amount = Amount { requests: *requests, pool_us: 1, bytes_in: 2, bytes_out: 3 };
        let entry = Entry { tenant: format!("s{tenant}"), class: *class, outcome: 1, amount };
        let usage = Usage { period: *period, entries: vec![entry], original_period: None };
        Line { at_ms: 0, kind: Some(LineKind::Usage(usage)) }
    };
    usage_records.iter().map(line).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any memory limit, each total is correct and reported once, and the order is the same.
    #[test]
    fn totals_are_exact_in_any_memory(
        usage in proptest::collection::vec((0u64..3, 0u32..50, 0u32..2, 1u64..9), 0..200),
        cells in 1usize..40,
    ) {
        let (lines, classes) = (lines(&usage), ["a".to_owned(), "b".to_owned()]);
        let mut expected = BTreeMap::new();
        for (period, tenant, class, requests) in usage.iter().filter(|u| u.0 != 1) {
            let key = (*period, format!("s{tenant}"), classes[*class as usize].clone());
            *expected.entry(key).or_insert(0) += i128::from(*requests);
        }
        let run = |cells| {
            let mut reported = Vec::new();
            let visit_lines = |visit: &mut dyn FnMut(u64, &Line)| {
                lines.iter().zip(1..).for_each(|(line, number)| visit(number, line));
                Ok(())
            };
            totals(&classes, cells, visit_lines, |period| period != 1, |key, net| reported.push((key, net)))
                .expect("the lines are visited");
            reported
        };
        let reported = run(cells);
        prop_assert_eq!(&reported, &run(usize::MAX), "the order depends on the memory limit");
        let mut seen = BTreeMap::new();
        for (group, net) in reported {
            prop_assert!(
                seen.insert((group.period, group.tenant, group.class), net.requests).is_none(),
                "a total was reported twice"
            );
        }
        prop_assert_eq!(seen, expected);
    }
}
