//! Reconciliation computes totals over several servers, and reports discrepancies with the ids of their
//! lines.

use dunlinspread_ledger::batch::{Batch, CorrectionItem, UsageItem};
use dunlinspread_ledger::reconcile::{Discrepancy, ListedSpans, Reconciler};
use dunlinspread_ledger::{Close, LineId, Outcome, Unbilled};
use std::collections::BTreeSet;

fn item(period: u64, tenant: &str, requests: i64) -> UsageItem {
    let (tenant, class, outcome) = (tenant.to_owned(), "a".to_owned(), Outcome::Completed as i32);
    UsageItem {
        period,
        original_period: None,
        tenant,
        class,
        outcome,
        requests,
        pool_us: 5,
        bytes_in: 0,
        bytes_out: 0,
    }
}

fn batch(server: &str, ledger_id: u64, number: u64, span: (u64, u64), items: Vec<UsageItem>) -> Batch {
    Batch {
        server: server.to_owned(),
        ledger_id,
        number,
        previous: Vec::new(),
        close: Close { from: span.0, to: span.1, late: false },
        close_line: number * 10,
        last: true,
        items,
        corrections: Vec::new(),
        unbilled: Vec::new(),
    }
}

fn listed_spans(spans: &[(&str, u64, u64)]) -> ListedSpans {
    let mut listed_spans = ListedSpans::new();
    for (server, from, to) in spans {
        listed_spans.entry((*server).to_owned()).or_default().push((*from, *to));
    }
    listed_spans
}

#[test]
fn servers_are_added_up_and_the_missing_one_is_awaited() {
    let listed_spans =
        listed_spans(&[("n1", 10_000, 29_999), ("n2", 10_000, 29_999), ("n3", 21_000, 29_000)]);
    let mut reconciler = Reconciler::new(&listed_spans);
    reconciler.add_batch(&batch(
        "n1",
        1,
        1,
        (10_000, 20_000),
        vec![item(10_000, "x", 3), item(10_000, "y", 1)],
    ));
    reconciler.add_batch(&batch("n1", 1, 2, (20_000, 30_000), vec![item(20_000, "x", 2)]));
    reconciler.add_batch(&batch("n2", 2, 1, (10_000, 20_000), vec![item(10_000, "x", 4)]));
    let report = reconciler.finish(10_000, 100_000);
    assert_eq!(report.discrepancies, []);
    let account = &report.accounts[&(10_000, "x".to_owned())];
    assert_eq!((account.total(), account.servers["n1"], account.servers["n2"]), (7, 3, 4));
    let awaited: Vec<_> = report.awaited.iter().collect();
    let expected = BTreeSet::from(["n2".to_owned(), "n3".to_owned()]);
    assert_eq!(awaited, [(&20_000, &expected)]);
}

#[test]
fn discrepancies_are_named_by_their_line() {
    let listed_spans = listed_spans(&[("n1", 10_000, 40_000), ("n2", 10_000, 12_000)]);
    let mut reconciler = Reconciler::new(&listed_spans);
    let mut late = batch("n1", 1, 1, (10_000, 20_000), vec![]);
    late.close.late = true;
    late.unbilled.push(Unbilled { requests: 4, at_most: 9, ..Unbilled::default() });
    reconciler.add_batch(&late);
    let mut gap = batch("n1", 1, 2, (25_000, 30_000), vec![item(25_000, "x", 1)]);
    let id = |server: &str, number| LineId { server: server.to_owned(), start: 1, number };
    gap.corrections.push(CorrectionItem {
        line: id("n1", 15),
        corrects: id("n9", 3),
        item: item(25_000, "x", -2),
        reason: "twice".to_owned(),
    });
    reconciler.add_batch(&gap);
    reconciler.add_batch(&batch("n2", 2, 1, (10_000, 40_000), vec![item(30_000, "y", 5)]));
    reconciler.add_batch(&batch("n2", 3, 1, (40_000, 50_000), vec![]));
    let discrepancies = reconciler.finish(10_000, 100_000).discrepancies;
    let close_line = |number| id("n1", number);
    let n2_close_line = LineId { server: "n2".to_owned(), start: 2, number: 10 };
    for expected in [
        Discrepancy::ClosedLateWhileListed { close_line: close_line(10), span: (10_000, 20_000) },
        Discrepancy::Unbilled { close_line: close_line(10), requests: 4, at_most: Some(9) },
        Discrepancy::NonContiguousCloses { close_line: close_line(20), before_to: 20_000, from: 25_000 },
        Discrepancy::CorrectsUnknownServer { line: close_line(15), corrects: id("n9", 3) },
        Discrepancy::UsageWhileNotListed { close_line: n2_close_line, period: 30_000, requests: 5 },
        Discrepancy::NewLedger { server: "n2".to_owned(), ledger_ids: vec![2, 3] },
        Discrepancy::NegativeTotal { tenant: "x".to_owned(), period: 25_000, requests: -1 },
    ] {
        assert!(discrepancies.contains(&expected), "{expected:?} in {discrepancies:#?}");
        assert!(!expected.to_string().is_empty());
    }
    assert_eq!(discrepancies.len(), 7, "{discrepancies:#?}");
}
