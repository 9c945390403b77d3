//! Upgrades: the tasks that connect this process with the one before it and the one after it.
//!
//! The protocol is a pair of state machines in `crates/handover`: the predecessor's is driven by the dispatcher, since
//! it holds requests; the successor's by [`Takeover`]. Off unless the configuration names an address for operators and
//! `TMPDIR` is set: no page promises a socket in the file system otherwise.

mod frames;
mod start;
mod successors;
mod takeover;

pub(super) use start::HandoverStart;

use super::command_line::LoadedConfig;
use crate::server::handover::HandoverDirectory;
use slog::{Logger, error, info};
use std::path::PathBuf;

/// Environment variable of the directory that all processes of this server share.
const TEMPORARY_DIRECTORY_VARIABLE: &str = "TMPDIR";

/// Returns the directory in which the processes of this server meet; `None` where upgrades are off.
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
