//! Handover during an upgrade: the tasks that connect this process with its predecessor and its successor.
//!
//! The protocol is a pair of state machines in `crates/handover`. The dispatcher drives the predecessor's
//! state machine, since it holds the requests; [`Takeover`] drives the successor's. Handover is disabled
//! unless the configuration sets the control endpoint's address and `TMPDIR` is set: only then does the
//! platform's documentation provide for a socket in the file system.

mod frames;
mod start;
mod successors;
mod takeover;

pub(super) use start::HandoverStart;

use super::command_line::LoadedConfig;
use crate::server::handover::HandoverDirectory;
use slog::{Logger, error, info};
use std::path::PathBuf;

/// Environment variable for the directory that all processes of this server share.
const TEMPORARY_DIRECTORY_VARIABLE: &str = "TMPDIR";

/// Returns the directory of the handover socket; `None` if handover is disabled.
pub(super) fn directory(loaded: &LoadedConfig, log: &Logger) -> Option<HandoverDirectory> {
    loaded.platform.control?;
    let temporary = std::env::var_os(TEMPORARY_DIRECTORY_VARIABLE)?;
    if loaded.operator.ledger.is_some() || loaded.operator.config_sync.is_some() {
        info!(log, "handover is off: usage ledger or distributed configuration is on");
        return None;
    }
    match HandoverDirectory::open(&PathBuf::from(temporary), &loaded.platform.name) {
        Ok(directory) => Some(directory),
        Err(error) => {
            error!(log, "handover is off"; "error" => %error);
            None
        }
    }
}
