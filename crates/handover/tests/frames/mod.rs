//! Example frames for tests of the encoding.

pub mod strategies;

use dunlinspread_handover::{
    ForwardedOutcome, ForwardedRequest, ForwardedResponse, KeyRecord, RunRecord, RunRecordState,
    ToPredecessor, ToSuccessor,
};

/// Returns a valid request.
pub fn forwarded_request() -> ForwardedRequest {
    ForwardedRequest {
        request: 300,
        attempt: 0x0102_0304_0506_0708,
        class: 2,
        received_at: 1.0,
        request_kb: 0.5,
        priority: 0.25,
        key: Some(b"k".to_vec()),
        timeout_ms: Some(2.0),
        tenant: 3,
        account: Some("a".into()),
        shareable: true,
        body: b"b".to_vec(),
    }
}

/// Returns a frame with the valid request, modified by `change`.
pub fn request(change: impl FnOnce(&mut ForwardedRequest)) -> ToSuccessor {
    let mut request = forwarded_request();
    change(&mut request);
    ToSuccessor::Request(request)
}

pub fn rejected(retry_after_ms: f64, advertised_share: Option<f64>) -> ToPredecessor {
    let outcome = ForwardedOutcome::Rejected { retry_after_ms, do_not_retry: true };
    ToPredecessor::Response(ForwardedResponse { request: 300, outcome, advertised_share })
}

pub fn health(advertised_share: Option<f64>) -> ToPredecessor {
    ToPredecessor::Health { healthy: true, advertised_share }
}

pub fn key(run: Option<RunRecord>, previous_window_end: Option<f64>) -> KeyRecord {
    KeyRecord { key: b"k".to_vec(), class: 2, run, previous_window_end }
}

pub fn run_record(window_end: f64) -> RunRecord {
    RunRecord { attempt: 5, body_hash: 6, window_end, state: RunRecordState::Failed }
}

/// Returns a record of a 16-byte key whose run completed with a result of `result_bytes` bytes.
pub fn completed_key(number: u128, result_bytes: usize) -> KeyRecord {
    let state = RunRecordState::Completed(vec![9; result_bytes]);
    let run = RunRecord { attempt: u64::MAX, body_hash: u64::MAX, window_end: 1e12, state };
    let key = number.to_be_bytes().to_vec();
    KeyRecord { key, class: u32::MAX, run: Some(run), previous_window_end: Some(1e12) }
}
