//! The limit on open descriptors of this process.

use anyhow::{Context, Result, ensure};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Raises the soft limit of this process, which its children take over, as far as is needed.
///
/// # Errors
/// If the hard limit is lower than that; the message says by how much.
pub fn raise_limit(needed: u64) -> Result<()> {
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|soft| soft >= needed) {
        return Ok(());
    }
    if let Some(hard) = limit.maximum {
        ensure!(
            hard >= needed,
            "{needed} descriptors are needed, and the hard limit is {hard} (`ulimit -Hn`)"
        );
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(needed), maximum: limit.maximum })
        .context("raising the soft limit on descriptors")
}
