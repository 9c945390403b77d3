//! The state machine that limits and counts repeated log lines, under any order of lines and times.

use dunlinspread::server::repeated_lines::{LineKind, Repeated, RepeatedLines, WINDOW_MS};
use proptest::prelude::*;

/// A kind of line, by number; kind 2 may have several lines in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Kind(usize);

const KINDS: usize = 3;
const FREQUENT: Kind = Kind(2);
const FREQUENT_LINES: u32 = 4;

impl LineKind for Kind {
    fn lines_per_window(self) -> u32 {
        if self == FREQUENT { FREQUENT_LINES } else { 1 }
    }
}

#[test]
fn the_first_line_is_written_and_the_others_are_told_when_the_window_is_over() {
    let mut lines = RepeatedLines::default();
    let written: Vec<bool> = (0..97).map(|n| lines.admit(f64::from(n), Kind(0))).collect();
    assert!(written[0] && !written[1..].contains(&true), "{written:?}");
    assert_eq!(lines.next_end(), Some(WINDOW_MS));
    assert_eq!(lines.end_windows(WINDOW_MS - 1.0), vec![]);
    assert_eq!(lines.end_windows(WINDOW_MS), vec![Repeated { kind: Kind(0), count: 96 }]);
    assert_eq!(lines.end_windows(5.0 * WINDOW_MS), vec![], "a count was reported twice");
}

#[test]
fn the_line_that_tells_a_count_is_one_of_its_window() {
    let mut lines = RepeatedLines::default();
    assert!(lines.admit(0.0, Kind(0)) && !lines.admit(1.0, Kind(0)));
    assert_eq!(lines.end_windows(WINDOW_MS).len(), 1);
    assert!(!lines.admit(WINDOW_MS + 1.0, Kind(0)), "a second line in a window");
    assert_eq!(lines.end_windows(2.0 * WINDOW_MS), vec![Repeated { kind: Kind(0), count: 1 }]);
}

#[test]
fn a_line_after_a_quiet_window_is_written_again() {
    let mut lines = RepeatedLines::default();
    assert!(lines.admit(0.0, Kind(0)));
    assert_eq!((lines.next_end(), lines.end_windows(WINDOW_MS)), (None, vec![]));
    assert!(lines.admit(WINDOW_MS, Kind(0)));
}

#[test]
fn no_kind_keeps_out_another() {
    let mut lines = RepeatedLines::default();
    let written = (0..1000).filter(|_| lines.admit(0.0, Kind(0))).count();
    assert_eq!(written, 1);
    assert!(lines.admit(0.0, Kind(1)));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Line(Kind),
    /// This many milliseconds pass, and the windows that are over end.
    TimePasses(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        6 => (0..KINDS).prop_map(|number| Step::Line(Kind(number))),
        1 => (0.0..1.5 * WINDOW_MS).prop_map(Step::TimePasses),
    ];
    prop::collection::vec(one, 1..200)
}

proptest! {
    /// Every line is written or counted, and no time span of a window's length has more lines of a kind than
    /// two windows may have.
    #[test]
    fn every_line_is_written_or_told_and_no_window_has_too_many(steps in steps()) {
        let mut lines = RepeatedLines::default();
        let mut now = 0.0;
        let (mut received, mut accounted) = ([0; KINDS], [0; KINDS]);
        // Times at which lines of each kind were written, including the lines that report a count.
        let mut written: [Vec<f64>; KINDS] = Default::default();
        for step in steps {
            match step {
                Step::Line(kind) => {
                    received[kind.0] += 1;
                    if lines.admit(now, kind) {
                        accounted[kind.0] += 1;
                        written[kind.0].push(now);
                    }
                }
                Step::TimePasses(ms) => {
                    now += ms;
                    for Repeated { kind, count } in lines.end_windows(now) {
                        prop_assert!(count > 0);
                        accounted[kind.0] += count;
                        written[kind.0].push(now);
                    }
                    prop_assert!(lines.next_end().is_none_or(|end| end > now), "a window is not ended");
                }
            }
        }
        for Repeated { kind, count } in lines.end_all() {
            accounted[kind.0] += count;
        }
        prop_assert_eq!(received, accounted);
        prop_assert_eq!((lines.next_end(), lines.end_all()), (None, vec![]));
        for (number, written) in written.iter().enumerate() {
            let max_lines = 2 * Kind(number).lines_per_window() as usize;
            let count_from =
                |from: &f64| written.iter().filter(|at| (*from..from + WINDOW_MS).contains(*at)).count();
            prop_assert!(written.iter().map(count_from).all(|count| count <= max_lines), "{written:?}");
        }
    }
}
