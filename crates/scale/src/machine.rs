//! Describes the environment of a run: the machine, and the commit that was measured.

use std::collections::BTreeMap;
use std::process::Command;

/// Value reported for a property that cannot be read.
const UNKNOWN: &str = "unknown";

/// Returns the processor, number of cores, memory, kernel version and current load of the machine.
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

/// Returns the commit checked out in the working directory, with `+changes` appended if tracked files differ
/// from it.
pub fn commit() -> String {
    let Some(commit) = git(&["rev-parse", "HEAD"]) else { return UNKNOWN.to_owned() };
    let changed =
        git(&["status", "--porcelain", "--untracked-files=no"]).is_some_and(|files| !files.is_empty());
    if changed { format!("{commit}+changes") } else { commit }
}

/// Runs git and returns its trimmed output, or `None` if it cannot be run or fails.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

/// Returns the trimmed content of a one-line file.
fn read(path: &str) -> String {
    std::fs::read_to_string(path).map_or(UNKNOWN.to_owned(), |text| text.trim().to_owned())
}

/// Returns the value of the first `name: value` line in a file.
fn field(path: &str, name: &str) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_once(':')).map(|(_, value)| value.trim().to_owned());
    value.unwrap_or_else(|| UNKNOWN.to_owned())
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
pub fn resident_bytes() -> u64 {
    let kilobytes = field("/proc/self/status", "VmRSS");
    let number = kilobytes.split_whitespace().next().and_then(|number| number.parse::<u64>().ok());
    number.unwrap_or(0) * 1024
}
