//! What billing an answer costs the serving thread, in ns: the book alone, with a store that is done at once, in both
//! modes, for one event an answer and for 16 answers an event. The figures are in `docs/measurements/ledger.md`.

use dunlinspread_ledger::{Account, Action, Book, Mode, OnFailure, Outcome, Rules, State, Use};
use std::hint::black_box;
use std::time::Instant;

const ANSWERS: u64 = 2_000_000;

fn run(name: &str, mode: Mode, together: u64) {
    let rules = Rules {
        period_ms: 900_000,
        grace_ms: 5000,
        mode,
        on_failure: OnFailure::Refuse,
        classes: vec!["a".to_owned(), "b".to_owned()],
        cells: 10_000,
        records: 64,
    };
    let (mut actions, mut now) = (Vec::new(), 1_700_000_000_000);
    let mut book = Book::start(now, rules, State::default(), 1, true, &mut actions);
    let names: Vec<String> = (0..100).map(|n| format!("society-{n}")).collect();
    let began = Instant::now();
    for n in 0..ANSWERS {
        let account = Account::named(&names[(n % 100) as usize]).unwrap_or(Account::unattributed());
        let used = Use {
            requests: 1,
            account,
            class: (n % 2) as u16,
            outcome: Outcome::Served,
            pool_us: 20_000,
            bytes_in: 200,
            bytes_out: 300,
        };
        black_box(book.bill(now, &used, &mut actions));
        if n % together == 0 {
            book.turn(now, &mut actions);
            let records = actions.iter().filter(|a| matches!(a, Action::Append(_))).count();
            actions.clear();
            book.durable(now, records, &mut actions);
            now += 1;
        }
    }
    println!("{name:<24} {together:>4} {:>8.0}", began.elapsed().as_secs_f64() * 1e9 / ANSWERS as f64);
}

fn main() {
    println!("{:<24} {:>4} {:>8}", "", "", "ns");
    for together in [1, 16] {
        run("strict", Mode::Strict, together);
        run("interval", Mode::Interval { every_ms: 50, at_risk: 1000 }, together);
    }
}
