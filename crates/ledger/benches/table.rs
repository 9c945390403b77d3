//! Compares the table of open aggregates with the maps of the standard library: bytes per cell (measured as
//! growth of the process) and ns per addition, with 100, 10,000 and 1,000,000 tenants. The figures are in
//! `docs/measurements/ledger.md`.

use dunlinspread_ledger::{Amount, Outcome, UsageKey, UsageTable};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// The key of an aggregate in the maps of the standard library.
type MapKey = (u64, Box<str>, u16, Outcome);

const AMOUNT: Amount = Amount { requests: 1, pool_us: 20_000, bytes_in: 200, bytes_out: 300 };
const ADDITIONS: usize = 4_000_000;

fn memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS"));
    line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Returns tenant names and random additions to their cells, with two classes and two outcomes.
fn random_additions(tenants: usize) -> (Vec<String>, Vec<(u32, u16, Outcome)>) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let names = (0..tenants).map(|n| format!("society-{n}-of-the-rounds")).collect();
    let outcomes = [Outcome::Completed, Outcome::Rejected];
    let adds = (0..ADDITIONS)
        .map(|_| {
            (rng.random_range(0..tenants as u32), rng.random_range(0..2), outcomes[rng.random_range(0..2)])
        })
        .collect();
    (names, adds)
}

fn run(name: &str, tenants: usize, mut add: impl FnMut(&str, u16, Outcome), cells: impl FnOnce() -> usize) {
    let (names, adds) = random_additions(tenants);
    let before = memory_kb();
    // The first round creates the cells, the second only adds to existing cells.
    let mut ns_per_addition = [0.0; 2];
    for round_ns in &mut ns_per_addition {
        let started_at = Instant::now();
        adds.iter().for_each(|(tenant, class, outcome)| add(&names[*tenant as usize], *class, *outcome));
        *round_ns = started_at.elapsed().as_secs_f64() * 1e9 / ADDITIONS as f64;
    }
    let growth = memory_kb().saturating_sub(before) * 1024;
    let cells = cells();
    println!(
        "{name:<10} {tenants:>9} {cells:>9} {:>9.1} {:>9.1} {:>9.0}",
        ns_per_addition[0],
        ns_per_addition[1],
        growth as f64 / cells as f64
    );
}

fn main() {
    // Each measurement runs in a separate process, because memory freed by one would be reused by the next
    // without growth of the process.
    let table_kind = std::env::args().nth(1).filter(|a| !a.starts_with("--"));
    if table_kind.is_none() {
        println!(
            "{:<10} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "", "tenants", "cells", "first ns", "then ns", "bytes"
        );
        let executable = std::env::current_exe().expect("the path of this executable");
        for kind in ["table", "HashMap", "BTreeMap"] {
            for tenants in ["100", "10000", "1000000"] {
                let status = std::process::Command::new(&executable).args([kind, tenants]).status();
                assert!(status.expect("the process is started").success());
            }
        }
        return;
    }
    let tenants = std::env::args().nth(2).and_then(|n| n.parse().ok()).expect("the number of tenants");
    let key = |tenant: &str, class, outcome| -> MapKey { (1000, tenant.into(), class, outcome) };
    match table_kind.as_deref() {
        Some("table") => {
            let table = std::cell::RefCell::new(UsageTable::new(1 << 28));
            let add = |tenant: &str, class, outcome| {
                table.borrow_mut().add(UsageKey { period: 1000, tenant, class, outcome }, &AMOUNT);
            };
            run("table", tenants, add, || table.borrow().len());
        }
        Some("HashMap") => {
            let map = std::cell::RefCell::new(HashMap::<MapKey, Amount>::new());
            let add = |tenant: &str, class, outcome| {
                map.borrow_mut().entry(key(tenant, class, outcome)).or_default().add(&AMOUNT);
            };
            run("HashMap", tenants, add, || map.borrow().len());
        }
        _ => {
            let map = std::cell::RefCell::new(BTreeMap::<MapKey, Amount>::new());
            let add = |tenant: &str, class, outcome| {
                map.borrow_mut().entry(key(tenant, class, outcome)).or_default().add(&AMOUNT);
            };
            run("BTreeMap", tenants, add, || map.borrow().len());
        }
    }
}
