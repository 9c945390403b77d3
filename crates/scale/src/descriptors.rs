//! The limit on open file descriptors of this process.

use anyhow::{Context, Result, ensure};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Raises the soft limit on open file descriptors to `needed` if it is lower. Child processes inherit the
/// limit.
///
/// # Errors
/// Returns an error if the hard limit is lower than `needed` (the message states both), or if the system call
/// fails.
pub fn raise_limit(needed: u64) -> Result<()> {
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|soft| soft >= needed) {
        return Ok(());
    }
    if let Some(hard) = limit.maximum {
        ensure!(
            hard >= needed,
            "{needed} file descriptors are needed, but the hard limit is {hard} (`ulimit -Hn`)"
        );
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(needed), maximum: limit.maximum })
        .context("raising the soft limit on file descriptors")
}
