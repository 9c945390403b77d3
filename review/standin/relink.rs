//! Case: the link to the worker pool breaks now and then under a mixed load.

use crate::http::IndexTimes;
use crate::load::{run_load, Random, Site, WORK_FACTOR};
use crate::record::Record;
use crate::server::Places;
use crate::Verdict;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(90);
/// Shortest time between two breaks, and what is added to it at random, ms.
const BREAK_EVERY_MS: (f64, f64) = (1000.0, 1000.0);

pub fn run(places: &Places, record: &Arc<Record>, with_trouble: bool) -> Verdict {
    let times = IndexTimes { delay: Duration::from_millis(5), copy_gap: Duration::ZERO };
    let mut site = match Site::start(places, record, times) {
        Ok(site) => site,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    // Longer work of which most waits for disk, so that replies are taken long before a break.
    WORK_FACTOR.store(3, Ordering::Relaxed);
    site.pool.on_cores_percent.store(20, Ordering::Relaxed);
    let (mut random, mut breaks) = (Random::new(1), Random::new(99));
    let (pool, mut break_at) = (site.pool.clone(), BREAK_EVERY_MS.0);
    run_load(&site.clients, &mut random, LENGTH, |ms| {
        if with_trouble && ms >= break_at {
            pool.break_link();
            break_at = ms + BREAK_EVERY_MS.0 + BREAK_EVERY_MS.1 * breaks.fraction();
        }
    });
    match site.finish(record) {
        Ok(()) => Verdict::Ran,
        Err(reason) => Verdict::CouldNotRun(reason),
    }
}
