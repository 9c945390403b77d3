//! The ledger of a server that runs: retention, a full disk, and an old copy put back.

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

/// Whom requests without a tenant are billed to.
const UNATTRIBUTED: &str = "unattributed";

/// Returns what `verify` finds in the ledger of a server whose files are in `folder`.
fn verify(folder: &Path) -> Value {
    ctl(&["ledger", "verify", &text(folder.join("ledger")), "--json"]).rows.pop().unwrap_or_default()
}

fn load(rate: f64, requests: u64, seed: u64) -> Load {
    Load { rate, requests, tenants: vec![None], seed }
}

fn attempts(tally: &Tally) -> u64 {
    tally.sum(|_, _| true).iter().sum()
}

/// Lines that are exported and old enough go; what they came to stays, across a kill as well.
#[test]
fn old_lines_go_and_the_ledger_goes_on() {
    let (platform, folder) = (PlatformSettings::rounds(40), tempfile::tempdir().expect("a folder"));
    let folder = folder.path();
    let options = ServerOptions::new(folder, "period = \"100ms\"\n  grace = \"0s\"\n  keep = \"1s\"");
    let mut server = RunningServer::start(&platform, &options);
    let mut sent = 0;
    // Each round is a second of load; on a slow machine it takes a few more until enough lines are old.
    for round in 0.. {
        sent += attempts(&send_load(&platform, &server, load(700.0, 700, round)));
        if verify(folder)["first"].as_u64().is_some_and(|first| first > 1000) {
            break;
        }
        assert!(round < 30, "no line has gone: {}", verify(folder));
    }
    let before = verify(folder);
    server.child.kill().expect("killed");
    drop(server);
    let server = RunningServer::start(&platform, &options);
    let after = verify(folder);
    assert_eq!((&after["ok"], &after["born"]), (&true.into(), &before["born"]), "{after}");
    assert!(after["first"].as_u64() >= before["first"].as_u64(), "{before} {after}");
    drop(server);
    // The exports have what the ledger has let go.
    let reconciled = ctl(&["ledger", "reconcile", &text(folder.join("exports")), "--json"]).rows;
    let exported = requests_of(reconciled[0]["accounts"].as_array().expect("accounts"), UNATTRIBUTED);
    assert!(exported as u64 <= sent && exported > 700, "{exported} of {sent}");
}

/// Returns whether a health check is answered with good health.
fn is_healthy(address: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.write_all(&[0x94, 0, 1, 0xa6, b'i', b's', b'W', b'e', b'l', b'l', 0x91, 0x80]).expect("it takes");
    let mut head = [0; 5];
    stream.read_exact(&mut head).expect("it answers");
    // [1, 1, nil, [GOOD, ...
    head[3] == 0xc0 && {
        let mut rest = [0; 1];
        stream.read_exact(&mut rest).expect("it answers");
        rest[0] == 0xc3
    }
}

/// The disk is full in service and comes back: nothing is taken on meanwhile or all of it, as set, and every answer is in
/// a line or in the count of those that are in none.
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
            assert!(seed < 30, "the disk is never full");
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

/// Every attempt is in a line or in the count of those that are in none; there are such if `rejects`.
fn check_all_counted(folder: &Path, sent: u64, rejects: bool) {
    let ledger = text(folder.join("ledger"));
    let verified = ctl(&["ledger", "verify", &ledger, "--json"]);
    assert!(verified.succeeded, "{}", verified.error);
    let unbilled = verified.rows[0]["unbilled"].as_u64().expect("a count");
    let billed = requests_of(&ctl(&["ledger", "show", &ledger, "--json"]).rows, UNATTRIBUTED) as u64;
    assert_eq!(billed + unbilled, sent, "rejects {rejects}: {billed} billed, {unbilled} not");
    assert_eq!(unbilled > 0, rejects, "{unbilled}");
}

/// Returns the last batch of `n1` that the server which answers there knows.
fn last_known_batch(peer: &str) -> u64 {
    let mut stream = TcpStream::connect(peer).expect("it answers");
    let request = DigestClaims { reporter: "test".to_owned(), claims: Vec::new() }.encode_to_vec();
    let frame = [&b"DLSPWIT1"[..], &(request.len() as u32).to_le_bytes(), &request].concat();
    stream.write_all(&frame).expect("it takes");
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).expect("it tells");
    let known = DigestClaims::decode(&reply[12..]).expect("claims");
    known.claims.iter().filter(|claim| claim.server == "n1").map(|claim| claim.batch).max().unwrap_or(0)
}

fn copy_files(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for file in std::fs::read_dir(from).expect("a folder").flatten().filter(|file| file.path().is_file()) {
        std::fs::copy(file.path(), to.join(file.file_name())).expect("copied");
    }
}

/// A ledger that is put back from an old copy: the server is told by another that knew it before.
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
    // It makes further batches, which the other hears of.
    let mut server = start();
    server.wait_for_log("batch exported");
    // Until the other knows of a batch that the copy does not.
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
        mismatch.is_some_and(|text| text.contains("n2 knows batch") || text.contains("of n1 has one")),
        "{logged}"
    );
    // The collector notices as well, by its watermark or the content.
    server.wait_for_log("exports stopped");
}
