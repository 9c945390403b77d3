//! Compares the decisions of the admission controller, action by action, with recordings.
//!
//! Streams of events that follow from a seed are played against the controller in a closed loop, and its
//! actions are compared with the recordings under `tests/recorded/`:
//!
//! - `texts/*.txt`: short streams, all events and actions;
//! - `digests.txt`: long streams, a line for each 100 events: the first one's number, a digest of the events
//!   and one of the actions with the level and the priority threshold after each event;
//! - `wire/*.in.txt` and `wire/*.out.txt`: short streams through the simulator's text protocol.
//!
//! A change that is meant to keep the behaviour leaves all recordings unchanged. One that is meant to change
//! it updates the recordings in the same commit:
//!
//! ```text
//! RECORD_DECISIONS=1 cargo test --test recorded_decisions
//! ```
//!
//! Only `recorded/module.rs` names types and fields of the library. The controller uses `exp` and `powf` of
//! the platform's mathematical library, so the last digits, and with them the digests, may differ on another
//! platform.

mod recorded;

use recorded::cases::{Cases, MINIMA};
use recorded::plan::Stream;
use recorded::{recording, streams, wire};
use std::collections::BTreeMap;
use std::sync::OnceLock;

/// Number of threads that play long streams.
const THREADS: usize = 3;

struct Played {
    stream: Stream,
    digests: String,
    events: u64,
}

/// Plays streams on [`THREADS`] threads and returns the results in the order of the streams.
fn play_all(streams: Vec<Stream>) -> (Vec<Played>, Cases) {
    let part = streams.len().div_ceil(THREADS);
    let (mut all, mut total) = (Vec::new(), Cases::default());
    std::thread::scope(|scope| {
        let threads: Vec<_> = streams.chunks(part).map(|part| scope.spawn(|| play_part(part))).collect();
        for thread in threads {
            let (played, cases) = thread.join().expect("the streams play to their end");
            all.extend(played);
            total.merge(&cases);
        }
    });
    (all, total)
}

/// Returns the results of all long streams, which are played once for all tests.
fn long_streams() -> &'static (Vec<Played>, Cases) {
    static LONG: OnceLock<(Vec<Played>, Cases)> = OnceLock::new();
    LONG.get_or_init(|| play_all(streams::long()))
}

fn play_part(streams: &[Stream]) -> (Vec<Played>, Cases) {
    let mut total = Cases::default();
    let mut all = Vec::new();
    for stream in streams {
        let mut cases = Cases::default();
        let (digests, events) = recording::digests(stream, &mut cases);
        total.merge(&cases);
        all.push(Played { stream: stream.clone(), digests, events });
    }
    (all, total)
}

#[test]
fn long_streams_decide_as_recorded() {
    let (all, _) = long_streams();
    assert!(all.len() >= 40, "{} streams", all.len());
    let text: String = all.iter().map(|played| played.digests.as_str()).collect();
    if recording::is_recording() {
        return recording::write("digests.txt", &text);
    }
    let recorded = recording::read("digests.txt");
    let parts: Vec<String> = recorded.split("stream ").skip(1).map(|part| format!("stream {part}")).collect();
    assert_eq!(parts.len(), all.len(), "recorded and played streams");
    let differences = all.iter().zip(&parts);
    let differences = differences
        .filter_map(|(played, part)| recording::digest_difference(&played.stream, part, &played.digests));
    let differences: Vec<String> = differences.collect();
    assert!(differences.is_empty(), "{} streams differ; the first:\n{}", differences.len(), differences[0]);
}

#[test]
fn short_streams_decide_as_recorded_line_by_line() {
    let mut differences = Vec::new();
    for stream in streams::short() {
        let text = recording::whole_text(&stream, &mut Cases::default());
        let file = format!("texts/{}.txt", stream.name);
        if recording::is_recording() {
            recording::write(&file, &text);
            continue;
        }
        let recorded = recording::read(&file);
        differences.extend(recording::text_difference(&stream.name, stream.seed, &recorded, &text));
    }
    assert!(differences.is_empty(), "{} streams differ:\n{}", differences.len(), differences.join("\n"));
}

#[test]
fn the_text_wire_answers_as_recorded() {
    let mut differences = Vec::new();
    for stream in streams::wire() {
        let (input_file, output_file) =
            (format!("wire/{}.in.txt", stream.name), format!("wire/{}.out.txt", stream.name));
        if recording::is_recording() {
            let input = wire::input(&stream);
            recording::write(&input_file, &input);
            recording::write(&output_file, &wire::serve(&input));
            continue;
        }
        let played = wire::serve(&recording::read(&input_file));
        let recorded = recording::read(&output_file);
        let batch = |text: &str| text.split_terminator("END\n").map(str::to_owned).collect::<Vec<_>>();
        let (expected, actual) = (batch(&recorded), batch(&played));
        let at = expected.iter().zip(&actual).position(|(expected, actual)| expected != actual);
        if let Some(at) = at {
            let (expected, actual) = (&expected[at], &actual[at]);
            let seed = stream.seed;
            differences.push(format!(
                "wire {}, seed {seed}, batch {at}:\nrecorded\n{expected}played\n{actual}",
                stream.name
            ));
        } else if recorded != played {
            differences.push(format!(
                "wire {}: {} batches, recorded {}",
                stream.name,
                actual.len(),
                expected.len()
            ));
        }
    }
    assert!(differences.is_empty(), "{} streams differ:\n{}", differences.len(), differences.join("\n"));
}

#[test]
fn each_action_and_each_case_occurs_often_enough() {
    let (all, cases) = long_streams();
    let events: u64 = all.iter().map(|played| played.events).sum();
    println!("{} streams, {events} events", all.len());
    for (case, count) in cases.counts() {
        println!("{case}: {count}");
    }
    let stated: BTreeMap<&str, u64> = MINIMA.into_iter().collect();
    let unstated: Vec<&&str> = cases.counts().keys().filter(|case| !stated.contains_key(*case)).collect();
    assert!(unstated.is_empty(), "cases without a stated minimum: {unstated:?}");
    for (case, minimum) in stated {
        let count = cases.counts().get(case).copied().unwrap_or(0);
        assert!(count >= minimum, "{case}: {count} times, expected at least {minimum}");
    }
}
