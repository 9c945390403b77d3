//! The link of a process to the coordinator: commands on standard input, events on standard output.

use crate::propagation::control::{Command, Event};
use anyhow::{Context, Result};
use std::io::{BufRead, Lines, StdinLock, Write};

/// The commands that the process receives on its standard input.
pub struct Commands {
    lines: Lines<StdinLock<'static>>,
}

impl Commands {
    /// Reads commands from the standard input of this process.
    pub fn from_standard_input() -> Commands {
        Commands { lines: std::io::stdin().lock().lines() }
    }
}

impl Iterator for Commands {
    type Item = Result<Command>;

    fn next(&mut self) -> Option<Result<Command>> {
        let line = self.lines.next()?;
        Some(
            line.context("reading commands").and_then(|line| {
                serde_json::from_str(&line).with_context(|| format!("invalid command: {line}"))
            }),
        )
    }
}

/// Sends an event to the coordinator. Write errors are ignored: without the coordinator, standard input ends
/// as well and this process exits.
pub fn emit(event: &Event) {
    let Ok(mut line) = serde_json::to_vec(event) else { return };
    line.push(b'\n');
    let mut output = std::io::stdout().lock();
    let _ = output.write_all(&line).and_then(|()| output.flush());
}
