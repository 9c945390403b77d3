//! Detection of arrivals beyond their tenant's quota.
//!
//! Quotas apply to the whole fleet. A tenant may send to this instance the greater of two rates: its quota
//! divided by the number of instances, and its quota times the rate per quota of the other tenants here. The
//! first admits a tenant that sends while others do not; the second allows for retries and for clients that
//! prefer this instance. Time and memory per arrival do not depend on the number of tenants.

use super::settings::{QuotaChange, Settings};
use crate::decaying_counts::DecayingCounts;

/// Factor by which a tenant may exceed its expected arrivals, as clients spread unevenly over the fleet.
const QUOTA_SLACK: f64 = 1.1;
/// Standard deviations of the number of arrivals by which a tenant may exceed its expected arrivals.
const QUOTA_DEVIATIONS: f64 = 1.0;
/// Lower bound of the other tenants' total quota as a divisor, requests per second.
const MIN_OTHER_QUOTAS: f64 = 1e-9;

/// The recent arrivals of each tenant and the state of its quota.
pub(super) struct TenantQuota {
    server_count: f64,
    arrivals: DecayingCounts,
    /// Unused part of an arrival within quota, up to 1, by tenant.
    credits: Vec<f64>,
    total_quota: f64,
}

impl TenantQuota {
    /// Returns the state before any arrival.
    pub(super) fn new(settings: &Settings) -> TenantQuota {
        TenantQuota {
            server_count: settings.server_count,
            arrivals: DecayingCounts::new(settings.tenant_quotas.len()),
            credits: vec![0.0; settings.tenant_quotas.len()],
            total_quota: settings.tenant_quotas.iter().sum(),
        }
    }

    /// Applies changes that `quotas` already contains.
    ///
    /// The state of an index that no longer belongs to a tenant is reset for the next tenant.
    pub(super) fn reconfigure(&mut self, quotas: &[f64], changes: &[QuotaChange]) {
        self.arrivals.grow(quotas.len());
        self.credits.resize(quotas.len(), 0.0);
        for change in changes.iter().filter(|change| change.per_second.is_none()) {
            self.arrivals.reset(change.tenant);
            self.credits[change.tenant] = 0.0;
        }
        self.total_quota = quotas.iter().sum();
    }

    /// Multiplies the counts by `factor`.
    pub(super) fn decay(&mut self, factor: f64) {
        self.arrivals.decay(factor);
    }

    /// Counts an arrival and returns whether it is beyond its tenant's quota.
    ///
    /// `observed_ms` is the time over which arrivals were counted. Arrivals of a tenant without a quota are
    /// never beyond it.
    pub(super) fn record_arrival(&mut self, tenant: usize, quotas: &[f64], observed_ms: f64) -> bool {
        let Some(quota) = quotas.get(tenant) else { return false };
        let Some(arrivals) = self.arrivals.add(tenant) else { return false };
        if self.total_quota <= 0.0 {
            return false;
        }
        let others_per_quota = arrivals.others / (self.total_quota - quota).max(MIN_OTHER_QUOTAS);
        let even_per_quota = observed_ms / 1000.0 / self.server_count;
        let expected = quota * others_per_quota.max(even_per_quota);
        let allowed = expected * QUOTA_SLACK + QUOTA_DEVIATIONS * (expected + 1.0).sqrt();
        let credit = &mut self.credits[tenant];
        *credit = (*credit + allowed / arrivals.own).min(1.0);
        let over_quota = *credit < 1.0;
        *credit -= f64::from(u8::from(!over_quota));
        over_quota
    }
}
