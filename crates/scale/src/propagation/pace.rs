//! When changes are proposed: at a steady rate, with bursts at a hundred times the mean rate of the target.

/// The rate of a burst, changes a second: 22,000 a day are 0.25 a second.
pub const BURST_RATE: f64 = 25.0;
/// Where bursts begin, as parts of all changes.
const BURSTS_AT: [f64; 2] = [0.3, 0.7];
/// The part of all changes that a burst has.
const BURST_PART: f64 = 0.15;

/// The time of each proposal, ms after the first, at `rate` a second between bursts. The times are stretched where the
/// whole would last less than `shortest_ms`.
pub fn proposal_times_ms(count: u64, rate: f64, shortest_ms: u64) -> Vec<u64> {
    let mut at_ms = 0.0;
    let mut times: Vec<f64> = Vec::new();
    for index in 0..count {
        times.push(at_ms);
        let part = index as f64 / count as f64;
        let in_burst = BURSTS_AT.iter().any(|begin| (*begin..begin + BURST_PART).contains(&part));
        at_ms += 1_000.0 / if in_burst { BURST_RATE.max(rate) } else { rate };
    }
    let stretch = (shortest_ms as f64 / at_ms.max(1.0)).max(1.0);
    times.into_iter().map(|time| (time * stretch) as u64).collect()
}
