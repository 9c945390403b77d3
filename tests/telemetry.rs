//! The telemetry counters of a process: random histories against a model, and snapshots during concurrent
//! writes.

use dunlinspread::server::telemetry::{ClassCounts, RequestEnd, Telemetry, TelemetrySnapshot};
use proptest::prelude::{ProptestConfig, Strategy, prop_oneof, proptest};
use proptest::strategy::Just;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

const CLASS_NAMES: [&str; 3] = ["report", "entry", "lookup"];
/// Class numbers to draw from, one more than there are classes: a request of no known class appears in no
/// class's counts.
const CLASS_NUMBERS: std::ops::Range<usize> = 0..CLASS_NAMES.len() + 1;
/// Requests of each writer in the test with concurrent writes.
const REQUESTS_PER_WRITER: u64 = 200_000;
const WRITERS: u64 = 2;
/// Number of requests that stay in flight during the whole test.
const HELD_REQUESTS: u64 = 1000;

#[derive(Clone, Copy, Debug)]
enum Record {
    /// A request is received.
    Received,
    /// A request ends; ignored while none is in flight.
    End(usize, RequestEnd),
    /// A request ends because its client disconnected; ignored while none is in flight.
    ClientGone,
    Attempt(usize),
}

/// A model of the counters with plain numbers.
#[derive(Default)]
struct ModelCounts {
    in_flight: u64,
    classes: [ClassCounts; CLASS_NAMES.len()],
}

impl ModelCounts {
    fn snapshot(&self) -> TelemetrySnapshot {
        let names = CLASS_NAMES.map(str::to_owned);
        let requests: BTreeMap<String, ClassCounts> = names.into_iter().zip(self.classes).collect();
        let attempts = self.classes.iter().map(|class| class.attempts).sum();
        TelemetrySnapshot { requests, in_flight: self.in_flight, attempts }
    }

    /// Applies a record, and returns whether it is possible in this state.
    fn apply(&mut self, record: Record) -> bool {
        match record {
            Record::Received => self.in_flight += 1,
            Record::End(..) | Record::ClientGone if self.in_flight == 0 => return false,
            Record::ClientGone => self.in_flight -= 1,
            Record::End(class, end) => {
                self.in_flight -= 1;
                if let Some(class) = self.classes.get_mut(class) {
                    match end {
                        RequestEnd::Served => class.served += 1,
                        RequestEnd::Refused => class.refused += 1,
                        RequestEnd::Failed => class.failed += 1,
                    }
                }
            }
            Record::Attempt(class) => {
                if let Some(class) = self.classes.get_mut(class) {
                    class.attempts += 1;
                }
            }
        }
        true
    }
}

fn telemetry() -> Telemetry {
    Telemetry::new(&CLASS_NAMES.map(str::to_owned))
}

fn write(telemetry: &Telemetry, record: Record) {
    match record {
        Record::Received => telemetry.record_received(),
        Record::End(class, end) => telemetry.record_end(class, end),
        Record::ClientGone => telemetry.record_end_without_response(),
        Record::Attempt(class) => telemetry.record_attempt(class),
    }
}

fn record() -> impl Strategy<Value = Record> {
    let end = prop_oneof![Just(RequestEnd::Served), Just(RequestEnd::Refused), Just(RequestEnd::Failed)];
    prop_oneof![
        5 => Just(Record::Received),
        4 => (CLASS_NUMBERS, end).prop_map(|(class, end)| Record::End(class, end)),
        1 => Just(Record::ClientGone),
        3 => CLASS_NUMBERS.prop_map(Record::Attempt),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, ..ProptestConfig::default() })]

    #[test]
    fn figures_are_those_of_plain_numbers(history in proptest::collection::vec(record(), 0..200)) {
        let telemetry = telemetry();
        let mut plain = ModelCounts::default();
        for record in history {
            if plain.apply(record) {
                write(&telemetry, record);
            }
            assert_eq!(telemetry.snapshot(), plain.snapshot(), "after {record:?}");
        }
    }
}

/// Records requests and ends each at once, so that the number in flight is never below [`HELD_REQUESTS`].
fn write_requests(telemetry: &Telemetry) {
    let ends = [RequestEnd::Served, RequestEnd::Refused, RequestEnd::Failed];
    for number in 0..REQUESTS_PER_WRITER as usize {
        let class = number % CLASS_NAMES.len();
        telemetry.record_received();
        telemetry.record_attempt(class);
        match ends.get(number % (ends.len() + 1)) {
            Some(end) => telemetry.record_end(class, *end),
            None => telemetry.record_end_without_response(),
        }
    }
}

/// Asserts that no count of `later` is below that of `earlier`.
fn assert_not_shrunk(earlier: &TelemetrySnapshot, later: &TelemetrySnapshot) {
    assert!(later.attempts >= earlier.attempts, "{earlier:?} then {later:?}");
    for (name, before) in &earlier.requests {
        let after = &later.requests[name];
        let has_shrunk = after.served < before.served
            || after.refused < before.refused
            || after.failed < before.failed
            || after.attempts < before.attempts;
        assert!(!has_shrunk, "{name}: {before:?} then {after:?}");
    }
}

#[test]
fn reading_while_figures_are_written_shows_no_shrunk_count_and_all_that_is_in_flight() {
    // Requests may be received during a snapshot after it has read the count of ends; the maximum is all
    // requests.
    const MAX_IN_FLIGHT: u64 = HELD_REQUESTS + WRITERS * REQUESTS_PER_WRITER;
    let telemetry = Arc::new(telemetry());
    (0..HELD_REQUESTS).for_each(|_| telemetry.record_received());
    let is_over = AtomicBool::new(false);
    let reads = std::thread::scope(|scope| {
        let reader = scope.spawn(|| {
            let mut reads = 0_u64;
            let mut earlier = telemetry.snapshot();
            while !is_over.load(Ordering::Acquire) {
                let later = telemetry.snapshot();
                assert_not_shrunk(&earlier, &later);
                assert!((HELD_REQUESTS..=MAX_IN_FLIGHT).contains(&later.in_flight), "{later:?}");
                earlier = later;
                reads += 1;
            }
            reads
        });
        let writers: Vec<_> = (0..WRITERS).map(|_| scope.spawn(|| write_requests(&telemetry))).collect();
        for writer in writers {
            writer.join().expect("a writer ends");
        }
        is_over.store(true, Ordering::Release);
        reader.join().expect("the reader does not panic")
    });
    assert!(reads > 0, "nothing was read");
    let last = telemetry.snapshot();
    assert_eq!((last.in_flight, last.attempts), (HELD_REQUESTS, WRITERS * REQUESTS_PER_WRITER));
}
