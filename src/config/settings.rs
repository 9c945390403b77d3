//! Reading of the admission controller's settings, with their defaults.

use super::keys;
use super::stated::parse;
use super::{ConfigError, StatedSettings};
use crate::admission::{Class, Preemption, RetrySafety, Settings, Signal};

impl StatedSettings<'_> {
    /// Returns the settings of an admission controller.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] if a value can't be parsed.
    pub fn settings(&self, seed: u64) -> Result<Settings, ConfigError> {
        let default = Settings::default();
        let classes = self.classes()?;
        let tenants = self.list(keys::TENANTS)?;
        let quota = |index| tenants.number(index, keys::TENANT_QUOTA, f64::INFINITY);
        let tenant_quotas = (0..tenants.len()).map(quota).collect::<Result<Vec<f64>, ConfigError>>()?;
        Ok(Settings {
            seed,
            server_count: self.number(keys::SERVER_COUNT, default.server_count)?,
            cores: self.number(keys::CORES, default.cores)?,
            tick_ms: self.number(keys::TICK_MS, default.tick_ms)?,
            cold_start: self.flag(keys::COLD_START)?,
            cold_start_speed: self.number(keys::COLD_START_SPEED, default.cold_start_speed)?,
            warm_up_ms: self.number(keys::WARM_UP_MS, default.warm_up_ms)?,
            response_slack_ms: self.number(keys::RESPONSE_SLACK_MS, default.response_slack_ms)?,
            drain_grace_ms: self.number(keys::DRAIN_GRACE_MS, default.drain_grace_ms)?,
            survivable_runs_per_core: self
                .number(keys::SURVIVABLE_RUNS_PER_CORE, default.survivable_runs_per_core)?,
            overload_window_ms: self.number(keys::OVERLOAD_WINDOW_MS, default.overload_window_ms)?,
            memory_kb: self.number(keys::MEMORY_KB, default.memory_kb)?,
            run_memory_factor: self.number(keys::RUN_MEMORY_FACTOR, default.run_memory_factor)?,
            key_memory_kb: self.number(keys::KEY_MEMORY_KB, default.key_memory_kb)?,
            signal: match self.text(keys::SIGNAL).as_deref() {
                Some(keys::SIGNAL_SHARE) => Signal::Share,
                None | Some(keys::MODE_OFF) => Signal::Off,
                _ => Signal::Other,
            },
            preemption: match self.text(keys::PREEMPTION).as_deref() {
                Some(keys::PREEMPTION_ABORT) => Preemption::Abort,
                Some(keys::PREEMPTION_SUSPEND) => Preemption::Suspend,
                _ => Preemption::Off,
            },
            has_upstream: !matches!(self.text(keys::UPSTREAM_MODE).as_deref(), None | Some(keys::MODE_OFF)),
            upstream_call_share: match self.text(keys::UPSTREAM_MODE).as_deref() {
                Some(keys::UPSTREAM_SHARED) => Some(self.number(keys::UPSTREAM_CALL_SHARE, 0.0)?),
                _ => None,
            },
            upstream_window_ms: self.number(keys::UPSTREAM_WINDOW_MS, default.upstream_window_ms)?,
            call_linger_ms: self.number(keys::CALL_LINGER_MS, default.call_linger_ms)?,
            shared_result_ttl_ms: self.number(keys::SHARED_RESULT_TTL_MS, default.shared_result_ttl_ms)?,
            retry_after: self.flag(keys::RETRY_AFTER)?,
            max_retry_after_ms: self.number(keys::MAX_RETRY_AFTER_MS, default.max_retry_after_ms)?,
            passes_deadline: self.flag(keys::PASSES_DEADLINE)?,
            client_count: self.number(keys::CLIENT_COUNT, default.client_count)?,
            client_idle_timeout_ms: self
                .number(keys::CLIENT_IDLE_TIMEOUT_MS, default.client_idle_timeout_ms)?,
            over_quota_weight: self.number(keys::OVER_QUOTA_WEIGHT, default.over_quota_weight)?,
            classes,
            tenant_quotas,
            class_limits: default.class_limits,
        })
    }

    fn classes(&self) -> Result<Vec<Class>, ConfigError> {
        let list = self.list(keys::CLASSES)?;
        let (calls, degraded_weights) =
            (self.values(keys::CLASS_UPSTREAM_CALLS), self.values(keys::CLASS_DEGRADED_WEIGHTS));
        let class = |index| {
            let number = |key: &str| list.number(index, key, 0.0);
            let calls = calls.get(index).map(String::as_str);
            let degraded_weight = degraded_weights.get(index).filter(|value| !value.is_empty());
            Ok(Class {
                retry_safety: match list.text(index, keys::CLASS_RETRY_SAFETY).as_deref() {
                    Some(keys::RETRY_IDEMPOTENT) => RetrySafety::Idempotent,
                    Some(keys::RETRY_WITH_KEY) => RetrySafety::IdempotencyKey,
                    _ => RetrySafety::AtMostOnce,
                },
                latency_objective_ms: number(keys::CLASS_LATENCY_OBJECTIVE_MS)?,
                objective_per_cost: number(keys::CLASS_OBJECTIVE_PER_COST)?,
                client_timeout_ms: number(keys::CLASS_CLIENT_TIMEOUT_MS)?,
                key_window_ms: number(keys::CLASS_KEY_WINDOW_MS)?,
                priority_weight: number(keys::CLASS_PRIORITY_WEIGHT)?,
                late_weight: number(keys::CLASS_LATE_WEIGHT)?,
                makes_upstream_calls: matches!(calls, Some("true" | "1")),
                degraded_weight: degraded_weight
                    .map_or(Ok(0.0), |value| parse(keys::CLASS_DEGRADED_WEIGHTS, value))?,
            })
        };
        (0..list.len()).map(class).collect()
    }
}
