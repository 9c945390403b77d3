//! Converts a ledger line to JSON for `ledger show --lines`.

use dunlinspread_ledger::batch::hex;
use dunlinspread_ledger::{Line, LineIdText, LineKind, Outcome};
use serde_json::{Value, json};

/// Selects the content of lines that is shown.
#[derive(Clone, Copy)]
pub struct LineSelection<'a> {
    /// If set, only usage and corrections of this tenant are shown.
    pub tenant: Option<&'a str>,
    /// Names of the classes; usage lines refer to them by index.
    pub classes: &'a [String],
}

impl LineSelection<'_> {
    fn includes(&self, tenant: &str) -> bool {
        self.tenant.is_none_or(|wanted| wanted == tenant)
    }

    fn class_name(&self, index: u32) -> &str {
        self.classes.get(index as usize).map_or("?", String::as_str)
    }
}

fn outcome_name(outcome: i32) -> &'static str {
    Outcome::try_from(outcome).unwrap_or(Outcome::Unknown).as_str()
}

/// Returns the selected content of a line; `None` if nothing in it is selected.
pub fn line_json(line: &Line, selection: LineSelection<'_>) -> Option<Value> {
    let content = match line.kind.as_ref()? {
        LineKind::Start(start) => json!({"start": start.start, "period_ms": start.period_ms,
            "classes": start.classes, "at_risk": start.at_risk, "serves_on": start.continues_on_failure}),
        LineKind::Usage(usage) => {
            let entries: Vec<Value> = usage
                .entries
                .iter()
                .filter(|entry| selection.includes(&entry.tenant))
                .map(|entry| {
                    json!({"society": entry.tenant, "class": selection.class_name(entry.class),
                        "outcome": outcome_name(entry.outcome), "requests": entry.amount.requests,
                        "pool_us": entry.amount.pool_us})
                })
                .collect();
            if entries.is_empty() {
                return None;
            }
            json!({"usage": entries, "period_ms": usage.period, "of_ms": usage.original_period})
        }
        LineKind::Correction(correction) if !selection.includes(&correction.tenant) => return None,
        LineKind::Correction(correction) => json!({
            "correction": {
                "corrects": LineIdText(&correction.corrects).to_string(), "society": correction.tenant,
                "class": correction.class, "outcome": outcome_name(correction.outcome),
                "requests": correction.requests, "pool_us": correction.pool_us, "reason": correction.reason,
                "token": correction.token,
            },
            "period_ms": correction.period,
        }),
        LineKind::Close(close) => {
            json!({"close": {"from_ms": close.from, "to_ms": close.to, "late": close.late}})
        }
        LineKind::Export(export) => json!({"export": {"batch": export.batch, "digest": hex(&export.digest),
            "close": export.close, "last": export.last, "acknowledged": export.acknowledged}}),
        LineKind::Unbilled(unbilled) => json!({"unbilled": {"requests": unbilled.requests,
            "at_most": unbilled.at_most, "unbounded": unbilled.unbounded, "from_ms": unbilled.from_ms,
            "to_ms": unbilled.to_ms, "why": unbilled.reason}}),
    };
    Some(content)
}
