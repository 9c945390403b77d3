//! Tests of the built `dunlinspread-wirehost` binary, which hosts simulator instances and reads its input
//! from a pipe.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BOOT: &str = "BOOT i=3 nonce64=7 profiles.count=2 profiles.0.effect=pure profiles.0.give_up_ms=3000 \
profiles.0.target_ms=1000 profiles.0.worth=1 profiles.1.effect=token profiles.1.give_up_ms=3000 \
profiles.1.target_ms=1000 profiles.1.worth=2 profiles.1.memory_span_ms=9000 specifics.n_cores=2 \
specifics.memory_kb=10000 specifics.key_kb=10 specifics.run_factor=4 specifics.say=share_of \
safety.fall_multiple=5 brand.new_key=x,y tick_ms=5";

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dunlinspread-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("stdin").write_all(input.as_bytes()).expect("writing the input");
    child.wait_with_output().expect("waiting for the adapter to exit")
}

fn replies(input: &str) -> Vec<String> {
    let output = run_adapter(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("utf-8");
    text.split_terminator("END\n").map(str::to_owned).collect()
}

#[test]
fn empty_batches_and_an_immediate_end_are_fine() {
    assert_eq!(replies(""), Vec::<String>::new());
    assert_eq!(replies("CLOCK time_ms=8412.25\nFLUSH\nCLOCK time_ms=8413\nFLUSH\n"), vec!["", ""]);
}

#[test]
fn a_start_and_a_keyed_arrival_with_its_repeat_in_one_batch() {
    let input = format!(
        "CLOCK time_ms=1\n{BOOT}\nARRIVAL i=3 xid=c:a profile=1 mem_kb=5 precedence=0.6 age_ms=1 odd=1\n\
         ARRIVAL i=3 xid=c:b profile=1 mem_kb=5 precedence=0.6 age_ms=1 forerunner=c:a\nFLUSH\n\
         CLOCK time_ms=2\nRING i=3 mark=1 stats=on_cores:1,core_use:0.2,novel:9\nDONE i=3 xid=c:a reason=OK wait_time_ms=9\nFLUSH\n"
    );
    let replies = replies(&input);
    let lines: Vec<&str> = replies[0].lines().collect();
    assert!(lines.contains(&"HINT_OUT i=3 level=1"));
    assert!(lines.contains(&"REPORT_HEALTH i=3 active=1 from_state=1"));
    let index_of = |start: &str| {
        let position = lines.iter().position(|line| line.starts_with(start));
        position.unwrap_or_else(|| panic!("{start}: {lines:?}"))
    };
    assert!(index_of("REMEMBER i=3 xid=c:a keep_for_ms=") < index_of("PROCESS i=3 xid=c:a"));
    assert!(index_of("PROCESS i=3 xid=c:a") < index_of("ECHO i=3 xid=c:b"));
    assert!(replies[1].starts_with("WAKE_ME i=3 mark=1 offset_ms="));
}

#[test]
fn a_death_and_a_new_start_in_one_batch_leave_nothing_behind() {
    let input = format!(
        "CLOCK time_ms=1\n{BOOT}\nARRIVAL i=3 xid=c:a profile=0 mem_kb=5\nFLUSH\n\
         CLOCK time_ms=5000\nRETIRE i=3\n{BOOT}\nFLUSH\nCLOCK time_ms=9000\nRING i=3 mark=1\nFLUSH\n"
    );
    let replies = replies(&input);
    assert!(replies[1].contains("WAKE_ME"));
    assert!(replies.iter().skip(1).all(|reply| !reply.contains("c:a")), "{replies:?}");
}

#[test]
fn instances_act_alike_alone_and_side_by_side() {
    let other = BOOT.replace("i=3", "i=4");
    let one = "ARRIVAL i=3 xid=c:a profile=0 mem_kb=5";
    let alone = replies(&format!("CLOCK time_ms=1\n{BOOT}\n{one}\nFLUSH\n"));
    let both = replies(&format!("CLOCK time_ms=1\n{other}\n{BOOT}\n{one}\nFLUSH\n"));
    let lines_of_instance_3: Vec<&str> = both[0].lines().filter(|line| line.contains("i=3")).collect();
    assert_eq!(alone[0].lines().collect::<Vec<_>>(), lines_of_instance_3);
}

#[test]
fn malformed_input_ends_it_with_the_line_and_field_and_no_partial_reply() {
    for (bad, parts) in [
        ("WHATEVER i=3", vec!["line 3", "WHATEVER", "unknown"]),
        ("ARRIVAL i=3 profile=0", vec!["line 3", "ARRIVAL", "`xid`"]),
        ("ARRIVAL i=3 xid=c:a profile=many", vec!["line 3", "`profile`", "many"]),
        ("ARRIVAL i=9 xid=c:a profile=0", vec!["line 3", "`i`", "instance 9 is not running"]),
        ("RETIRE i=9", vec!["line 3", "instance 9 is not running"]),
        ("DONE i=3 xid=c:a reason=SORT_OF", vec!["line 3", "`reason`"]),
        ("WIND_DOWN i=3", vec!["line 3", "`deadline_ms`"]),
        ("CLOCK time_ms=2", vec!["line 3", "CLOCK"]),
    ] {
        let output = run_adapter(&format!("CLOCK time_ms=1\n{BOOT}\n{bad}\nFLUSH\n"));
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{bad}");
        assert!(output.stdout.is_empty(), "{bad}");
        assert!(parts.iter().all(|part| error.contains(part)), "{bad}: {error}");
        assert!(!error.contains("panicked"));
    }
    let output = run_adapter(&format!("CLOCK time_ms=1\n{BOOT}\n"));
    assert!(!output.status.success() && String::from_utf8_lossy(&output.stderr).contains("inside a batch"));
    let output = run_adapter("FLUSH\n");
    assert!(!output.status.success());
}

#[test]
fn each_error_has_its_text() {
    let start = format!("CLOCK time_ms=1\n{BOOT}\n");
    for (message, error) in [
        ("WHATEVER i=3", "WHATEVER: unknown message"),
        ("WHATEVER", "WHATEVER: field `i` is missing"),
        ("GONE i=three", "GONE: field `i` has an invalid value: three"),
        ("GONE i=9", "GONE: field `i`: instance 9 is not running"),
        ("RETIRE i=9", "RETIRE: field `i`: instance 9 is not running"),
        ("CLOCK time_ms=2", "CLOCK: message not allowed inside a batch"),
        (
            "ARRIVAL i=3 xid=c:a profile=0 is_retry=maybe",
            "ARRIVAL: field `is_retry` has an invalid value: maybe",
        ),
        ("DONE i=3 xid=c:a reason=SORT_OF", "DONE: field `reason` has an invalid value: SORT_OF"),
        ("RING i=3 mark=1 stats=core_use", "RING: field `stats`: gauge `core_use` has no value"),
        ("RING i=3 mark=1 stats=core_use:high", "RING: field `stats` has an invalid value: high"),
        ("BOOT i=4", "BOOT: field `nonce64` is missing"),
    ] {
        let output = run_adapter(&format!("{start}{message}\nFLUSH\n"));
        let expected = format!("dunlinspread-wirehost: line 3: {error}\n");
        assert_eq!(String::from_utf8_lossy(&output.stderr), expected);
    }
    for (input, error) in [
        ("FLUSH\n", "line 1: FLUSH: message not allowed outside a batch"),
        ("CLOCK time_ms=1\n", "line 2: the input ends inside a batch"),
        ("CLOCK\n", "line 1: CLOCK: field `time_ms` is missing"),
    ] {
        let output = run_adapter(input);
        assert_eq!(String::from_utf8_lossy(&output.stderr), format!("dunlinspread-wirehost: {error}\n"));
    }
}
