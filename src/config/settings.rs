//! The settings of an instance of the decision module, with their defaults.

use super::Fault;
use super::stated::{Pairs, read};
use crate::admission::{Class, Preemption, RetrySafety, Settings, Signal};

/// The key of the list of what is kept of each class's worth without its calls.
const SKIP_WORTHS: &str = "specifics.class_skip_worth";

impl Pairs<'_> {
    /// The settings of an instance.
    ///
    /// # Errors
    /// On a value that can't be read.
    pub fn settings(&self, seed: u64) -> Result<Settings, Fault> {
        let base = Settings::default();
        let classes = self.classes()?;
        let tenants = self.list("accounts")?;
        let allowance = |at| tenants.number(at, "allowance_per_s", f64::INFINITY);
        let tenants = (0..tenants.len()).map(allowance).collect::<Result<Vec<f64>, Fault>>()?;
        Ok(Settings {
            seed,
            server_count: self.number("servers", base.server_count)?,
            cores: self.number("specifics.n_cores", base.cores)?,
            tick_ms: self.number("tick_ms", base.tick_ms)?,
            cold_start: self.flag("specifics.cold")?,
            cold_start_speed: self.number("safety.cold_share", base.cold_start_speed)?,
            warm_up_ms: self.number("safety.cold_ms", base.warm_up_ms)?,
            response_slack_ms: self.number("safety.answer_slack_ms", base.response_slack_ms)?,
            drain_grace_ms: self.number("safety.drain_grace_ms", base.drain_grace_ms)?,
            survivable_runs_per_core: self.number("safety.fall_multiple", base.survivable_runs_per_core)?,
            overload_window_ms: self.number("safety.tip_after_ms", base.overload_window_ms)?,
            memory_kb: self.number("specifics.memory_kb", base.memory_kb)?,
            run_memory_factor: self.number("specifics.run_factor", base.run_memory_factor)?,
            key_memory_kb: self.number("specifics.key_kb", base.key_memory_kb)?,
            signal: match self.text("specifics.say").as_deref() {
                Some("share_of") => Signal::Share,
                None | Some("off") => Signal::Off,
                _ => Signal::Other,
            },
            preemption: match self.text("specifics.preemption").as_deref() {
                Some("abort") => Preemption::Abort,
                Some("suspend") => Preemption::Suspend,
                _ => Preemption::Off,
            },
            has_upstream: !matches!(self.text("specifics.below").as_deref(), None | Some("off")),
            upstream_call_share: match self.text("specifics.below").as_deref() {
                Some("shared") => Some(self.number("specifics.calls_out", 0.0)?),
                _ => None,
            },
            upstream_window_ms: self.number("specifics.dep_window_ms", base.upstream_window_ms)?,
            call_linger_ms: self.number("specifics.linger_ms", base.call_linger_ms)?,
            shared_result_ttl_ms: self.number("specifics.fresh_for_ms", base.shared_result_ttl_ms)?,
            retry_after: self.flag("policy_limits.retry_after")?,
            max_retry_after_ms: self.number("policy_limits.max_retry_after_ms", base.max_retry_after_ms)?,
            passes_deadline: self.flag("specifics.passes_deadline")?,
            client_count: self.number("specifics.callers", base.client_count)?,
            client_idle_timeout_ms: self.number("specifics.keepalive_max_ms", base.client_idle_timeout_ms)?,
            over_quota_weight: self.number("over_share_worth", base.over_quota_weight)?,
            classes,
            tenant_quotas: tenants,
            class_limits: base.class_limits,
        })
    }

    fn classes(&self) -> Result<Vec<Class>, Fault> {
        let list = self.list("profiles")?;
        let (calls, skip_worths) = (self.values("specifics.class_calls"), self.values(SKIP_WORTHS));
        let class = |at| {
            let number = |key: &str| list.number(at, key, 0.0);
            let calls = calls.get(at).map(String::as_str);
            let skip_worth = skip_worths.get(at).filter(|value| !value.is_empty());
            Ok(Class {
                retry_safety: match list.text(at, "effect").as_deref() {
                    Some("pure") => RetrySafety::Idempotent,
                    Some("token") => RetrySafety::IdempotencyKey,
                    _ => RetrySafety::AtMostOnce,
                },
                latency_objective_ms: number("target_ms")?,
                objective_per_cost: number("aim_stretch")?,
                client_timeout_ms: number("give_up_ms")?,
                key_window_ms: number("memory_span_ms")?,
                priority_weight: number("worth")?,
                late_weight: number("late_worth")?,
                makes_upstream_calls: matches!(calls, Some("true" | "1")),
                degraded_weight: skip_worth.map_or(Ok(0.0), |value| read(SKIP_WORTHS, value))?,
            })
        };
        (0..list.len()).map(class).collect()
    }
}
