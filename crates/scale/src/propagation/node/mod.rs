//! The processes of a run: each reads its setup and then commands from its standard input, and ends with it.

mod coordinator_link;
mod file_log;
mod proxy;
mod publisher;
mod relay;
mod subscribers;
mod zone_observer;

use super::control::{Command, Event};
use anyhow::{Context, Result, bail};
use coordinator_link::{Commands, emit};

/// Runs the process that the first command describes.
///
/// # Errors
/// If it can't go on; the coordinator is told as well.
pub fn run() -> Result<()> {
    let result = run_role();
    if let Err(error) = &result {
        emit(&Event::Failed(format!("{error:#}")));
    }
    result
}

fn run_role() -> Result<()> {
    let mut commands = Commands::from_standard_input();
    match commands.next().context("no setup")?? {
        Command::Publisher(setup) => publisher::run(&setup, commands),
        Command::Relay(setup) => relay::run(&setup, commands),
        Command::Subscribers(setup) => subscribers::run(&setup, commands),
        Command::Proxy(setup) => proxy::run(&setup, commands),
        other => bail!("not a setup: {other:?}"),
    }
}
