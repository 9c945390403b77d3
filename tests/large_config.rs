//! Tests that a configuration of the target size is checked and served within 256 MB.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command};

const TENANTS: usize = 390_000;
const CLASSES: usize = 64_000;
/// Memory limit, kB.
const MEMORY_KB: u64 = 256 * 1024;

/// Returns the change that adds `count` tenants to a configuration: the text to replace, and its replacement.
fn accounts(count: usize) -> (String, String) {
    let mut list = String::new();
    for at in 0..count {
        let comma = if at == 0 { "" } else { "," };
        let result = write!(list, r#"{comma}{{"name":"tenant-{at:06}","allowance_per_s":{}.5}}"#, at % 40);
        assert!(result.is_ok());
    }
    let before = r#""tick_ms":5.0,"#.to_owned();
    let after = format!(r#"{before}"over_share_worth":0.05,"accounts":[{list}],"#);
    (before, after)
}

/// Returns the change that adds `count` classes before the default ones.
fn profiles(count: usize) -> (String, String) {
    let class = |at| {
        format!(r#"{{"name":"route-{at}","effect":"pure","give_up_ms":2000,"target_ms":500,"worth":1}},"#)
    };
    let list: String = (0..count).map(class).collect();
    (r#""profiles":["#.to_owned(), format!(r#""profiles":[{list}"#))
}

fn config(changes: &[(String, String)]) -> String {
    play::config("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", changes)
}

/// Returns the output of `check`, run with its address space, of which RSS is a part, limited to
/// [`MEMORY_KB`].
fn check(test: &str, config: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.json"));
    std::fs::write(&path, config).expect("writing");
    let limited = format!("ulimit -v {MEMORY_KB} && exec \"$0\" check");
    let out = Command::new("sh")
        .args(["-c", &limited, env!("CARGO_BIN_EXE_dunlinspread")])
        .env("RELAY_CONFIG", &path)
        .output()
        .expect("running the program");
    std::fs::remove_file(&path).expect("removed");
    assert!(out.status.success(), "{}: {}", out.status, String::from_utf8_lossy(&out.stderr));
    String::from_utf8(out.stdout).expect("text")
}

#[test]
fn all_tenants_pass_the_check_within_its_memory() {
    let text = check("tenants", &config(&[accounts(TENANTS)]));
    let line = text.lines().find(|line| line.starts_with("tenants")).expect("a line on tenants");
    assert!(line.starts_with("tenants   390000: tenant-000000, tenant-000001, "), "{line}");
    assert!(line.ends_with("tenant-000019, ..."), "{line}");
}

#[test]
fn all_classes_pass_the_check_within_its_memory() {
    let text = check("classes", &config(&[profiles(CLASSES)]));
    assert!(text.contains("classes   64002: route-0, route-1, "), "{text}");
}

#[test]
fn few_names_are_all_printed() {
    let text = check("few", &config(&[accounts(20)]));
    assert!(text.contains("tenant-000000, ") && text.contains(", tenant-000019\n"), "{text}");
}

/// A process that is killed when the value is dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the peak resident memory of a process, kB.
fn peak_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the VmHWM line");
    peak.trim().trim_end_matches(" kB").parse().expect("a number")
}

#[test]
fn the_server_starts_with_all_tenants_within_its_memory() {
    let mut child = KillOnDrop(play::start(&config(&[accounts(TENANTS)])));
    let log = BufReader::new(child.0.stderr.take().expect("a log"));
    let mut lines = log.lines().map_while(Result::ok);
    let address = lines.find_map(|line| Some(line.split_once("listen: ")?.1.split(',').next()?.to_owned()));
    std::thread::spawn(move || lines.for_each(drop));
    let answered = play::Client::resting(&address.expect("the server logs its address"));
    assert!(answered.is_some(), "no answer to a health check");
    let peak = peak_kb(child.0.id());
    println!("{TENANTS} tenants: peak {peak} kB");
    assert!(peak < MEMORY_KB, "{peak} kB");
}

/// Asserts that a request of the last tenant is completed, and that one of an unlisted tenant is invalid.
#[test]
fn a_request_of_the_last_tenant_is_completed() {
    let (before, after) = accounts(TENANTS);
    let script = format!(
        "config {before} -> {after}\n\
         pool?\npool: {{\"op\":\"bound\",\"end\":\"old\",\"ms\":5000}}\n\
         a: req 1 route-sheet org=tenant-390000\na?\n\
         a: req 2 route-sheet org=tenant-389999\npool?\n\
         pool: {{\"op\":\"finished\",\"seq\":1,\"id\":\"6100000000000002\",\"end\":\"good\",\"ms\":9,\"body\":\"b25l\"}}\n\
         a?\n"
    );
    let transcript = play::play(&script);
    assert!(transcript.contains(r"    \x94\x01\x01\x92\xa7Invalid"), "{transcript}");
    assert!(transcript.contains(r"    \x94\x01\x02\xc0\x92\xc4\x03one"), "{transcript}");
}
