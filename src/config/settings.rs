//! The settings of an instance of the decision module, with their defaults.

use super::Fault;
use super::stated::{Pairs, read};
use crate::admission::{Class, Effect, Preemption, Settings, Signal};

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
            servers: self.number("servers", base.servers)?,
            cores: self.number("specifics.n_cores", base.cores)?,
            tick_ms: self.number("tick_ms", base.tick_ms)?,
            cold: self.flag("specifics.cold")?,
            cold_share: self.number("safety.cold_share", base.cold_share)?,
            cold_ms: self.number("safety.cold_ms", base.cold_ms)?,
            answer_slack_ms: self.number("safety.answer_slack_ms", base.answer_slack_ms)?,
            drain_grace_ms: self.number("safety.drain_grace_ms", base.drain_grace_ms)?,
            survivable_per_core: self.number("safety.fall_multiple", base.survivable_per_core)?,
            crowd_window_ms: self.number("safety.tip_after_ms", base.crowd_window_ms)?,
            memory_kb: self.number("specifics.memory_kb", base.memory_kb)?,
            run_factor: self.number("specifics.run_factor", base.run_factor)?,
            key_kb: self.number("specifics.key_kb", base.key_kb)?,
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
            dependency: !matches!(self.text("specifics.below").as_deref(), None | Some("off")),
            calls_share: match self.text("specifics.below").as_deref() {
                Some("shared") => Some(self.number("specifics.calls_out", 0.0)?),
                _ => None,
            },
            calls_window_ms: self.number("specifics.dep_window_ms", base.calls_window_ms)?,
            linger_ms: self.number("specifics.linger_ms", base.linger_ms)?,
            fresh_ms: self.number("specifics.fresh_for_ms", base.fresh_ms)?,
            retry_after: self.flag("policy_limits.retry_after")?,
            max_retry_after_ms: self.number("policy_limits.max_retry_after_ms", base.max_retry_after_ms)?,
            passes_deadline: self.flag("specifics.passes_deadline")?,
            callers: self.number("specifics.callers", base.callers)?,
            idle_max_ms: self.number("specifics.keepalive_max_ms", base.idle_max_ms)?,
            over_share_worth: self.number("over_share_worth", base.over_share_worth)?,
            classes,
            tenants,
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
                effect: match list.text(at, "effect").as_deref() {
                    Some("pure") => Effect::Safe,
                    Some("token") => Effect::Keyed,
                    _ => Effect::Unsafe,
                },
                aim_ms: number("target_ms")?,
                aim_stretch: number("aim_stretch")?,
                give_up_ms: number("give_up_ms")?,
                window_ms: number("memory_span_ms")?,
                worth: number("worth")?,
                late_worth: number("late_worth")?,
                calls: matches!(calls, Some("true" | "1")),
                skip_worth: skip_worth.map_or(Ok(0.0), |value| read(SKIP_WORTHS, value))?,
            })
        };
        (0..list.len()).map(class).collect()
    }
}
