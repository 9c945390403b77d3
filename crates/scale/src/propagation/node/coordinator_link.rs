//! The link of a node's process to the coordinator: commands on the standard input, events on the standard output.

use crate::propagation::control::{Command, Event};
use anyhow::{Context, Result};
use std::io::{BufRead, Lines, StdinLock, Write};

/// The commands on the standard input.
pub struct Commands {
    lines: Lines<StdinLock<'static>>,
}

impl Commands {
    /// Those that this process is sent from now on.
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
                serde_json::from_str(&line).with_context(|| format!("not a command: {line}"))
            }),
        )
    }
}

/// Tells the coordinator; if it is gone, so is this process soon.
pub fn emit(event: &Event) {
    let Ok(mut line) = serde_json::to_vec(event) else { return };
    line.push(b'\n');
    let mut output = std::io::stdout().lock();
    let _ = output.write_all(&line).and_then(|()| output.flush());
}
