//! Tests of SIGTERM while the program starts or reloads its configuration. A named pipe in place of a file
//! blocks the program at a known point.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use play::{LoggedServer, OPERATOR};
use rustix::fs::{CWD, FileType, Mode, mknodat};
use std::fs::File;
use std::io::Write;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Address on which no process listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";
/// Signal number of SIGTERM.
const SIGTERM: i32 = 15;

fn make_pipe(path: &Path) {
    mknodat(CWD, path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a named pipe");
}

/// Returns the write end of a pipe, once the server has opened it for reading and waits for its bytes.
fn wait_for_reader(pipe: &Path) -> File {
    File::options().write(true).open(pipe).expect("the server opens the pipe")
}

/// Asserts that SIGTERM ends the process by default before its signal handlers are installed. No socket
/// listens yet, so no response is owed.
#[test]
fn a_request_to_end_while_the_configuration_is_read_ends_the_process() {
    let folder = TempDir::new().expect("a folder");
    let pipe = folder.path().join("config.json");
    make_pipe(&pipe);
    let mut command =
        play::command(&play::config(UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS, &[]), "unlimited").0;
    let mut server = LoggedServer::spawn(command.env("RELAY_CONFIG", &pipe));
    let _held = wait_for_reader(&pipe);
    server.signal("TERM");
    assert_eq!(server.end().signal(), Some(SIGTERM));
    assert_eq!(server.log_to_end(), Vec::<String>::new());
}

/// Asserts that SIGTERM after the installation of the signal handlers is kept until the start is complete,
/// and then starts a regular shutdown.
#[test]
fn a_request_to_end_during_the_start_is_answered_by_a_shutdown_after_it() {
    let folder = TempDir::new().expect("a folder");
    let key = folder.path().join("fleet.key");
    make_pipe(&key);
    let operator = folder.path().join("operator.hcl");
    std::fs::write(&operator, operator_text(&key)).expect("the operator file is written");
    let stop = (r#""stop_ms":30000"#.to_owned(), r#""stop_ms":8000"#.to_owned());
    let mut command =
        play::command(&play::config(UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS, &[stop]), "unlimited").0;
    let mut server = LoggedServer::spawn(command.env(OPERATOR, &operator));
    // The key is read after the tasks of most peers are started, and before clients are accepted.
    let mut held = wait_for_reader(&key);
    server.signal("TERM");
    held.write_all(b"0123456789abcdef0123456789abcdef").expect("the server reads the key");
    drop(held);
    for words in ["serving", "shutdown requested", "closing connections", "shutdown complete"] {
        server.log_line(words);
    }
    assert_eq!(server.end().code(), Some(0));
}

fn operator_text(key: &Path) -> String {
    let key = key.display();
    format!(
        "config_sync {{\n  zone = \"z1\"\n  region = \"r1\"\n  key_file = \"{key}\"\n  \
         relay \"a\" {{\n    address = \"{UNUSED_ADDRESS}\"\n  }}\n}}\n"
    )
}

/// Guards against a shutdown that ends only after the SIGKILL that follows its SIGTERM. That happened when
/// the shutdown time was counted from when the event loop received the signal, which a reload delays here.
#[test]
fn a_shutdown_requested_during_a_reload_ends_by_its_kill() {
    const STOP: Duration = Duration::from_millis(3000);
    const RELOAD: Duration = Duration::from_millis(1500);
    let folder = TempDir::new().expect("a folder");
    let stop = (r#""stop_ms":30000"#.to_owned(), format!(r#""stop_ms":{}"#, STOP.as_millis()));
    let config = play::config(UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS, &[stop]);
    let path = folder.path().join("config.json");
    std::fs::write(&path, &config).expect("the configuration is written");
    let mut command = play::command(&config, "unlimited").0;
    let mut server = LoggedServer::spawn(command.env("RELAY_CONFIG", &path));
    server.log_line("serving");
    std::fs::remove_file(&path).expect("removing the file");
    make_pipe(&path);
    server.signal("HUP");
    let mut held = wait_for_reader(&path);
    let requested_at = Instant::now();
    server.signal("TERM");
    std::thread::sleep(RELOAD);
    held.write_all(config.as_bytes()).expect("the server reads the configuration");
    drop(held);
    assert_eq!(server.end().code(), Some(0));
    let took = requested_at.elapsed();
    println!("ended {took:?} after SIGTERM, with {STOP:?} to SIGKILL");
    assert!(took < STOP, "ended {took:?} after SIGTERM");
}
