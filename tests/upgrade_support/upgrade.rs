//! An upgrade as operators perform it.

use crate::upgrade_support::POLL_INTERVAL;
use crate::upgrade_support::clients::Clients;
use crate::upgrade_support::process::ServerProcess;
use crate::upgrade_support::records::Outcome;
use crate::upgrade_support::site::Site;
use std::time::{Duration, Instant};

/// Time from the shutdown request to the kill: the longest deadline, counted as 3 s, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// Time after an upgrade in which attempts that are not accepted still count for it.
const SETTLE_TIME: Duration = Duration::from_millis(150);

/// Shutdown duration from which the log of a process is printed.
const LONG_END: Duration = Duration::from_millis(500);

/// The measurements of one upgrade.
#[derive(Clone, Copy, Debug)]
pub struct UpgradeReport {
    /// Time from the start of the new process until it was ready.
    pub ready_after: Duration,
    /// Time from the shutdown request to the end of the old process.
    pub ended_after: Duration,
    /// Whether the old process had to be killed.
    pub killed: bool,
    /// Number of attempts that were not accepted during the upgrade.
    pub not_accepted: usize,
    /// Peak of the total resident memory of both processes, kB.
    pub peak_resident_kb: u64,
}

/// Starts a successor, requests the shutdown of the old process `pause` after the successor is ready, and
/// waits for the end of the old one.
pub fn upgrade(
    site: &mut Site,
    old: &mut ServerProcess,
    clients: &Clients,
    pause: Duration,
) -> (ServerProcess, UpgradeReport) {
    let not_accepted_before = clients.count(Outcome::NotAccepted);
    let (new, ready_after) = site.start_successor();
    let mut peak_resident_kb = 0;
    let since = Instant::now();
    while since.elapsed() < pause {
        peak_resident_kb = peak_resident_kb.max(old.resident_kb() + new.resident_kb());
        std::thread::sleep(POLL_INTERVAL);
    }
    let (ended_after, killed) = finish_predecessor(old, |old| {
        peak_resident_kb = peak_resident_kb.max(old.resident_kb() + new.resident_kb());
    });
    std::thread::sleep(SETTLE_TIME);
    let not_accepted = clients.count(Outcome::NotAccepted) - not_accepted_before;
    (new, UpgradeReport { ready_after, ended_after, killed, not_accepted, peak_resident_kb })
}

/// Requests the shutdown of a process, and kills it if it does not end in time; returns the time until its
/// end, and whether it was killed.
pub fn finish_predecessor(
    old: &mut ServerProcess,
    mut meanwhile: impl FnMut(&ServerProcess),
) -> (Duration, bool) {
    old.signal("TERM");
    let since = Instant::now();
    while old.exit_status().is_none() {
        if since.elapsed() >= KILL_AFTER {
            old.kill();
            return (since.elapsed(), true);
        }
        meanwhile(old);
        std::thread::sleep(POLL_INTERVAL);
    }
    if since.elapsed() >= LONG_END {
        println!("process {} ended after {:?}:\n{}", old.id(), since.elapsed(), old.log_lines().join("\n"));
    }
    (since.elapsed(), false)
}

/// Returns a one-line summary of several upgrades.
pub fn summarize(reports: &[UpgradeReport]) -> String {
    let mut ready_ms: Vec<u128> = reports.iter().map(|report| report.ready_after.as_millis()).collect();
    ready_ms.sort_unstable();
    let median_ms = ready_ms.get(ready_ms.len() / 2).copied().unwrap_or(0);
    let max_ms = ready_ms.last().copied().unwrap_or(0);
    let ended_ms: Vec<String> =
        reports.iter().map(|report| report.ended_after.as_millis().to_string()).collect();
    let killed = reports.iter().filter(|report| report.killed).count();
    let max_not_accepted = reports.iter().map(|report| report.not_accepted).max().unwrap_or(0);
    let not_accepted: Vec<String> = (0..=max_not_accepted)
        .map(|count| (count, reports.iter().filter(|report| report.not_accepted == count).count()))
        .filter(|(_, upgrades)| *upgrades > 0)
        .map(|(count, upgrades)| format!("{count}: {upgrades}"))
        .collect();
    let peak_kb = reports.iter().map(|report| report.peak_resident_kb).max().unwrap_or(0);
    format!(
        "{} upgrades, ready after {median_ms} ms (median) and {max_ms} ms (max), old ended after [{}] ms, \
         {killed} killed, not accepted {{{}}}, peak resident {peak_kb} kB",
        reports.len(),
        ended_ms.join(", "),
        not_accepted.join(", ")
    )
}
