//! Encoding and decoding of frames from the predecessor.

use super::wire::to_successor::Kind;
use super::{DecodeError, check, wire};
use crate::message::{KeyRecord, RefuseReason, ToSuccessor};
use prost::Message as _;

const REASON_OTHER_VERSION: u32 = 1;
const REASON_OTHER_IDENTITY: u32 = 2;
const REASON_BUSY: u32 = 3;
const REASON_SHUTTING_DOWN: u32 = 4;

impl ToSuccessor {
    /// Returns the payload of one frame, without a length prefix.
    pub fn encode(&self) -> Vec<u8> {
        wire::ToSuccessor { kind: Some(wire_kind(self)) }.encode_to_vec()
    }

    /// Decodes the payload of one frame.
    ///
    /// # Errors
    /// Returns a [`DecodeError`] for the first invalid field, or if the frame is too long, malformed or of an
    /// unknown kind.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        check::frame_length(bytes)?;
        let unknown_kind = DecodeError::UnknownKind { direction: "to the successor" };
        match wire::ToSuccessor::decode(bytes)?.kind.ok_or(unknown_kind)? {
            Kind::Welcome(welcome) => decode_welcome(&welcome),
            Kind::Refuse(refuse) => Ok(ToSuccessor::Refuse { reason: refuse_reason(refuse.reason)? }),
            Kind::Keys(keys) => decode_keys(keys),
            Kind::SnapshotEnd(count) => Ok(ToSuccessor::SnapshotEnd { keys: count.keys }),
            Kind::Commit(_) => Ok(ToSuccessor::Commit),
            Kind::RunEnded(ended) => decode_run_ended(ended),
            Kind::Request(request) => Ok(ToSuccessor::Request(request.try_into()?)),
            Kind::Cancel(cancel) => Ok(ToSuccessor::Cancel { request: cancel.request }),
            Kind::RunsInProgress(progress) => decode_runs_in_progress(progress),
            Kind::KeysUnknown(keys) => {
                Ok(ToSuccessor::KeysUnknown { until: check::non_negative("keys_unknown.until", keys.until)? })
            }
        }
    }
}

fn wire_kind(frame: &ToSuccessor) -> Kind {
    match frame {
        ToSuccessor::Welcome { version, body_hash_key, evacuated } => Kind::Welcome(wire::Welcome {
            version: *version,
            body_hash_key: body_hash_key.to_vec(),
            evacuated: *evacuated,
        }),
        ToSuccessor::Refuse { reason } => Kind::Refuse(wire::Refuse { reason: reason_number(*reason) }),
        ToSuccessor::Keys(records) => {
            Kind::Keys(wire::Keys { records: records.iter().map(wire::KeyRecord::from).collect() })
        }
        ToSuccessor::SnapshotEnd { keys } => Kind::SnapshotEnd(wire::KeyCount { keys: *keys }),
        ToSuccessor::Commit => Kind::Commit(wire::Empty {}),
        ToSuccessor::RunEnded { key, attempt, end } => {
            Kind::RunEnded(wire::RunEnded { key: key.clone(), attempt: *attempt, end: Some(end.into()) })
        }
        ToSuccessor::Request(request) => Kind::Request(request.into()),
        ToSuccessor::Cancel { request } => Kind::Cancel(wire::Cancel { request: *request }),
        ToSuccessor::RunsInProgress { runs, memory_kb } => {
            Kind::RunsInProgress(wire::RunsInProgress { runs: *runs, memory_kb: *memory_kb })
        }
        ToSuccessor::KeysUnknown { until } => Kind::KeysUnknown(wire::KeysUnknown { until: *until }),
    }
}

fn reason_number(reason: RefuseReason) -> u32 {
    match reason {
        RefuseReason::OtherVersion => REASON_OTHER_VERSION,
        RefuseReason::OtherIdentity => REASON_OTHER_IDENTITY,
        RefuseReason::Busy => REASON_BUSY,
        RefuseReason::ShuttingDown => REASON_SHUTTING_DOWN,
    }
}

fn refuse_reason(number: u32) -> Result<RefuseReason, DecodeError> {
    match number {
        REASON_OTHER_VERSION => Ok(RefuseReason::OtherVersion),
        REASON_OTHER_IDENTITY => Ok(RefuseReason::OtherIdentity),
        REASON_BUSY => Ok(RefuseReason::Busy),
        REASON_SHUTTING_DOWN => Ok(RefuseReason::ShuttingDown),
        other => Err(DecodeError::Value { field: "refuse.reason", value: other.into() }),
    }
}

fn decode_welcome(welcome: &wire::Welcome) -> Result<ToSuccessor, DecodeError> {
    let body_hash_key = check::key_of_32_bytes("welcome.body_hash_key", &welcome.body_hash_key)?;
    Ok(ToSuccessor::Welcome { version: welcome.version, body_hash_key, evacuated: welcome.evacuated })
}

fn decode_keys(keys: wire::Keys) -> Result<ToSuccessor, DecodeError> {
    let records: Result<Vec<KeyRecord>, DecodeError> =
        keys.records.into_iter().map(KeyRecord::try_from).collect();
    Ok(ToSuccessor::Keys(records?))
}

fn decode_run_ended(ended: wire::RunEnded) -> Result<ToSuccessor, DecodeError> {
    let end = check::required("run_ended.end", ended.end)?.into();
    Ok(ToSuccessor::RunEnded { key: ended.key, attempt: ended.attempt, end })
}

fn decode_runs_in_progress(progress: wire::RunsInProgress) -> Result<ToSuccessor, DecodeError> {
    let memory_kb = check::non_negative("runs_in_progress.memory_kb", progress.memory_kb)?;
    Ok(ToSuccessor::RunsInProgress { runs: progress.runs, memory_kb })
}
