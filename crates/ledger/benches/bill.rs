//! Cost of billing a reply on the serving thread, in ns. The benchmark runs the accumulator alone, with a
//! store in which records are durable immediately, in both modes, with 1 and 16 replies per event. The
//! figures are in `docs/measurements/ledger.md`.

use dunlinspread_ledger::{
    AccountName, Action, DurabilityMode, FailurePolicy, LedgerSettings, Outcome, RecoveredLedger,
    UsageAccumulator, UsageRecord,
};
use std::hint::black_box;
use std::time::Instant;

/// Number of replies per run.
const REPLIES: u64 = 2_000_000;

fn run(name: &str, mode: DurabilityMode, replies_per_event: u64) {
    let settings = LedgerSettings {
        period_ms: 900_000,
        grace_ms: 5000,
        mode,
        on_failure: FailurePolicy::Reject,
        classes: vec!["a".to_owned(), "b".to_owned()],
        cells: 10_000,
        records: 64,
    };
    let (mut actions, mut now_ms) = (Vec::new(), 1_700_000_000_000);
    let mut accumulator = UsageAccumulator::start(now_ms, settings, RecoveredLedger::default(), &mut actions);
    let names: Vec<String> = (0..100).map(|n| format!("society-{n}")).collect();
    let started_at = Instant::now();
    for n in 0..REPLIES {
        let account = AccountName::parse(&names[(n % 100) as usize]).unwrap_or(AccountName::unattributed());
        let usage = UsageRecord {
            requests: 1,
            account,
            class: (n % 2) as u16,
            outcome: Outcome::Completed,
            pool_us: 20_000,
            bytes_in: 200,
            bytes_out: 300,
        };
        black_box(accumulator.bill(now_ms, &usage, &mut actions));
        if n % replies_per_event == 0 {
            accumulator.flush_if_due(now_ms, &mut actions);
            let records = actions.iter().filter(|a| matches!(a, Action::Append(_))).count();
            actions.clear();
            accumulator.on_durable(now_ms, records, &mut actions);
            now_ms += 1;
        }
    }
    println!(
        "{name:<24} {replies_per_event:>4} {:>8.0}",
        started_at.elapsed().as_secs_f64() * 1e9 / REPLIES as f64
    );
}

fn main() {
    println!("{:<24} {:>4} {:>8}", "", "", "ns");
    for replies_per_event in [1, 16] {
        run("strict", DurabilityMode::Strict, replies_per_event);
        run("interval", DurabilityMode::Interval { every_ms: 50, at_risk: 1000 }, replies_per_event);
    }
}
