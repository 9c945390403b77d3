//! Conversion of requests, responses and keys to and from the handover protocol between two processes of this
//! server.

use crate::admission::RequestId;
use crate::server::messages::{IncomingRequest, ReplyHandle, Response};
use dunlinspread_handover as wire;
use dunlinspread_idempotency::{KeyRecord, RunRecord, RunRecordState, RunResult};
use std::rc::Rc;

/// An idempotency key with its cached result.
pub(super) type ExportedKey = KeyRecord<Rc<[u8]>>;

/// Converts a request to its forwarded form, which the successor is to answer by `answer_by`, Unix ms, and
/// returns it with the handle for its response.
pub(super) fn request_to_wire(
    incoming: IncomingRequest,
    answer_by: f64,
) -> (wire::ForwardedRequest, ReplyHandle) {
    let request = wire::ForwardedRequest {
        request: incoming.id,
        attempt: incoming.attempt,
        // The conversions are lossless: the numbers of classes and tenants are far below the limit of `u32`.
        class: u32::try_from(incoming.class).unwrap_or(u32::MAX),
        received_at: incoming.received_at,
        request_kb: incoming.request_kb,
        priority: incoming.priority,
        key: incoming.key,
        timeout_ms: Some((answer_by - incoming.received_at).max(0.0)),
        tenant: u32::try_from(incoming.tenant).unwrap_or(u32::MAX),
        account: incoming.account.map(|account| account.to_string()),
        shareable: incoming.shareable,
        body: incoming.body,
    };
    (request, incoming.reply)
}

/// Converts a forwarded request to an incoming request with this id.
pub(super) fn request_from_wire(
    request: wire::ForwardedRequest,
    id: RequestId,
    reply: ReplyHandle,
) -> IncomingRequest {
    IncomingRequest {
        id,
        attempt: request.attempt,
        class: request.class as usize,
        received_at: request.received_at,
        request_kb: request.request_kb,
        priority: request.priority,
        key: request.key,
        timeout_ms: request.timeout_ms,
        tenant: request.tenant as usize,
        account: request.account.map(Rc::from),
        shareable: request.shareable,
        body: request.body,
        reply,
    }
}

/// Converts the outcome that the successor sent to a response.
pub(super) fn response_from_wire(outcome: wire::ForwardedOutcome) -> Response {
    match outcome {
        wire::ForwardedOutcome::Completed(result) => Response::Completed(result.into()),
        wire::ForwardedOutcome::Rejected { retry_after_ms, do_not_retry } => {
            Response::Rejected { retry_after_ms, do_not_retry }
        }
        wire::ForwardedOutcome::Failed => Response::Failed,
        wire::ForwardedOutcome::Invalid => Response::Invalid,
    }
}

/// Converts a key to the record that is sent to the successor.
pub(super) fn key_to_wire(record: &ExportedKey) -> wire::KeyRecord {
    wire::KeyRecord {
        key: record.key.to_vec(),
        class: u32::try_from(record.class).unwrap_or(u32::MAX),
        run: record.run.as_ref().map(run_to_wire),
        previous_window_end: record.previous_window_end,
    }
}

fn run_to_wire(run: &RunRecord<Rc<[u8]>>) -> wire::RunRecord {
    wire::RunRecord {
        attempt: run.attempt,
        body_hash: run.body_hash,
        window_end: run.window_end,
        state: match &run.state {
            RunRecordState::Running => wire::RunRecordState::Running,
            RunRecordState::Failed => wire::RunRecordState::Failed,
            RunRecordState::Completed(result) => wire::RunRecordState::Completed(result.to_vec()),
        },
    }
}

/// Converts a record from the predecessor to a key.
pub(super) fn key_from_wire(record: wire::KeyRecord) -> ExportedKey {
    KeyRecord {
        key: record.key.into(),
        class: record.class as usize,
        run: record.run.map(run_from_wire),
        previous_window_end: record.previous_window_end,
    }
}

fn run_from_wire(run: wire::RunRecord) -> RunRecord<Rc<[u8]>> {
    RunRecord {
        attempt: run.attempt,
        body_hash: run.body_hash,
        window_end: run.window_end,
        state: match run.state {
            wire::RunRecordState::Running => RunRecordState::Running,
            wire::RunRecordState::Failed => RunRecordState::Failed,
            wire::RunRecordState::Completed(result) => RunRecordState::Completed(result.into()),
        },
    }
}

/// Converts the result of a run to the form that is sent to the successor.
pub(super) fn run_end_to_wire(result: &RunResult<Rc<[u8]>>) -> wire::RunEnd {
    match result {
        RunResult::Completed(result) => wire::RunEnd::Completed(result.to_vec()),
        RunResult::Failed => wire::RunEnd::Failed,
        RunResult::NotStarted => wire::RunEnd::NotStarted,
    }
}

/// Converts the end of a run that the predecessor reported to a result.
pub(super) fn run_end_from_wire(end: wire::RunEnd) -> RunResult<Rc<[u8]>> {
    match end {
        wire::RunEnd::Completed(result) => RunResult::Completed(result.into()),
        wire::RunEnd::Failed => RunResult::Failed,
        wire::RunEnd::NotStarted => RunResult::NotStarted,
    }
}
