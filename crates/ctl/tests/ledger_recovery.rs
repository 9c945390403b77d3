//! The ledger of a running server: retention of lines, a full disk, and a ledger restored from an old copy.

mod support;

use dunlinspread_fakes::{AttemptOutcome, Load, PlatformSettings, Tally};
use dunlinspread_ledger::digest_comparison::DigestClaims;
use prost::Message;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use support::{RunningServer, ServerOptions, ctl, requests_of, send_load, text};

/// The name under which requests without a tenant are billed.
const UNATTRIBUTED: &str = "unattributed";

/// Returns the JSON output of `verify` for the ledger of the server with its files in `folder`.
fn verify(folder: &Path) -> Value {
    ctl(&["ledger", "verify", &text(folder.join("ledger")), "--json"]).rows.pop().unwrap_or_default()
}

fn load(rate: f64, requests: u64, seed: u64) -> Load {
    Load { rate, requests, tenants: vec![None], seed }
}

fn attempts(tally: &Tally) -> u64 {
    tally.sum(|_, _| true).iter().sum()
}

/// Exported lines past their retention time are removed; the exports keep their sums, also after the server
/// is killed.
#[test]
fn old_lines_go_and_the_ledger_goes_on() {
    let (platform, folder) = (PlatformSettings::rounds(40), tempfile::tempdir().expect("a folder"));
    let folder = folder.path();
    let options = ServerOptions::new(folder, "period = \"100ms\"\n  grace = \"0s\"\n  keep = \"1s\"");
    let mut server = RunningServer::start(&platform, &options);
    let mut sent = 0;
    // Each round is one second of load. A slow machine needs more rounds until enough lines are past their
    // retention time.
    for round in 0.. {
        sent += attempts(&send_load(&platform, &server, load(700.0, 700, round)));
        if verify(folder)["first"].as_u64().is_some_and(|first| first > 1000) {
            break;
        }
        assert!(round < 30, "too few lines were removed: {}", verify(folder));
    }
    let before = verify(folder);
    server.child.kill().expect("killed");
    drop(server);
    let server = RunningServer::start(&platform, &options);
    let after = verify(folder);
    assert_eq!((&after["ok"], &after["born"]), (&true.into(), &before["born"]), "{after}");
    assert!(after["first"].as_u64() >= before["first"].as_u64(), "{before} {after}");
    drop(server);
    // The exports still contain the usage of the removed lines.
    let reconciled = ctl(&["ledger", "reconcile", &text(folder.join("exports")), "--json"]).rows;
    let exported = requests_of(reconciled[0]["accounts"].as_array().expect("accounts"), UNATTRIBUTED);
    assert!(exported as u64 <= sent && exported > 700, "{exported} of {sent}");
}

/// Returns whether the server answers a health check as healthy.
fn is_healthy(address: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream
        .write_all(&[0x94, 0, 1, 0xa6, b'i', b's', b'W', b'e', b'l', b'l', 0x91, 0x80])
        .expect("the request is sent");
    let mut head = [0; 5];
    stream.read_exact(&mut head).expect("the server answers");
    // [1, 1, nil, [GOOD, ...
    head[3] == 0xc0 && {
        let mut rest = [0; 1];
        stream.read_exact(&mut rest).expect("the server answers");
        rest[0] == 0xc3
    }
}

/// The disk becomes full while the server runs, and recovers. Meanwhile the server rejects all requests or
/// continues to serve, depending on `on_failure`. Every answer must be in a ledger line or counted as
/// unbilled.
#[test]
fn a_full_disk_is_borne_as_set() {
    for (on_failure, rejects) in [("refuse", true), ("continue", false)] {
        let (platform, folder) = (PlatformSettings::rounds(40), tempfile::tempdir().expect("a folder"));
        let settings = format!("period = \"1h\"\n  on_failure = \"{on_failure}\"");
        let options = ServerOptions { file_blocks: "40", ..ServerOptions::new(folder.path(), &settings) };
        let mut server = RunningServer::start(&platform, &options);
        let send = |server: &RunningServer, seed| send_load(&platform, server, load(300.0, 300, seed));
        let mut sent = 0;
        for seed in 0.. {
            if server.find_log("lines cannot be written").is_some() {
                break;
            }
            assert!(seed < 30, "the ledger never reached the file size limit");
            sent += attempts(&send(&server, seed));
        }
        assert_eq!(is_healthy(server.address), !rejects);
        let tally = send(&server, 99);
        let counts = tally.sum(|_, _| true);
        assert_eq!(counts[AttemptOutcome::Rejected as usize] > 0, rejects, "{on_failure}: {counts:?}");
        lift_file_limit(&server);
        server.wait_for_log("writing of lines recovered");
        assert!(is_healthy(server.address));
        sent += attempts(&tally) + attempts(&send(&server, 100));
        server.shut_down();
        check_all_counted(folder.path(), sent, rejects);
    }
}

fn lift_file_limit(server: &RunningServer) {
    let pid = server.child.id().to_string();
    let lifted =
        Command::new("prlimit").args(["--pid", &pid, "--fsize=unlimited:"]).status().expect("prlimit");
    assert!(lifted.success());
}

/// Checks that every attempt is either billed or counted as unbilled, and that there are unbilled ones if and
/// only if `rejects` is set.
fn check_all_counted(folder: &Path, sent: u64, rejects: bool) {
    let ledger = text(folder.join("ledger"));
    let verified = ctl(&["ledger", "verify", &ledger, "--json"]);
    assert!(verified.succeeded, "{}", verified.error);
    let unbilled = verified.rows[0]["unbilled"].as_u64().expect("a count");
    let billed = requests_of(&ctl(&["ledger", "show", &ledger, "--json"]).rows, UNATTRIBUTED) as u64;
    assert_eq!(billed + unbilled, sent, "rejects {rejects}: {billed} billed, {unbilled} not");
    assert_eq!(unbilled > 0, rejects, "{unbilled}");
}

/// Returns the number of the last batch of `n1` that is known to the server at `peer`.
fn last_known_batch(peer: &str) -> u64 {
    let mut stream = TcpStream::connect(peer).expect("the peer listens");
    let request = DigestClaims { reporter: "test".to_owned(), claims: Vec::new() }.encode_to_vec();
    let frame = [&b"DLSPWIT1"[..], &(request.len() as u32).to_le_bytes(), &request].concat();
    stream.write_all(&frame).expect("the peer reads the request");
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).expect("the peer replies");
    let known = DigestClaims::decode(&reply[12..]).expect("claims");
    known.claims.iter().filter(|claim| claim.server == "n1").map(|claim| claim.batch).max().unwrap_or(0)
}

fn copy_files(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for file in std::fs::read_dir(from).expect("a folder").flatten().filter(|file| file.path().is_file()) {
        std::fs::copy(file.path(), to.join(file.file_name())).expect("copied");
    }
}

/// A ledger is restored from an old copy. The server detects this by the digests of a peer that has seen
/// later batches.
#[test]
fn an_old_copy_of_a_ledger_is_noticed_by_the_others() {
    let (platform, folder) = (PlatformSettings::rounds(8), tempfile::tempdir().expect("a folder"));
    let (folder, other_folder) = (folder.path().join("n1"), folder.path().join("n2"));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::create_dir_all(&other_folder).expect("a folder");
    let settings = "period = \"1h\"\n  peers {\n    listen = \"127.0.0.1:0\"\n  }";
    let other_options = ServerOptions { name: "n2", ..ServerOptions::new(&other_folder, settings) };
    let other = RunningServer::start(&platform, &other_options);
    let listening = other.wait_for_log("digest exchange listening");
    let peer = listening["address"].as_str().expect("an address");
    let settings = format!(
        "period = \"300ms\"\n  grace = \"0s\"\n  peers {{\n    ask = [\"{peer}\"]\n    every = \"100ms\"\n  }}"
    );
    let options = ServerOptions::new(&folder, &settings);
    let start = || RunningServer::start(&platform, &options);
    let mut server = start();
    server.wait_for_log("batch exported");
    server.shut_down();
    copy_files(&folder.join("ledger"), &folder.join("copy"));
    let known = last_known_batch(peer);
    // The server exports further batches, whose digests the other server receives.
    let mut server = start();
    server.wait_for_log("batch exported");
    // Wait until the other server knows a batch that is not in the copy.
    while last_known_batch(peer) <= known {
        std::thread::sleep(Duration::from_millis(20));
    }
    server.shut_down();
    std::fs::remove_dir_all(folder.join("ledger")).expect("removed");
    copy_files(&folder.join("copy"), &folder.join("ledger"));
    let server = start();
    let logged = server.wait_for_log("export digest mismatch");
    let mismatch = logged["mismatch"].as_str();
    assert!(
        mismatch.is_some_and(|text| text.contains("n2 reports batch") || text.contains("of n1: the digests")),
        "{logged}"
    );
    // The collector also detects the old copy, by its watermark or by the content of a batch.
    server.wait_for_log("exports stopped");
}
