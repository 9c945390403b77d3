//! The log lines of a process that are kept for the message of a failure: a limited number of each kind, so
//! that a frequent kind does not displace others.

use std::collections::{BTreeMap, VecDeque};

/// Maximum number of lines of one kind that are kept.
pub const MAX_KEPT_OF_A_KIND: usize = 200;
/// The log levels, one of which precedes the message.
const LEVELS: [&str; 6] = [" TRCE ", " DEBG ", " INFO ", " WARN ", " ERRO ", " CRIT "];
/// The separator between the message and the fields.
const END_OF_MESSAGE: &str = ", ";

/// The lines of one kind.
#[derive(Default)]
struct LinesOfAKind {
    /// The last lines, each with its number in the whole log.
    last: VecDeque<(u64, String)>,
    /// Number of earlier lines that were dropped.
    dropped: u64,
}

/// The kept lines of a log.
#[derive(Default)]
pub struct KeptLog {
    lines_taken: u64,
    /// The kept lines by message; a line that is not a log line has the empty message.
    by_message: BTreeMap<String, LinesOfAKind>,
}

impl KeptLog {
    /// Adds the next line of the log.
    pub fn take(&mut self, line: String) {
        self.lines_taken += 1;
        let kind = self.by_message.entry(message(&line).to_owned()).or_default();
        if kind.last.len() == MAX_KEPT_OF_A_KIND {
            kind.last.pop_front();
            kind.dropped += 1;
        }
        kind.last.push_back((self.lines_taken, line));
    }

    /// Returns the kept lines in their order in the log, followed by a line for each kind with dropped lines
    /// that states their number.
    pub fn lines(&self) -> Vec<String> {
        let mut kept: Vec<_> = self.by_message.values().flat_map(|kind| &kind.last).collect();
        kept.sort_by_key(|(number, _)| *number);
        let dropped = self.by_message.iter().filter(|(_, kind)| kind.dropped > 0);
        let dropped =
            dropped.map(|(message, kind)| format!("not kept: {} earlier of `{message}`", kind.dropped));
        kept.into_iter().map(|(_, line)| line.clone()).chain(dropped).collect()
    }
}

/// Returns the message of a log line, or the empty string if the line is not a log line.
fn message(line: &str) -> &str {
    let after_level = LEVELS.iter().find_map(|level| line.split_once(level)).map(|(_, rest)| rest);
    after_level.map_or("", |rest| rest.split(END_OF_MESSAGE).next().unwrap_or_default())
}
