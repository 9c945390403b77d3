//! The processes of a run: each reads its setup and then commands from its standard input, and ends with it.

mod file_log;
mod proxy;
mod publisher;
mod relay;
mod subscribers;
mod zone_observer;

use super::control::{Command, Event};
use anyhow::{Context, Result, bail};
use std::io::{BufRead, Lines, StdinLock, Write};

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
    let mut commands = Commands { lines: std::io::stdin().lock().lines() };
    match commands.next().context("no setup")?? {
        Command::Publisher(setup) => publisher::run(&setup, commands),
        Command::Relay(setup) => relay::run(&setup, commands),
        Command::Subscribers(setup) => subscribers::run(&setup, commands),
        Command::Proxy(setup) => proxy::run(&setup, commands),
        other => bail!("not a setup: {other:?}"),
    }
}

/// The commands on the standard input.
struct Commands {
    lines: Lines<StdinLock<'static>>,
}

impl Iterator for Commands {
    type Item = Result<Command>;

    fn next(&mut self) -> Option<Result<Command>> {
        let line = self.lines.next()?;
        Some(
            line.context("reading commands").and_then(|line| {
                serde_json::from_str(&line).with_context(|| format!("not a command: {line}"))
            }),
        )
    }
}

/// Tells the coordinator; if it is gone, so is this process soon.
fn emit(event: &Event) {
    let Ok(mut line) = serde_json::to_vec(event) else { return };
    line.push(b'\n');
    let mut output = std::io::stdout().lock();
    let _ = output.write_all(&line).and_then(|()| output.flush());
}
