//! What clients are told so that they send less: the advertised share and the Retry-After of rejections.

use super::action::Action;
use super::event::RequestId;
use super::settings::{Settings, Signal};
use super::traffic::RecentTraffic;

/// Steps in which a warming instance advertises its speed, from 0 to 1; each step is news for all clients.
const SLOW_START_STEPS: f64 = 20.0;
/// Added before rounding down to a step, so that a speed that is exactly a step is not rounded below it.
const ROUNDING_SLACK: f64 = 1e-9;
/// Part of the usual gap between a client's requests that a Retry-After lasts at most.
const MAX_RETRY_AFTER_GAPS: f64 = 0.5;

/// A rejection, before its Retry-After is bounded.
#[derive(Clone, Copy)]
pub(super) struct Rejection {
    /// Time after which the instance expects to have capacity, ms; infinite if it cannot tell.
    pub(super) retry_after_ms: f64,
    /// Whether to ask the client not to retry at another instance.
    pub(super) do_not_retry: bool,
}

/// The advertised share and the bounds of Retry-After.
pub(super) struct Backpressure {
    signals_share: bool,
    max_retry_after_ms: f64,
    client_count: f64,
    advertised_share: f64,
}

impl Backpressure {
    /// Returns the state of an instance that has advertised nothing yet, which clients read as a share of 1.
    pub(super) fn new(settings: &Settings) -> Backpressure {
        Backpressure {
            signals_share: settings.signal == Signal::Share,
            max_retry_after_ms: if settings.retry_after { settings.max_retry_after_ms } else { 0.0 },
            client_count: settings.client_count,
            advertised_share: 1.0,
        }
    }

    /// Advertises the first share, also if it is 1.
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

    /// Returns the action of a rejection.
    ///
    /// The Retry-After stays within the settings and within a part of the usual time between two requests of
    /// one client, since one of few clients sends much of the traffic.
    pub(super) fn reject(&self, id: RequestId, rejection: Rejection, traffic: &RecentTraffic) -> Action {
        let Rejection { retry_after_ms, do_not_retry } = rejection;
        let wanted_ms = if retry_after_ms.is_finite() {
            retry_after_ms.min(traffic.client_gap_ms(self.client_count) * MAX_RETRY_AFTER_GAPS)
        } else {
            retry_after_ms
        };
        Action::Reject { id, retry_after_ms: wanted_ms.min(self.max_retry_after_ms).round(), do_not_retry }
    }
}

/// Returns the share that an instance at this speed advertises: the speed, rounded down to a step.
pub(super) fn slow_start_share(speed: f64) -> f64 {
    (speed * SLOW_START_STEPS + ROUNDING_SLACK).floor().max(1.0) / SLOW_START_STEPS
}
