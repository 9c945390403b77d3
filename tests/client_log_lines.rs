//! Log lines that clients cause, of the built program: what one client sends by the hundred hides nothing that another does,
//! and each line is written or counted.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use play::{Client, LoggedServer};

/// An address that nobody listens on.
const NOBODY: &str = "127.0.0.1:1";
/// Connections that are closed for the same reason.
const FLOOD: u64 = 60;
/// A message longer than any may be.
const TOO_LONG: &[u8] = b"\xc6\x7f\xff\xff\xff";
/// Bytes that are no message.
const NOISE: &[u8] = b"\xc1";
/// What the log says of a connection that was closed for that.
const CLOSED_FOR_TOO_LONG: &str = "reading a message: message too long";
const CLOSED_FOR_NOISE: &str = "reading a message: no MessagePack";
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
