//! Encoding of protocol version 1, as specified in `docs/formats/handover.md`. Every release with version 1
//! has to read and write exactly these bytes; a release with a different encoding needs a new
//! `PROTOCOL_VERSION`.

use dunlinspread_handover::{
    ForwardedOutcome, ForwardedRequest, ForwardedResponse, KeyRecord, PROTOCOL_VERSION, RefuseReason, RunEnd,
    RunRecord, RunRecordState, ServerIdentity, ToPredecessor, ToSuccessor,
};

const HELLO: &str = "0a10 0801 120c 0a0173 120163 120164 1a0174";
const REQUEST_TRANSFER: &str = "1200";
const LOADED: &str = "1a03 08ac02";
const COMPLETED: &str = "220f 08ac02 11000000000000e03f 1a0172";
const REJECTED: &str = "2210 08ac02 220b 090000000000000040 1001";
const FAILED: &str = "2205 08ac02 2a00";
const INVALID: &str = "2205 08ac02 3200";
const HEALTH: &str = "2a0b 0801 11000000000000e03f";
const BAD_HEALTH: &str = "2a00";
const WELCOME: &str =
    "8a0126 0801 1220 0707070707070707070707070707070707070707070707070707070707070707 1801";
const OTHER_VERSION: &str = "920102 0801";
const OTHER_IDENTITY: &str = "920102 0802";
const BUSY: &str = "920102 0803";
const SHUTTING_DOWN: &str = "920102 0804";
const KEYS: &str = "9a018101
     0a24 0a016b 1002 1a1d 090807060504030201 110900000000000000 19000000000000f03f 2200
     0a2d 0a016c 1002 1a1d 090807060504030201 110900000000000000 19000000000000f03f 2a00 21000000000000f03f
     0a25 0a016d 1002 1a1e 090807060504030201 110900000000000000 19000000000000f03f 320172
     0a03 0a016e";
const SNAPSHOT_END: &str = "a20103 08ac02";
const COMMIT: &str = "aa0100";
const RUN_COMPLETED: &str = "b2010f 0a016b 110807060504030201 1a0172";
const RUN_FAILED: &str = "b2010e 0a016b 110807060504030201 2200";
const RUN_NOT_STARTED: &str = "b2010e 0a016b 110807060504030201 2a00";
const REQUEST: &str =
    "ba013f 08ac02 110807060504030201 1802 21000000000000f03f 29000000000000e03f 31000000000000d03f
     3a016b 410000000000000040 4803 520161 5801 620162";
const CANCEL: &str = "c20103 08ac02";
const RUNS_IN_PROGRESS: &str = "ca010c 08ac02 11000000000000e03f";
const KEYS_UNKNOWN: &str = "d20109 09000000000000f03f";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().filter(|character| !character.is_whitespace()).collect();
    let pairs = digits.chunks(2).map(|pair| pair.iter().collect::<String>());
    pairs.map(|pair| u8::from_str_radix(&pair, 16).expect("hex digits")).collect()
}

fn response(outcome: ForwardedOutcome, advertised_share: Option<f64>) -> ToPredecessor {
    ToPredecessor::Response(ForwardedResponse { request: 300, outcome, advertised_share })
}

fn record(key: &[u8], state: RunRecordState, previous_window_end: Option<f64>) -> KeyRecord {
    let run = RunRecord { attempt: 0x0102_0304_0506_0708, body_hash: 9, window_end: 1.0, state };
    KeyRecord { key: key.to_vec(), class: 2, run: Some(run), previous_window_end }
}

fn run_ended(end: RunEnd) -> ToSuccessor {
    ToSuccessor::RunEnded { key: b"k".to_vec(), attempt: 0x0102_0304_0506_0708, end }
}

fn frames_to_the_predecessor() -> Vec<(ToPredecessor, &'static str)> {
    let identity =
        ServerIdentity { name: "s".into(), classes: vec!["c".into(), "d".into()], tenants: vec!["t".into()] };
    let rejected = ForwardedOutcome::Rejected { retry_after_ms: 2.0, do_not_retry: true };
    vec![
        (ToPredecessor::Hello { version: 1, identity }, HELLO),
        (ToPredecessor::RequestTransfer, REQUEST_TRANSFER),
        (ToPredecessor::Loaded { keys: 300 }, LOADED),
        (response(ForwardedOutcome::Completed(b"r".to_vec()), Some(0.5)), COMPLETED),
        (response(rejected, None), REJECTED),
        (response(ForwardedOutcome::Failed, None), FAILED),
        (response(ForwardedOutcome::Invalid, None), INVALID),
        (ToPredecessor::Health { healthy: true, advertised_share: Some(0.5) }, HEALTH),
        (ToPredecessor::Health { healthy: false, advertised_share: None }, BAD_HEALTH),
    ]
}

fn frames_to_the_successor() -> Vec<(ToSuccessor, &'static str)> {
    let refuse = |reason| ToSuccessor::Refuse { reason };
    let never_ran = KeyRecord { key: b"n".to_vec(), class: 0, run: None, previous_window_end: None };
    let keys = vec![
        record(b"k", RunRecordState::Running, None),
        record(b"l", RunRecordState::Failed, Some(1.0)),
        record(b"m", RunRecordState::Completed(b"r".to_vec()), None),
        never_ran,
    ];
    vec![
        (ToSuccessor::Welcome { version: 1, body_hash_key: [7; 32], evacuated: true }, WELCOME),
        (refuse(RefuseReason::OtherVersion), OTHER_VERSION),
        (refuse(RefuseReason::OtherIdentity), OTHER_IDENTITY),
        (refuse(RefuseReason::Busy), BUSY),
        (refuse(RefuseReason::ShuttingDown), SHUTTING_DOWN),
        (ToSuccessor::Keys(keys), KEYS),
        (ToSuccessor::SnapshotEnd { keys: 300 }, SNAPSHOT_END),
        (ToSuccessor::Commit, COMMIT),
        (run_ended(RunEnd::Completed(b"r".to_vec())), RUN_COMPLETED),
        (run_ended(RunEnd::Failed), RUN_FAILED),
        (run_ended(RunEnd::NotStarted), RUN_NOT_STARTED),
        (ToSuccessor::Request(request()), REQUEST),
        (ToSuccessor::Cancel { request: 300 }, CANCEL),
        (ToSuccessor::RunsInProgress { runs: 300, memory_kb: 0.5 }, RUNS_IN_PROGRESS),
        (ToSuccessor::KeysUnknown { until: 1.0 }, KEYS_UNKNOWN),
    ]
}

fn request() -> ForwardedRequest {
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

#[test]
fn bytes_to_the_predecessor_stay_as_they_are() {
    assert_eq!(PROTOCOL_VERSION, 1);
    for (frame, bytes) in frames_to_the_predecessor() {
        assert_eq!(hex(&frame.encode()), hex(&unhex(bytes)), "{frame:?}");
        assert_eq!(ToPredecessor::decode(&unhex(bytes)), Ok(frame));
    }
}

#[test]
fn bytes_to_the_successor_stay_as_they_are() {
    for (frame, bytes) in frames_to_the_successor() {
        assert_eq!(hex(&frame.encode()), hex(&unhex(bytes)), "{frame:?}");
        assert_eq!(ToSuccessor::decode(&unhex(bytes)), Ok(frame));
    }
}
