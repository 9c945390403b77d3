//! The recordings: whole texts, and digests of blocks of events.

use super::cases::Cases;
use super::plan::Stream;
use super::play::play;
use super::text::{action_lines, event_line};
use std::path::PathBuf;

/// Number of events in a block, which has one line of digests.
const BLOCK_EVENTS: u64 = 100;

/// Returns whether the recordings are to be written.
pub fn is_recording() -> bool {
    std::env::var_os("RECORD_DECISIONS").is_some_and(|value| value == "1")
}

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name)
}

/// Reads a recording.
pub fn read(name: &str) -> String {
    let path = path(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

pub fn write(name: &str, text: &str) {
    let path = path(name);
    std::fs::write(&path, text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
}

/// The 64-bit FNV-1a hash.
struct Fnv(u64);

impl Fnv {
    fn new() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Returns the first line of a stream's text: its name and seed.
pub fn title(stream: &Stream) -> String {
    format!("stream {} seed {}\n", stream.name, stream.seed)
}

/// Returns the whole text of a stream.
pub fn whole_text(stream: &Stream, cases: &mut Cases) -> String {
    let mut text = title(stream);
    play(stream, cases, |step| {
        text.push_str(&event_line(step));
        text.push_str(&action_lines(step));
    });
    text
}

/// Returns the digests of a stream and the number of its events. The line of each block has the number of
/// its first event, the digest of its events, and the digest of its actions with the level and the priority
/// threshold after each event.
pub fn digests(stream: &Stream, cases: &mut Cases) -> (String, u64) {
    let mut text = title(stream);
    let (mut events, mut actions, mut count) = (Fnv::new(), Fnv::new(), 0);
    let line =
        |from: u64, events: &Fnv, actions: &Fnv| format!("{from} {:016x} {:016x}\n", events.0, actions.0);
    play(stream, cases, |step| {
        events.add(&event_line(step));
        actions.add(&action_lines(step));
        count += 1;
        if count % BLOCK_EVENTS == 0 {
            text.push_str(&line(count - BLOCK_EVENTS, &events, &actions));
            (events, actions) = (Fnv::new(), Fnv::new());
        }
    });
    if count % BLOCK_EVENTS > 0 {
        text.push_str(&line(count - count % BLOCK_EVENTS, &events, &actions));
    }
    (text, count)
}

/// Returns the text of the block of events that starts at `from`.
fn block(stream: &Stream, from: u64) -> String {
    let (mut text, mut count) = (String::new(), 0);
    play(stream, &mut Cases::default(), |step| {
        if (from..from + BLOCK_EVENTS).contains(&count) {
            text.push_str(&format!("#{count} {}{}", event_line(step), action_lines(step)));
        }
        count += 1;
    });
    text
}

/// Describes the first difference of a stream's digests from the recorded ones; `None` if they are equal.
pub fn digest_difference(stream: &Stream, recorded: &str, played: &str) -> Option<String> {
    if recorded == played {
        return None;
    }
    let (mut recorded, mut played) = (recorded.lines(), played.lines());
    loop {
        let (expected, actual) = (recorded.next(), played.next());
        if expected == actual && expected.is_some() {
            continue;
        }
        let from = actual.or(expected).and_then(|line| line.split(' ').next()?.parse::<u64>().ok());
        let from = from.unwrap_or(0);
        let field =
            |line: Option<&str>, at: usize| line.and_then(|l| l.split(' ').nth(at).map(str::to_owned));
        let events_alike = field(expected, 1) == field(actual, 1);
        let what =
            if events_alike { "the events are the same, the actions differ" } else { "the events differ" };
        return Some(format!(
            "stream {}, seed {}, events {from} to {}: {what}\nrecorded {expected:?}\nplayed   {actual:?}\n\
             as played now:\n{}",
            stream.name,
            stream.seed,
            from + BLOCK_EVENTS - 1,
            block(stream, from),
        ));
    }
}

/// Describes the first line at which a text differs from the recorded one, with the number of its event;
/// `None` if they are equal.
pub fn text_difference(name: &str, seed: u64, recorded: &str, played: &str) -> Option<String> {
    if recorded == played {
        return None;
    }
    // The first line is the title, before event 0.
    let (mut expected, mut actual) = (recorded.lines().skip(1), played.lines().skip(1));
    let (mut events, mut last_event) = (0_u64, "");
    loop {
        let (old, new) = (expected.next(), actual.next());
        if let Some(line) = new.filter(|line| !line.starts_with(' ')) {
            (events, last_event) = (events + 1, line);
        }
        if old != new || old.is_none() {
            return Some(format!(
                "stream {name}, seed {seed}, event {}: {last_event}\nrecorded {old:?}\nplayed   {new:?}",
                events.saturating_sub(1),
            ));
        }
    }
}
