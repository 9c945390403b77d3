//! Stand-ins of the review's cases: worker pool, index, catalog, client proxies and operators. The first
//! argument names the case, the second its folder, the third its record. Ends with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run.

mod batches;
mod clients;
mod collector;
mod copies;
mod evacuation;
mod http;
mod load;
mod pool;
mod record;
mod relink;
mod server;
mod wire;

use record::Record;
use server::{remove_folder, Places};
use std::path::PathBuf;
use std::sync::Arc;

/// What a case found out.
pub enum Verdict {
    Ran,
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = &arguments[..] else { panic!("usage: standin CASE FOLDER RECORD") };
    let variable = |name: &str| std::env::var(name).unwrap_or_else(|_| panic!("{name} is set"));
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let places = Places {
        root: PathBuf::from(variable("ROOT")),
        folder: PathBuf::from(folder),
        temporary: temporary.clone(),
        run: variable("RUN"),
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::open(record));
    record.line(&format!("case {case}, disruption: {with_trouble}"));
    let verdict = match case.as_str() {
        "relink" => relink::run(&places, &record, with_trouble),
        "copies" => copies::run(&places, &record, with_trouble),
        "evacuation" => evacuation::run(&places, &record, with_trouble),
        "batches" => batches::run(&places, &record, with_trouble),
        other => panic!("no case {other}"),
    };
    let violations = record.end();
    remove_folder(&temporary);
    let code = match verdict {
        Verdict::CouldNotRun(reason) => {
            println!("could not run: {reason}");
            2
        }
        Verdict::Ran if violations > 0 => 1,
        Verdict::Ran => 0,
    };
    std::process::exit(code)
}
