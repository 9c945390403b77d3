//! Log lines that clients, commands and calls cause, of the built program: what one client sends by the hundred hides nothing
//! that another does, and each line is written or counted.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use play::{Client, LoggedServer, Playback, Setup};

/// An address that nobody listens on.
const NOBODY: &str = "127.0.0.1:1";
/// Connections that are closed for the same reason, and commands that are rejected.
const FLOOD: u64 = 60;
/// A message longer than any may be.
const TOO_LONG: &[u8] = b"\xc6\x7f\xff\xff\xff";
/// Bytes that are no message.
const NOISE: &[u8] = b"\xc1";
/// What the log says of a connection that was closed for that.
const CLOSED_FOR_TOO_LONG: &str = "reading a message: message too long";
const CLOSED_FOR_NOISE: &str = "reading a message: invalid MessagePack";
/// How the end of a connection is told.
const ENDED: &str = "closed";

fn start() -> LoggedServer {
    let stops = (r#""stop_ms":30000"#.to_owned(), r#""stop_ms":1000"#.to_owned());
    LoggedServer::start(&mut play::command(&play::config(NOBODY, NOBODY, NOBODY, &[stops]), "unlimited").0)
}

/// Has connections closed, each for a message that is too long.
fn flood(server: &LoggedServer) {
    for _ in 0..FLOOD {
        let ended = Client::new(&server.address).send(TOO_LONG);
        assert!(ended.starts_with(ENDED), "not closed: {ended}");
    }
}

/// Returns how many lines a written one stands for.
fn lines_told(line: &str) -> u64 {
    let Some((_, repeated)) = line.split_once("repeated: ") else { return 1 };
    let count = repeated.split(',').next().and_then(|count| count.trim().parse().ok());
    count.expect("a number")
}

/// A single connection that is closed for another reason is told, whatever came before it, and so is the number of the
/// others, though none of them follows.
#[test]
fn a_flood_of_one_reason_is_counted_and_hides_no_other() {
    let server = start();
    flood(&server);
    assert!(Client::new(&server.address).send(NOISE).starts_with(ENDED));
    let (mut told, mut noise_is_told) = (0, false);
    while told < FLOOD || !noise_is_told {
        let line = server.log_line("client connection closed on error");
        println!("{line}");
        noise_is_told |= line.contains(CLOSED_FOR_NOISE);
        if line.contains(CLOSED_FOR_TOO_LONG) {
            told += lines_told(&line);
        }
    }
    assert_eq!(told, FLOOD);
}

/// What is counted as the server ends is told before its last line.
#[test]
fn counts_are_told_before_the_end() {
    let mut server = start();
    flood(&server);
    server.signal("TERM");
    assert_eq!(server.end().code(), Some(0));
    let log = server.log_to_end();
    let told: u64 =
        log.iter().filter(|line| line.contains(CLOSED_FOR_TOO_LONG)).map(|line| lines_told(line)).sum();
    assert_eq!(told, FLOOD, "{log:#?}");
    assert!(log.last().is_some_and(|line| line.contains("shutdown complete")), "{log:#?}");
}

/// Returns a server whose worker pool accepted its link.
fn start_linked() -> Playback {
    let mut server = Playback::start(&Setup::default());
    assert!(server.expect("pool", "").contains("bind"));
    server.send("pool", r#"{"op":"bound","end":"old","ms":5000}"#);
    server
}

/// Reads log lines with these words until those with each field stand for so many, and no more.
fn assert_told(server: &mut Playback, words: &str, expected: &[(&str, u64)]) {
    let mut told = vec![0; expected.len()];
    while told.iter().zip(expected).any(|(told, (_, count))| told < count) {
        let line = server.expect("log", words);
        println!("{line}");
        for (told, (field, _)) in told.iter_mut().zip(expected) {
            *told += if line.contains(field) { lines_told(&line) } else { 0 };
        }
    }
    assert!(told.iter().zip(expected).all(|(told, (_, count))| told == count), "{told:?} of {expected:?}");
}

/// Each rejected command is written or counted, and its count is told though no line follows.
#[test]
fn rejected_commands_are_counted() {
    const WORDS: &str = "worker pool rejected a command";
    let mut server = start_linked();
    for _ in 0..FLOOD {
        server.send("pool", r#"{"op":"unknown","end":"pass","id":"ffff"}"#);
    }
    server.send("pool", r#"{"op":"unknown","end":"spawn","id":"ffff"}"#);
    assert_told(&mut server, WORDS, &[("command: skip upstream call", FLOOD), ("command: run", 1)]);
}

/// Each failed call is written or counted, and the count is told though no call follows.
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
    assert_told(&mut server, "upstream call failed", &[("reading the reply", CALLS)]);
}
