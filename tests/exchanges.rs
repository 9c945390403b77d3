//! Tests that replay recorded exchanges of bytes with the built server; each text file in `exchanges/` is one
//! test.

use dunlinspread::codec::{http, json, msgpack};
use dunlinspread::config::ResourceLimits;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

macro_rules! exchanges {
    ($($name:ident)*) => {
        $(#[test]
        fn $name() {
            insta::assert_snapshot!(play::play(include_str!(concat!("exchanges/", stringify!($name), ".txt"))));
        })*

        #[test]
        fn every_file_is_played() {
            let files = std::fs::read_dir("tests/exchanges").expect("the folder").count();
            assert_eq!(files, [$(stringify!($name)),*].len());
        }
    };
}

exchanges! {
    accept_queue bad_input bad_peers call_given_up calls cold crowd cut_then_gone cut_then_unknown descriptors drain due_while_running due_without_link full heir idle keyed leave leave_kinds new_pool no_pool other_body half read_late reload relink reply_delivered reply_in_doubt reply_in_doubt_keyed sent_again sent_again_after_call sent_again_full sent_again_refused serve signals slow_reader start_in_doubt stopped told_wait unknown_runs unread unwanted window
}

/// Asserts that an invalid configuration ends the program with an error that names the key.
#[test]
fn faulty_configurations() {
    let changes = [
        (r#""name":"n3""#, r#""name":7"#),
        (r#""name":"n3""#, r#""name":"a/b""#),
        (r#""listen":"127.0.0.1:0""#, r#""listen":"here""#),
        (r#""pool":"127.0.0.1:1""#, r#""spool":"127.0.0.1:1""#),
        (r#""directory":"127.0.0.1:1""#, r#""directory":"""#),
        (r#""seed":"8c1f30d27a5be964""#, r#""seed":"8c1f30d27a5be964ff""#),
        (r#""stop_ms":30000"#, r#""stop_ms":"soon""#),
        (r#""sockets":1024"#, r#""sockets":3"#),
        (r#""memory_mb":192"#, r#""memory_mb":3"#),
        (r#""give_up_ms":90000"#, r#""give_up_ms":"long""#),
        (r#""name":"route-sheet","#, ""),
        (r#""profiles":"#, r#""profile":"#),
        (r#""retry_after":true"#, r#""retry_after":"perhaps""#),
        (r#""settings":"#, r#""setting":"#),
        (r#""limits":{"#, r#""limits":["#),
    ];
    let mut out = String::new();
    for (from, to) in changes {
        let text =
            play::config("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", &[(from.to_owned(), to.to_owned())]);
        let ended = play::start(&text).wait_with_output().expect("waiting for the program to exit");
        let stderr = play::without_file(&String::from_utf8_lossy(&ended.stderr));
        out += &format!("{from} -> {to}\n    {stderr}{}\n", ended.status);
    }
    insta::assert_snapshot!(out);
}

/// Asserts that the program is ready without any peer: it listens and answers a health check while the worker
/// pool, the upstream service and the registry are unreachable. The platform allows 30 s; the time is
/// printed.
#[test]
fn ready_while_nobody_else_is_up() {
    let since = std::time::Instant::now();
    let mut alone = play::alone::Alone::new(&play::config("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", &[]));
    let answer = alone.check();
    println!("ready after {} ms", since.elapsed().as_millis());
    assert_eq!(answer, r"\x94\x01\x01\xc0\x92\xc3\x80");
}

/// Asserts that the derived limits fit into the process's memory and descriptors and still suffice for a busy
/// minute, at each size in service.
#[test]
fn the_bounds_fit_the_limits() {
    for (memory_mb, sockets) in [(32, 384), (48, 512), (192, 384), (192, 1024)] {
        let limits = ResourceLimits::new(memory_mb << 20, sockets);
        let held = limits.client_connections * (32 << 10)
            + (limits.requests + limits.dispatcher_mailbox) * (5 << 10);
        let total = held + limits.idempotency_keys * 400 + limits.result_bytes + limits.log_lines * 1024;
        assert!(total < (memory_mb << 20) * 7 / 8, "{limits:?} hold {total} bytes");
        let descriptors =
            limits.client_connections + limits.upstream_connections + limits.control_connections;
        assert!(descriptors < sockets && limits.control_connections >= 4, "{limits:?}");
        assert!(
            limits.client_connections >= sockets / 2
                && limits.requests >= 1000
                && limits.idempotency_keys >= 5000
                && limits.upstream_connections >= 100,
            "{limits:?}"
        );
    }
}

/// Function that reads a stream in pieces of the given size and returns its messages up to the first error.
type StreamReader = fn(&[u8], usize) -> Vec<String>;

fn read_msgpack(bytes: &[u8], size: usize) -> Vec<String> {
    let (mut decoder, mut out) = (msgpack::Decoder::default(), Vec::new());
    for piece in bytes.chunks(size) {
        decoder.feed(piece);
        loop {
            match decoder.next_message() {
                Ok(Some(value)) => out.push(format!("{value:?}")),
                Ok(None) => break,
                Err(e) => return [out, vec![format!("{e}; request {:?}", decoder.request_id())]].concat(),
            }
        }
    }
    out
}

fn read_json(bytes: &[u8], size: usize) -> Vec<String> {
    let (mut lines, mut out) = (json::Lines::new(96), Vec::new());
    for piece in bytes.chunks(size) {
        lines.feed(piece);
        while let Some(line) = lines.next_line() {
            out.push(match line {
                json::Line::Whole(line) => {
                    json::parse(&line).map_or_else(|e| e.to_string(), |v| format!("{v:?}"))
                }
                json::Line::TooLong => "too long".to_owned(),
            });
        }
    }
    out
}

fn read_http(bytes: &[u8], size: usize) -> Vec<String> {
    let (mut decoder, mut out) = (http::Decoder::default(), Vec::new());
    for piece in bytes.chunks(size).chain([&[][..]]) {
        decoder.feed(piece);
        loop {
            match decoder.next_reply(piece.is_empty()) {
                Ok(Some(reply)) => out.push(format!("{reply:?}")),
                Ok(None) => break,
                Err(e) => return [out, vec![e.to_string()]].concat(),
            }
        }
    }
    out
}

/// Asserts that each recorded stream is read the same whole and byte by byte, and returns its messages.
/// Truncated streams and streams with one changed byte may give any result, but no panic.
fn read_streams(script: &str, read: StreamReader) -> String {
    let mut out = String::new();
    for text in script.lines() {
        let bytes = play::unescape(text);
        let messages = read(&bytes, usize::MAX);
        assert_eq!(messages, read(&bytes, 1), "{text}");
        for at in 0..bytes.len() {
            read(&bytes[..at], 7);
            for other in [0x00, 0x0a, 0x22, 0x39, 0x7f, 0xc6, 0xdd, 0xff] {
                let mut changed = bytes.clone();
                changed[at] = other;
                read(&changed, 5);
            }
        }
        out += &format!("{text}\n    {}\n", messages.join("\n    "));
    }
    out
}

#[test]
fn msgpack_streams() {
    insta::assert_snapshot!(read_streams(include_str!("streams/msgpack.txt"), read_msgpack));
}

#[test]
fn json_streams() {
    insta::assert_snapshot!(read_streams(include_str!("streams/json.txt"), read_json));
}

#[test]
fn http_streams() {
    insta::assert_snapshot!(read_streams(include_str!("streams/http.txt"), read_http));
}
