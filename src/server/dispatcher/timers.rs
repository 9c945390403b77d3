//! Timers of the admission controller with the gauges that they need, sweep of keys, and changes of settings.

use super::state::Dispatcher;
use crate::admission::{Event, Gauges};
use crate::server::messages::{DispatcherMessage, Reconfigured};

/// How long a timer waits for the gauges before it fires without them, ms.
const GAUGES_TIMEOUT_MS: f64 = 20.0;
/// Interval at which expired keys are removed, ms.
pub(super) const SWEEP_INTERVAL_MS: f64 = 1000.0;

impl Dispatcher {
    /// Handles a due timer: it fires with the gauges, or without them if they are late or no link is up.
    pub(super) fn on_timer(&mut self, token: u64) {
        if let Some(earlier_token) = self.gauge_poll.abandon() {
            self.fire_timer(earlier_token, Gauges::default());
        }
        let tag = self.gauge_poll.begin(token);
        self.dispatch_event(Event::GaugesRequested);
        if self.pool.read_gauges(tag) {
            self.schedule(GAUGES_TIMEOUT_MS, DispatcherMessage::GaugesTimedOut(tag));
        } else {
            self.on_gauges(tag, Gauges::default());
        }
    }

    /// Fires the timer that waits for the reading with this tag, after the gauges arrived or timed out.
    pub(super) fn on_gauges(&mut self, tag: u64, gauges: Gauges) {
        if let Some(token) = self.gauge_poll.complete(tag) {
            self.fire_timer(token, gauges);
        }
    }

    fn fire_timer(&mut self, token: u64, gauges: Gauges) {
        self.dispatch_event(Event::Timer { token, gauges });
    }

    /// Applies changed settings to the controller, or to the settings for its start if it has not started.
    pub(super) fn on_reconfigured(&mut self, reconfigured: Reconfigured) {
        let Reconfigured { changes, done } = reconfigured;
        match self.controller {
            Some(_) => self.dispatch_event(Event::Reconfigured(Box::new(changes))),
            None => self.settings.reconfigure(&changes),
        }
        // The channel has capacity for this one message, for which the sender of the changes waits.
        let _ = done.try_send(());
    }

    /// Removes expired keys and ended forwarded requests, and logs how often log lines were repeated.
    pub(super) fn on_sweep(&mut self) {
        self.schedule(SWEEP_INTERVAL_MS, DispatcherMessage::SweepKeys);
        let now = self.clock.now();
        self.repeating_log.log_repeated(now);
        self.keys.sweep(now);
        self.sweep_forwarded();
    }
}
