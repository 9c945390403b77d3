//! Strategies that generate arbitrary valid frames.

use dunlinspread_handover::{
    ForwardedOutcome, ForwardedRequest, ForwardedResponse, KeyRecord, RefuseReason, RunEnd, RunRecord,
    RunRecordState, ServerIdentity, ToPredecessor, ToSuccessor,
};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::{Just, Strategy, any, prop_oneof};

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    vec(any::<u8>(), 0..40)
}

fn number() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), 0.0..1.0, 0.0..1e13, Just(f64::MIN_POSITIVE), Just(f64::MAX)]
}

fn name() -> impl Strategy<Value = String> {
    "\\PC{0,8}"
}

fn identity() -> impl Strategy<Value = ServerIdentity> {
    (name(), vec(name(), 0..4), vec(name(), 0..4)).prop_map(|(name, classes, tenants)| ServerIdentity {
        name,
        classes,
        tenants,
    })
}

fn outcome() -> impl Strategy<Value = ForwardedOutcome> {
    prop_oneof![
        bytes().prop_map(ForwardedOutcome::Completed),
        (number(), any::<bool>()).prop_map(|(retry_after_ms, do_not_retry)| ForwardedOutcome::Rejected {
            retry_after_ms,
            do_not_retry
        }),
        Just(ForwardedOutcome::Failed),
        Just(ForwardedOutcome::Invalid),
    ]
}

fn response() -> impl Strategy<Value = ForwardedResponse> {
    (any::<u64>(), outcome(), option::of(number())).prop_map(|(request, outcome, advertised_share)| {
        ForwardedResponse { request, outcome, advertised_share }
    })
}

/// Returns a strategy for arbitrary frames to the predecessor.
pub fn to_predecessor() -> impl Strategy<Value = ToPredecessor> {
    prop_oneof![
        (any::<u32>(), identity()).prop_map(|(version, identity)| ToPredecessor::Hello { version, identity }),
        Just(ToPredecessor::RequestTransfer),
        any::<u64>().prop_map(|keys| ToPredecessor::Loaded { keys }),
        response().prop_map(ToPredecessor::Response),
        (any::<bool>(), option::of(number()))
            .prop_map(|(healthy, advertised_share)| { ToPredecessor::Health { healthy, advertised_share } }),
    ]
}

fn run_state() -> impl Strategy<Value = RunRecordState> {
    prop_oneof![
        Just(RunRecordState::Running),
        Just(RunRecordState::Failed),
        bytes().prop_map(RunRecordState::Completed),
    ]
}

fn run_record() -> impl Strategy<Value = RunRecord> {
    (any::<u64>(), any::<u64>(), number(), run_state()).prop_map(|(attempt, body_hash, window_end, state)| {
        RunRecord { attempt, body_hash, window_end, state }
    })
}

/// Returns a strategy for arbitrary records of keys.
pub fn key_record() -> impl Strategy<Value = KeyRecord> {
    (bytes(), any::<u32>(), option::of(run_record()), option::of(number()))
        .prop_map(|(key, class, run, previous_window_end)| KeyRecord { key, class, run, previous_window_end })
}

fn run_end() -> impl Strategy<Value = RunEnd> {
    prop_oneof![bytes().prop_map(RunEnd::Completed), Just(RunEnd::Failed), Just(RunEnd::NotStarted)]
}

fn reason() -> impl Strategy<Value = RefuseReason> {
    prop_oneof![
        Just(RefuseReason::OtherVersion),
        Just(RefuseReason::OtherIdentity),
        Just(RefuseReason::Busy),
        Just(RefuseReason::ShuttingDown),
    ]
}

fn request() -> impl Strategy<Value = ForwardedRequest> {
    let integers = (any::<u64>(), any::<u64>(), any::<u32>(), any::<u32>(), any::<bool>());
    let measures = (number(), number(), number(), option::of(number()));
    (integers, measures, option::of(bytes()), option::of(name()), bytes()).prop_map(
        |(integers, measures, key, account, body)| {
            let (request, attempt, class, tenant, shareable) = integers;
            let (received_at, request_kb, priority, timeout_ms) = measures;
            ForwardedRequest {
                request,
                attempt,
                class,
                received_at,
                request_kb,
                priority,
                key,
                timeout_ms,
                tenant,
                account,
                shareable,
                body,
            }
        },
    )
}

/// Returns a strategy for arbitrary frames to the successor.
pub fn to_successor() -> impl Strategy<Value = ToSuccessor> {
    prop_oneof![
        (any::<u32>(), any::<[u8; 32]>(), any::<bool>()).prop_map(|(version, body_hash_key, evacuated)| {
            ToSuccessor::Welcome { version, body_hash_key, evacuated }
        }),
        reason().prop_map(|reason| ToSuccessor::Refuse { reason }),
        vec(key_record(), 0..6).prop_map(ToSuccessor::Keys),
        any::<u64>().prop_map(|keys| ToSuccessor::SnapshotEnd { keys }),
        Just(ToSuccessor::Commit),
        (bytes(), any::<u64>(), run_end()).prop_map(|(key, attempt, end)| ToSuccessor::RunEnded {
            key,
            attempt,
            end
        }),
        request().prop_map(ToSuccessor::Request),
        any::<u64>().prop_map(|request| ToSuccessor::Cancel { request }),
        (any::<u64>(), number())
            .prop_map(|(runs, memory_kb)| ToSuccessor::RunsInProgress { runs, memory_kb }),
        number().prop_map(|until| ToSuccessor::KeysUnknown { until }),
    ]
}
