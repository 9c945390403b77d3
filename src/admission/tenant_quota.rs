//! Which arrivals are beyond their tenant's quota.
//!
//! Quotas are stated for the whole fleet. A tenant may send here the even part of its quota or, if that is
//! more, as much for its quota as the other tenants send for theirs: the first admits a tenant that sends
//! while others do not, the second follows retries and an instance that clients prefer. Cost and memory of an
//! arrival do not depend on the number of tenants.

use super::settings::{QuotaChange, Settings};
use crate::decaying_counts::DecayingCounts;

/// Factor by which a tenant may exceed its part, since clients spread unevenly over the fleet.
const QUOTA_SLACK: f64 = 1.1;
/// Standard deviations of the number of arrivals by which a tenant may exceed its part.
const QUOTA_DEVIATIONS: f64 = 1.0;
/// Smallest sum of the other tenants' quotas that is divided by, requests a second.
const MIN_OTHER_QUOTAS: f64 = 1e-9;

/// What each tenant sent of late and may still send.
pub(super) struct TenantQuota {
    server_count: f64,
    arrivals: DecayingCounts,
    /// By tenant: the saved part of an arrival within quota, up to 1.
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

    /// Takes changes that are in `quotas` already; an index without a tenant starts anew with its next
    /// tenant.
    pub(super) fn reconfigure(&mut self, quotas: &[f64], changes: &[QuotaChange]) {
        self.arrivals.grow(quotas.len());
        self.credits.resize(quotas.len(), 0.0);
        for change in changes.iter().filter(|change| change.per_second.is_none()) {
            self.arrivals.reset(change.tenant);
            self.credits[change.tenant] = 0.0;
        }
        self.total_quota = quotas.iter().sum();
    }

    /// Decays the counts to that part of themselves.
    pub(super) fn decay(&mut self, factor: f64) {
        self.arrivals.decay(factor);
    }

    /// Counts an arrival and returns whether it is beyond its tenant's quota.
    ///
    /// `observed_ms` is the time over which arrivals were counted. A tenant without a quota is never beyond
    /// it.
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
