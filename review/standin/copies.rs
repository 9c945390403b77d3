//! Case: a second copy follows some replies of the index.

use crate::http::IndexTimes;
use crate::load::{run_load, Random, Site};
use crate::record::Record;
use crate::server::Places;
use crate::Verdict;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(40);
/// One of so many replies is followed by its copy, so long after.
const COPY_EVERY: u64 = 20;
const COPY_GAP: Duration = Duration::from_millis(1);

pub fn run(places: &Places, record: &Arc<Record>, with_trouble: bool) -> Verdict {
    let times = IndexTimes { delay: Duration::from_millis(5), copy_gap: COPY_GAP };
    let mut site = match Site::start(places, record, times) {
        Ok(site) => site,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let mut random = Random::new(7);
    site.index.copy_every.store(if with_trouble { COPY_EVERY } else { 0 }, Ordering::Relaxed);
    run_load(&site.clients, &mut random, LENGTH, |_| {});
    let (calls, copies) = (&site.index.calls, &site.index.copies);
    let text =
        format!("calls {}, second copies {}", calls.load(Ordering::Relaxed), copies.load(Ordering::Relaxed));
    println!("{text}");
    record.line(&text);
    match site.finish(record) {
        Ok(()) => Verdict::Ran,
        Err(reason) => Verdict::CouldNotRun(reason),
    }
}
