//! Conversions between the wire structures and the types for identity, forwarded requests and ends of runs.

use super::{DecodeError, check, wire};
use crate::message::{ForwardedOutcome, ForwardedRequest, ForwardedResponse, RunEnd, ServerIdentity};

impl From<&ServerIdentity> for wire::Identity {
    fn from(identity: &ServerIdentity) -> Self {
        wire::Identity {
            name: identity.name.clone(),
            classes: identity.classes.clone(),
            tenants: identity.tenants.clone(),
        }
    }
}

impl From<wire::Identity> for ServerIdentity {
    fn from(identity: wire::Identity) -> Self {
        ServerIdentity { name: identity.name, classes: identity.classes, tenants: identity.tenants }
    }
}

impl From<&ForwardedRequest> for wire::ForwardedRequest {
    fn from(request: &ForwardedRequest) -> Self {
        wire::ForwardedRequest {
            request: request.request,
            attempt: request.attempt,
            class: request.class,
            received_at: request.received_at,
            request_kb: request.request_kb,
            priority: request.priority,
            key: request.key.clone(),
            timeout_ms: request.timeout_ms,
            tenant: request.tenant,
            account: request.account.clone(),
            shareable: request.shareable,
            body: request.body.clone(),
        }
    }
}

impl TryFrom<wire::ForwardedRequest> for ForwardedRequest {
    type Error = DecodeError;

    fn try_from(request: wire::ForwardedRequest) -> Result<Self, DecodeError> {
        Ok(ForwardedRequest {
            request: request.request,
            attempt: request.attempt,
            class: request.class,
            received_at: check::non_negative("request.received_at", request.received_at)?,
            request_kb: check::non_negative("request.request_kb", request.request_kb)?,
            priority: check::non_negative("request.priority", request.priority)?,
            key: request.key,
            timeout_ms: check::optional_non_negative("request.timeout_ms", request.timeout_ms)?,
            tenant: request.tenant,
            account: request.account,
            shareable: request.shareable,
            body: request.body,
        })
    }
}

impl From<&ForwardedResponse> for wire::ForwardedResponse {
    fn from(response: &ForwardedResponse) -> Self {
        wire::ForwardedResponse {
            request: response.request,
            advertised_share: response.advertised_share,
            outcome: Some((&response.outcome).into()),
        }
    }
}

impl TryFrom<wire::ForwardedResponse> for ForwardedResponse {
    type Error = DecodeError;

    fn try_from(response: wire::ForwardedResponse) -> Result<Self, DecodeError> {
        Ok(ForwardedResponse {
            request: response.request,
            outcome: check::required("response.outcome", response.outcome)?.try_into()?,
            advertised_share: check::optional_non_negative(
                "response.advertised_share",
                response.advertised_share,
            )?,
        })
    }
}

impl From<&ForwardedOutcome> for wire::outcome::Kind {
    fn from(outcome: &ForwardedOutcome) -> Self {
        match outcome {
            ForwardedOutcome::Completed(result) => Self::Completed(result.clone()),
            ForwardedOutcome::Rejected { retry_after_ms, do_not_retry } => {
                let (retry_after_ms, do_not_retry) = (*retry_after_ms, *do_not_retry);
                Self::Rejected(wire::Rejected { retry_after_ms, do_not_retry })
            }
            ForwardedOutcome::Failed => Self::Failed(wire::Empty {}),
            ForwardedOutcome::Invalid => Self::Invalid(wire::Empty {}),
        }
    }
}

impl TryFrom<wire::outcome::Kind> for ForwardedOutcome {
    type Error = DecodeError;

    fn try_from(outcome: wire::outcome::Kind) -> Result<Self, DecodeError> {
        Ok(match outcome {
            wire::outcome::Kind::Completed(result) => ForwardedOutcome::Completed(result),
            wire::outcome::Kind::Rejected(rejected) => ForwardedOutcome::Rejected {
                retry_after_ms: check::non_negative(
                    "response.rejected.retry_after_ms",
                    rejected.retry_after_ms,
                )?,
                do_not_retry: rejected.do_not_retry,
            },
            wire::outcome::Kind::Failed(_) => ForwardedOutcome::Failed,
            wire::outcome::Kind::Invalid(_) => ForwardedOutcome::Invalid,
        })
    }
}

impl From<&RunEnd> for wire::run_end::Kind {
    fn from(end: &RunEnd) -> Self {
        match end {
            RunEnd::Completed(result) => Self::Completed(result.clone()),
            RunEnd::Failed => Self::Failed(wire::Empty {}),
            RunEnd::NotStarted => Self::NotStarted(wire::Empty {}),
        }
    }
}

impl From<wire::run_end::Kind> for RunEnd {
    fn from(end: wire::run_end::Kind) -> Self {
        match end {
            wire::run_end::Kind::Completed(result) => RunEnd::Completed(result),
            wire::run_end::Kind::Failed(_) => RunEnd::Failed,
            wire::run_end::Kind::NotStarted(_) => RunEnd::NotStarted,
        }
    }
}
