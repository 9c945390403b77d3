//! Tests of the built program's log lines that clients, commands and upstream calls cause: many lines of one
//! kind hide no line of another kind, and each line is written or counted.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use play::{Client, LoggedServer, Playback, Setup};

/// Address on which no process listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";
/// Number of connections that are closed for the same reason, and of commands that are rejected.
const FLOOD: u64 = 60;
/// Start of a message that is longer than the limit.
const TOO_LONG: &[u8] = b"\xc6\x7f\xff\xff\xff";
/// Bytes that are not a valid message.
const NOISE: &[u8] = b"\xc1";
/// Log text of a connection that was closed because of [`TOO_LONG`].
const CLOSED_FOR_TOO_LONG: &str = "reading a message: message too long";
/// Log text of a connection that was closed because of [`NOISE`].
const CLOSED_FOR_NOISE: &str = "reading a message: invalid MessagePack";
/// Start of the text by which [`Client::send`] reports a closed connection.
const ENDED: &str = "closed";

fn start() -> LoggedServer {
    let stops = (r#""stop_ms":30000"#.to_owned(), r#""stop_ms":1000"#.to_owned());
    LoggedServer::start(
        &mut play::command(
            &play::config(UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS, &[stops]),
            "unlimited",
        )
        .0,
    )
}

/// Sends a message that is too long on each of [`FLOOD`] connections, so that the server closes them.
fn flood(server: &LoggedServer) {
    for _ in 0..FLOOD {
        let ended = Client::new(&server.address).send(TOO_LONG);
        assert!(ended.starts_with(ENDED), "not closed: {ended}");
    }
}

/// Returns the number of log lines that a written line represents.
fn represented_lines(line: &str) -> u64 {
    let Some((_, repeated)) = line.split_once("repeated: ") else { return 1 };
    let count = repeated.split(',').next().and_then(|count| count.trim().parse().ok());
    count.expect("a number")
}

/// Asserts that a connection closed for another reason is logged after a flood of one reason, and that the
/// count of the flood's suppressed lines is logged although no such line follows.
#[test]
fn a_flood_of_one_reason_is_counted_and_hides_no_other() {
    let server = start();
    flood(&server);
    assert!(Client::new(&server.address).send(NOISE).starts_with(ENDED));
    let (mut logged, mut noise_is_logged) = (0, false);
    while logged < FLOOD || !noise_is_logged {
        let line = server.log_line("client connection closed on error");
        println!("{line}");
        noise_is_logged |= line.contains(CLOSED_FOR_NOISE);
        if line.contains(CLOSED_FOR_TOO_LONG) {
            logged += represented_lines(&line);
        }
    }
    assert_eq!(logged, FLOOD);
}

/// Asserts that counts of suppressed lines are logged before the last line of a server that shuts down.
#[test]
fn counts_are_told_before_the_end() {
    let mut server = start();
    flood(&server);
    server.signal("TERM");
    assert_eq!(server.end().code(), Some(0));
    let log = server.log_to_end();
    let logged: u64 = log
        .iter()
        .filter(|line| line.contains(CLOSED_FOR_TOO_LONG))
        .map(|line| represented_lines(line))
        .sum();
    assert_eq!(logged, FLOOD, "{log:#?}");
    assert!(log.last().is_some_and(|line| line.contains("shutdown complete")), "{log:#?}");
}

/// Returns a server whose worker pool accepted its link.
fn start_linked() -> Playback {
    let mut server = Playback::start(&Setup::default());
    assert!(server.expect("pool", "").contains("bind"));
    server.send("pool", r#"{"op":"bound","end":"old","ms":5000}"#);
    server
}

/// Reads log lines with these words until those with each field represent the expected count, and asserts
/// that no count is exceeded.
fn assert_logged(server: &mut Playback, words: &str, expected: &[(&str, u64)]) {
    let mut logged = vec![0; expected.len()];
    while logged.iter().zip(expected).any(|(logged, (_, count))| logged < count) {
        let line = server.expect("log", words);
        println!("{line}");
        for (logged, (field, _)) in logged.iter_mut().zip(expected) {
            *logged += if line.contains(field) { represented_lines(&line) } else { 0 };
        }
    }
    assert!(
        logged.iter().zip(expected).all(|(logged, (_, count))| logged == count),
        "{logged:?}, expected {expected:?}"
    );
}

/// Asserts that each rejected command is logged or counted, and that the count is logged although no such
/// line follows.
#[test]
fn rejected_commands_are_counted() {
    const WORDS: &str = "worker pool rejected a command";
    let mut server = start_linked();
    for _ in 0..FLOOD {
        server.send("pool", r#"{"op":"unknown","end":"pass","id":"ffff"}"#);
    }
    server.send("pool", r#"{"op":"unknown","end":"spawn","id":"ffff"}"#);
    assert_logged(&mut server, WORDS, &[("command: skip upstream call", FLOOD), ("command: run", 1)]);
}

/// Asserts that each failed call is logged or counted, and that the count is logged although no call follows.
#[test]
fn failed_calls_are_counted() {
    const CALLS: u64 = 3;
    let mut server = start_linked();
    server.send("a", "req 1 route-sheet");
    server.expect("pool", "");
    server.send("pool", r#"{"op":"blocked","seq":1,"id":"6100000000000001","body":"YXNr"}"#);
    for _ in 0..CALLS {
        server.expect("index", "");
        server.send("index", r"SPAM\r\n\r\n");
        server.send("index", "close");
    }
    assert_logged(&mut server, "upstream call failed", &[("reading the reply", CALLS)]);
}
