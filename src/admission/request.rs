//! A request and its state.

use super::event::RequestId;

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestState {
    /// Waits for a run.
    Queued,
    /// Runs.
    Running,
    /// Needs an upstream call, which is not to be made before this time.
    AwaitingCall(f64),
    /// Its upstream call is in progress.
    Calling,
    /// Its run was suspended.
    Suspended,
    /// Waits for the result of the request that it duplicates.
    Reusing,
}

/// A request that was read and has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    /// Index of its class.
    pub(super) class: usize,
    /// Memory while queued, kB.
    pub(super) request_kb: f64,
    /// Its quantile among all traffic, 0 to 1; the lowest is shed first.
    pub(super) priority: f64,
    /// Its weight against other requests.
    pub(super) priority_weight: f64,
    /// Time at which it reached the machine.
    pub(super) arrived_at: f64,
    /// Time up to which a response has full weight.
    pub(super) objective_at: f64,
    /// Time up to which it has to be answered.
    pub(super) deadline: f64,
    /// Its state.
    pub(super) state: RequestState,
    /// The request that it duplicates, if any.
    pub(super) duplicate_of: Option<RequestId>,
    /// Whether its final response was given or its client is gone.
    pub(super) answered: bool,
    /// Upstream calls that were repeated.
    pub(super) call_retries: i32,
}

impl Request {
    /// Returns whether it waits for a run.
    pub(super) fn is_queued(&self) -> bool {
        self.state == RequestState::Queued
    }

    /// Returns whether it runs or is at an upstream call.
    pub(super) fn is_in_progress(&self) -> bool {
        matches!(self.state, RequestState::Running | RequestState::AwaitingCall(_) | RequestState::Calling)
    }
}
