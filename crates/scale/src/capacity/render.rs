//! Renders the generated parts of the page: the tables between markers. All other text is written by hand and
//! kept.

use super::book::Book;
use super::estimate::Basis;
use super::roles;
use super::row::{Role, Row};
use super::target;
use anyhow::{Context, Result};
use std::fmt::Write as _;

/// Returns the page with its generated parts replaced.
///
/// # Errors
/// Returns an error that names the missing marker if the page lacks a marker of a table.
pub fn fill(page: &str, book: &Book, all_roles: &[Role]) -> Result<String> {
    let mut filled = replace(page, "target", &target_table())?;
    filled = replace(&filled, "source", &source(book))?;
    for role in all_roles {
        filled = replace(&filled, role.id, &role_table(role))?;
    }
    filled = replace(&filled, "first_missing", &roles::first_missing(all_roles))?;
    filled = replace(&filled, "propagation", &propagation_table(book))?;
    replace(&filled, "slopes", &slopes_table(book))
}

fn replace(page: &str, id: &str, content: &str) -> Result<String> {
    let (begin, end) = (format!("<!-- begin {id} -->\n"), format!("<!-- end {id} -->"));
    let start = page.find(&begin).with_context(|| format!("the page has no marker `{}`", begin.trim()))?
        + begin.len();
    let length = page[start..].find(&end).with_context(|| format!("the page has no marker `{end}`"))?;
    Ok(format!("{}{content}{}", &page[..start], &page[start + length..]))
}

fn target_table() -> String {
    let rows = [
        (
            "round servers / callers / services",
            format!("{:.0} / {:.0} / {:.0}", target::SERVERS, target::CALLERS, target::SERVICES),
        ),
        (
            "requests a second: fleet / a server",
            format!("{:.0} / {:.0}", target::REQUESTS_PER_SECOND, target::REQUESTS_PER_SERVER),
        ),
        ("routes / tenants", format!("{:.0} / {:.0}", target::ROUTES, target::TENANTS)),
        ("added to a request, 99 in 100", format!("{} ms", target::ADDED_MS_P99)),
        (
            "regions / zones / servers of a zone / of a rack",
            format!(
                "{} / {} / {} / {}",
                target::REGIONS,
                target::ZONES,
                target::SERVERS_OF_A_ZONE,
                target::SERVERS_OF_A_RACK
            ),
        ),
        (
            "configuration changes a day / a second / in a burst",
            format!(
                "{:.0} / {:.3} / {:.1}",
                target::CHANGES_PER_DAY,
                target::CHANGES_PER_SECOND,
                target::CHANGES_PER_SECOND * target::CHANGE_BURST
            ),
        ),
        ("in force everywhere within", format!("{} s", target::IN_FORCE_MS / 1000.0)),
        (
            "control at a server: core / memory / bytes a second",
            format!(
                "{}% / {:.0} MiB / {:.0}",
                target::CONTROL_CORE_SHARE * 100.0,
                target::CONTROL_MEMORY_BYTES / 1024.0 / 1024.0,
                target::CONTROL_BYTES_PER_SECOND
            ),
        ),
        ("machines set aside for control", format!("{}", target::CONTROL_MACHINES)),
        (
            "machines that fail / servers restarted or replaced, a day",
            format!("{:.0} / {:.0}", target::FAILURES_PER_DAY, target::REPLACEMENTS_PER_DAY),
        ),
    ];
    let mut out = "| figure | target |\n| --- | --- |\n".to_owned();
    for (name, value) in rows {
        let _ = writeln!(out, "| {name} | {value} |");
    }
    out
}

fn source(book: &Book) -> String {
    let report = book.report();
    let mut out = format!("Slopes: commit `{}`, `{}`.", report.commit, report.command);
    for (name, value) in &report.machine {
        let _ = write!(out, " {name}: {value}.");
    }
    out.push('\n');
    out
}

fn role_table(role: &Role) -> String {
    let mut out = "| what | when | figure | basis | limit | verdict | formula | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n".to_owned();
    for row in &role.rows {
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} | {} | {} | {} | {} |",
            row.name,
            row.when.words(),
            row.unit.text(row.estimate.value),
            basis(row),
            row.limit.map_or_else(|| "none".to_owned(), |limit| row.unit.text(limit)),
            row.verdict(),
            row.formula,
            row.mechanism
        );
    }
    out
}

fn basis(row: &Row) -> String {
    let word = row.estimate.basis.word();
    if row.estimate.basis == Basis::Assumed || row.estimate.relative_error == 0.0 {
        return word.to_owned();
    }
    format!("{word}, ±{:.0}%", (row.estimate.relative_error * 100.0).ceil())
}

fn propagation_table(book: &Book) -> String {
    let fields = [
        "seed",
        "subscribers",
        "relays",
        "changes",
        "in_force_ms_p50",
        "in_force_ms_p99",
        "in_force_ms_max",
        "heal_ms_max",
        "cold_zone_ms",
        "bytes_per_second_subscriber",
        "bytes_per_second_relay",
        "cpu_share_subscriber",
        "cpu_share_relay",
        "kb_per_subscriber",
        "lost",
        "reordered",
        "torn",
        "diverged",
        "regressed",
        "refused",
        "faults",
        "ok",
    ];
    let mut out = "| field |".to_owned();
    book.propagation().iter().for_each(|_| out.push_str(" |"));
    out.push_str("\n| --- |");
    book.propagation().iter().for_each(|_| out.push_str(" --- |"));
    out.push('\n');
    for field in fields {
        let _ = write!(out, "| `{field}` |");
        for run in book.propagation() {
            let value = run.get(field).map_or_else(|| "missing".to_owned(), json_text);
            let _ = write!(out, " {value} |");
        }
        out.push('\n');
    }
    out
}

fn json_text(value: &serde_json::Value) -> String {
    match value.as_f64() {
        Some(number) if number.fract() != 0.0 => format!("{number:.5}").trim_end_matches('0').to_owned(),
        _ => value.to_string(),
    }
}

fn slopes_table(book: &Book) -> String {
    let mut out = "| slope | unit | sizes | fit | error of the fit | target size | there |\n| --- | --- | --- | --- | --- | --- | --- |\n".to_owned();
    for slope in book.slopes() {
        let sizes = slope.points.iter().map(|point| point.size);
        let (min, max) =
            sizes.fold((f64::INFINITY, 0.0f64), |(min, max), size| (min.min(size), max.max(size)));
        let basis = if slope.measured_at_target { "measured" } else { "extrapolated" };
        let _ = writeln!(
            out,
            "| `{}` | {} | {min} to {max} | {:?} {:.4e}, {:.4e} | {:.0}% | {} | {:.4e} {basis}, ±{:.0}% |",
            slope.id,
            slope.unit,
            slope.fit.model,
            slope.fit.intercept,
            slope.fit.slope,
            (slope.fit.relative_error * 100.0).ceil(),
            slope.target_size,
            slope.at_target,
            (slope.at_target_error * 100.0).ceil()
        );
    }
    out
}
