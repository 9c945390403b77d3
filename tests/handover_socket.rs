//! Tests of the socket between two processes of one server: its directory, its name, and processes that are
//! killed.

use dunlinspread::server::handover::{
    HandoverDirectory, HandoverListener, HandoverSocketError, HandoverStream, LinkEvent, connect, run_link,
};
use futures_lite::future::{block_on, or};
use std::fs::{self, Permissions};
use std::io::{ErrorKind, Read, Write};
use std::os::unix::fs::{MetadataExt, PermissionsExt, symlink};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tempfile::TempDir;

/// Environment variable with the task of a helper process.
const HELPER_TASK: &str = "HANDOVER_HELPER_TASK";
/// Environment variable with the temporary directory of a helper process.
const HELPER_DIRECTORY: &str = "HANDOVER_HELPER_DIRECTORY";
/// Time limit of each operation.
const TIME_LIMIT: Duration = Duration::from_secs(60);
/// User and group id of `nobody`.
const OTHER_USER: u32 = 65_534;

fn directory() -> (TempDir, HandoverDirectory) {
    let temporary = tempfile::tempdir().expect("a directory");
    let directory = HandoverDirectory::open(temporary.path(), "round-1").expect("a private directory");
    (temporary, directory)
}

fn encode(frame: &[u8]) -> Vec<u8> {
    let length = u32::try_from(frame.len()).expect("a short frame");
    [&length.to_be_bytes(), frame].concat()
}

/// Runs `future` to completion; fails the test at the time limit.
fn run_within_limit<T>(future: impl Future<Output = T>) -> T {
    let timed_out = async {
        async_io::Timer::after(TIME_LIMIT).await;
        panic!("not done within {TIME_LIMIT:?}")
    };
    block_on(or(future, timed_out))
}

/// Starts this test binary as a helper process with `task`, and waits until the helper prints that it is
/// ready.
fn start_helper(task: &str, temporary: &Path) -> Child {
    let mut helper = Command::new(std::env::current_exe().expect("this binary"))
        .args(["helper_process", "--exact", "--nocapture"])
        .env(HELPER_TASK, task)
        .env(HELPER_DIRECTORY, temporary)
        .stdout(Stdio::piped())
        .spawn()
        .expect("a process");
    let mut output = helper.stdout.take().expect("its output");
    let mut printed = String::new();
    let mut byte = [0];
    while !printed.contains("ready\n") {
        let length = output.read(&mut byte).expect("output");
        assert_ne!(length, 0, "the helper ended early: {printed}");
        printed.push(char::from(byte[0]));
    }
    helper
}

fn kill(mut helper: Child) {
    helper.kill().expect("a running helper");
    helper.wait().expect("its end");
}

/// Runs the task of a helper process; does nothing in an ordinary test run.
#[test]
fn helper_process() {
    let Ok(task) = std::env::var(HELPER_TASK) else { return };
    let temporary = std::env::var_os(HELPER_DIRECTORY).expect("a directory");
    let directory = HandoverDirectory::open(Path::new(&temporary), "round-1").expect("a private directory");
    let _open = match task.as_str() {
        "listen" => {
            Box::new(HandoverListener::bind(&directory).expect("a listener")) as Box<dyn std::any::Any>
        }
        "send" => {
            let stream = UnixStream::connect(directory.socket_path()).expect("a connection");
            let whole = encode(b"whole");
            (&stream).write_all(&[&whole[..], &whole, &encode(b"cut")[..6]].concat()).expect("writing");
            Box::new(stream)
        }
        other => panic!("unknown task {other}"),
    };
    println!("ready");
    loop {
        std::thread::park();
    }
}

#[test]
fn the_directory_is_private() {
    let (temporary, directory) = directory();
    assert_eq!(directory.path(), temporary.path().join("dunlinspread-round-1"));
    let mode = fs::metadata(directory.path()).expect("a directory").mode() & 0o7777;
    assert_eq!(mode, 0o700, "mode {mode:o}");
    HandoverDirectory::open(temporary.path(), "round-1").expect("the directory that is there");
    for mode in [0o710, 0o701, 0o750, 0o777, 0o1777] {
        fs::set_permissions(directory.path(), Permissions::from_mode(mode)).expect("permissions");
        let error = HandoverDirectory::open(temporary.path(), "round-1").expect_err("an open directory");
        assert!(
            matches!(error, HandoverSocketError::OpenToOthers { mode: seen, .. } if seen == mode),
            "{error}"
        );
        assert!(error.to_string().contains("dunlinspread-round-1"), "{error}");
    }
}

#[test]
fn what_is_no_directory_of_this_user_is_refused() {
    let temporary = tempfile::tempdir().expect("a directory");
    let open = |name: &str| HandoverDirectory::open(temporary.path(), name).map(drop);
    let path = |name: &str| temporary.path().join(format!("dunlinspread-{name}"));
    fs::write(path("file"), "").expect("a file");
    fs::create_dir(path("target")).expect("a directory");
    fs::set_permissions(path("target"), Permissions::from_mode(0o700)).expect("permissions");
    symlink(path("target"), path("link")).expect("a link");
    for name in ["file", "link"] {
        let error = open(name).expect_err("no directory");
        assert!(matches!(&error, HandoverSocketError::NotADirectory(at) if *at == path(name)), "{error}");
    }
    for name in ["", "a/b", "../c", "n\0l"] {
        let error = open(name).expect_err("no name");
        assert!(matches!(&error, HandoverSocketError::ServerName(at) if at == name), "{error}");
    }
    let error = open(&"long".repeat(30)).expect_err("a long path");
    assert!(
        matches!(&error, HandoverSocketError::PathTooLong(at) if at.ends_with("handover.sock")),
        "{error}"
    );
    let error = HandoverDirectory::open(&path("missing"), "x").expect_err("no parent");
    assert!(matches!(error, HandoverSocketError::Directory { .. }), "{error}");
}

/// Asserts that a directory and a process of another user are refused. Needs a user who may change the owner
/// of a directory and act as another user.
#[test]
fn another_user_is_refused() {
    let temporary = tempfile::tempdir().expect("a directory");
    let foreign_path = temporary.path().join("dunlinspread-theirs");
    fs::create_dir(&foreign_path).expect("a directory");
    let changed_owner = std::os::unix::fs::chown(&foreign_path, Some(OTHER_USER), Some(OTHER_USER));
    if changed_owner.is_err_and(|error| error.kind() == ErrorKind::PermissionDenied) {
        println!("not run: this user can't act as another one");
        return;
    }
    let error = HandoverDirectory::open(temporary.path(), "theirs").expect_err("a foreign directory");
    assert!(matches!(error, HandoverSocketError::OwnedByOther { owner: OTHER_USER, .. }), "{error}");

    fs::set_permissions(temporary.path(), Permissions::from_mode(0o755)).expect("permissions");
    let path = temporary.path().join("open.sock");
    let listener = UnixListener::bind(&path).expect("a listener");
    fs::set_permissions(&path, Permissions::from_mode(0o777)).expect("permissions");
    let connected = std::thread::spawn(move || {
        rustix::thread::set_thread_uid(rustix::process::Uid::from_raw(OTHER_USER)).expect("another user");
        UnixStream::connect(path).expect("a connection")
    });
    let _connected = connected.join().expect("a connection");
    let (accepted, _) = listener.accept().expect("a connection");
    let error = HandoverStream::new(accepted).expect_err("a foreign process");
    assert!(matches!(error, HandoverSocketError::PeerOfOtherUser(OTHER_USER)), "{error}");
}

#[test]
fn nobody_listens_and_somebody_listens() {
    let (_temporary, directory) = directory();
    assert!(connect(&directory).expect("no connection error").is_none());
    let listener = HandoverListener::bind(&directory).expect("a listener");
    let client = connect(&directory).expect("no connection error").expect("a connection");
    let server = block_on(listener.accept()).expect("a connection");
    block_on(client.send(b"hello", None)).expect("sent");
    assert_eq!(block_on(server.receive()).expect("read").expect("a frame").bytes, b"hello");
    drop(listener);
    assert!(!directory.socket_path().exists());
    assert!(connect(&directory).expect("no connection error").is_none());
}

#[test]
fn a_later_listener_replaces_an_earlier_one() {
    let (_temporary, directory) = directory();
    let first = HandoverListener::bind(&directory).expect("a listener");
    let second = HandoverListener::bind(&directory).expect("a listener");
    drop(first);
    let _client = connect(&directory).expect("no connection error").expect("a connection to the second");
    run_within_limit(second.accept()).expect("a connection");
    drop(second);
    assert!(!directory.socket_path().exists());
    assert_eq!(fs::read_dir(directory.path()).expect("a directory").count(), 0, "files are left");
}

/// Asserts that a listener exists at each moment while listeners replace each other.
#[test]
fn no_connection_is_refused_while_listeners_replace_each_other() {
    let (_temporary, directory) = directory();
    let mut listener = HandoverListener::bind(&directory).expect("a listener");
    let connecting_directory = directory.clone();
    let connecting = std::thread::spawn(move || {
        (0..500).filter(|_| connect(&connecting_directory).expect("no connection error").is_none()).count()
    });
    while !connecting.is_finished() {
        let next = HandoverListener::bind(&directory).expect("a listener");
        drop(std::mem::replace(&mut listener, next));
    }
    assert_eq!(connecting.join().expect("a result"), 0, "connections found no listener");
}

#[test]
fn files_of_a_killed_process_do_no_harm() {
    let (temporary, directory) = directory();
    let helper = start_helper("listen", temporary.path());
    assert!(connect(&directory).expect("no connection error").is_some());
    kill(helper);
    assert!(directory.socket_path().exists());
    assert!(connect(&directory).expect("no connection error").is_none());
    assert!(!directory.socket_path().exists(), "the stale file is left");

    kill(start_helper("listen", temporary.path()));
    // Leaves the file of a process that was killed between binding its socket and renaming it.
    drop(UnixListener::bind(directory.path().join("handover.new")).expect("a socket"));
    let listener = HandoverListener::bind(&directory).expect("a listener over stale files");
    assert!(connect(&directory).expect("no connection error").is_some());
    drop(listener);
    assert_eq!(fs::read_dir(directory.path()).expect("a directory").count(), 0, "files are left");
}

#[test]
fn a_process_killed_within_a_frame_cuts_it() {
    let (temporary, directory) = directory();
    let listener = HandoverListener::bind(&directory).expect("a listener");
    let helper = start_helper("send", temporary.path());
    let stream = block_on(listener.accept()).expect("a connection");
    kill(helper);
    let (frames, incoming) = async_channel::unbounded();
    let (_outgoing, to_write) = async_channel::unbounded();
    run_within_limit(run_link(stream, to_write, frames));
    for _ in 0..2 {
        assert!(matches!(incoming.try_recv(), Ok(LinkEvent::Frame(frame)) if frame.bytes == b"whole"));
    }
    let end = incoming.try_recv();
    assert!(
        matches!(end, Ok(LinkEvent::Closed { error: Some(HandoverSocketError::TruncatedFrame) })),
        "received {end:?}"
    );
    assert!(incoming.try_recv().is_err(), "an event follows the end");
}
