//! The cost of billing a reply on the serving thread, in ns: the accumulator alone, with a store that is durable at once,
//! in both modes, with one reply an event and with 16. The figures are in `docs/measurements/ledger.md`.

use dunlinspread_ledger::{
    AccountName, Action, DurabilityMode, FailurePolicy, LedgerSettings, Outcome, RecoveredLedger,
    UsageAccumulator, UsageRecord,
};
use std::hint::black_box;
use std::time::Instant;

/// Replies in a run.
const REPLIES: u64 = 2_000_000;

fn run(name: &str, mode: DurabilityMode, together: u64) {
    let settings = LedgerSettings {
        period_ms: 900_000,
        grace_ms: 5000,
        mode,
        on_failure: FailurePolicy::Reject,
        classes: vec!["a".to_owned(), "b".to_owned()],
        cells: 10_000,
        records: 64,
    };
    let (mut actions, mut now) = (Vec::new(), 1_700_000_000_000);
    let mut accumulator = UsageAccumulator::start(now, settings, RecoveredLedger::default(), &mut actions);
    let names: Vec<String> = (0..100).map(|n| format!("society-{n}")).collect();
    let began = Instant::now();
    for n in 0..REPLIES {
        let account = AccountName::parse(&names[(n % 100) as usize]).unwrap_or(AccountName::unattributed());
        let used = UsageRecord {
            requests: 1,
            account,
            class: (n % 2) as u16,
            outcome: Outcome::Completed,
            pool_us: 20_000,
            bytes_in: 200,
            bytes_out: 300,
        };
        black_box(accumulator.bill(now, &used, &mut actions));
        if n % together == 0 {
            accumulator.flush_if_due(now, &mut actions);
            let records = actions.iter().filter(|a| matches!(a, Action::Append(_))).count();
            actions.clear();
            accumulator.on_durable(now, records, &mut actions);
            now += 1;
        }
    }
    println!("{name:<24} {together:>4} {:>8.0}", began.elapsed().as_secs_f64() * 1e9 / REPLIES as f64);
}

fn main() {
    println!("{:<24} {:>4} {:>8}", "", "", "ns");
    for together in [1, 16] {
        run("strict", DurabilityMode::Strict, together);
        run("interval", DurabilityMode::Interval { every_ms: 50, at_risk: 1000 }, together);
    }
}
