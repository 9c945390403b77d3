//! The check of a soak run against the rules of the protocol.

use crate::soak_support::run::SoakReport;
use crate::upgrade_support::check::{Verdict, judge};
use crate::upgrade_support::records::{AttemptRecord, HealthAnswer, Outcome};

/// The memory limit of the server, kB.
const MEMORY_LIMIT_KB: u64 = 192 * 1024;
/// The descriptor limit of the server.
const DESCRIPTOR_LIMIT: usize = 1024;
/// Maximum number of attempts that the description of a problem lists.
const MAX_LISTED: usize = 5;

/// Returns the verdict on a run, and descriptions of the rules that it breaks, each with the affected
/// requests.
pub fn judge_run(report: &SoakReport) -> (Verdict, Vec<String>) {
    let verdict = judge(&report.records, &report.runs);
    let mut problems = report.unexpected_ends.clone();
    if verdict.broken_rules() > 0 {
        problems.push(format!("a rule is broken: {verdict}{}", describe_rejected_but_run(report)));
    }
    let lost = find(report, Outcome::Lost, |attempt| !was_open_at_a_kill(report, attempt));
    problems.extend(describe("lost", &lost));
    problems.extend(describe("unanswered", &find(report, Outcome::Unanswered, |_| true)));
    let bad_health = bad_health(report);
    if !bad_health.is_empty() {
        problems.push(format!("bad health at {bad_health:?} without a cause"));
    }
    if report.peak_resident_kb > MEMORY_LIMIT_KB {
        problems.push(format!("{} kB of memory is over the limit", report.peak_resident_kb));
    }
    if report.peak_descriptors > DESCRIPTOR_LIMIT {
        problems.push(format!("{} descriptors are over the limit", report.peak_descriptors));
    }
    (verdict, problems)
}

fn find(
    report: &SoakReport,
    outcome: Outcome,
    counts: impl Fn(&AttemptRecord) -> bool,
) -> Vec<&AttemptRecord> {
    let attempts = report.records.attempts.iter();
    attempts.filter(|attempt| attempt.outcome == outcome && counts(attempt)).collect()
}

/// Returns whether a process was killed before its shutdown time was over while the attempt was in progress.
fn was_open_at_a_kill(report: &SoakReport, attempt: &AttemptRecord) -> bool {
    let written_ms = attempt.written_ms.unwrap_or(u64::MAX);
    report.kills_ms.iter().any(|kill_ms| (written_ms..=attempt.ended_ms).contains(kill_ms))
}

fn describe(what: &str, attempts: &[&AttemptRecord]) -> Option<String> {
    let descriptions: String =
        attempts.iter().take(MAX_LISTED).map(|attempt| format!("\n    {attempt}")).collect();
    (!attempts.is_empty()).then(|| format!("{what}: {}{descriptions}", attempts.len()))
}

/// Describes the attempts that were rejected although a run with their id was started.
fn describe_rejected_but_run(report: &SoakReport) -> String {
    let rejected = find(report, Outcome::Rejected, |_| true);
    let run_of = |attempt: &AttemptRecord| {
        let id = format!("{:016x}", attempt.call);
        let run = report.runs.iter().find(|run| run.id == id && run.started_ms >= attempt.received_ms)?;
        Some(format!("\n    {attempt}, run at {}", run.started_ms))
    };
    rejected.into_iter().filter_map(run_of).take(MAX_LISTED).collect()
}

/// Returns the times at which health checks reported bad health without a cause, Unix ms.
fn bad_health(report: &SoakReport) -> Vec<u64> {
    let is_allowed = |at: &u64| report.bad_health_allowed.iter().any(|span| span.contains(at));
    let bad = report.records.health.iter().filter(|(_, answer)| *answer == HealthAnswer::Bad);
    bad.map(|(at, _)| *at).filter(|at| !is_allowed(at)).collect()
}
