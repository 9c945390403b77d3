//! The signals that make clients send less: the advertised share and the Retry-After of rejections.

use super::action::Action;
use super::event::RequestId;
use super::settings::{Settings, Signal};
use super::traffic::RecentTraffic;

/// Number of steps, from 0 to 1, in which an instance that warms up advertises its speed; each step has to
/// reach all clients.
const SLOW_START_STEPS: f64 = 20.0;
/// Offset before rounding down to a step, so that a speed of exactly one step is not rounded below it.
const ROUNDING_SLACK: f64 = 1e-9;
/// Upper bound of a Retry-After, as a part of the mean time between two requests of a client.
const MAX_RETRY_AFTER_GAPS: f64 = 0.5;

/// A rejection whose Retry-After is not yet bounded.
#[derive(Clone, Copy)]
pub(super) struct Rejection {
    /// Time after which the instance expects to have capacity, ms; infinite if that is unknown.
    pub(super) retry_after_ms: f64,
    /// Whether to ask the client not to retry at another instance.
    pub(super) do_not_retry: bool,
}

/// The advertised share and the bounds of the Retry-After.
pub(super) struct Backpressure {
    signals_share: bool,
    max_retry_after_ms: f64,
    client_count: f64,
    advertised_share: f64,
}

impl Backpressure {
    /// Creates the state of an instance that has not advertised a share yet, which clients treat as 1.
    pub(super) fn new(settings: &Settings) -> Backpressure {
        Backpressure {
            signals_share: settings.signal == Signal::Share,
            max_retry_after_ms: if settings.retry_after { settings.max_retry_after_ms } else { 0.0 },
            client_count: settings.client_count,
            advertised_share: 1.0,
        }
    }

    /// Advertises a share even if it did not change, as is needed for the first one.
    pub(super) fn advertise_first_share(&mut self, share: f64, actions: &mut Vec<Action>) {
        if self.signals_share {
            self.advertised_share = share;
            actions.push(Action::AdvertiseShare(share));
        }
    }

    /// Advertises a share if it changed.
    pub(super) fn advertise_share(&mut self, share: f64, actions: &mut Vec<Action>) {
        if share != self.advertised_share {
            self.advertise_first_share(share, actions);
        }
    }

    /// Returns the action that rejects a request.
    ///
    /// The Retry-After is bounded by the settings and, if the expected time is known, by a part of the mean
    /// time between two requests of a client: where there are few clients, each sends much of the traffic.
    pub(super) fn reject(&self, id: RequestId, rejection: Rejection, traffic: &RecentTraffic) -> Action {
        let Rejection { retry_after_ms, do_not_retry } = rejection;
        let bounded_ms = if retry_after_ms.is_finite() {
            retry_after_ms.min(traffic.client_gap_ms(self.client_count) * MAX_RETRY_AFTER_GAPS)
        } else {
            retry_after_ms
        };
        Action::Reject { id, retry_after_ms: bounded_ms.min(self.max_retry_after_ms).round(), do_not_retry }
    }
}

/// Returns the share that an instance at this speed advertises: the speed, rounded down to a step.
pub(super) fn slow_start_share(speed: f64) -> f64 {
    (speed * SLOW_START_STEPS + ROUNDING_SLACK).floor().max(1.0) / SLOW_START_STEPS
}
