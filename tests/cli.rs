//! Tests of the command line: the output and errors of `check`, and the formats of the log.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

/// Writes the configuration files of one test to a separate folder and returns their paths.
fn files(test: &str, operator: &str) -> (PathBuf, PathBuf) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&folder).expect("a folder");
    let (config, hcl) = (folder.join("config.json"), folder.join("operator.hcl"));
    std::fs::write(&config, play::config("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", &[])).expect("writing");
    std::fs::write(&hcl, operator).expect("writing");
    (config, hcl)
}

fn run(args: &[&str], config: &Path, operator: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dunlinspread"))
        .args(args)
        .env("RELAY_CONFIG", config)
        .env("DUNLINSPREAD_OPERATOR", operator)
        .output()
        .expect("the program starts")
}

#[test]
fn check_prints_the_settings_in_force() {
    let (config, hcl) = files("check_good", "log {\n  level = \"warning\"\n}\n");
    let out = run(&["check"], &config, &hcl);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{out:?}");
    for part in
        ["name      n3", "pool      127.0.0.1:1", "classes   route-sheet, pour-entry", "level  = \"warning\""]
    {
        assert!(text.contains(part), "{part} in {text}");
    }
}

#[test]
fn check_fails_naming_file_and_key() {
    let (config, hcl) = files("check_faulty", "log {\n  colour = true\n}\n");
    let out = run(&["check"], &config, &hcl);
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1));
    assert!(stderr.contains("operator.hcl:2: log: `colour`: unknown field"), "{stderr}");
    std::fs::write(&config, "{\"name\":7}").expect("writing");
    let stderr = String::from_utf8_lossy(&run(&["check"], &config, &hcl).stderr).into_owned();
    assert!(stderr.contains("config.json: `name`: is not a non-empty string"), "{stderr}");
}

/// Asserts that the program accepts the example file in `deploy/`.
#[test]
fn the_example_is_valid() {
    let (config, _) = files("check_example", "");
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/operator.example.hcl");
    let out = run(&["check"], &config, &example);
    assert!(out.status.success(), "{out:?}");
}

#[test]
fn json_log_lines_are_valid_json() {
    let (config, hcl) = files("log_json", "");
    // Nothing listens on the worker pool's address; the server still logs `serving`.
    let mut child = Command::new(env!("CARGO_BIN_EXE_dunlinspread"))
        .args(["serve", "--log-format", "json"])
        .env("RELAY_CONFIG", &config)
        .env("DUNLINSPREAD_OPERATOR", &hcl)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    let lines = std::io::BufReader::new(child.stderr.take().expect("a log"));
    let line = std::io::BufRead::lines(lines).map_while(Result::ok).find(|l| l.contains("\"serving\""));
    let _ = child.kill();
    let _ = child.wait();
    let line = line.expect("a line with `serving`");
    let value = dunlinspread::codec::json::parse(line.as_bytes()).expect("JSON");
    let word = |key: &str| value.get(key).and_then(dunlinspread::codec::json::Value::as_str);
    assert_eq!((word("msg"), word("level"), word("name")), (Some("serving"), Some("INFO"), Some("n3")));
}
