//! Helpers shared by the probes: points over sizes and seeds, parallel jobs, and the time of repeated work.

use crate::slope::Point;
use anyhow::{Result, bail};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Number of jobs that run at the same time.
const WORKERS: usize = 2;

/// Returns a point for each size and seed; `measure` returns the values of its runs.
///
/// # Errors
/// Returns an error if a measurement fails.
pub fn points(
    sizes: &[u64],
    seeds: &[u64],
    mut measure: impl FnMut(u64, u64) -> Result<Vec<f64>>,
) -> Result<Vec<Point>> {
    let mut points = Vec::new();
    for &size in sizes {
        for &seed in seeds {
            points.push(Point::of(size as f64, seed, &measure(size, seed)?));
        }
    }
    Ok(points)
}

/// Runs `job` for each of `inputs`, on [`WORKERS`] threads, and returns the results in the order of the
/// inputs.
///
/// # Errors
/// Returns the error of the first input whose job failed.
pub fn in_parallel<I: Sync, O: Send>(inputs: &[I], job: impl Fn(&I) -> Result<O> + Sync) -> Result<Vec<O>> {
    let next = AtomicUsize::new(0);
    let results: Vec<Mutex<Option<Result<O>>>> = inputs.iter().map(|_| Mutex::new(None)).collect();
    std::thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| {
                while let Some((input, result)) = claim_next(&next, inputs, &results) {
                    let output = job(input);
                    *result.lock().unwrap_or_else(PoisonError::into_inner) = Some(output);
                }
            });
        }
    });
    let result = |cell: Mutex<Option<Result<O>>>| {
        cell.into_inner()
            .unwrap_or_else(PoisonError::into_inner)
            .unwrap_or_else(|| bail!("a job produced no result"))
    };
    results.into_iter().map(result).collect()
}

/// Claims the next unprocessed input and returns it with the slot for its result.
fn claim_next<'a, I, O>(next: &AtomicUsize, inputs: &'a [I], results: &'a [O]) -> Option<(&'a I, &'a O)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    inputs.get(index).zip(results.get(index))
}

/// Calls `work` `runs` times and returns, for each call, the nanoseconds per operation; one call does
/// `operations`.
pub fn nanoseconds(runs: usize, operations: u64, mut work: impl FnMut()) -> Vec<f64> {
    let time_per_operation = |_| {
        let start = Instant::now();
        work();
        start.elapsed().as_nanos() as f64 / operations as f64
    };
    (0..runs).map(time_per_operation).collect()
}
