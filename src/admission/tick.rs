//! The handler of the periodic timer: updates all state that depends on the gauges or on time.

use super::action::Action;
use super::backpressure::slow_start_share;
use super::controller::AdmissionController;
use super::event::{Gauges, RequestId};
use super::idle_timeout::ConnectionLoad;
use super::overload_level::LoadSample;
use super::priority_threshold::MAX_THRESHOLD;
use super::timing::{TIMER_PERIOD_MS, TIMER_TOKEN};

impl AdmissionController {
    /// Handles the timer and the gauges that were read for it.
    pub(super) fn on_timer(&mut self, now: f64, gauges: Gauges, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { token: TIMER_TOKEN, delay_ms: TIMER_PERIOD_MS });
        self.timer_lag.record_timer(now);
        self.reservations.drop_expired(now, actions);
        self.upstream_calls.drop_expired(now);
        let reading_at = self.faults.take_reading_time(now);
        self.update_overload_level(now, reading_at, gauges);
        self.update_health(now, reading_at, gauges, actions);
        let max_threshold = self.traffic.priority_quantile(MAX_THRESHOLD, false);
        self.threshold.step(self.overload.level() > 0, max_threshold);
        self.update_traffic();
        self.update_idle_timeout(gauges, actions);
        self.update_advertised_share(now, actions);
    }

    fn update_overload_level(&mut self, now: f64, reading_at: f64, gauges: Gauges) {
        let activity = self.run_activity(now);
        let usual_run = self.estimates.usual_run(&self.settings.classes);
        self.overload.update(&LoadSample {
            gauges,
            cores: self.settings.cores,
            running: activity.running as f64,
            queued: self.queued(),
            usual_run_ms: usual_run.run_ms,
            latency_objective_ms: usual_run.latency_objective_ms,
            speed: self.slow_start.speed(now),
            faulty: self.faults.is_faulty(reading_at, activity),
        });
        self.faults.decay_failures();
    }

    /// Updates the health, and rejects queued requests while runs are stalled so that clients try other
    /// instances.
    fn update_health(&mut self, now: f64, reading_at: f64, gauges: Gauges, actions: &mut Vec<Action>) {
        let gauges_missing = gauges == Gauges::default();
        let activity = self.run_activity(now);
        let stalled = self.faults.update_stall(now, reading_at, gauges_missing, activity);
        if stalled {
            for id in self.queued_originals() {
                self.answer_unserved(now, id, false, actions);
            }
        }
        if self.shutdown.is_none() {
            actions.extend(self.faults.update_health(stalled).map(Action::SetHealth));
        }
    }

    /// Returns the queued requests that do not wait for an original.
    fn queued_originals(&self) -> Vec<RequestId> {
        let queued = self.requests.iter().filter(|(_, request)| request.is_queued());
        let originals = queued.filter(|(_, request)| !self.requests.waits_for_original(request));
        originals.map(|(id, _)| id).collect()
    }

    fn update_traffic(&mut self) {
        let factor = self.traffic.decay();
        self.tenant_quota.decay(factor);
    }

    fn update_idle_timeout(&mut self, gauges: Gauges, actions: &mut Vec<Action>) {
        let running_share = self.requests.running() as f64 / self.settings.cores;
        let load = ConnectionLoad {
            busy: gauges.busy.unwrap_or(running_share),
            competing_work: self.overload.competing_work(),
            arrivals_per_ms: self.traffic.arrivals_per_ms(),
        };
        actions.extend(self.idle_timeout.update(load).map(Action::SetIdleTimeout));
    }

    fn update_advertised_share(&mut self, now: f64, actions: &mut Vec<Action>) {
        if self.shutdown.is_none() {
            let share = self.overload.share() * slow_start_share(self.slow_start.speed(now));
            self.backpressure.advertise_share(share, actions);
        }
    }
}
