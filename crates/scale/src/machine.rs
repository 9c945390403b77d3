//! Where and on what a run was made: the machine, and the commit that was measured.

use std::collections::BTreeMap;
use std::process::Command;

/// What is said where something cannot be read.
const UNKNOWN: &str = "unknown";

/// The processor, its cores, the memory, the kernel and the load when this was called.
pub fn describe() -> BTreeMap<String, String> {
    let cores = std::thread::available_parallelism().map_or(UNKNOWN.to_owned(), |cores| cores.to_string());
    let entries = [
        ("processor", field("/proc/cpuinfo", "model name")),
        ("cores", cores),
        ("memory", field("/proc/meminfo", "MemTotal")),
        ("kernel", read("/proc/sys/kernel/osrelease")),
        ("load", read("/proc/loadavg")),
    ];
    entries.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

/// The commit checked out here, `+changes` added if tracked files differ from it.
pub fn commit() -> String {
    let Some(commit) = git(&["rev-parse", "HEAD"]) else { return UNKNOWN.to_owned() };
    let changed =
        git(&["status", "--porcelain", "--untracked-files=no"]).is_some_and(|files| !files.is_empty());
    if changed { format!("{commit}+changes") } else { commit }
}

/// What git prints, if it can be run and succeeds.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

/// A file of one line.
fn read(path: &str) -> String {
    std::fs::read_to_string(path).map_or(UNKNOWN.to_owned(), |text| text.trim().to_owned())
}

/// The value of the first line `name: value` in a file.
fn field(path: &str, name: &str) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_once(':')).map(|(_, value)| value.trim().to_owned());
    value.unwrap_or_else(|| UNKNOWN.to_owned())
}

/// The resident memory of this process, in bytes; 0 if it cannot be read.
pub fn resident_bytes() -> u64 {
    let kilobytes = field("/proc/self/status", "VmRSS");
    let number = kilobytes.split_whitespace().next().and_then(|number| number.parse::<u64>().ok());
    number.unwrap_or(0) * 1024
}
