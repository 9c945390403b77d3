//! Conversions between the wire structures and the records of keys.

use super::{DecodeError, check, wire};
use crate::message::{KeyRecord, RunRecord, RunRecordState};

impl From<&KeyRecord> for wire::KeyRecord {
    fn from(record: &KeyRecord) -> Self {
        wire::KeyRecord {
            key: record.key.clone(),
            class: record.class,
            run: record.run.as_ref().map(wire::RunRecord::from),
            previous_window_end: record.previous_window_end,
        }
    }
}

impl TryFrom<wire::KeyRecord> for KeyRecord {
    type Error = DecodeError;

    fn try_from(record: wire::KeyRecord) -> Result<Self, DecodeError> {
        let previous_window_end =
            check::optional_non_negative("keys.previous_window_end", record.previous_window_end)?;
        let run = record.run.map(RunRecord::try_from).transpose()?;
        Ok(KeyRecord { key: record.key, class: record.class, run, previous_window_end })
    }
}

impl From<&RunRecord> for wire::RunRecord {
    fn from(run: &RunRecord) -> Self {
        let state = match &run.state {
            RunRecordState::Running => wire::run_state::Kind::Running(wire::Empty {}),
            RunRecordState::Failed => wire::run_state::Kind::Failed(wire::Empty {}),
            RunRecordState::Completed(result) => wire::run_state::Kind::Completed(result.clone()),
        };
        wire::RunRecord {
            attempt: run.attempt,
            body_hash: run.body_hash,
            window_end: run.window_end,
            state: Some(state),
        }
    }
}

impl TryFrom<wire::RunRecord> for RunRecord {
    type Error = DecodeError;

    fn try_from(run: wire::RunRecord) -> Result<Self, DecodeError> {
        let state = match check::required("keys.run.state", run.state)? {
            wire::run_state::Kind::Running(_) => RunRecordState::Running,
            wire::run_state::Kind::Failed(_) => RunRecordState::Failed,
            wire::run_state::Kind::Completed(result) => RunRecordState::Completed(result),
        };
        Ok(RunRecord {
            attempt: run.attempt,
            body_hash: run.body_hash,
            window_end: check::non_negative("keys.run.window_end", run.window_end)?,
            state,
        })
    }
}
