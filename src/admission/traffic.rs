//! Statistics of recent arrivals.

use super::timing::{RATE_SPAN_MS, TIMER_PERIOD_MS, decay_per_timer};

/// Decaying counts of arrivals and the equally decaying time over which they were counted.
#[derive(Default)]
pub(super) struct RecentTraffic {
    arrivals: f64,
    over_quota_arrivals: f64,
    observed_ms: f64,
}

impl RecentTraffic {
    /// Counts an arrival.
    pub(super) fn record_arrival(&mut self) {
        self.arrivals += 1.0;
    }

    /// Counts an arrival, already counted by [`Self::record_arrival`], as beyond its tenant's quota.
    pub(super) fn record_over_quota(&mut self) {
        self.over_quota_arrivals += 1.0;
    }

    /// Decays the counts by one timer period and returns the decay factor.
    pub(super) fn decay(&mut self) -> f64 {
        let factor = decay_per_timer(RATE_SPAN_MS);
        self.arrivals *= factor;
        self.over_quota_arrivals *= factor;
        self.observed_ms = self.observed_ms * factor + TIMER_PERIOD_MS;
        factor
    }

    /// Returns the decayed time over which arrivals were counted, ms.
    pub(super) fn observed_ms(&self) -> f64 {
        self.observed_ms
    }

    /// Returns the rate of arrivals, per ms.
    pub(super) fn arrivals_per_ms(&self) -> f64 {
        self.arrivals / self.observed_ms
    }

    /// Returns the mean time between two arrivals of the same client, ms.
    pub(super) fn client_gap_ms(&self, client_count: f64) -> f64 {
        client_count * self.observed_ms / self.arrivals.max(1.0)
    }

    /// Returns the quantile of a priority, 0 to 1, among all arrivals.
    ///
    /// Arrivals beyond their tenant's quota rank below all others.
    pub(super) fn priority_quantile(&self, priority: f64, over_quota: bool) -> f64 {
        let over_quota_share = self.over_quota_arrivals / self.arrivals.max(1.0);
        if over_quota {
            priority * over_quota_share
        } else {
            over_quota_share + priority * (1.0 - over_quota_share)
        }
    }
}
