//! The recordings: whole texts, and digests by stretches of events.

use super::cases::Cases;
use super::plan::Stream;
use super::play::play;
use super::text::{action_lines, event_line};
use std::path::PathBuf;

/// Events of one line of digests.
const STRETCH: u64 = 100;

/// Whether the recordings are written anew.
pub fn is_recording() -> bool {
    std::env::var_os("RECORD_DECISIONS").is_some_and(|value| value == "1")
}

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name)
}

/// A recording.
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

/// A stream's name and seed, as its texts begin.
pub fn title(stream: &Stream) -> String {
    format!("stream {} seed {}\n", stream.name, stream.seed)
}

/// The whole text of a stream.
pub fn whole_text(stream: &Stream, cases: &mut Cases) -> String {
    let mut text = title(stream);
    play(stream, cases, |step| {
        text.push_str(&event_line(step));
        text.push_str(&action_lines(step));
    });
    text
}

/// The digests of a stream: for each stretch its first event's number, the digest of its events, and the digest of
/// its actions with the level and the cut after each event.
pub fn digests(stream: &Stream, cases: &mut Cases) -> (String, u64) {
    let mut text = title(stream);
    let (mut events, mut actions, mut count) = (Fnv::new(), Fnv::new(), 0);
    let line =
        |from: u64, events: &Fnv, actions: &Fnv| format!("{from} {:016x} {:016x}\n", events.0, actions.0);
    play(stream, cases, |step| {
        events.add(&event_line(step));
        actions.add(&action_lines(step));
        count += 1;
        if count % STRETCH == 0 {
            text.push_str(&line(count - STRETCH, &events, &actions));
            (events, actions) = (Fnv::new(), Fnv::new());
        }
    });
    if count % STRETCH > 0 {
        text.push_str(&line(count - count % STRETCH, &events, &actions));
    }
    (text, count)
}

/// The text of the events from this one on, for a stretch.
fn stretch(stream: &Stream, from: u64) -> String {
    let (mut text, mut count) = (String::new(), 0);
    play(stream, &mut Cases::default(), |step| {
        if (from..from + STRETCH).contains(&count) {
            text.push_str(&format!("#{count} {}{}", event_line(step), action_lines(step)));
        }
        count += 1;
    });
    text
}

/// Where a stream's digests first differ from the recorded ones, if they do.
pub fn digest_difference(stream: &Stream, recorded: &str, played: &str) -> Option<String> {
    if recorded == played {
        return None;
    }
    let (mut recorded, mut played) = (recorded.lines(), played.lines());
    loop {
        let (was, is) = (recorded.next(), played.next());
        if was == is && was.is_some() {
            continue;
        }
        let from = is.or(was).and_then(|line| line.split(' ').next()?.parse::<u64>().ok());
        let from = from.unwrap_or(0);
        let field =
            |line: Option<&str>, at: usize| line.and_then(|l| l.split(' ').nth(at).map(str::to_owned));
        let events_alike = field(was, 1) == field(is, 1);
        let what =
            if events_alike { "the events are the same, the actions differ" } else { "the events differ" };
        return Some(format!(
            "stream {}, seed {}, events {from} to {}: {what}\nrecorded {was:?}\nplayed   {is:?}\nas played now:\n{}",
            stream.name,
            stream.seed,
            from + STRETCH - 1,
            stretch(stream, from),
        ));
    }
}

/// The first line at which a text differs from the recorded one, with the number of its event.
pub fn text_difference(name: &str, seed: u64, recorded: &str, played: &str) -> Option<String> {
    if recorded == played {
        return None;
    }
    // The title stands before event 0.
    let (mut was, mut is) = (recorded.lines().skip(1), played.lines().skip(1));
    let (mut events, mut last_event) = (0_u64, "");
    loop {
        let (old, new) = (was.next(), is.next());
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
