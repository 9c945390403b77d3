//! Proposal times of the changes: a steady rate, with bursts at a hundred times the mean rate of the target
//! fleet.

/// Rate within a burst, changes per second. The target's 22,000 changes a day are 0.25 per second.
pub const BURST_RATE: f64 = 25.0;
/// Starts of the bursts, as fractions of all changes.
const BURST_STARTS: [f64; 2] = [0.3, 0.7];
/// Fraction of all changes in one burst.
const BURST_FRACTION: f64 = 0.15;

/// Returns the time of each proposal, ms after the first, at `rate` per second between bursts. The times are
/// stretched if all proposals together would take less than `min_duration_ms`.
pub fn proposal_times_ms(count: u64, rate: f64, min_duration_ms: u64) -> Vec<u64> {
    let mut at_ms = 0.0;
    let mut times: Vec<f64> = Vec::new();
    for index in 0..count {
        times.push(at_ms);
        let fraction = index as f64 / count as f64;
        let in_burst = BURST_STARTS.iter().any(|begin| (*begin..begin + BURST_FRACTION).contains(&fraction));
        at_ms += 1_000.0 / if in_burst { BURST_RATE.max(rate) } else { rate };
    }
    let stretch = (min_duration_ms as f64 / at_ms.max(1.0)).max(1.0);
    times.into_iter().map(|time| (time * stretch) as u64).collect()
}
