//! Tests of a log that can't be written: standard error is closed or full, writing a line panics, or the
//! log's thread ends. The server continues to serve, loses no response, and resumes logging as soon as
//! possible.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use play::{Client, LoggedServer, PANIC_AT, sockets};
use rustix::fs::{CWD, FileType, Mode, OFlags, mknodat};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

/// Bytes that are not a valid message, which the server logs.
const INVALID_MESSAGE: &[u8] = b"\xc1\xc1\xc1";
/// Start of the response to a health check of a healthy server.
const HEALTHY: &str = r"\x94\x01\x01\xc0\x92\xc3";
/// Address on which no process listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";
/// Time from SIGTERM to the platform's SIGKILL.
const STOP: Duration = Duration::from_millis(1000);
/// Log formats with which each test runs.
const FORMATS: [&str; 2] = ["text", "json"];

/// Returns the command that starts a server with the given log format.
fn command(format: &str) -> Command {
    let stops = (r#""stop_ms":30000"#.to_owned(), format!(r#""stop_ms":{}"#, STOP.as_millis()));
    let mut command =
        play::command(&play::config(UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS, &[stops]), "unlimited").0;
    command.args(["--log-format", format]);
    command
}

/// Asserts that the server answers health checks, also while it logs invalid messages.
fn assert_serves(address: &str) {
    for _ in 0..3 {
        assert!(Client::new(address).check().starts_with(HEALTHY));
        assert_ne!(Client::new(address).send(INVALID_MESSAGE), "");
    }
}

/// Asserts that the server exits with status 0 after SIGTERM.
fn assert_clean_shutdown(server: &mut LoggedServer) {
    server.signal("TERM");
    assert_eq!(server.end().code(), Some(0));
}

/// Opens the read end of the log's named pipe without waiting for its writer.
fn open_reader(pipe: &Path) -> File {
    let reader = rustix::fs::open(pipe, OFlags::RDONLY | OFlags::NONBLOCK, Mode::empty()).expect("the pipe");
    rustix::fs::fcntl_setfl(&reader, OFlags::empty()).expect("setting blocking mode");
    reader.into()
}

/// Returns the next line with these words. The server keeps the write end of the pipe open, so the read waits
/// for it.
fn find_line(lines: &mut impl Iterator<Item = String>, words: &str) -> String {
    lines.find(|line| line.contains(words)).unwrap_or_else(|| panic!("not logged: {words}"))
}

/// Asserts that a new reader of the log receives complete lines after the previous reader has closed the pipe
/// and lines were lost.
#[test]
fn the_log_goes_on_when_its_reader_comes_back() {
    for format in FORMATS {
        let folder = tempfile::TempDir::new().expect("a folder");
        let pipe = folder.path().join("log");
        mknodat(CWD, &pipe, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a named pipe");
        let reader = open_reader(&pipe);
        let writer = File::options().write(true).open(&pipe).expect("the other end");
        let mut server = LoggedServer::spawn(command(format).stderr(Stdio::from(writer)));
        let mut lines = BufReader::new(reader).lines().map_while(Result::ok);
        let serving = find_line(&mut lines, "serving");
        let address = address_in(&serving);
        drop(lines);
        assert_serves(&address);
        let mut lines = BufReader::new(open_reader(&pipe)).lines().map_while(Result::ok);
        server.signal("TERM");
        let line = find_line(&mut lines, "shutdown requested");
        println!("{format}: {line}");
        if format == "json" {
            assert!(serde_json::from_str::<serde_json::Value>(&line).is_ok(), "incomplete JSON: {line}");
        }
        assert_eq!(server.end().code(), Some(0));
    }
}

/// Returns the listening address in a log line of either format.
fn address_in(line: &str) -> String {
    let (_, rest) = line.split_once("127.0.0.1:").expect("an address");
    format!("127.0.0.1:{}", rest.chars().take_while(char::is_ascii_digit).collect::<String>())
}

/// Asserts that the server serves and shuts down cleanly if the disk of the log is full from the start.
#[test]
fn a_full_disk_under_the_log_ends_nothing() {
    for format in FORMATS {
        let full = File::options().write(true).open("/dev/full").expect("the device");
        let mut server = LoggedServer::spawn(command(format).stderr(Stdio::from(full)));
        let address = sockets::listening_address(server.id());
        assert_serves(&address);
        assert_clean_shutdown(&mut server);
    }
}

/// Asserts that a process without open requests ends before its SIGKILL if the log's pipe is full and not
/// read.
#[test]
fn a_log_that_nobody_reads_does_not_hold_up_the_end() {
    for format in FORMATS {
        let folder = tempfile::TempDir::new().expect("a folder");
        let pipe = folder.path().join("log");
        mknodat(CWD, &pipe, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a named pipe");
        let _unread = open_reader(&pipe);
        let mut server = LoggedServer::spawn(command(format).stderr(Stdio::from(open_full(&pipe))));
        let address = sockets::listening_address(server.id());
        assert_serves(&address);
        let requested_at = server.request_end();
        assert_eq!(server.end().code(), Some(0));
        let took = requested_at.elapsed();
        println!("{format}: ended {took:?} after SIGTERM, with {STOP:?} to SIGKILL");
        assert!(took < STOP, "{format}: ended {took:?} after SIGTERM");
    }
}

/// Opens a pipe for writing and fills it, so that the next write waits for its reader.
fn open_full(pipe: &Path) -> File {
    let mut writer = File::options().write(true).open(pipe).expect("the pipe has a reader");
    let flags = rustix::fs::fcntl_getfl(&writer).expect("reading the flags");
    rustix::fs::fcntl_setfl(&writer, flags | OFlags::NONBLOCK).expect("setting non-blocking mode");
    while writer.write(b"\n").is_ok() {}
    rustix::fs::fcntl_setfl(&writer, flags).expect("setting blocking mode");
    writer
}

/// Asserts that a panic while a line is written loses only that line, and is reported once.
#[test]
fn a_panic_over_a_line_costs_that_line() {
    for format in FORMATS {
        let mut server = start_with_panic("log-line:4", format);
        // The fourth line is written at the latest for the first invalid message.
        assert_serves(&server.address);
        server.log_line("log: a line was lost, its writer panicked: deliberate panic at log-line");
        assert_clean_shutdown(&mut server);
        let rest = server.log_to_end();
        assert!(rest.iter().any(|line| line.contains("shutdown complete")), "{rest:?}");
    }
}

/// Asserts that the end of the log's thread is reported once, that no line follows, and that the server
/// continues to serve and shuts down cleanly.
#[test]
fn the_end_of_the_logs_thread_is_said_and_ends_nothing() {
    for format in FORMATS {
        let mut server = start_with_panic("log-thread:4", format);
        assert_serves(&server.address);
        server.log_line("log: its thread ended, no further line is written; serving goes on");
        assert_serves(&server.address);
        assert_clean_shutdown(&mut server);
        let rest = server.log_to_end();
        assert!(rest.iter().all(|line| !line.contains("shutdown")), "{rest:?}");
        assert!(rest.iter().all(|line| !line.contains("its thread ended")), "reported twice: {rest:?}");
    }
}

/// Starts a server that panics at a point of its log after its first lines, so that it serves by then.
fn start_with_panic(at: &str, format: &str) -> LoggedServer {
    let mut command = command(format);
    let mut server = LoggedServer::spawn(command.env(PANIC_AT, at));
    server.address = address_in(&server.log_line("serving"));
    server
}
