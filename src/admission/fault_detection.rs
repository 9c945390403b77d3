//! Detection of faults that no gauge shows: runs that fail and runs that make no progress.
//!
//! Both raise the overload level and make the health check fail, so that traffic goes to other instances. The
//! share of failed runs decays, so that a small amount of traffic can show whether the fault is over.

use super::moving_average::DecayingMean;
use super::timing::{RATE_SPAN_MS, SYMPTOM_SPAN_MS, TIMER_PERIOD_MS};

/// Share of failed runs above which runs count as failing and a healthy instance becomes unhealthy.
const FAULTY_FAILURE_SHARE: f64 = 0.5;
/// Share of failed runs at or below which an unhealthy instance becomes healthy again.
const HEALTHY_FAILURE_SHARE: f64 = 0.1;
/// Time without a sign of progress after which runs count as stalled, in usual gaps between two signs.
///
/// With independent runs, one gap in ten thousand is that long by chance.
const STALL_GAPS: f64 = 10.0;
/// Time between two timers, in timer periods, above which the process counts as having been suspended.
const SUSPENDED_PERIODS: f64 = 2.0;

/// The number of runs in progress and the usual run time.
#[derive(Clone, Copy)]
pub(super) struct RunActivity {
    /// Number of running requests.
    pub(super) running: usize,
    /// Usual time of a run at the present speed, ms.
    pub(super) usual_run_ms: f64,
}

/// The measurements from which the health is derived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultReading {
    /// Whether the runs were stalled as of the last timer.
    pub stalled: bool,
    /// Decaying share of failed runs, 0 to 1.
    pub failure_share: f64,
    /// Time between the last sign of progress and the last reading of the gauges, ms.
    pub without_progress_ms: f64,
}

/// Detects failing and stalled runs and keeps the health that is reported.
///
/// A sign of progress is a run that ends, a run that reaches its upstream call, or a run that starts on idle
/// cores.
pub(super) struct FaultDetector {
    failure_share: DecayingMean,
    progress_gaps: DecayingMean,
    last_progress_at: f64,
    last_stall_at: f64,
    last_timer_at: f64,
    /// Time until which all signs of progress were known at the last timer.
    last_reading_at: f64,
    /// Time at which the gauges of the next timer were requested.
    gauges_requested_at: Option<f64>,
    healthy: bool,
}

impl FaultDetector {
    /// Creates a detector that starts at `now` as healthy.
    pub(super) fn new(now: f64) -> FaultDetector {
        FaultDetector {
            failure_share: DecayingMean::default(),
            progress_gaps: DecayingMean::default(),
            last_progress_at: now,
            last_stall_at: f64::NEG_INFINITY,
            last_timer_at: now,
            last_reading_at: now,
            gauges_requested_at: None,
            healthy: true,
        }
    }

    /// Records the end of a run.
    pub(super) fn record_run(&mut self, failed: bool) {
        self.failure_share.add(f64::from(u8::from(failed)));
    }

    /// Records a sign of progress.
    pub(super) fn record_progress(&mut self, now: f64) {
        self.progress_gaps.add((now - self.last_progress_at).max(0.0));
        self.last_progress_at = now;
    }

    /// Records the start of a run on idle cores; the idle time before it does not count as a gap.
    pub(super) fn record_start_on_idle_cores(&mut self, now: f64) {
        self.last_progress_at = now;
    }

    /// Records that commands for runs waited for `waited_ms` to be written.
    ///
    /// The runs could make no progress during that time because of a lag of this process.
    pub(super) fn record_command_delay(&mut self, now: f64, waited_ms: f64) {
        self.last_progress_at = (self.last_progress_at + waited_ms.max(0.0)).min(now);
    }

    /// Returns whether too many runs fail.
    pub(super) fn has_frequent_failures(&self) -> bool {
        self.failure_share.value() >= FAULTY_FAILURE_SHARE
    }

    /// Returns whether `started_at` is after the last timer that found the runs stalled.
    pub(super) fn began_after_stall(&self, started_at: f64) -> bool {
        started_at > self.last_stall_at
    }

    /// Returns whether too many runs fail or the runs are stalled.
    pub(super) fn is_faulty(&self, now: f64, activity: RunActivity) -> bool {
        self.failure_share.value() > FAULTY_FAILURE_SHARE || self.is_stalled(now, activity)
    }

    /// Decays the share of failed runs by one timer period.
    pub(super) fn decay_failures(&mut self) {
        self.failure_share.decay(SYMPTOM_SPAN_MS);
    }

    /// Records the request for the gauges of the next timer.
    pub(super) fn record_gauges_request(&mut self, now: f64) {
        self.gauges_requested_at = Some(now);
    }

    /// Returns the time until which all signs of progress are known at a timer, and clears it.
    ///
    /// Later signs may still be unread, as they arrive after the gauges.
    pub(super) fn take_reading_time(&mut self, now: f64) -> f64 {
        self.gauges_requested_at.take().unwrap_or(now)
    }

    /// Records a timer whose gauges were read at `reading_at` and returns whether the runs are stalled.
    ///
    /// The time during which the whole process was suspended, which a late timer or missing gauges show, does
    /// not count towards a stall.
    pub(super) fn update_stall(
        &mut self,
        now: f64,
        reading_at: f64,
        gauges_missing: bool,
        activity: RunActivity,
    ) -> bool {
        let since_timer = now - self.last_timer_at;
        if gauges_missing || since_timer > SUSPENDED_PERIODS * TIMER_PERIOD_MS {
            self.last_progress_at = (self.last_progress_at + now - self.last_timer_at).min(now);
        }
        self.last_timer_at = now;
        self.last_reading_at = reading_at;
        let stalled = self.is_stalled(reading_at, activity);
        if stalled {
            self.last_stall_at = now;
        } else {
            self.progress_gaps.decay(RATE_SPAN_MS);
        }
        stalled
    }

    /// Updates the health and returns it if it changed.
    pub(super) fn update_health(&mut self, stalled: bool) -> Option<bool> {
        let max_failure_share = if self.healthy { FAULTY_FAILURE_SHARE } else { HEALTHY_FAILURE_SHARE };
        let healthy = !stalled && self.failure_share.value() <= max_failure_share;
        if healthy == self.healthy {
            return None;
        }
        self.healthy = healthy;
        Some(healthy)
    }

    /// Returns the measurements from which the health is derived.
    pub(super) fn reading(&self) -> FaultReading {
        FaultReading {
            stalled: self.last_stall_at == self.last_timer_at,
            failure_share: self.failure_share.value(),
            without_progress_ms: (self.last_reading_at - self.last_progress_at).max(0.0),
        }
    }

    /// Returns whether there was no sign of progress for [`STALL_GAPS`] usual gaps and for a usual run time.
    fn is_stalled(&self, now: f64, activity: RunActivity) -> bool {
        let usual_gap = self.progress_gaps.value_with_prior(activity.usual_run_ms);
        let limit_ms = activity.usual_run_ms.max(STALL_GAPS * usual_gap);
        activity.running > 0 && now - self.last_progress_at > limit_ms
    }
}
