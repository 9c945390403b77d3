//! The data and the state of a request.

use super::event::RequestId;

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestState {
    /// The request waits for a run.
    Queued,
    /// The request runs.
    Running,
    /// The request may run, or its run may wait for a command that was lost.
    InDoubt,
    /// The request needs an upstream call, which must not be made before this time.
    AwaitingCall(f64),
    /// The request's upstream call is in progress.
    Calling,
    /// The request's run was suspended.
    Suspended,
    /// The request waits for the result of the request that it duplicates.
    Reusing,
}

/// A request that was read and has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    /// Index of the request's class.
    pub(super) class: usize,
    /// Memory that the request takes while queued, kB.
    pub(super) request_kb: f64,
    /// Priority quantile of the request among all traffic, 0 to 1; the lowest is shed first.
    pub(super) priority: f64,
    /// Weight of the request relative to others.
    pub(super) priority_weight: f64,
    /// Time at which the request reached the machine.
    pub(super) arrived_at: f64,
    /// Time until which a response has full weight.
    pub(super) objective_at: f64,
    /// Time by which the request has to be answered.
    pub(super) deadline: f64,
    /// State of the request.
    pub(super) state: RequestState,
    /// The request that this one duplicates, if any.
    pub(super) duplicate_of: Option<RequestId>,
    /// Whether the final response was sent or the client is gone.
    pub(super) answered: bool,
    /// Number of retries of the upstream call, capped where the backoff stops growing.
    pub(super) call_retries: i32,
}

impl Request {
    /// Returns whether the request waits for a run.
    pub(super) fn is_queued(&self) -> bool {
        self.state == RequestState::Queued
    }

    /// Returns whether the request runs or is at an upstream call.
    pub(super) fn is_in_progress(&self) -> bool {
        match self.state {
            RequestState::Running
            | RequestState::InDoubt
            | RequestState::AwaitingCall(_)
            | RequestState::Calling => true,
            RequestState::Queued | RequestState::Suspended | RequestState::Reusing => false,
        }
    }
}
