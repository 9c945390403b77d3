//! The table of open aggregates against the maps of the standard library: bytes a cell (by the growth of the process) and
//! ns an addition, at 100, 10,000 and 1,000,000 tenants. The figures are in
//! `docs/measurements/ledger.md`.

use dunlinspread_ledger::{Amount, Outcome, UsageKey, UsageTable};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

type Plain = (u64, Box<str>, u16, Outcome);

const AMOUNT: Amount = Amount { requests: 1, pool_us: 20_000, bytes_in: 200, bytes_out: 300 };
const ADDS: usize = 4_000_000;

fn memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS"));
    line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Draws additions to cells of so many tenants; two classes with two outcomes each.
fn draw(tenants: usize) -> (Vec<String>, Vec<(u32, u16, Outcome)>) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let names = (0..tenants).map(|n| format!("society-{n}-of-the-rounds")).collect();
    let outcomes = [Outcome::Completed, Outcome::Rejected];
    let adds = (0..ADDS)
        .map(|_| {
            (rng.random_range(0..tenants as u32), rng.random_range(0..2), outcomes[rng.random_range(0..2)])
        })
        .collect();
    (names, adds)
}

fn run(name: &str, tenants: usize, mut add: impl FnMut(&str, u16, Outcome), cells: impl FnOnce() -> usize) {
    let (names, adds) = draw(tenants);
    let before = memory_kb();
    // The first round makes the cells, the second only adds.
    let mut took = [0.0; 2];
    for took in &mut took {
        let began = Instant::now();
        adds.iter().for_each(|(tenant, class, outcome)| add(&names[*tenant as usize], *class, *outcome));
        *took = began.elapsed().as_secs_f64() * 1e9 / ADDS as f64;
    }
    let grown = memory_kb().saturating_sub(before) * 1024;
    let cells = cells();
    println!(
        "{name:<10} {tenants:>9} {cells:>9} {:>9.1} {:>9.1} {:>9.0}",
        took[0],
        took[1],
        grown as f64 / cells as f64
    );
}

fn main() {
    // One a process: what one frees another would take without growing.
    let only = std::env::args().nth(1).filter(|a| !a.starts_with("--"));
    if only.is_none() {
        println!(
            "{:<10} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "", "tenants", "cells", "first ns", "then ns", "bytes"
        );
        let own = std::env::current_exe().expect("this program");
        for what in ["table", "HashMap", "BTreeMap"] {
            for tenants in ["100", "10000", "1000000"] {
                let ran = std::process::Command::new(&own).args([what, tenants]).status();
                assert!(ran.expect("it runs").success());
            }
        }
        return;
    }
    let tenants = std::env::args().nth(2).and_then(|n| n.parse().ok()).expect("how many");
    let key = |tenant: &str, class, outcome| -> Plain { (1000, tenant.into(), class, outcome) };
    match only.as_deref() {
        Some("table") => {
            let table = std::cell::RefCell::new(UsageTable::new(1 << 28));
            let add = |tenant: &str, class, outcome| {
                table.borrow_mut().add(UsageKey { period: 1000, tenant, class, outcome }, &AMOUNT);
            };
            run("table", tenants, add, || table.borrow().len());
        }
        Some("HashMap") => {
            let map = std::cell::RefCell::new(HashMap::<Plain, Amount>::new());
            let add = |tenant: &str, class, outcome| {
                map.borrow_mut().entry(key(tenant, class, outcome)).or_default().add(&AMOUNT);
            };
            run("HashMap", tenants, add, || map.borrow().len());
        }
        _ => {
            let map = std::cell::RefCell::new(BTreeMap::<Plain, Amount>::new());
            let add = |tenant: &str, class, outcome| {
                map.borrow_mut().entry(key(tenant, class, outcome)).or_default().add(&AMOUNT);
            };
            run("BTreeMap", tenants, add, || map.borrow().len());
        }
    }
}
