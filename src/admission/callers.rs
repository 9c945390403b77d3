//! What callers are told beside answers (the share, advice, the idle limit), and what a tenant may send.

use super::level::BUSY_FULL;
use super::settings::MIN_IDLE_TIMEOUT_MS;
use super::*;

/// Room a tenant has over its allowance, since callers spread unevenly, and standard deviations of chance.
const ALLOWANCE_SLACK: f64 = 1.1;
const ALLOWANCE_NOISE: f64 = 1.0;
/// Uses of a caller's connection, within the callers' own idle limit, from which it is kept that long.
const USES_TO_KEEP: f64 = 1.0;
/// Other work a core, past its usual measure, from which such connections are kept as long as the callers do.
const IDLE_CROWD: f64 = 1.0;
/// Largest step of that limit a timer, as a factor.
const IDLE_STEP: f64 = 1.25;
/// Steps of the share that a cold machine tells.
const RAMP_STEPS: f64 = 20.0;
/// Part of the usual gap between a caller's arrivals that advice to stay away lasts at most.
const GAP_PART: f64 = 0.5;

impl AdmissionController {
    pub(super) fn say(&mut self, share: f64, actions: &mut Actions) {
        if self.settings.signal == Signal::Share && share != self.said {
            self.said = share;
            actions.push(Action::AdvertiseShare(share));
        }
    }

    /// The part of the usual traffic that a cold machine bears, which goes onto every answer like a level's:
    /// that of its speed, in steps, so that callers are not told something new with every timer.
    pub(super) fn ramp(&self, now: f64) -> f64 {
        (self.speed_share(now) * RAMP_STEPS + 1e-9).floor().max(1.0) / RAMP_STEPS
    }

    /// A refusal that says when to come back, where that is passed on: once what stands here has cleared, but
    /// within a part of the usual gap between a caller's arrivals, since one of few callers carries much. It
    /// guards against refusals that draw traffic in, being the quickest answers; it could hurt where few
    /// heed.
    pub(super) fn refusal(&self, id: RequestId, after_ms: f64, do_not_retry: bool) -> Action {
        let longest = if self.settings.retry_after { self.settings.max_retry_after_ms } else { 0.0 };
        let gap = self.settings.client_count * self.watched_ms / self.arrivals.max(1.0);
        let after_ms = if after_ms.is_finite() { after_ms.min(gap * GAP_PART) } else { after_ms };
        Action::Reject { id, retry_after_ms: after_ms.min(longest).round(), do_not_retry }
    }

    /// Many callers that each come seldom fill the table with idle connections, at which others find no room
    /// and the cores pay for each: such connections close soon; where few callers come often, they stay. When
    /// opening them crowds the cores (a storm of tries), they are kept, the longer the worse it is: who holds
    /// one pays nothing, and a full table turns the rest away for nothing. The limit shrinks again only while
    /// cores idle. It could hurt where the crowd is of another kind.
    pub(super) fn step_idle_limit(&mut self, busy: f64, actions: &mut Actions) {
        let fade = (-TIMER_MS / RATE_SPAN_MS).exp();
        self.arrivals *= fade;
        self.over_allowance_arrivals *= fade;
        self.tenant_arrivals.fade(fade);
        self.watched_ms = self.watched_ms * fade + TIMER_MS;
        let uses = self.arrivals / self.watched_ms * self.settings.client_idle_timeout_ms
            / self.settings.client_count;
        let part = (self.other_work / self.settings.cores / IDLE_CROWD).min(1.0);
        let target = (MIN_IDLE_TIMEOUT_MS
            * (self.settings.client_idle_timeout_ms / MIN_IDLE_TIMEOUT_MS).powf(part))
        .round();
        let limit = if uses >= USES_TO_KEEP {
            self.settings.client_idle_timeout_ms
        } else if target > self.idle_limit {
            target.min(self.idle_limit * IDLE_STEP)
        } else if busy < BUSY_FULL {
            target.max(self.idle_limit / IDLE_STEP)
        } else {
            self.idle_limit
        };
        if limit != self.idle_limit {
            self.idle_limit = limit;
            actions.push(Action::SetIdleTimeout(limit));
        }
    }

    /// Changes come in force. A position that is no tenant's any more starts anew with its next one.
    pub(super) fn on_reconfigured(&mut self, changes: &Reconfiguration) {
        self.settings.reconfigure(changes);
        self.tenant_arrivals.grow(self.settings.tenant_quotas.len());
        self.tenant_credits.resize(self.settings.tenant_quotas.len(), 0.0);
        for change in changes.quotas.iter().filter(|change| change.per_second.is_none()) {
            self.tenant_arrivals.forget(change.tenant);
            self.tenant_credits[change.tenant] = 0.0;
        }
        self.all_allowances = self.settings.tenant_quotas.iter().sum();
    }

    /// Whether an arrival belongs to the part of its tenant's traffic that passes the allowance: an even part
    /// of the rate, or as much for it as the others send for theirs, past chance. The first spares one that
    /// sends while others don't; the second follows retries and an instance that callers lean on. The part
    /// within is saved up arrival by arrival, which holds at any rate. It guards against a tenant's flood or
    /// burst; it could hurt where a tenant's callers all come here.
    pub(super) fn over_allowance(&mut self, tenant: usize) -> bool {
        let Some(allowance) = self.settings.tenant_quotas.get(tenant) else { return false };
        let Some(arrivals) = self.tenant_arrivals.add(tenant) else { return false };
        if self.all_allowances <= 0.0 {
            return false;
        }
        let part = arrivals.others / (self.all_allowances - allowance).max(1e-9);
        let even = self.watched_ms / 1000.0 / self.settings.server_count;
        let expected = allowance * part.max(even);
        let within = expected * ALLOWANCE_SLACK + ALLOWANCE_NOISE * (expected + 1.0).sqrt();
        let credit = &mut self.tenant_credits[tenant];
        *credit = (*credit + within / arrivals.own).min(1.0);
        let over = *credit < 1.0;
        *credit -= f64::from(u8::from(!over));
        over
    }
}
