//! The server as a process with a configuration of its own.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

const SETTINGS: &str = r#"{"tick_ms":5.0,"servers":2,
"profiles":[{"name":"route-sheet","effect":"pure","give_up_ms":90000,"target_ms":80000,"worth":1},
{"name":"pour-entry","effect":"token","give_up_ms":90000,"target_ms":80000,"memory_span_ms":95000,"worth":5}],
"policy_limits":{"retry_after":true,"max_retry_after_ms":1000},"safety":{"fall_multiple":8,"drain_grace_ms":0},
"specifics":{"n_cores":4,"memory_kb":60000,"run_factor":8,"key_kb":10,"say":"share_of","preemption":"suspend",
"below":"tier","class_calls":[true,true],"class_skip_worth":[0.5,0],"keepalive_max_ms":32000000000,"callers":1,
"gauges":["core_use","on_cores","heap_share","links"]}}"#;

/// Returns the configuration, with each `from=to` of the script's `config` lines replaced.
pub fn config(pool: &str, directory: &str, index: &str, changes: &[(String, String)]) -> String {
    let mut text = format!(
        r#"{{"name":"n3","listen":"127.0.0.1:0","pool":"{pool}","directory":"{directory}","index":"{index}",
"seed":"8c1f30d27a5be964","stop_ms":30000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{SETTINGS}}}"#
    );
    for (from, to) in changes {
        assert!(text.contains(from), "no {from} in the configuration");
        text = text.replace(from, to);
    }
    text
}

/// Starts the server on a configuration.
pub fn start(config: &str) -> Child {
    start_with(config, "unlimited").0
}

/// Starts the server on a configuration and with so many descriptors, and returns it with its configuration file.
pub fn start_with(config: &str, descriptors: &str) -> (Child, PathBuf) {
    let unique = format!("dunlinspread-{}-{:p}.json", std::process::id(), config);
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(unique);
    std::fs::write(&path, config).expect("the configuration is written");
    let child = Command::new("sh")
        .args([
            "-c",
            "[ $1 = unlimited ] || ulimit -n $1; exec $0",
            env!("CARGO_BIN_EXE_dunlinspread"),
            descriptors,
        ])
        .env("RELAY_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the server starts");
    (child, path)
}

/// Returns a message without the name of the configuration file, which is new in every run.
pub fn without_file(text: &str) -> String {
    let file = text.find('/').zip(text.find(".json: "));
    file.map_or(text.to_owned(), |(from, to)| [&text[..from], &text[to + ".json: ".len()..]].concat())
}

/// Returns the listening address in the log line that gives it.
pub fn listening_address(line: &str) -> Option<String> {
    Some(line.split_once("listen: ")?.1.split(',').next()?.to_owned())
}
