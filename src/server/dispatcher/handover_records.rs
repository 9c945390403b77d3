//! Requests, responses and keys as two processes of this server tell them to each other.

use crate::admission::RequestId;
use crate::server::messages::{IncomingRequest, ReplyHandle, Response};
use dunlinspread_handover as wire;
use dunlinspread_idempotency::{KeyRecord, RunRecord, RunRecordState, RunResult};
use std::rc::Rc;

/// A key with its cached result.
pub(super) type ExportedKey = KeyRecord<Rc<[u8]>>;

/// Returns a request as it is forwarded, to be answered by `answer_by`, Unix ms, and where its response goes.
pub(super) fn forwarded_request(
    incoming: IncomingRequest,
    answer_by: f64,
) -> (wire::ForwardedRequest, ReplyHandle) {
    let request = wire::ForwardedRequest {
        request: incoming.id,
        attempt: incoming.attempt,
        // Lossless: the numbers of classes and tenants are bounded far below.
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

/// Returns a forwarded request as one that arrives here under that id.
pub(super) fn incoming_request(
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

/// Returns the response that the successor gave.
pub(super) fn response(outcome: wire::ForwardedOutcome) -> Response {
    match outcome {
        wire::ForwardedOutcome::Completed(result) => Response::Completed(result.into()),
        wire::ForwardedOutcome::Rejected { retry_after_ms, do_not_retry } => {
            Response::Rejected { retry_after_ms, do_not_retry }
        }
        wire::ForwardedOutcome::Failed => Response::Failed,
        wire::ForwardedOutcome::Invalid => Response::Invalid,
    }
}

/// Returns a key as it is sent to the successor.
pub(super) fn sent_key(record: &ExportedKey) -> wire::KeyRecord {
    wire::KeyRecord {
        key: record.key.to_vec(),
        class: u32::try_from(record.class).unwrap_or(u32::MAX),
        run: record.run.as_ref().map(sent_run),
        previous_window_end: record.previous_window_end,
    }
}

fn sent_run(run: &RunRecord<Rc<[u8]>>) -> wire::RunRecord {
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

/// Returns a key that the predecessor sent.
pub(super) fn received_key(record: wire::KeyRecord) -> ExportedKey {
    KeyRecord {
        key: record.key.into(),
        class: record.class as usize,
        run: record.run.map(received_run),
        previous_window_end: record.previous_window_end,
    }
}

fn received_run(run: wire::RunRecord) -> RunRecord<Rc<[u8]>> {
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

/// Returns how a run ended, as it is sent to the successor.
pub(super) fn sent_run_end(result: &RunResult<Rc<[u8]>>) -> wire::RunEnd {
    match result {
        RunResult::Completed(result) => wire::RunEnd::Completed(result.to_vec()),
        RunResult::Failed => wire::RunEnd::Failed,
        RunResult::NotStarted => wire::RunEnd::NotStarted,
    }
}

/// Returns how a run of the predecessor ended.
pub(super) fn received_run_end(end: wire::RunEnd) -> RunResult<Rc<[u8]>> {
    match end {
        wire::RunEnd::Completed(result) => RunResult::Completed(result.into()),
        wire::RunEnd::Failed => RunResult::Failed,
        wire::RunEnd::NotStarted => RunResult::NotStarted,
    }
}
