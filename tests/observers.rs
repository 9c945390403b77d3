//! What the other tests see servers by: the log lines that are kept of a process.

mod upgrade_support;

use upgrade_support::kept_log::{KeptLog, MAX_KEPT_OF_A_KIND};

const RARE: &str = "Dec 03 18:38:01.913 WARN event loop stalled, ms: 812, tasks: none, name: n3";

fn frequent(number: usize) -> String {
    format!("Dec 03 18:38:01.914 WARN connections near limit, open: {number}, limit: 384, name: n3")
}

#[test]
fn lines_of_one_kind_push_out_no_line_of_another() {
    const MANY: usize = 10 * MAX_KEPT_OF_A_KIND;
    let mut log = KeptLog::default();
    log.take(RARE.to_owned());
    (0..MANY).for_each(|number| log.take(frequent(number)));
    let lines = log.lines();
    assert_eq!(lines[0], RARE);
    let last: Vec<String> = (MANY - MAX_KEPT_OF_A_KIND..MANY).map(frequent).collect();
    assert_eq!(lines[1..=MAX_KEPT_OF_A_KIND], last);
    let not_kept = format!("not kept: {} earlier of `connections near limit`", MANY - MAX_KEPT_OF_A_KIND);
    assert_eq!(lines[MAX_KEPT_OF_A_KIND + 1..], [not_kept]);
}

#[test]
fn kept_lines_stand_in_the_order_in_which_they_came() {
    let mut log = KeptLog::default();
    let lines =
        [frequent(1), RARE.to_owned(), "thread 'main' panicked".to_owned(), frequent(2), RARE.to_owned()];
    lines.iter().for_each(|line| log.take(line.clone()));
    assert_eq!(log.lines(), lines);
}
