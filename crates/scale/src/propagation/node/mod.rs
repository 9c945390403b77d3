//! The processes of a run. Each reads its setup and then commands from its standard input, and exits when the
//! input ends.

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

/// Runs the process that the first command sets up.
///
/// # Errors
/// Returns an error if the process can't continue; the error is also sent to the coordinator as an event.
pub fn run() -> Result<()> {
    let result = run_role();
    if let Err(error) = &result {
        emit(&Event::Failed(format!("{error:#}")));
    }
    result
}

fn run_role() -> Result<()> {
    let mut commands = Commands::from_standard_input();
    match commands.next().context("standard input ended before the setup")?? {
        Command::Publisher(setup) => publisher::run(&setup, commands),
        Command::Relay(setup) => relay::run(&setup, commands),
        Command::Subscribers(setup) => subscribers::run(&setup, commands),
        Command::Proxy(setup) => proxy::run(&setup, commands),
        other => bail!("not a setup: {other:?}"),
    }
}
